/**
 * Estimates how long input lay unread before the process read it. What is read
 * in one turn of the event loop can have arrived at any time since the input
 * was last found empty, so that a process without processor time, or one that
 * was suspended, reads requests whose time is partly over.
 */
import type { Milliseconds } from "../structures.ts";

/** Longest time between two recorded turns of a process that is not behind. */
export const MAX_TURN_GAP_MS = 50;
/**
 * Age that input may seem to have without a delay: it is known to within two
 * recorded turns.
 */
const RESOLUTION_MS = 2 * MAX_TURN_GAP_MS;

export class ReadDelay {
  #lastTurnAt: Milliseconds;
  /** A time at which nothing that is still to be read had arrived. */
  #emptyAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#lastTurnAt = now;
    this.#emptyAt = now;
  }

  /**
   * Records the end of a turn.
   *
   * @param isDrained whether all that had arrived before the turn has been read.
   */
  recordTurn(now: Milliseconds, isDrained: boolean): void {
    if (isDrained) this.#emptyAt = this.#lastTurnAt;
    this.#lastTurnAt = now;
  }

  /** Returns the longest time for which input that is read now can have waited. */
  computeMaxMs(now: Milliseconds): Milliseconds {
    return Math.max(0, now - this.#emptyAt - RESOLUTION_MS);
  }
}

/**
 * Returns how long a request is expected to have lain unread whose sender would
 * have given up after `patienceMs`: it is as likely to have arrived early as
 * late, but not so early that its sender has left.
 */
export function estimateUnreadMs(
  maxDelayMs: Milliseconds,
  patienceMs: Milliseconds,
): Milliseconds {
  return Math.min(maxDelayMs, patienceMs) / 2;
}
