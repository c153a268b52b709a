/** What callers want and what they have received of it. */
import type { Outcome, RefusalReason } from "../../src/core/outcomes.ts";

/** A piece of work that a caller wants done, however often it has to call. */
export interface Work {
  id: string;
  route: string;
  customer: string;
  isIdempotent: boolean;
  isCrashing: boolean;
  durationMs: number;
  parts: number;
  ticket: string | undefined;
  /** Runs that have begun, over all calls. */
  runs: number;
  completedRuns: number;
  /** Deaths of upstreams under a run of it that a crash-marked call did not cause. */
  chanceDeaths: number;
  /** Upstreams that crash-marked runs of it have killed. */
  kills: { at: number; callId: string }[];
}

export type CallEnd =
  | { kind: "completed" }
  | { kind: "replayed" }
  | { kind: "refused"; reason: RefusalReason; outcome: Outcome }
  /** The caller's connection broke; nothing was said. */
  | { kind: "broken" };

/** One call, through one daemon. */
export interface Call {
  id: string;
  work: Work;
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
