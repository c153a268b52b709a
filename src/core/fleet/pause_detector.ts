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

export class PauseDetector {
  #lastAt: Milliseconds;
  #lastUnixMs: number;

  constructor(now: Milliseconds, unixMs: number) {
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
    return Math.abs(leadMs) > CLOCK_STEP_MS;
  }
}
