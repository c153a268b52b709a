/**
 * Messages between daemons. Each is one-way; a request and its reply are two
 * messages that share an identifier. Field names match `proto/peer.proto`.
 */
import type { LeaseRefusalReason, Outcome } from "./outcomes.ts";
import type {
  CustomerStructure,
  HostStructure,
  PoolStructure,
  RouteStructure,
} from "./structures.ts";

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

/** How a daemon stands in the eyes of its failure domain; a later one overrides an earlier one of the same number. */
export const MemberStatus = { Alive: 0, Suspect: 1, Dead: 2 } as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** What is known of a daemon's life. */
export interface MemberRecord {
  id: string;
  /** Differs in each start of the process. */
  incarnation: string;
  /** Raised by the daemon itself, to refute what is said of it. */
  number: number;
  status: MemberStatus;
  leaving: boolean;
  /** Version of the state that the daemon has published. */
  version: number;
}

/** Revisions that a daemon holds. */
export interface KnownRevisions {
  tablesRevision: number;
  hostListRevision: number;
}

/** Asks a daemon for a sign of life; carries records of some others. */
export interface ProbeMessage extends KnownRevisions {
  kind: "probe";
  probeId: number;
  sender: MemberRecord;
  members: MemberRecord[];
  strikes: StrikeDigest[];
  /** Latest evictions of the sender, so that an adapter's history is known wherever it is loaded next. */
}

export interface ProbeAckMessage extends KnownRevisions {
  kind: "probeAck";
  probeId: number;
  /** Record of the daemon that was probed. */
  sender: MemberRecord;
  members: MemberRecord[];
}

/** Asks a daemon to probe another on behalf of the sender. */
export interface ProbeRequestMessage {
  kind: "probeRequest";
  probeId: number;
  targetId: string;
}

/** A digest as a daemon publishes it: of an upstream of its own, or one passed on from another failure domain. */
export interface PublishedDigest {
  ownerId: string;
  digest: UpstreamDigest;
}

/** What a daemon hears from the platform. */
export const PlatformReach = {
  NotReading: "",
  Reached: "reached",
  Unreached: "unreached",
} as const;
export type PlatformReach = (typeof PlatformReach)[keyof typeof PlatformReach];

/** Changes of a daemon's published state; from version 0, the state in full. */
export interface StateUpdate {
  publisherId: string;
  incarnation: string;
  fromVersion: number;
  version: number;
  digests: PublishedDigest[];
  removedUpstreamIds: string[];
  platformReach: PlatformReach;
  /** Other failure domains that reach the daemon over a link. */
  linkedDomains: LinkedDomain[];
  /** What has been evicted here since the version before, and what other failure domains told of. */
  evictions: EvictionDigest[];
  toldEvictions: EvictionDigest[];
}

/** What is known of another failure domain as a whole. */
export interface LinkedDomain {
  failureDomain: string;
  /** Daemon that keeps its part of the weight store; empty when it has none. */
  storeKeeperId: string;
}

/** Load of a daemon's own upstreams in the order of their ids, at a version of its state. */
export interface LoadUpdate {
  publisherId: string;
  incarnation: string;
  version: number;
  sequence: number;
  creditsInUse: number[];
  waiting: number[];
  victimValues: number[];
}

/** Updates on their way through the failure domain. */
export interface SpreadMessage {
  kind: "spread";
  /** Daemons next in the ring that the receiver passes the updates on to. */
  span: number;
  members: MemberRecord[];
  states: StateUpdate[];
  loads: LoadUpdate[];
  tablesDeltas: TablesDelta[];
  hostListDeltas: HostListDelta[];
  strikes: StrikeDigest[];
}

/** Asks for the state of some daemons of the failure domain, or of all when none is named. */
export interface StateRequestMessage {
  kind: "stateRequest";
  memberIds: string[];
}

export interface StateTransferMessage extends KnownRevisions {
  kind: "stateTransfer";
  /** Whether this is the last message of an answer that names every daemon. */
  joined: boolean;
  members: MemberRecord[];
  states: StateUpdate[];
  strikes: StrikeDigest[];
}

/** What one failure domain tells another. */
export interface LinkUpdateMessage extends KnownRevisions {
  kind: "linkUpdate";
  failureDomain: string;
  incarnation: string;
  sequence: number;
  /** Whether the digests replace all that the sender told before. */
  full: boolean;
  digests: PublishedDigest[];
  removedUpstreamIds: string[];
  strikes: StrikeDigest[];
  /** Daemon that keeps the failure domain's part of the weight store; empty when there is none. */
  storeKeeperId: string;
  evictions: EvictionDigest[];
}

export interface LinkAckMessage extends KnownRevisions {
  kind: "linkAck";
  incarnation: string;
  sequence: number;
  needsFull: boolean;
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

/** Asks for what is newer than the revisions named. */
export interface TablesRequestMessage {
  kind: "tablesRequest";
  knownTablesRevision: number;
  knownHostListRevision: number;
  /** Whether deltas did not lead to the revision that they name. */
  needsFull: boolean;
}

/** Rows that changed between two revisions of the tables. */
export interface TablesDelta {
  fromRevision: number;
  toRevision: number;
  /** Digest of the tables as a whole at the later revision. */
  digest: string;
  customers: CustomerStructure[];
  routes: RouteStructure[];
  pools: PoolStructure[];
  removedCustomers: string[];
  removedRoutes: string[];
  removedPools: string[];
}

/** Hosts that changed between two revisions of the host list. */
export interface HostListDelta {
  fromRevision: number;
  toRevision: number;
  /** Digest of the host list as a whole at the later revision. */
  digest: string;
  hosts: HostStructure[];
  removedHosts: string[];
}

/** Consecutive deltas, the earliest first. */
export interface TablesTransferMessage {
  kind: "tablesTransfer";
  tablesDeltas: TablesDelta[];
  hostListDeltas: HostListDelta[];
}

/** Place of a chunk in a transfer of one revision in full. */
export interface ChunkPosition {
  revision: number;
  /** Digest of the whole at this revision. */
  digest: string;
  index: number;
  count: number;
}

/** Tables that are transferred in full, in chunks. */
export const ChunkedTable = { Tables: "tables", HostList: "hostList" } as const;
export type ChunkedTable = (typeof ChunkedTable)[keyof typeof ChunkedTable];

/** Asks for the next chunk of a transfer. */
export interface ChunkRequestMessage {
  kind: "chunkRequest";
  table: ChunkedTable;
  revision: number;
  index: number;
}

export interface TablesChunkMessage {
  kind: "tablesChunk";
  position: ChunkPosition;
  customers: CustomerStructure[];
  routes: RouteStructure[];
  pools: PoolStructure[];
}

export interface HostListChunkMessage {
  kind: "hostListChunk";
  position: ChunkPosition;
  hosts: HostStructure[];
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
