/** Plain-data structures shared by every part of the core: tables, hosts and engine state. */

/** A point on, or a span of, the daemon's monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Scheduling class of a route, most urgent first. */
export const Priority = {
  Interactive: "interactive",
  Standard: "standard",
  Bulk: "bulk",
} as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

/** Returns 0 for the most urgent priority and larger numbers for less urgent ones. */
export function getPriorityRank(priority: Priority): number {
  switch (priority) {
    case Priority.Interactive:
      return 0;
    case Priority.Standard:
      return 1;
    case Priority.Bulk:
      return 2;
  }
}

/** Kind of the upstreams that a pool selects. */
export const PoolKind = { Engine: "engine", Service: "service" } as const;
export type PoolKind = (typeof PoolKind)[keyof typeof PoolKind];

/** Whether the upstreams of a pool refuse orders that carry an old fencing number. */
export const Fencing = { Checked: "checked", Ignored: "ignored" } as const;
export type Fencing = (typeof Fencing)[keyof typeof Fencing];

/** One row of the routes table: which adapter and version answers a customer's requests. */
export interface RouteStructure {
  name: string;
  customer: string;
  pool: string;
  /** Empty for routes to plain services. */
  adapter: string;
  /** Empty for routes to plain services. */
  version: string;
  idempotent: boolean;
  priority: Priority;
  /** Longest time from acceptance to the start of the run. */
  queueDeadlineMs: Milliseconds;
  /** Longest run on an upstream; the run is cancelled there at its end. */
  maxRunMs: Milliseconds;
}

/** One row of the customers section of the routes table. */
export interface CustomerStructure {
  name: string;
  /** Lowercase hexadecimal SHA-256 digests of the bearer tokens. */
  tokenDigests: string[];
  /** Weight in the division of a saturated pool. */
  share: number;
}

/** One row of the pools table: which upstreams stand ready. */
export interface PoolStructure {
  name: string;
  kind: PoolKind;
  /** Service name that the host list gives for the upstreams. */
  service: string;
  baseModel: string;
  failureDomains: string[];
  /** Adapter slots of one upstream; 0 for plain services. */
  slots: number;
  /** Requests that one upstream runs at once. */
  batchSize: number;
  fencing: Fencing;
  /** Relative weight of avoiding load stalls. */
  loadStallWeight: number;
  /** Relative weight of filling batches. */
  batchEfficiencyWeight: number;
}

/** Both tables at one revision. */
export interface TablesStructure {
  revision: number;
  customers: CustomerStructure[];
  routes: RouteStructure[];
  pools: PoolStructure[];
}

/** Role of a host in the host list. */
export const HostRole = { Entry: "entry", Upstream: "upstream" } as const;
export type HostRole = (typeof HostRole)[keyof typeof HostRole];

/** State of a host as the platform reports it, with a lag. */
export const HostState = { Live: "live", Leaving: "leaving" } as const;
export type HostState = (typeof HostState)[keyof typeof HostState];

/** One row of the host list. */
export interface HostStructure {
  id: string;
  /** Peer address of an entry host, HTTP address of an upstream: `IP:port`. */
  address: string;
  failureDomain: string;
  role: HostRole;
  /** Service name of an upstream; empty for entry hosts. */
  service: string;
  state: HostState;
}

/** The host list at one revision. */
export interface HostListStructure {
  revision: number;
  hosts: HostStructure[];
}

/** What an upstream reports of itself. */
export interface UpstreamStateStructure {
  /** Changes each time the upstream restarts. */
  incarnation: string;
  /** Highest fencing number accepted; 0 where fencing is ignored. */
  fencing: number;
  leaving: boolean;
  /** Resident adapters as `adapter@version`, with the requests running on each, reported with a lag. */
  residents: { adapterKey: string; inFlight: number }[];
  running: number;
}

/** Names an adapter at a version, as engines do. */
export function formatAdapterKey(adapter: string, version: string): string {
  return `${adapter}@${version}`;
}
