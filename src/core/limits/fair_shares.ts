/**
 * What each customer has lately been given of a resource, against its weighted
 * share. A customer above its share yields to the others that have asked
 * lately; one that nobody else asks beside takes all there is.
 */
import type { Milliseconds } from "../structures.ts";

/** Time in which what was given counts half. */
const HALF_LIFE_MS = 60_000;
/** Time for which a customer that asked takes part in the division. */
const ACTIVE_WINDOW_MS = 30_000;
/** Part of its share beyond which a customer yields. */
const TOLERANCE = 1.05;
/** Customers counted at once; those that asked longest ago are dropped beyond it. */
const MAX_CUSTOMERS = 4_096;
/** Age beyond which the division is worked out anew. */
const UPDATE_INTERVAL_MS = 100;

interface Usage {
  amount: number;
  updatedAt: Milliseconds;
  requestedAt: Milliseconds;
}

export class FairShares {
  readonly #getShare: (customer: string) => number;
  readonly #usages = new Map<string, Usage>();
  #overShare: ReadonlySet<string> = new Set();
  #updatedAt = Number.NEGATIVE_INFINITY;

  /** @param getShare Returns the weight of a customer. */
  constructor(getShare: (customer: string) => number) {
    this.#getShare = getShare;
  }

  /** Records that the customer asked. */
  recordDemand(customer: string, now: Milliseconds): void {
    const usage = this.#usages.get(customer) ??
      { amount: 0, updatedAt: now, requestedAt: now };
    usage.requestedAt = now;
    this.#usages.delete(customer);
    this.#usages.set(customer, usage);
    if (this.#usages.size <= MAX_CUSTOMERS) return;
    const [oldest] = this.#usages.keys();
    if (oldest !== undefined) this.#usages.delete(oldest);
  }

  /** Records that the customer was given an amount. */
  recordUsage(customer: string, amount: number, now: Milliseconds): void {
    const usage = this.#usages.get(customer);
    if (!usage) return;
    usage.amount = computeAmount(usage, now) + amount;
    usage.updatedAt = now;
  }

  /** Returns whether the customer has had more than its share of what all active ones had. */
  isOverShare(customer: string, now: Milliseconds): boolean {
    if (now - this.#updatedAt >= UPDATE_INTERVAL_MS) this.#updateOverShare(now);
    return this.#overShare.has(customer);
  }

  #updateOverShare(now: Milliseconds): void {
    this.#updatedAt = now;
    const active = [...this.#usages].filter(([, usage]) =>
      now - usage.requestedAt <= ACTIVE_WINDOW_MS
    ).map(([customer, usage]) => ({
      customer,
      share: this.#getShare(customer),
      amount: computeAmount(usage, now),
    }));
    const amounts = active.reduce((sum, { amount }) => sum + amount, 0);
    const shares = active.reduce((sum, { share }) => sum + share, 0);
    this.#overShare = new Set(
      active.filter(({ share, amount }) =>
        amount > amounts * share / shares * TOLERANCE
      ).map(({ customer }) => customer),
    );
  }
}

function computeAmount(usage: Usage, now: Milliseconds): number {
  return usage.amount * 2 ** (-(now - usage.updatedAt) / HALF_LIFE_MS);
}
