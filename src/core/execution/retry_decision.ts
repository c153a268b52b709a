/**
 * Decides what follows an attempt at an upstream: deliver its answer, try
 * another upstream, or tell the caller how it ended. A request that may have
 * run is repeated only if it is idempotent, and is never called not run.
 */
import { Repeatability } from "../view/published_view.ts";
import type { Milliseconds } from "../structures.ts";

/** How an attempt ended. */
export const AttemptOutcome = {
  /** A whole answer that is the upstream's own. */
  Answered: "answered",
  /** A whole answer that says that the upstream failed. */
  Failed: "failed",
  /** Promised not to have run. */
  NotRun: "notRun",
  /** Nothing was sent. */
  NotSent: "notSent",
  /** The connection broke, or the answer belongs to nobody. */
  Lost: "lost",
  /** No answer came in the time given to this attempt. */
  TimedOut: "silent",
} as const;
export type AttemptOutcome =
  (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

export type RetryDecision =
  | { kind: "deliver" }
  | { kind: "tryAnother" }
  /** Answer that the request has not run. */
  | { kind: "refuse" }
  /** Answer that the request may have run. */
  | { kind: "fail"; isTimeout: boolean };

export interface RetryConditions {
  outcome: AttemptOutcome;
  repeatability: Repeatability;
  isResumable: boolean;
  /** Upstreams on which the request may have run, this one included. */
  possibleRuns: number;
  maxAttempts: number;
  /** Attempts of any kind so far. */
  totalAttempts: number;
  remainingMs: Milliseconds;
}

/** Attempts of any kind for one request: rejections do not count as runs, but they cost. */
const MAX_TOTAL_ATTEMPTS = 4;
/** Time below which another attempt can't be answered. */
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

/** @param trySpendRetry spends one repeat of the shared budget, if there is one. */
export function decideRetry(
  conditions: RetryConditions,
  trySpendRetry: () => boolean,
): RetryDecision {
  const { outcome, possibleRuns: ranAttempts, maxAttempts, remainingMs } =
    conditions;
  const canRetry = isIdempotent(
    conditions.repeatability,
    conditions.isResumable,
  );
  const hasTime = remainingMs >= MIN_REMAINING_MS &&
    conditions.totalAttempts < MAX_TOTAL_ATTEMPTS;
  switch (outcome) {
    case AttemptOutcome.Answered:
      return { kind: "deliver" };
    case AttemptOutcome.Failed:
      return canRetry && hasTime && ranAttempts < maxAttempts &&
          trySpendRetry()
        ? { kind: "tryAnother" }
        : { kind: "deliver" };
    case AttemptOutcome.NotSent:
    case AttemptOutcome.NotRun: {
      const wasReceived = outcome === AttemptOutcome.NotRun;
      if (hasTime && (!wasReceived || trySpendRetry())) {
        return { kind: "tryAnother" };
      }
      return ranAttempts === 0
        ? { kind: "refuse" }
        : { kind: "fail", isTimeout: false };
    }
    case AttemptOutcome.Lost:
    case AttemptOutcome.TimedOut:
      return canRetry && hasTime && ranAttempts < maxAttempts &&
          trySpendRetry()
        ? { kind: "tryAnother" }
        : { kind: "fail", isTimeout: outcome === AttemptOutcome.TimedOut };
  }
}
