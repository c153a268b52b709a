/**
 * Weighted fair sharing of a resource among customers: compares each customer's
 * recent usage with its weighted share. A customer above its share yields to
 * the others with recent requests; without such others it may use the whole
 * resource.
 */
import type { Milliseconds } from "../structures.ts";

/** Half-life of recorded usage. */
const HALF_LIFE_MS = 60_000;
/** Time after its last request for which a customer counts as active. */
const ACTIVE_WINDOW_MS = 30_000;
/** Multiple of its share above which a customer yields. */
const TOLERANCE = 1.05;
/**
 * Maximum number of customers tracked; those with the oldest requests are
 * dropped.
 */
const MAX_CUSTOMERS = 4_096;
/** Interval at which the set of customers above their share is recomputed. */
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

  /** @param getShare Returns the weight of a customer's share. */
  constructor(getShare: (customer: string) => number) {
    this.#getShare = getShare;
  }

  /** Records that the customer requested the resource. */
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

  /** Records an amount that the customer was given. */
  recordUsage(customer: string, amount: number, now: Milliseconds): void {
    const usage = this.#usages.get(customer);
    if (!usage) return;
    usage.amount = computeAmount(usage, now) + amount;
    usage.updatedAt = now;
  }

  /**
   * Returns whether the customer's usage exceeds its share of the usage of all
   * active customers.
   */
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
    const totalAmount = active.reduce((sum, { amount }) => sum + amount, 0);
    const totalShare = active.reduce((sum, { share }) => sum + share, 0);
    this.#overShare = new Set(
      active.filter(({ share, amount }) =>
        amount > totalAmount * share / totalShare * TOLERANCE
      ).map(({ customer }) => customer),
    );
  }
}

function computeAmount(usage: Usage, now: Milliseconds): number {
  return usage.amount * 2 ** (-(now - usage.updatedAt) / HALF_LIFE_MS);
}
