/**
 * Heartbeats: what the daemons of a fleet tell each other about themselves and
 * about other members.
 */
import type { CrashDigest } from "../limits/crash_attribution.ts";
import type { RequestCrashEntry } from "../limits/request_crash_history.ts";
import type { OutcomeReport } from "../placement/upstream_health.ts";
import type { Milliseconds } from "../structures.ts";

/** A daemon as known to its peers. */
export interface FleetMember {
  id: string;
  /** IP address; every daemon listens on the same peer port. */
  ip: string;
  failureDomain: string;
}

/**
 * Entry of a heartbeat about another member, with the highest number of that
 * member's heartbeats that the sender knows.
 */
export type GossipEntry = [
  id: string,
  ip: string,
  failureDomain: string,
  beat: number,
];

/** A heartbeat, with the state of its sender. */
export interface Heartbeat {
  sender: FleetMember;
  /** Differs for each start of the process. */
  incarnation: string;
  /** Heartbeat number; increases with each heartbeat, also across restarts. */
  beat: number;
  isLeaving: boolean;
  /**
   * Time within which the sender promises the next heartbeat to the receiver;
   * absent without a promise.
   */
  promisedMs?: Milliseconds;
  /** Whether the store answers the sender's own watches. */
  hasStore: boolean;
  /** Store revision up to which the sender has read each prefix. */
  revisions: { configuration: number; upstreams: number };
  /**
   * Eras of the store to which the revisions belong; absent where the store
   * names none.
   */
  eras?: { configuration: number; upstreams: number } | undefined;
  /** Engines that the sender owns. */
  heldEngines: string[];
  /**
   * Engines that the sender has owned since its start; absent once the start
   * was long ago.
   */
  newcomerHeld?: string[];
  /**
   * Engines that the sender has recently sent an order that others may have
   * sent too, whether it still owns them or not; absent if there are none.
   */
  contestedEngines?: string[] | undefined;
  /** Fetches (loads from the weight store) that the sender has in progress. */
  fetchesInFlight: number;
  /**
   * How many fetches the weight store serves at full speed at once, as measured
   * by the sender; absent before its first fetch.
   */
  fullSpeedFetches?: number | undefined;
  /**
   * Outcomes that the sender has seen at upstreams that fail requests; absent
   * if there are none.
   */
  failing?: OutcomeReport[] | undefined;
  /** Always 0: read by nobody, but the previous release requires it. */
  fenceUnixMs?: number;
  /** Whether the sender accepts requests that peers relay to it. */
  acceptsRelays?: boolean;
  /**
   * Services from whose upstreams the sender is cut off; absent if there are
   * none.
   */
  cutOffServices?: string[] | undefined;
  /** Whether the sender coordinates customers' allotments; absent if not. */
  sharesAllotments?: boolean | undefined;
  /** Sample of the members that the sender knows. */
  sample: GossipEntry[];
  /** Always empty: read by nobody, but the previous release requires it. */
  strikes: { fingerprint: string; strikes: number }[];
  /** What the sender knows of crashes; absent if there were none. */
  crashes?: CrashDigest | undefined;
  /** Crashes by request; absent if the sender knows of none. */
  requestCrashes?: RequestCrashEntry[] | undefined;
}
