/**
 * Plain data types shared by all parts of the core: tables, hosts and upstream
 * state.
 */

/**
 * A time of, or a duration on, the daemon's monotonic clock, in milliseconds.
 */
export type Milliseconds = number;

/** Scheduling class of a route, most urgent first. */
export const Priority = {
  Interactive: "interactive",
  Standard: "standard",
  Bulk: "bulk",
} as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

/**
 * Returns 0 for the most urgent priority and higher numbers for less urgent
 * ones.
 */
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

/** Kind of the upstreams in a pool. */
export const PoolKind = { Engine: "engine", Service: "service" } as const;
export type PoolKind = (typeof PoolKind)[keyof typeof PoolKind];

/**
 * Whether the upstreams of a pool refuse orders with an outdated fencing
 * number.
 */
export const Fencing = { Checked: "checked", Ignored: "ignored" } as const;
export type Fencing = (typeof Fencing)[keyof typeof Fencing];

/**
 * One row of the routes table: the adapter and version that serve a customer's
 * requests.
 */
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
  /** Maximum time from acceptance to the start of the run. */
  queueDeadlineMs: Milliseconds;
  /**
   * Maximum duration of a run; the run is cancelled on the upstream when it is
   * exceeded.
   */
  maxRunMs: Milliseconds;
}

/** One row of the customers section of the routes table. */
export interface CustomerStructure {
  name: string;
  /** Lowercase hexadecimal SHA-256 digests of the bearer tokens. */
  tokenDigests: string[];
  /** Weight for fair sharing of a saturated pool. */
  share: number;
}

/**
 * One row of the pools table: the upstreams, by service and failure domain, that
 * serve the routes to the pool.
 */
export interface PoolStructure {
  name: string;
  kind: PoolKind;
  /** Service name of the upstreams in the host list. */
  service: string;
  baseModel: string;
  failureDomains: string[];
  /** Adapter slots of one upstream; 0 for plain services. */
  slots: number;
  /** Requests that one upstream runs concurrently. */
  batchSize: number;
  fencing: Fencing;
  /**
   * Relative weight of avoiding waits for adapter loads when upstreams are
   * ranked.
   */
  loadStallWeight: number;
  /** Relative weight of filling batches when upstreams are ranked. */
  batchEfficiencyWeight: number;
}

/** Customers, routes and pools at one revision. */
export interface TablesStructure {
  revision: number;
  customers: CustomerStructure[];
  routes: RouteStructure[];
  pools: PoolStructure[];
}

/** Role of a host in the host list. */
export const HostRole = { Entry: "entry", Upstream: "upstream" } as const;
export type HostRole = (typeof HostRole)[keyof typeof HostRole];

/** State of a host as reported by the platform, with a delay. */
export const HostState = { Live: "live", Leaving: "leaving" } as const;
export type HostState = (typeof HostState)[keyof typeof HostState];

/** One row of the host list. */
export interface HostStructure {
  id: string;
  /**
   * `IP:port`: the peer address of an entry host, or the HTTP address of an
   * upstream.
   */
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

/** State that an upstream reports about itself. */
export interface UpstreamStateStructure {
  /** Changes with each restart of the upstream. */
  incarnation: string;
  /**
   * Highest fencing number accepted so far; 0 if the upstream ignores fencing.
   */
  fencing: number;
  leaving: boolean;
  /**
   * Resident adapters as `adapter@version`, with the number of requests running
   * on each. The counts lag behind.
   */
  residents: { adapterKey: string; inFlight: number }[];
  running: number;
}

/** Formats the name that engines use for a version of an adapter. */
export function formatAdapterKey(adapter: string, version: string): string {
  return `${adapter}@${version}`;
}
