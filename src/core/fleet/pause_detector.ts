/**
 * Notices that this process or its host stood still. The monotonic clock may not
 * count a suspension, so the wall clock is compared with it: what was believed
 * by the monotonic clock is then older than it seems. A step of the wall clock
 * looks the same, and costs no more than beliefs that are checked anew.
 */
import type { Milliseconds } from "../structures.ts";

/** Lead of the wall clock from which a pause is assumed; clocks are slewed far less. */
const CLOCK_LEAD_MS = 400;

export class PauseDetector {
  #lastAt: Milliseconds;
  #lastUnixMs: number;

  constructor(now: Milliseconds, unixMs: number) {
    this.#lastAt = now;
    this.#lastUnixMs = unixMs;
  }

  /** Returns whether the process has stood still since the last call. */
  hasPaused(now: Milliseconds, unixMs: number): boolean {
    const leadMs = (unixMs - this.#lastUnixMs) - (now - this.#lastAt);
    this.#lastAt = now;
    this.#lastUnixMs = unixMs;
    return leadMs > CLOCK_LEAD_MS;
  }
}
