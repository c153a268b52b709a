/**
 * Membership messages: probes, updates disseminated within a failure domain,
 * and links between failure domains.
 */
import type {
  EvictionDigest,
  StrikeDigest,
  UpstreamDigest,
} from "./messages.ts";
import type { HostListDelta, TablesDelta } from "./table_messages.ts";

/**
 * Status of a daemon as its failure domain sees it. Between records of the same
 * number, the higher status wins.
 */
export const MemberStatus = { Alive: 0, Suspect: 1, Dead: 2 } as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** Liveness record of a daemon, which members exchange. */
export interface MemberRecord {
  id: string;
  /** Identifies one run of the process. */
  incarnation: string;
  /**
   * Raised only by the daemon itself, to refute a wrong record about it, like
   * the incarnation number of SWIM.
   */
  number: number;
  status: MemberStatus;
  leaving: boolean;
  /**
   * Version of the daemon's published state that the sender of the record has.
   */
  version: number;
}

/** Revisions of the tables and of the host list that a daemon has. */
export interface KnownRevisions {
  tablesRevision: number;
  hostListRevision: number;
}

/** Direct probe of a daemon, with piggybacked records of some other members. */
export interface ProbeMessage extends KnownRevisions {
  kind: "probe";
  probeId: number;
  sender: MemberRecord;
  members: MemberRecord[];
  strikes: StrikeDigest[];
}

export interface ProbeAckMessage extends KnownRevisions {
  kind: "probeAck";
  probeId: number;
  /** Record of the daemon that was probed. */
  sender: MemberRecord;
  members: MemberRecord[];
}

/** Indirect probe: asks a daemon to probe another one for the sender. */
export interface ProbeRequestMessage {
  kind: "probeRequest";
  probeId: number;
  targetId: string;
}

/**
 * An upstream's digest as a daemon publishes it: of an upstream that it owns,
 * or relayed from another failure domain.
 */
export interface PublishedDigest {
  ownerId: string;
  digest: UpstreamDigest;
}

/** Whether a daemon reads the platform, and whether its last read succeeded. */
export const PlatformReach = {
  NotReading: "",
  Reached: "reached",
  Unreached: "unreached",
} as const;
export type PlatformReach = (typeof PlatformReach)[keyof typeof PlatformReach];

/**
 * Changes to a daemon's published state; with `fromVersion` 0, the full state.
 */
export interface StateUpdate {
  publisherId: string;
  incarnation: string;
  fromVersion: number;
  version: number;
  digests: PublishedDigest[];
  removedUpstreamIds: string[];
  platformReach: PlatformReach;
  /** Other failure domains that send updates to the daemon over a link. */
  linkedDomains: LinkedDomain[];
  /**
   * Adapters that the publisher evicted since the previous version;
   * `toldEvictions` are those that other failure domains reported to it.
   */
  evictions: EvictionDigest[];
  toldEvictions: EvictionDigest[];
}

/** Properties of another failure domain, as received over a link. */
export interface LinkedDomain {
  failureDomain: string;
  /** Store coordinator of the failure domain; empty if it has none. */
  storeKeeperId: string;
}

/**
 * Load of the upstreams that a daemon owns, in the order of their ids. The
 * version of the published state determines which upstreams these are.
 */
export interface LoadUpdate {
  publisherId: string;
  incarnation: string;
  version: number;
  sequence: number;
  creditsInUse: number[];
  waiting: number[];
  victimValues: number[];
}

/** Updates that are disseminated within the failure domain. */
export interface SpreadMessage {
  kind: "spread";
  /**
   * Number of daemons after the receiver in the ring to which it forwards the
   * updates, directly or through others.
   */
  span: number;
  members: MemberRecord[];
  states: StateUpdate[];
  loads: LoadUpdate[];
  tablesDeltas: TablesDelta[];
  hostListDeltas: HostListDelta[];
  strikes: StrikeDigest[];
}

/**
 * Requests the published state of some daemons of the failure domain, or of all
 * if the list is empty.
 */
export interface StateRequestMessage {
  kind: "stateRequest";
  memberIds: string[];
}

export interface StateTransferMessage extends KnownRevisions {
  kind: "stateTransfer";
  /** Whether this is the last message of a reply that covers all daemons. */
  joined: boolean;
  members: MemberRecord[];
  states: StateUpdate[];
  strikes: StrikeDigest[];
}

/** State that one failure domain exports to another. */
export interface LinkUpdateMessage extends KnownRevisions {
  kind: "linkUpdate";
  failureDomain: string;
  incarnation: string;
  sequence: number;
  /** Whether the digests replace all that the sender sent before. */
  full: boolean;
  digests: PublishedDigest[];
  removedUpstreamIds: string[];
  strikes: StrikeDigest[];
  /**
   * Store coordinator of the sender's failure domain; empty if there is none.
   */
  storeKeeperId: string;
  evictions: EvictionDigest[];
}

export interface LinkAckMessage extends KnownRevisions {
  kind: "linkAck";
  incarnation: string;
  sequence: number;
  needsFull: boolean;
}
