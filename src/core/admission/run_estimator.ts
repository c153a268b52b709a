/**
 * How long runs last and how often a slot falls idle, learnt from the runs that
 * ended. Load pattern: every slot is in use, and who waits wants to know for how
 * long; runs differ from site to site by a factor of several.
 */
import type { Milliseconds } from "../structures.ts";

/** Duration of a run before any was seen: some tens of tokens. */
const INITIAL_RUN_MS = 1_000;
/** Weight of the latest run in the mean duration: the runs of a few seconds count. */
const RUN_WEIGHT = 1 / 32;
/** Time between slots that fall idle before any was seen: a run over some ten slots. */
const INITIAL_RELEASE_INTERVAL_MS = 100;
/** Weight of the latest of these times in their mean, and the longest that counts: beyond, too little was asked for. */
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

  /** Mean time between slots that fall idle. */
  get slotReleaseIntervalMs(): Milliseconds {
    return this.#slotReleaseIntervalMs;
  }

  recordRun(durationMs: Milliseconds): void {
    this.#meanRunMs += RUN_WEIGHT * (durationMs - this.#meanRunMs);
  }

  /** Notes that the last run that used a slot has ended. */
  recordSlotReleased(now: Milliseconds): void {
    const sinceMs = now - (this.#lastReleaseAt ?? now);
    this.#lastReleaseAt = now;
    const intervalMs = Math.min(MAX_RELEASE_INTERVAL_MS, sinceMs);
    this.#slotReleaseIntervalMs += RELEASE_INTERVAL_WEIGHT *
      (intervalMs - this.#slotReleaseIntervalMs);
  }
}
