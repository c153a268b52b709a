/**
 * How long runs last and how often a slot falls idle, learnt from the runs that
 * ended. Load pattern: every slot is in use, and who waits wants to know for how
 * long; runs differ from site to site by a factor of several.
 */
import type { Milliseconds } from "../structures.ts";

/** Duration of a run before any was seen: some tens of tokens. */
const FIRST_RUN_MS = 1_000;
/** Weight of the latest run in the mean duration: the runs of a few seconds count. */
const RUN_WEIGHT = 1 / 32;
/** Time between slots that fall idle before any was seen: a run over some ten slots. */
const FIRST_IDLE_INTERVAL_MS = 100;
/** Weight of the latest of these times in their mean, and the longest that counts: beyond, too little was asked for. */
const IDLE_WEIGHT = 1 / 8;
const MAX_IDLE_INTERVAL_MS = 1_000;

export class RunPace {
  #runMs = FIRST_RUN_MS;
  #idleIntervalMs = FIRST_IDLE_INTERVAL_MS;
  #lastIdleAt: Milliseconds | undefined;

  /** Mean duration of a run. */
  get runMs(): Milliseconds {
    return this.#runMs;
  }

  /** Mean time between slots that fall idle. */
  get idleIntervalMs(): Milliseconds {
    return this.#idleIntervalMs;
  }

  recordRun(durationMs: Milliseconds): void {
    this.#runMs += RUN_WEIGHT * (durationMs - this.#runMs);
  }

  /** Notes that the last run that used a slot has ended. */
  recordIdle(now: Milliseconds): void {
    const sinceMs = now - (this.#lastIdleAt ?? now);
    this.#lastIdleAt = now;
    const intervalMs = Math.min(MAX_IDLE_INTERVAL_MS, sinceMs);
    this.#idleIntervalMs += IDLE_WEIGHT * (intervalMs - this.#idleIntervalMs);
  }
}
