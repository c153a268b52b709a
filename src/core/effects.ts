/** Effects that the core returns for the daemon to carry out. */
import type { PeerMessage, StoredAnswerStructure } from "./messages.ts";
import type { Outcome, RefusalReason } from "./outcomes.ts";
import type { Milliseconds, PoolKind, RouteStructure } from "./structures.ts";

/** A command that changes the state of an upstream. */
export type UpstreamOrder =
  | { kind: "claim" }
  | { kind: "load"; adapterKey: string }
  | { kind: "evict"; adapterKey: string };

export interface DispatchEffect {
  kind: "dispatch";
  attemptId: string;
  requestId: string;
  upstreamId: string;
  upstreamKind: PoolKind;
  address: string;
  /** Incarnation of the upstream at the time the lease was granted. */
  upstreamIncarnation: string;
  /** `adapter@version` for engines, route name for plain services. */
  model: string;
  route: RouteStructure;
  tablesRevision: number;
  timeoutMs: Milliseconds;
  /** Latest time at which the dispatch may start. */
  dispatchUntil: Milliseconds;
}

export interface RefuseEffect {
  kind: "refuse";
  requestId: string;
  reason: RefusalReason;
  outcome: Outcome;
  /**
   * Whether the request waited, or would have had to wait, for an adapter load.
   */
  hasStalled: boolean;
  /**
   * Time after which a retry may succeed; undefined if a retry does not help.
   */
  retryAfterMs?: Milliseconds;
  /** A new ticket, set with the reason `ticketRequired`. */
  ticket?: string;
}

export type Effect =
  | { kind: "send"; to: string; message: PeerMessage }
  | DispatchEffect
  | { kind: "cancelAttempt"; attemptId: string }
  | RefuseEffect
  | { kind: "complete"; requestId: string }
  | { kind: "replay"; requestId: string; answer: StoredAnswerStructure }
  | {
    kind: "order";
    orderId: string;
    upstreamId: string;
    address: string;
    fencing: number;
    order: UpstreamOrder;
    /** Latest time at which the order may be sent. */
    sendUntil: Milliseconds;
  }
  | {
    kind: "readUpstreamState";
    upstreamId: string;
    upstreamKind: PoolKind;
    address: string;
    readId: string;
  }
  | { kind: "count"; counter: string; tag: string }
  | { kind: "measure"; histogram: string; valueMs: Milliseconds }
  /** Starts or stops watching the configuration service and the host list. */
  | { kind: "readPlatform"; isReading: boolean }
  | { kind: "stopCompleted" };
