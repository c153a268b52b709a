/**
 * Decides what follows an attempt on an upstream: deliver or withhold the
 * response, try another upstream, or report the outcome to the caller. A request
 * that may have run is retried only if it is idempotent, and is never reported as
 * not run.
 */
import { Repeatability } from "../view/published_view.ts";
import type { Milliseconds } from "../structures.ts";

/** How an attempt ended. */
export const AttemptOutcome = {
  /** The upstream sent a complete response. */
  Answered: "answered",
  /**
   * The upstream sent a complete response with a server error (5xx), or one that
   * neither guarantees what its status implies nor has a stamp.
   */
  Failed: "failed",
  /** The upstream guaranteed that it did not run the request. */
  NotRun: "notRun",
  /** No byte of the request was sent. */
  NotSent: "notSent",
  /**
   * The connection broke, or the response was rejected: for another request,
   * not stamped by the upstream, or too long.
   */
  Lost: "lost",
  /** No response head arrived within the time limit of the attempt. */
  TimedOut: "silent",
} as const;
export type AttemptOutcome =
  (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

export type RetryDecision =
  | { kind: "deliver" }
  /**
   * Tell the caller that the request may have run, in place of a response that
   * implies the opposite.
   */
  | { kind: "withhold" }
  | { kind: "tryAnother" }
  /** Tell the caller that the request was not run. */
  | { kind: "refuse" }
  /** Tell the caller that the request may have run. */
  | { kind: "fail"; isTimeout: boolean };

export interface RetryConditions {
  outcome: AttemptOutcome;
  /** Whether callers take the status of the response to mean "not run". */
  impliesNotRun: boolean;
  /** Whether the response has the stamp of its upstream. */
  hasResponseStamp: boolean;
  repeatability: Repeatability;
  isResumable: boolean;
  /** Attempts in which the request may have run, this one included. */
  possibleRuns: number;
  maxAttempts: number;
  /** Attempts so far, also those that certainly did not run. */
  totalAttempts: number;
  remainingMs: Milliseconds;
  /** Whether the request may be what crashed its upstream. */
  isCrashSuspect: boolean;
}

/**
 * Maximum number of attempts for one request. Rejected attempts don't count as
 * runs, but they have a cost, too.
 */
const MAX_TOTAL_ATTEMPTS = 4;
/** Minimum remaining time in which another attempt can still be answered. */
const MIN_REMAINING_MS = 60;

export function isIdempotent(
  repeatability: Repeatability,
  isResumable: boolean,
): boolean {
  switch (repeatability) {
    case Repeatability.Idempotent:
      return true;
    case Repeatability.NonIdempotent:
      return false;
    case Repeatability.Stream:
      return isResumable;
  }
}

/**
 * @param trySpendRetry Takes one retry from the retry budget, if it has one
 * left.
 */
export function decideRetry(
  conditions: RetryConditions,
  trySpendRetry: () => boolean,
): RetryDecision {
  const { outcome, possibleRuns, maxAttempts, remainingMs } = conditions;
  const canRetry = isIdempotent(
    conditions.repeatability,
    conditions.isResumable,
  );
  const canRepeatRun = canRetry && !conditions.isCrashSuspect;
  const hasTime = remainingMs >= MIN_REMAINING_MS &&
    conditions.totalAttempts < MAX_TOTAL_ATTEMPTS;
  switch (outcome) {
    case AttemptOutcome.Answered:
      return decideDelivery(conditions);
    case AttemptOutcome.Failed:
      return canRetry && hasTime && possibleRuns < maxAttempts &&
          trySpendRetry()
        ? { kind: "tryAnother" }
        : decideDelivery(conditions);
    case AttemptOutcome.NotSent:
    case AttemptOutcome.NotRun: {
      const wasReceived = outcome === AttemptOutcome.NotRun;
      if (hasTime && (!wasReceived || trySpendRetry())) {
        return { kind: "tryAnother" };
      }
      return possibleRuns === 0
        ? { kind: "refuse" }
        : { kind: "fail", isTimeout: false };
    }
    case AttemptOutcome.Lost:
    case AttemptOutcome.TimedOut:
      return canRepeatRun && hasTime && possibleRuns < maxAttempts &&
          trySpendRetry()
        ? { kind: "tryAnother" }
        : { kind: "fail", isTimeout: outcome === AttemptOutcome.TimedOut };
  }
}

/**
 * Decides whether the caller gets a response of an upstream that may have run
 * the request. If its status implies that the request has not run, a caller that
 * believes it runs the request again. That harms no idempotent request, so that
 * its upstream's stamped response is returned unchanged.
 */
function decideDelivery(
  { impliesNotRun, hasResponseStamp, repeatability, isResumable }:
    RetryConditions,
): RetryDecision {
  const isHarmless = hasResponseStamp &&
    isIdempotent(repeatability, isResumable);
  return impliesNotRun && !isHarmless
    ? { kind: "withhold" }
    : { kind: "deliver" };
}
