/** Exponentially decayed request counts by adapter. */
import type { Milliseconds } from "../structures.ts";

/** Time in which a count halves. */
const HALF_LIFE_MS = 300_000;
/** Adapters counted at once. */
const MAX_ADAPTERS = 16_384;

interface DecayedCount {
  value: number;
  updatedAt: Milliseconds;
}

export class AdapterPopularity {
  readonly #counts = new Map<string, DecayedCount>();

  recordRequests(
    adapterKey: string,
    requests: number,
    now: Milliseconds,
  ): void {
    const value = this.getScore(adapterKey, now) + requests;
    this.#counts.delete(adapterKey);
    this.#counts.set(adapterKey, { value, updatedAt: now });
    if (this.#counts.size <= MAX_ADAPTERS) return;
    const [oldest] = this.#counts.keys();
    if (oldest !== undefined) this.#counts.delete(oldest);
  }

  /** Returns the decayed count of requests. */
  getScore(adapterKey: string, now: Milliseconds): number {
    const count = this.#counts.get(adapterKey);
    if (!count) return 0;
    return count.value * 2 ** (-(now - count.updatedAt) / HALF_LIFE_MS);
  }
}
