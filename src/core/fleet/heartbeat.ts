/** What daemons of a fleet tell each other of themselves, and of others. */
import type { OutcomeReport } from "../placement/upstream_health.ts";
import type { Milliseconds } from "../structures.ts";

/** A daemon as its peers know it. */
export interface FleetMember {
  id: string;
  /** IP address; every daemon listens on the same peer port. */
  ip: string;
  failureDomain: string;
}

/** A member as a heartbeat names it, and the highest number of its heartbeats that the sender knows. */
export type GossipEntry = [
  id: string,
  ip: string,
  failureDomain: string,
  beat: number,
];

/** What a heartbeat says of its sender. */
export interface Heartbeat {
  sender: FleetMember;
  /** Differs in each start of the process. */
  incarnation: string;
  /** Rises with each heartbeat, also over restarts. */
  beat: number;
  isLeaving: boolean;
  /** Time within which the sender sends the receiver the next one; absent without a promise. */
  promisedMs?: Milliseconds;
  /** Whether the sender's own watches on the store are answered. */
  hasStore: boolean;
  /** Store revision up to which the sender knows each prefix. */
  revisions: { configuration: number; upstreams: number };
  /** Engines whose orders the sender gives. */
  heldEngines: string[];
  /** Engines that the sender held before, in the first seconds after its start; later absent. */
  newcomerHeld?: string[];
  /** Loads from the weight store that the sender has on the way. */
  fetchesInFlight: number;
  /** How many of these go at full speed together, as the sender has found; absent before it has loaded any. */
  fullSpeedFetches?: number | undefined;
  /** What the sender has seen of upstreams that fail requests; absent where there is none. */
  failing?: OutcomeReport[] | undefined;
  /** Highest time of the sender's fence clock. */
  fenceUnixMs: number;
  /** Some of the members that the sender knows. */
  sample: GossipEntry[];
  /** Fingerprints of requests that crashed upstreams, with their count. */
  strikes: { fingerprint: string; strikes: number }[];
}
