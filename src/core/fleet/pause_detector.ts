/**
 * Detects that this process or its host was suspended. The monotonic clock may
 * not count a suspension, so it is compared with the wall clock: what seems
 * recent by the monotonic clock is then older than it seems. A step of the wall
 * clock looks the same, or hides a suspension if it goes back meanwhile; on its
 * own it only causes state to be verified again.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Difference of the clocks' progress from which a pause is assumed; clock
 * slewing stays far below.
 */
const CLOCK_STEP_MS = 400;
/**
 * Time without a step from which the wall clock is assumed to be right: the
 * users' scenarios have steps of 6 seconds.
 */
const CLOCK_SETTLE_MS = 10_000;

export class PauseDetector {
  readonly #minStepMs: Milliseconds;
  #lastAt: Milliseconds;
  #lastUnixMs: number;
  /** When the process started or its wall clock last made a step. */
  #steadySince: Milliseconds;

  /** @param minStepMs difference of the clocks' progress that is a pause. */
  constructor(
    now: Milliseconds,
    unixMs: number,
    minStepMs: Milliseconds = CLOCK_STEP_MS,
  ) {
    this.#minStepMs = minStepMs;
    this.#steadySince = now;
    this.#lastAt = now;
    this.#lastUnixMs = unixMs;
  }

  /**
   * Returns whether the process may have been suspended since the last call.
   */
  hasPaused(now: Milliseconds, unixMs: number): boolean {
    const leadMs = (unixMs - this.#lastUnixMs) - (now - this.#lastAt);
    this.#lastAt = now;
    this.#lastUnixMs = unixMs;
    const hasPaused = Math.abs(leadMs) > this.#minStepMs;
    if (hasPaused) this.#steadySince = now;
    return hasPaused;
  }

  /**
   * Returns whether the wall clock has made no step for so long that one which
   * began before, or before this process started, is over.
   */
  isClockSteady(now: Milliseconds): boolean {
    return now - this.#steadySince >= CLOCK_SETTLE_MS;
  }
}
