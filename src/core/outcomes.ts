/** Enumerations of request outcomes and of refusal and retry reasons. */

/**
 * What is known about a request's execution when the final response is sent.
 */
export const Outcome = {
  Completed: "completed",
  /** The request did not run and is safe to retry. */
  NotRun: "notRun",
  /** The request may have run, completely or partially. */
  MayHaveRun: "mayHaveRun",
  /** The request ran and failed. */
  Failed: "failed",
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/**
 * Returns the outcome of a call that is refused before its ticket is claimed. An
 * earlier call with the same ticket may have run.
 */
export function getUnclaimedOutcome(ticket: string | undefined): Outcome {
  return ticket === undefined ? Outcome.NotRun : Outcome.MayHaveRun;
}

/** Why a request was refused or aborted. */
export const RefusalReason = {
  UnknownRoute: "unknownRoute",
  Unauthenticated: "unauthenticated",
  InvalidRequest: "invalidRequest",
  RequestTooLarge: "requestTooLarge",
  TicketRequired: "ticketRequired",
  TicketInvalid: "ticketInvalid",
  TicketExpired: "ticketExpired",
  TicketInProgress: "ticketInProgress",
  TicketSpent: "ticketSpent",
  TicketMismatch: "ticketMismatch",
  TicketHomeUnreachable: "ticketHomeUnreachable",
  Quarantined: "quarantined",
  Overloaded: "overloaded",
  FairShareExceeded: "fairShareExceeded",
  DeadlineUnreachable: "deadlineUnreachable",
  DeadlineExceeded: "deadlineExceeded",
  NoUpstream: "noUpstream",
  LoadFailed: "loadFailed",
  RetriesExhausted: "retriesExhausted",
  UpstreamLost: "upstreamLost",
  UpstreamRejected: "upstreamRejected",
  WrongAdapter: "wrongAdapter",
  RunTimeExceeded: "runTimeExceeded",
  CallerGone: "callerGone",
  NotReady: "notReady",
  Stopping: "stopping",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Why a request was retried with another attempt. */
export const RetryReason = {
  LeaseRefused: "leaseRefused",
  LeaseUnanswered: "leaseUnanswered",
  LeaseExpired: "leaseExpired",
  NotOwner: "notOwner",
  NotSent: "notSent",
  RefusedByUpstream: "refusedByUpstream",
  UpstreamLost: "upstreamLost",
  WrongAdapter: "wrongAdapter",
  LoadFailed: "loadFailed",
} as const;
export type RetryReason = (typeof RetryReason)[keyof typeof RetryReason];

/** Why the owner of an upstream refused a lease. */
export const LeaseRefusalReason = {
  NotOwner: "notOwner",
  Claiming: "claiming",
  Leaving: "leaving",
  UpstreamDown: "upstreamDown",
  DeadlineUnreachable: "deadlineUnreachable",
  LoadFailed: "loadFailed",
  /** The adapter is resident, or about to be loaded, on another upstream. */
  Redirected: "redirected",
  QueueFull: "queueFull",
  Stopping: "stopping",
} as const;
export type LeaseRefusalReason =
  (typeof LeaseRefusalReason)[keyof typeof LeaseRefusalReason];

/** Result of an attempt on an upstream, as observed by the upstream task. */
export type AttemptResult =
  | { kind: "completed"; servedModel: string }
  /** No byte of the request was written to a socket. */
  | { kind: "notSent"; detail: string }
  /** The upstream responded that it did not start the request. */
  | { kind: "refused"; status: number; detail: string }
  /**
   * The upstream responded that the request is invalid; a retry elsewhere would
   * fail as well.
   */
  | { kind: "rejected"; status: number; detail: string }
  /** The upstream ran the request and responded with an error. */
  | { kind: "failed"; status: number; detail: string }
  /** The connection closed, or timed out, before the response was complete. */
  | { kind: "lost"; detail: string; bytesForwarded: number }
  /**
   * The response came from another adapter or version; none of it was
   * forwarded.
   */
  | { kind: "wrongAdapter"; servedModel: string }
  /** The run reached its maximum duration and was cancelled. */
  | { kind: "timedOut" }
  /**
   * The daemon cancelled the attempt, and the upstream confirmed that the run
   * has ended.
   */
  | { kind: "cancelled" };
