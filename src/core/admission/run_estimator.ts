/**
 * Moving averages of how long runs last and how often an adapter slot is
 * released. While every slot is in use, they predict how long requests have to
 * wait. Run times differ between sites by a factor of several.
 */
import type { Milliseconds } from "../structures.ts";

/** Duration of a run before any was observed: some tens of tokens. */
const INITIAL_RUN_MS = 1_000;
/**
 * Weight of the latest run in the average, which thus covers the runs of the
 * last few seconds.
 */
const RUN_WEIGHT = 1 / 32;
/**
 * Interval between slot releases before any was observed: one run divided by
 * about ten slots.
 */
const INITIAL_RELEASE_INTERVAL_MS = 100;
/**
 * Weight of the latest interval in the average, and the longest interval that
 * counts. A longer one is a lack of demand.
 */
const RELEASE_INTERVAL_WEIGHT = 1 / 8;
const MAX_RELEASE_INTERVAL_MS = 1_000;

export class RunEstimator {
  #meanRunMs = INITIAL_RUN_MS;
  #slotReleaseIntervalMs = INITIAL_RELEASE_INTERVAL_MS;
  #lastReleaseAt: Milliseconds | undefined;

  /** Mean duration of a run. */
  get meanRunMs(): Milliseconds {
    return this.#meanRunMs;
  }

  /** Mean interval between the releases of adapter slots. */
  get slotReleaseIntervalMs(): Milliseconds {
    return this.#slotReleaseIntervalMs;
  }

  recordRun(durationMs: Milliseconds): void {
    this.#meanRunMs += RUN_WEIGHT * (durationMs - this.#meanRunMs);
  }

  /** Records that the last run that used an adapter slot has ended. */
  recordSlotReleased(now: Milliseconds): void {
    const sinceMs = now - (this.#lastReleaseAt ?? now);
    this.#lastReleaseAt = now;
    const intervalMs = Math.min(MAX_RELEASE_INTERVAL_MS, sinceMs);
    this.#slotReleaseIntervalMs += RELEASE_INTERVAL_WEIGHT *
      (intervalMs - this.#slotReleaseIntervalMs);
  }
}
