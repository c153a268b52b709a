/**
 * Events that drive the core. They are plain data; the time is passed
 * separately.
 */
import type {
  PeerMessage,
  StoredAnswerStructure,
  TablesDelta,
} from "./messages.ts";
import type { AttemptResult } from "./outcomes.ts";
import type {
  HostListStructure,
  Milliseconds,
  TablesStructure,
  UpstreamStateStructure,
} from "./structures.ts";

/** A caller's request, after authentication and parsing. */
export interface RequestArrivedEvent {
  kind: "requestArrived";
  requestId: string;
  customer: string;
  route: string;
  /** Stable hash of customer, route and body. */
  fingerprint: string;
  /** Hashes of the parts of the body that other requests may share. */
  sharedParts: readonly string[];
  /** Value of `Idempotency-Key`; undefined when absent. */
  ticket?: string;
  /** Expected time for which the request lay unread; 0 when absent. */
  unreadMs?: Milliseconds;
}

/** Result of an order to an upstream. */
export type OrderResult =
  | { kind: "done" }
  | { kind: "refusedByFencing"; fencing: number }
  | { kind: "failed"; detail: string }
  /** No response: the order may or may not have been carried out. */
  | { kind: "unknown"; detail: string };

export type CoreEvent =
  | RequestArrivedEvent
  | { kind: "callerGone"; requestId: string }
  | {
    kind: "attemptEnded";
    attemptId: string;
    result: AttemptResult;
    /**
     * Response to store for the request's ticket; undefined for idempotent
     * routes.
     */
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
    /**
     * Whether the connection was refused, which means that no process is
     * listening.
     */
    isConnectionRefused: boolean;
  }
  | { kind: "orderEnded"; orderId: string; result: OrderResult }
  | { kind: "tablesPublished"; tables: TablesStructure }
  /**
   * Rows that the platform changed since the current revision; the digest is
   * empty.
   */
  | { kind: "tablesDeltaPublished"; delta: TablesDelta }
  | { kind: "hostListPublished"; hostList: HostListStructure }
  /** The platform responded and has no newer revision. */
  | { kind: "platformReached" }
  | { kind: "platformUnreachable" }
  | { kind: "tick" }
  /** `endsAt` is the time at which the requests that are left are refused. */
  | { kind: "stopRequested"; endsAt: Milliseconds }
  /** The time for requests in progress at a planned stop has passed. */
  | { kind: "stopTimedOut" };
