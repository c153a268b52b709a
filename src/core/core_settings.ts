/** Settings of the core, all with defaults, checked by `src/settings`. */
import type { Milliseconds } from "./structures.ts";

export interface CoreSettings {
  /** Time between heartbeats to a peer. */
  heartbeatIntervalMs: Milliseconds;
  /** Silence after which a peer is taken for dead. */
  peerTimeoutMs: Milliseconds;
  /** Time after the start during which nothing is owned, unless all peers have been heard. */
  startGraceMs: Milliseconds;
  /** Gap between events after which everything believed before is treated as expired. */
  pauseThresholdMs: Milliseconds;
  /** Dispatch window of a lease. */
  leaseWindowMs: Milliseconds;
  /** Allowance for clock drift between holder and owner. */
  leaseMarginMs: Milliseconds;
  /** Time that a holder keeps an unused credit. */
  leaseIdleMs: Milliseconds;
  /** Credits that a holder asks for at once. */
  maxLeaseCredits: number;
  /** Time after which an unanswered lease request is sent again. */
  leaseReplyTimeoutMs: Milliseconds;
  /** Time between readings of an owned upstream's state. */
  stateReadIntervalMs: Milliseconds;
  /** Age of the last reading beyond which an owner grants nothing. */
  ownershipValidityMs: Milliseconds;
  /** Lag of the in-flight counts that engines report. */
  engineReportLagMs: Milliseconds;
  /** Attempts of one request, the first included. */
  maxAttempts: number;
  /** Upstreams that one request may crash before it is refused. */
  maxStrikes: number;
  strikeLifetimeMs: Milliseconds;
  /** Requests that a daemon holds at once. */
  maxRequests: number;
  /** Lease requests that an owner queues for one upstream. */
  maxQueuedLeaseRequests: number;
  /** Time that the home remembers a settled ticket. */
  ticketLifetimeMs: Milliseconds;
  maxTickets: number;
  /** Loads that the weight store starts a second, for the whole system. */
  storeLoadsPerSecond: number;
  /** Loads in flight at the weight store, for the whole system. */
  storeLoadsInFlight: number;
  /** Time of one undisturbed load. */
  loadTimeMs: Milliseconds;
  /** Retries as a share of first attempts. */
  retryRatio: number;
}

/** Defaults; every key may be set in the daemon's settings file. */
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
