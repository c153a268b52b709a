/**
 * Ranks the upstreams for a request.
 *
 * Engines: rendezvous hashing gives each adapter a preferred engine, where it
 * stays loaded and its prompts stay cached. The next engines in the order hold
 * replicas when the preferred one is full or too busy. A popular adapter has a
 * replica in each failure domain, and several if it would saturate a single
 * one. An engine that the platform reports to hold the adapter comes before one
 * that would have to load it. This suits thousands of adapters of skewed
 * popularity with a few slots per engine.
 *
 * Plain services: the least loaded upstream by its own report first, with a
 * preference for the local failure domain; `paced_ranking.ts` ranks those that
 * report their pace.
 */
import { hashText, rankByRendezvous } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";
import type { PublishedUpstream } from "../view/published_view.ts";
import type { ServiceLoad } from "./service_loads.ts";
import type { UpstreamHealth } from "./upstream_health.ts";

/** Maximum number of engines that may hold a replica of one adapter. */
export const MAX_ADAPTER_REPLICAS = 6;

/**
 * Concurrent runs of an adapter in a failure domain from which on it has a
 * replica there: its slot is then rarely idle.
 */
const MIN_RUNS_FOR_LOCAL_REPLICA = 1;
/**
 * Fraction of an engine's prefill capacity that one adapter may use before it
 * gets another replica. It leaves as much for the other adapters as an even
 * load needs.
 */
const MAX_REPLICA_PREFILL_FRACTION = 0.25;

/** Demand for an adapter in the failure domain of the requesting daemon. */
export interface DomainDemand {
  failureDomain: string;
  /** Number of concurrent runs. */
  concurrentRuns: number;
  /** Prefill work, as a multiple of the capacity of one engine. */
  prefillLoad: number;
  /** Whether each further replica takes a load. */
  isLoadNeeded: boolean;
  /** Distributes requests over the replicas; differs for each request. */
  spreadKey: string;
}

/**
 * Returns the engines for an adapter, the preferred one first and unhealthy
 * ones last.
 */
export function rankEngines(
  adapterPath: string,
  engines: readonly PublishedUpstream[],
  demand: DomainDemand,
  health: UpstreamHealth,
  now: Milliseconds,
): PublishedUpstream[] {
  const ranked = rankByRendezvous(adapterPath, engines);
  const [unhealthy, healthy] = partition(
    ranked,
    (engine) => health.isAvoided(engine.id, now),
  );
  const [loaded, others] = partition(
    healthy,
    (engine) => engine.adapters.has(adapterPath),
  );
  const [local, remote] = partition(
    loaded,
    (engine) => engine.failureDomain === demand.failureDomain,
  );
  return [
    ...moveLocalReplicasFirst([...local, ...remote, ...others], demand),
    ...unhealthy,
  ];
}

/** Splits values by a predicate and preserves their order. */
function partition<T>(
  values: readonly T[],
  predicate: (value: T) => boolean,
): [matches: T[], others: T[]] {
  const matches: T[] = [];
  const others: T[] = [];
  for (const value of values) (predicate(value) ? matches : others).push(value);
  return [matches, others];
}

/**
 * Moves the local replicas of a popular adapter to the front, rotated by
 * request.
 */
function moveLocalReplicasFirst(
  ranked: readonly PublishedUpstream[],
  demand: DomainDemand,
): readonly PublishedUpstream[] {
  if (
    demand.isLoadNeeded && demand.concurrentRuns < MIN_RUNS_FOR_LOCAL_REPLICA
  ) return ranked;
  const local = ranked.filter((engine) =>
    engine.failureDomain === demand.failureDomain
  );
  const replicaCount = Math.ceil(
    demand.prefillLoad / MAX_REPLICA_PREFILL_FRACTION,
  );
  const replicas = local.slice(0, Math.max(1, replicaCount));
  const offset = hashText(demand.spreadKey) % Math.max(1, replicas.length);
  const rotated = [...replicas.slice(offset), ...replicas.slice(0, offset)];
  return [...rotated, ...ranked.filter((each) => !rotated.includes(each))];
}

/** Age above which an upstream's report of its load is ignored. */
const MAX_LOAD_REPORT_AGE_MS = 1_000;
/**
 * Load, as a fraction of all slots, that equals the cost of a hop to another
 * failure domain.
 */
const CROSS_DOMAIN_PENALTY = 0.25;
/** Load, as a fraction of all slots, that is added for a failure rate of 1. */
const FAILURE_PENALTY = 2;

/** Returns the upstreams of a plain service, best first. */
export function rankServiceUpstreams(
  upstreams: readonly PublishedUpstream[],
  from: {
    failureDomain: string;
    health: UpstreamHealth;
    getLoad: (upstreamId: string) => ServiceLoad | undefined;
    /** Breaks ties; differs for each request. */
    tieBreakKey: string;
  },
  now: Milliseconds,
): PublishedUpstream[] {
  const scores = new Map(
    upstreams.map((upstream) => [
      upstream.id,
      computeServiceScore(upstream, from, now),
    ]),
  );
  const getScore = (upstream: PublishedUpstream) =>
    scores.get(upstream.id) ?? 0;
  return rankByRendezvous(from.tieBreakKey, upstreams)
    .sort((a, b) => getScore(a) - getScore(b));
}

function computeServiceScore(
  upstream: PublishedUpstream,
  from: {
    failureDomain: string;
    health: UpstreamHealth;
    getLoad: (upstreamId: string) => ServiceLoad | undefined;
  },
  now: Milliseconds,
): number {
  const load = from.getLoad(upstream.id);
  const isReportFresh = load !== undefined &&
    now - load.reportedAt < MAX_LOAD_REPORT_AGE_MS;
  const running = Math.max(
    load?.ownRunning ?? 0,
    isReportFresh ? load.reportedRunning : 0,
  );
  const domainPenalty = upstream.failureDomain === from.failureDomain
    ? 0
    : CROSS_DOMAIN_PENALTY;
  const avoidancePenalty = from.health.isAvoided(upstream.id, now) ? 10 : 0;
  return running / Math.max(1, upstream.maxConcurrentRequests) + domainPenalty +
    avoidancePenalty +
    FAILURE_PENALTY * from.health.getFailureRate(upstream.id, now);
}
