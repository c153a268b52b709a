/** Closed sets of request outcomes and of refusal and retry reasons. */

/** What is known of a request's execution when its final answer is given. */
export const Outcome = {
  Completed: "completed",
  /** The request did not run and may be sent again. */
  NotRun: "notRun",
  /** The request may have run, whole or in part. */
  MayHaveRun: "mayHaveRun",
  /** The request ran and failed. */
  Failed: "failed",
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Returns the outcome of a call refused before its ticket was claimed: an earlier call with the ticket may have run. */
export function getUnclaimedOutcome(ticket: string | undefined): Outcome {
  return ticket === undefined ? Outcome.NotRun : Outcome.MayHaveRun;
}

/** Why a request was refused or broken off. */
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

/** Why an attempt was followed by another. */
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
  /** Another upstream has the adapter or is about to load it. */
  Redirected: "redirected",
  QueueFull: "queueFull",
  Stopping: "stopping",
} as const;
export type LeaseRefusalReason =
  (typeof LeaseRefusalReason)[keyof typeof LeaseRefusalReason];

/** How an attempt on an upstream ended, as the upstream task saw it. */
export type AttemptResult =
  | { kind: "completed"; servedModel: string }
  /** No byte of the request reached a socket. */
  | { kind: "notSent"; detail: string }
  /** The upstream answered that it did not start the request. */
  | { kind: "refused"; status: number; detail: string }
  /** The upstream answered that the request is at fault; it will not run anywhere. */
  | { kind: "rejected"; status: number; detail: string }
  /** The upstream ran the request and answered with an error. */
  | { kind: "failed"; status: number; detail: string }
  /** The connection ended, or timed out, before the answer was whole. */
  | { kind: "lost"; detail: string; bytesForwarded: number }
  /** The answer named another adapter or version; none of it was forwarded. */
  | { kind: "wrongAdapter"; servedModel: string }
  /** The run reached its longest time and was cancelled. */
  | { kind: "timedOut" }
  /** Cancelled by us; the upstream has confirmed that the run is over. */
  | { kind: "cancelled" };
