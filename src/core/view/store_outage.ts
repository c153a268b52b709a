/**
 * Tells whether the store was out of reach before it answered again, so that
 * entries which are missing then may have lapsed. A single call that failed is
 * no evidence: the store may close the connection of a watch at any time.
 */
import type { Milliseconds } from "../structures.ts";

/** A call to the store that failed. */
export interface FailedCall {
  startedAt: Milliseconds;
  /** Whether no answer came within the call's time limit. */
  hasTimedOut: boolean;
}

/**
 * Time without an answer from the store after which missing entries may have
 * lapsed.
 */
export const OUTAGE_THRESHOLD_MS = 1_000;

export class StoreOutage {
  #failingSince: Milliseconds | undefined;
  #failures = 0;

  /** Number of calls that have failed since the last answer. */
  get failures(): number {
    return this.#failures;
  }

  recordFailure(call: FailedCall, now: Milliseconds): void {
    this.#failures += 1;
    // A store that is silent may have been so since the call began.
    this.#failingSince ??= call.hasTimedOut ? call.startedAt : now;
  }

  /** Records an answer; returns whether an outage preceded it. */
  recordAnswer(now: Milliseconds): boolean {
    const since = this.#failingSince ?? now;
    this.#failingSince = undefined;
    this.#failures = 0;
    return now - since > OUTAGE_THRESHOLD_MS;
  }
}
