/** Work that callers request, and what has been returned to them so far. */
import type { Outcome, RefusalReason } from "../../src/core/outcomes.ts";

/**
 * One unit of work that a caller wants to run. The caller may send several
 * calls for it: retries, or a second call with the ticket it was given.
 */
export interface WorkItem {
  id: string;
  route: string;
  customer: string;
  isIdempotent: boolean;
  isCrashing: boolean;
  durationMs: number;
  parts: number;
  ticket: string | undefined;
  /** Number of runs that have started, over all calls. */
  runs: number;
  completedRuns: number;
  /**
   * Number of its runs that ended because the upstream crashed for another
   * reason than a request that is marked as crashing.
   */
  unrelatedCrashes: number;
  /**
   * Upstream crashes that its own runs caused; only work that is marked as
   * crashing causes any.
   */
  causedCrashes: { at: number; callId: string }[];
}

export type CallEnd =
  | { kind: "completed" }
  | { kind: "replayed" }
  | { kind: "refused"; reason: RefusalReason; outcome: Outcome }
  /** The caller's connection was lost before an answer was complete. */
  | { kind: "broken" };

/** One request that a caller sends to one daemon. */
export interface Call {
  id: string;
  workItem: WorkItem;
  daemonId: string;
  ticket: string | undefined;
  sentAt: number;
  /** Adapter and version of the route when the daemon accepted the call. */
  pinnedModel: string | undefined;
  runs: number;
  parts: { attemptId: string; index: number }[];
  isCallerGone: boolean;
  end: CallEnd | undefined;
}
