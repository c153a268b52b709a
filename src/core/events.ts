/** Events that drive the core. Each is plain data; the time is a separate argument. */
import type {
  PeerMessage,
  StoredAnswerStructure,
  TablesDelta,
} from "./messages.ts";
import type { AttemptResult } from "./outcomes.ts";
import type {
  HostListStructure,
  TablesStructure,
  UpstreamStateStructure,
} from "./structures.ts";

/** A caller's request, authenticated and parsed. */
export interface RequestArrivedEvent {
  kind: "requestArrived";
  requestId: string;
  customer: string;
  route: string;
  /** Stable hash of customer, route and body. */
  fingerprint: string;
  /** Value of `Idempotency-Key`; undefined when absent. */
  ticket?: string;
}

/** How an order to an upstream ended. */
export type OrderResult =
  | { kind: "done" }
  | { kind: "refusedByFencing"; fencing: number }
  | { kind: "failed"; detail: string }
  /** No answer: the order may have been carried out. */
  | { kind: "unknown"; detail: string };

export type CoreEvent =
  | RequestArrivedEvent
  | { kind: "callerGone"; requestId: string }
  | {
    kind: "attemptEnded";
    attemptId: string;
    result: AttemptResult;
    /** Answer to keep for the request's ticket; undefined for idempotent routes. */
    answer?: StoredAnswerStructure;
  }
  | { kind: "peerMessage"; from: string; message: PeerMessage }
  | {
    kind: "upstreamStateRead";
    upstreamId: string;
    readId: string;
    state: UpstreamStateStructure;
  }
  | {
    kind: "upstreamStateUnread";
    upstreamId: string;
    readId: string;
    /** Whether the connection was refused, so that no process listens. */
    isConnectionRefused: boolean;
  }
  | { kind: "orderEnded"; orderId: string; result: OrderResult }
  | { kind: "tablesPublished"; tables: TablesStructure }
  /** Rows that the platform changed since the revision in force; the digest is left empty. */
  | { kind: "tablesDeltaPublished"; delta: TablesDelta }
  | { kind: "hostListPublished"; hostList: HostListStructure }
  /** The platform answered and has nothing newer. */
  | { kind: "platformReached" }
  | { kind: "platformUnreachable" }
  | { kind: "tick" }
  | { kind: "stopRequested" };
