/**
 * What each customer has lately been given of a resource, against its weighted
 * share. A customer above its share yields to the others that have asked
 * lately; one that nobody else asks beside takes all there is.
 */
import type { Milliseconds } from "../structures.ts";

/** Time in which what was given counts half. */
const HALF_LIFE_MS = 60_000;
/** Time for which a customer that asked takes part in the division. */
const ACTIVE_MS = 30_000;
/** Part of its share beyond which a customer yields. */
const TOLERANCE = 1.05;
/** Customers counted at once; those that asked longest ago are dropped beyond it. */
const MAX_CUSTOMERS = 4_096;
/** Age beyond which the division is worked out anew. */
const DIVISION_LIFETIME_MS = 100;

interface Usage {
  amount: number;
  updatedAt: Milliseconds;
  askedAt: Milliseconds;
}

export class FairShares {
  readonly #getShare: (customer: string) => number;
  readonly #usages = new Map<string, Usage>();
  #exceeding: ReadonlySet<string> = new Set();
  #dividedAt = Number.NEGATIVE_INFINITY;

  /** @param getShare Returns the weight of a customer. */
  constructor(getShare: (customer: string) => number) {
    this.#getShare = getShare;
  }

  /** Records that the customer asked. */
  recordDemand(customer: string, now: Milliseconds): void {
    const usage = this.#usages.get(customer) ??
      { amount: 0, updatedAt: now, askedAt: now };
    usage.askedAt = now;
    this.#usages.delete(customer);
    this.#usages.set(customer, usage);
    if (this.#usages.size <= MAX_CUSTOMERS) return;
    const [oldest] = this.#usages.keys();
    if (oldest !== undefined) this.#usages.delete(oldest);
  }

  /** Records that the customer was given an amount. */
  recordUse(customer: string, amount: number, now: Milliseconds): void {
    const usage = this.#usages.get(customer);
    if (!usage) return;
    usage.amount = computeAmount(usage, now) + amount;
    usage.updatedAt = now;
  }

  /** Returns whether the customer has had more than its share of what all active ones had. */
  isExceeding(customer: string, now: Milliseconds): boolean {
    if (now - this.#dividedAt >= DIVISION_LIFETIME_MS) this.#assignShares(now);
    return this.#exceeding.has(customer);
  }

  #assignShares(now: Milliseconds): void {
    this.#dividedAt = now;
    const active = [...this.#usages].filter(([, usage]) =>
      now - usage.askedAt <= ACTIVE_MS
    ).map(([customer, usage]) => ({
      customer,
      share: this.#getShare(customer),
      amount: computeAmount(usage, now),
    }));
    const amounts = active.reduce((sum, { amount }) => sum + amount, 0);
    const shares = active.reduce((sum, { share }) => sum + share, 0);
    this.#exceeding = new Set(
      active.filter(({ share, amount }) =>
        amount > amounts * share / shares * TOLERANCE
      ).map(({ customer }) => customer),
    );
  }
}

function computeAmount(usage: Usage, now: Milliseconds): number {
  return usage.amount * 2 ** (-(now - usage.updatedAt) / HALF_LIFE_MS);
}
