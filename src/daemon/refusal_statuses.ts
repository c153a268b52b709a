/** HTTP status of each refusal. */
import type { RefusalReason } from "../core/outcomes.ts";

const REFUSAL_STATUSES: Record<RefusalReason, number> = {
  unknownRoute: 404,
  unauthenticated: 401,
  invalidRequest: 400,
  requestTooLarge: 413,
  ticketRequired: 428,
  ticketInvalid: 422,
  ticketExpired: 410,
  ticketInProgress: 409,
  ticketSpent: 409,
  ticketMismatch: 422,
  ticketHomeUnreachable: 503,
  quarantined: 422,
  overloaded: 429,
  fairShareExceeded: 429,
  deadlineUnreachable: 503,
  deadlineExceeded: 504,
  noUpstream: 503,
  loadFailed: 503,
  retriesExhausted: 503,
  upstreamLost: 502,
  upstreamRejected: 502,
  wrongAdapter: 502,
  runTimeExceeded: 504,
  callerGone: 499,
  notReady: 503,
  stopping: 503,
};

export function getRefusalStatus(reason: RefusalReason): number {
  return REFUSAL_STATUSES[reason];
}
