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

/** What an owner publishes of one upstream. */
export interface UpstreamDigest {
  upstreamId: string;
  residents: string[];
  /** Adapters whose load has been ordered. */
  loading: string[];
  /** Batch credits out on leases. */
  creditsInUse: number;
  /** Lease requests waiting. */
  waiting: number;
  /** Value of the adapter that would be evicted next; 0 with a free slot. */
  victimValue: number;
  leaving: boolean;
  up: boolean;
}

/** What is known of a request that ran on upstreams that died. */
export interface StrikeDigest {
  fingerprint: string;
  /** Upstreams that died while running the request alone. */
  strikes: number;
  /** Remaining lifetime. */
  expiresInMs: number;
}

/** How popular an adapter was when its slot was given up. */
export interface EvictionDigest {
  adapterKey: string;
  /** Decayed count of requests. */
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
  /** Time left to the earliest deadline of the waiting requests. */
  remainingMs: number;
  maxRunMs: number;
  /** Whether the run must have the upstream to itself. */
  exclusive: boolean;
  /** Whether the adapter is known to be elsewhere and a further copy is wanted. */
  isCopy: boolean;
  /** Time of this sending on the holder's clock, for the grant to return. */
  sentAtMs: number;
}

export interface LeaseGrantMessage {
  kind: "leaseGrant";
  leaseRequestId: string;
  leaseId: string;
  upstreamId: string;
  adapterKey: string;
  credits: number;
  /** Dispatch window, counted by the holder from `requestSentAtMs`. */
  windowMs: number;
  /** Time of the sending that is granted, on the holder's clock. */
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
  /** Upstream that has the adapter, with `redirected`; else empty. */
  redirectUpstreamId: string;
  /** Daemon that the refuser takes for the owner; empty when unknown. */
  ownerId: string;
}

export interface LeaseReturnMessage {
  kind: "leaseReturn";
  leaseId: string;
  upstreamId: string;
  /** Credits of the lease returned so far, these included. */
  returnedCredits: number;
}

export interface LeaseCancelMessage {
  kind: "leaseCancel";
  leaseRequestId: string;
  upstreamId: string;
}

/** A lease as its owner hands it over. */
export interface LeaseHandoverStructure {
  leaseId: string;
  exclusive: boolean;
  holder: string;
  adapterKey: string;
  /** Credits not returned. */
  credits: number;
  returnedCredits: number;
  /** Time until which a run under the lease may go on. */
  remainingMs: number;
}

export interface HandoverMessage {
  kind: "handover";
  upstreamId: string;
  upstreamIncarnation: string;
  fencing: number;
  leases: LeaseHandoverStructure[];
  /** Time for which runs may still start that earlier owners permitted. */
  predecessorWindowMs: number;
  /** Time for which such runs may still go on. */
  predecessorWaitMs: number;
}

/** What a daemon, or the keeper of another failure domain, wants to load. */
export interface StoreDemandMessage {
  kind: "storeDemand";
  loads: number;
  /** Urgency of the most urgent load. */
  urgency: number;
  /** Failure domain in which the loads take place. */
  failureDomain: string;
}

/** Permission to start one load. */
export interface StorePermitMessage {
  kind: "storePermit";
  permitId: string;
  /** Keeper that gave the permit and to which it is returned. */
  lenderId: string;
}

export interface StorePermitReturnMessage {
  kind: "storePermitReturn";
  permitId: string;
  /** Whether a load was started under the permit. */
  wasUsed: boolean;
}

/** A keeper's answer to a demand of its failure domain. */
export interface StoreStatusMessage {
  kind: "storeStatus";
  /** Loads of the domain that wait for a permit. */
  waitingLoads: number;
  /** Rate at which the domain has lately been given permits. */
  loadsPerSecond: number;
}

export interface TicketClaimMessage {
  kind: "ticketClaim";
  claimId: string;
  ticket: string;
  customer: string;
  fingerprint: string;
}

/** The home's answer to a claim. */
export const ClaimVerdict = {
  Granted: "granted",
  InProgress: "inProgress",
  Spent: "spent",
  Expired: "expired",
  Invalid: "invalid",
  Mismatch: "mismatch",
} as const;
export type ClaimVerdict = (typeof ClaimVerdict)[keyof typeof ClaimVerdict];

/** The answer kept for a ticket, replayed to repeated calls. */
export interface StoredAnswerStructure {
  outcome: Outcome;
  status: number;
  contentType: string;
  body: Uint8Array;
  /** False when the body was too large to keep. */
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
  /** Absent when the claim is released because the request did not run. */
  answer?: StoredAnswerStructure;
}

/** Messages about peers, the tables and the host list. */
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
