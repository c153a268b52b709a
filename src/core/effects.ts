/** Effects that the core asks its daemon to carry out. */
import type { PeerMessage, StoredAnswerStructure } from "./messages.ts";
import type { Outcome, RefusalReason } from "./outcomes.ts";
import type { Milliseconds, PoolKind, RouteStructure } from "./structures.ts";

/** An order that changes an upstream. */
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
  /** Incarnation of the upstream when the run was permitted. */
  upstreamIncarnation: string;
  /** `adapter@version` for engines, route name for plain services. */
  model: string;
  route: RouteStructure;
  tablesRevision: number;
  timeoutMs: Milliseconds;
  /** The dispatch must not start after this time. */
  dispatchUntil: Milliseconds;
}

export interface RefuseEffect {
  kind: "refuse";
  requestId: string;
  reason: RefusalReason;
  outcome: Outcome;
  /** Whether the request had waited, or would have had to wait, for a load. */
  hasStalled: boolean;
  /** When to come back; undefined where coming back does not help. */
  retryAfterMs?: Milliseconds;
  /** A fresh ticket, with `ticketRequired`. */
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
    /** The order must not be sent after this time. */
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
  /** Begins or ends following the configuration service and the host list. */
  | { kind: "readPlatform"; isReading: boolean }
  | { kind: "stopCompleted" };
