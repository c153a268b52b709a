/** Settings of the core. Each has a default; `src/settings` validates them. */
import type { Milliseconds } from "./structures.ts";

export interface CoreSettings {
  /** Time between heartbeats to a peer. */
  heartbeatIntervalMs: Milliseconds;
  /** Time without any message from a peer after which it is considered dead. */
  peerTimeoutMs: Milliseconds;
  /**
   * Time after the start during which a daemon owns no upstream, unless it has
   * heard from all peers.
   */
  startGraceMs: Milliseconds;
  /**
   * Gap between two events after which the process counts as having been
   * paused, so that leases, ownership and peer state are treated as expired.
   */
  pauseThresholdMs: Milliseconds;
  /**
   * Dispatch window of a lease: time during which its holder may start runs
   * under it.
   */
  leaseWindowMs: Milliseconds;
  /**
   * Allowance for clock drift between a lease's holder and the upstream's
   * owner.
   */
  leaseMarginMs: Milliseconds;
  /** Time after which a lease's holder returns an unused credit. */
  leaseIdleMs: Milliseconds;
  /** Maximum number of credits in one lease request. */
  maxLeaseCredits: number;
  /** Time after which an unanswered lease request is retried. */
  leaseReplyTimeoutMs: Milliseconds;
  /** Polling interval for the state of an owned upstream. */
  stateReadIntervalMs: Milliseconds;
  /**
   * Maximum age of an upstream's last state reading for its owner to grant
   * leases.
   */
  ownershipValidityMs: Milliseconds;
  /** Maximum lag of the in-flight counts that engines report. */
  engineReportLagMs: Milliseconds;
  /** Maximum number of attempts per request, including the first. */
  maxAttempts: number;
  /** Number of upstreams that a request may crash before it is refused. */
  maxStrikes: number;
  strikeLifetimeMs: Milliseconds;
  /** Maximum number of requests in progress at one daemon. */
  maxRequests: number;
  /** Maximum number of lease requests that an owner queues per upstream. */
  maxQueuedLeaseRequests: number;
  /**
   * Time for which the daemon that issued a ticket remembers it after
   * settlement.
   */
  ticketLifetimeMs: Milliseconds;
  maxTickets: number;
  /**
   * Number of fetches from the weight store that may start per second, across
   * the whole system.
   */
  storeLoadsPerSecond: number;
  /**
   * Maximum number of fetches in flight at the weight store, across the whole
   * system.
   */
  storeLoadsInFlight: number;
  /** Duration of a load without contention. */
  loadTimeMs: Milliseconds;
  /** Retry budget, as a ratio of retries to first attempts. */
  retryRatio: number;
}

/** Defaults. Each key can be overridden in the daemon's settings file. */
export const DEFAULT_CORE_SETTINGS: CoreSettings = {
  heartbeatIntervalMs: 300,
  peerTimeoutMs: 1_500,
  startGraceMs: 1_000,
  pauseThresholdMs: 1_000,
  leaseWindowMs: 2_000,
  leaseMarginMs: 100,
  leaseIdleMs: 50,
  maxLeaseCredits: 16,
  leaseReplyTimeoutMs: 500,
  stateReadIntervalMs: 250,
  ownershipValidityMs: 1_000,
  engineReportLagMs: 500,
  maxAttempts: 3,
  maxStrikes: 2,
  strikeLifetimeMs: 600_000,
  maxRequests: 10_000,
  maxQueuedLeaseRequests: 1_000,
  ticketLifetimeMs: 600_000,
  maxTickets: 100_000,
  storeLoadsPerSecond: 4,
  storeLoadsInFlight: 8,
  loadTimeMs: 250,
  retryRatio: 0.1,
};
