/**
 * Messages between daemons. Each is one-way; a request and its reply are two
 * messages that share an identifier. Field names match `proto/peer.proto`.
 */
import type {
  LinkAckMessage,
  LinkUpdateMessage,
  ProbeAckMessage,
  ProbeMessage,
  ProbeRequestMessage,
  SpreadMessage,
  StateRequestMessage,
  StateTransferMessage,
} from "./membership_messages.ts";
import type { LeaseRefusalReason, Outcome } from "./outcomes.ts";
import type {
  ChunkRequestMessage,
  HostListChunkMessage,
  TablesChunkMessage,
  TablesRequestMessage,
  TablesTransferMessage,
} from "./table_messages.ts";

export * from "./membership_messages.ts";
export * from "./table_messages.ts";

/** State of one upstream, as its owner publishes it. */
export interface UpstreamDigest {
  upstreamId: string;
  residents: string[];
  /** Adapters for which a load has been ordered. */
  loading: string[];
  /** Credits granted in leases and not yet returned. */
  creditsInUse: number;
  /** Lease requests that wait in the owner's queue. */
  waiting: number;
  /**
   * Retention value of the adapter that would be evicted next; 0 while an
   * adapter slot is free.
   */
  victimValue: number;
  leaving: boolean;
  up: boolean;
}

/** Upstream crashes attributed to one request. */
export interface StrikeDigest {
  fingerprint: string;
  /**
   * Number of upstreams that died while the request was the only one running.
   */
  strikes: number;
  /** Time until the record expires. */
  expiresInMs: number;
}

/** Popularity of an adapter at the time of its eviction. */
export interface EvictionDigest {
  adapterKey: string;
  /** Request count, decayed over time. */
  score: number;
}

export interface LeaseRequestMessage {
  kind: "leaseRequest";
  leaseRequestId: string;
  upstreamId: string;
  adapterKey: string;
  credits: number;
  priorityRank: number;
  customer: string;
  /** Time until the earliest deadline among the waiting requests. */
  remainingMs: number;
  maxRunMs: number;
  /** Whether the request must run alone on the upstream. */
  exclusive: boolean;
  /**
   * Whether another upstream is known to have the adapter and an additional
   * replica is requested.
   */
  isCopy: boolean;
  /**
   * Send time of this message on the requester's clock; the grant echoes it.
   */
  sentAtMs: number;
}

export interface LeaseGrantMessage {
  kind: "leaseGrant";
  leaseRequestId: string;
  leaseId: string;
  upstreamId: string;
  adapterKey: string;
  credits: number;
  /**
   * Time after `requestSentAtMs`, on the holder's clock, during which requests
   * may be dispatched under the lease.
   */
  windowMs: number;
  /** `sentAtMs` of the request that is granted. */
  requestSentAtMs: number;
  exclusive: boolean;
  /** Incarnation of the upstream at the time of the grant. */
  upstreamIncarnation: string;
  /** Whether the owner had to load the adapter first. */
  loaded: boolean;
}

export interface LeaseRefusalMessage {
  kind: "leaseRefusal";
  leaseRequestId: string;
  upstreamId: string;
  adapterKey: string;
  reason: LeaseRefusalReason;
  retryAfterMs: number;
  /**
   * Upstream that has the adapter, if the reason is `redirected`; otherwise
   * empty.
   */
  redirectUpstreamId: string;
  /** Daemon that the sender considers the owner; empty if unknown. */
  ownerId: string;
}

export interface LeaseReturnMessage {
  kind: "leaseReturn";
  leaseId: string;
  upstreamId: string;
  /**
   * Total number of credits returned under the lease so far, including those
   * that this message returns.
   */
  returnedCredits: number;
}

export interface LeaseCancelMessage {
  kind: "leaseCancel";
  leaseRequestId: string;
  upstreamId: string;
}

/** A lease, as the previous owner describes it to the next one. */
export interface LeaseHandoverStructure {
  leaseId: string;
  exclusive: boolean;
  holder: string;
  adapterKey: string;
  /** Credits that have not been returned yet. */
  credits: number;
  returnedCredits: number;
  /** Time for which a request may still run under the lease. */
  remainingMs: number;
}

export interface HandoverMessage {
  kind: "handover";
  upstreamId: string;
  upstreamIncarnation: string;
  fencing: number;
  leases: LeaseHandoverStructure[];
  /**
   * Time during which requests may still be dispatched under leases of earlier
   * owners.
   */
  predecessorWindowMs: number;
  /** Time during which such requests may still be running. */
  predecessorWaitMs: number;
}

/**
 * Loads from the weight store that a daemon, or the store coordinator of
 * another failure domain, requests permits for.
 */
export interface StoreDemandMessage {
  kind: "storeDemand";
  loads: number;
  /** Urgency of the most urgent of these loads. */
  urgency: number;
  /** Failure domain in which the loads take place. */
  failureDomain: string;
}

/** Permission to start one load from the weight store. */
export interface StorePermitMessage {
  kind: "storePermit";
  permitId: string;
  /** Store coordinator that issued the permit and to which it is returned. */
  lenderId: string;
}

export interface StorePermitReturnMessage {
  kind: "storePermitReturn";
  permitId: string;
  /** Whether a load was started under the permit. */
  wasUsed: boolean;
}

/** A store coordinator's reply to a demand from its failure domain. */
export interface StoreStatusMessage {
  kind: "storeStatus";
  /** Loads in the domain that wait for a permit. */
  waitingLoads: number;
  /** Recent rate at which the domain was granted permits. */
  loadsPerSecond: number;
}

export interface TicketClaimMessage {
  kind: "ticketClaim";
  claimId: string;
  ticket: string;
  customer: string;
  fingerprint: string;
}

/** Decision on a ticket claim by the daemon that issued the ticket. */
export const ClaimVerdict = {
  Granted: "granted",
  InProgress: "inProgress",
  Spent: "spent",
  Expired: "expired",
  Invalid: "invalid",
  Mismatch: "mismatch",
} as const;
export type ClaimVerdict = (typeof ClaimVerdict)[keyof typeof ClaimVerdict];

/** The response stored for a ticket, replayed when the call is repeated. */
export interface StoredAnswerStructure {
  outcome: Outcome;
  status: number;
  contentType: string;
  body: Uint8Array;
  /** False if the body was too large to store. */
  bodyKept: boolean;
}

export interface TicketVerdictMessage {
  kind: "ticketVerdict";
  claimId: string;
  verdict: ClaimVerdict;
  answer?: StoredAnswerStructure;
}

export interface TicketSettleMessage {
  kind: "ticketSettle";
  claimId: string;
  ticket: string;
  customer: string;
  /** Absent if the request did not run and the claim is released. */
  answer?: StoredAnswerStructure;
}

/** Messages about membership, links, the tables and the host list. */
export type ControlMessage =
  | ProbeMessage
  | ProbeAckMessage
  | ProbeRequestMessage
  | SpreadMessage
  | StateRequestMessage
  | StateTransferMessage
  | LinkUpdateMessage
  | LinkAckMessage
  | TablesRequestMessage
  | TablesTransferMessage
  | ChunkRequestMessage
  | TablesChunkMessage
  | HostListChunkMessage;

/** Every message that one daemon sends to another. */
export type PeerMessage =
  | ControlMessage
  | LeaseRequestMessage
  | LeaseGrantMessage
  | LeaseRefusalMessage
  | LeaseReturnMessage
  | LeaseCancelMessage
  | HandoverMessage
  | StoreDemandMessage
  | StorePermitMessage
  | StorePermitReturnMessage
  | StoreStatusMessage
  | TicketClaimMessage
  | TicketVerdictMessage
  | TicketSettleMessage;
