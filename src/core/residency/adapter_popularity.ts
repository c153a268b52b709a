/** Exponentially decayed request counts by adapter. */
import { computeDecayFactor } from "../decay.ts";
import type { EvictionDigest } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/** Time in which a count halves. */
const HALF_LIFE_MS = 300_000;
/**
 * Maximum number of adapters counted; beyond it, the one updated longest ago is
 * dropped.
 */
const MAX_ADAPTERS = 16_384;

interface DecayedCount {
  value: number;
  updatedAt: Milliseconds;
}

export class AdapterPopularity {
  #evicted: string[] = [];
  readonly #counts = new Map<string, DecayedCount>();

  recordRequests(
    adapterKey: string,
    requests: number,
    now: Milliseconds,
  ): void {
    const value = this.getScore(adapterKey, now) + requests;
    this.#setCount(adapterKey, value, now);
  }

  #setCount(adapterKey: string, value: number, now: Milliseconds): void {
    this.#counts.delete(adapterKey);
    this.#counts.set(adapterKey, { value, updatedAt: now });
    if (this.#counts.size <= MAX_ADAPTERS) return;
    const [oldest] = this.#counts.keys();
    if (oldest !== undefined) this.#counts.delete(oldest);
  }

  /** Records the eviction of an adapter, so that peers are sent its score. */
  recordEviction(adapterKey: string): void {
    this.#evicted.push(adapterKey);
  }

  /**
   * Returns the evictions since the last call, with the scores to send to
   * peers.
   */
  takeEvictions(now: Milliseconds): EvictionDigest[] {
    const evicted = this.#evicted;
    if (evicted.length > 0) this.#evicted = [];
    return evicted.map((adapterKey) => ({
      adapterKey,
      score: this.getScore(adapterKey, now),
    }));
  }

  /**
   * Merges the scores that a peer sent; a score never lowers the local count.
   */
  mergeEvictions(
    evictions: readonly EvictionDigest[],
    now: Milliseconds,
  ): void {
    for (const { adapterKey, score } of evictions) {
      if (score > this.getScore(adapterKey, now)) {
        this.#setCount(adapterKey, score, now);
      }
    }
  }

  /** Returns the decayed request count of the adapter; 0 if none is kept. */
  getScore(adapterKey: string, now: Milliseconds): number {
    const count = this.#counts.get(adapterKey);
    if (!count) return 0;
    return count.value *
      computeDecayFactor(now - count.updatedAt, HALF_LIFE_MS);
  }
}
