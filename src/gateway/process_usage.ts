/**
 * Periodic summary of what this process did and what it cost, so that a host
 * without enough processor time can be told from one that waits for others.
 */
import type { Milliseconds } from "../core/structures.ts";

/** Time between two summaries. */
const SUMMARY_INTERVAL_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;

export interface UsageSummary {
  elapsedMs: Milliseconds;
  processorMs: Milliseconds;
  /** Increase of each counter since the last summary. */
  counts: Record<string, number>;
}

/** Totals since the start of the process. */
export interface UsageTotals {
  processorMicroseconds: number;
  counts: Readonly<Record<string, number>>;
}

export class ProcessUsage {
  readonly #readTotals: () => UsageTotals;
  #last: UsageTotals;
  #lastAt: Milliseconds;

  constructor(readTotals: () => UsageTotals, now: Milliseconds) {
    this.#readTotals = readTotals;
    this.#last = readTotals();
    this.#lastAt = now;
  }

  /** Returns a summary if one is due. */
  takeSummary(now: Milliseconds): UsageSummary | undefined {
    const elapsedMs = now - this.#lastAt;
    if (elapsedMs < SUMMARY_INTERVAL_MS) return undefined;
    const totals = this.#readTotals();
    const last = this.#last;
    this.#last = totals;
    this.#lastAt = now;
    const processorMicroseconds = totals.processorMicroseconds -
      last.processorMicroseconds;
    return {
      elapsedMs: Math.round(elapsedMs),
      processorMs: Math.round(processorMicroseconds / MICROSECONDS_PER_MS),
      counts: Object.fromEntries(
        Object.entries(totals.counts).map(([name, total]) => [
          name,
          total - (last.counts[name] ?? 0),
        ]),
      ),
    };
  }
}
