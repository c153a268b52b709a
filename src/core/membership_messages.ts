/** Messages by which daemons learn of each other: probes, what is spread in a failure domain, links between domains. */
import type {
  EvictionDigest,
  StrikeDigest,
  UpstreamDigest,
} from "./messages.ts";
import type { HostListDelta, TablesDelta } from "./table_messages.ts";

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
