/**
 * Measures the longest pause between the events of a stream. It is called for
 * each chunk of events, so that it does no more than subtract and compare.
 */
import type { Milliseconds } from "../structures.ts";

export class PauseMeter {
  /** NaN before the first event and after an interruption. */
  #lastEventAt: Milliseconds = Number.NaN;
  #longestPauseMs: Milliseconds = 0;

  /** Undefined if there was no pause between two events. */
  get longestPauseMs(): Milliseconds | undefined {
    return this.#longestPauseMs > 0 ? this.#longestPauseMs : undefined;
  }

  recordEvent(now: Milliseconds): void {
    const pauseMs = now - this.#lastEventAt;
    if (pauseMs > this.#longestPauseMs) this.#longestPauseMs = pauseMs;
    this.#lastEventAt = now;
  }

  /** Excludes the pause that follows, which isn't the upstream's. */
  recordInterruption(): void {
    this.#lastEventAt = Number.NaN;
  }

  /** Begins to measure another stream. */
  clear(): void {
    this.#lastEventAt = Number.NaN;
    this.#longestPauseMs = 0;
  }
}
