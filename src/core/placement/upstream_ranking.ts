/**
 * Ranks the upstreams for a request. Engines: an adapter has a home, drawn by
 * rendezvous, where it stays resident and where its prompts stay cached; the
 * next in the same order take copies when the home is full or too busy. One in
 * wide use has a home in each failure domain, and several where one would be
 * kept busy by it alone. Where the platform says that an engine holds the
 * adapter, that one comes before a home that would have to load it. Load
 * pattern: thousands of adapters with skewed popularity over a few slots each.
 * Plain services: the least loaded upstream by its own word, near ones first.
 */
import { hashText, rankByRendezvous } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";
import type { PublishedUpstream } from "../view/published_view.ts";
import type { UpstreamHealth } from "./upstream_health.ts";

/** Engines that may take a copy of one adapter. */
export const MAX_ADAPTER_REPLICAS = 6;

/** Runs of an adapter that go on at once in a failure domain, from which it has a home there: its slot is seldom idle. */
const MIN_RUNS_FOR_LOCAL_REPLICA = 1;
/** Part of an engine's reading that one adapter may take up before it gets a further home: as much is left for the rest of an even load. */
const MAX_REPLICA_PREFILL_FRACTION = 0.25;

/** How much an adapter is asked for in the failure domain of the one who asks. */
export interface DomainDemand {
  failureDomain: string;
  /** Runs that go on at once. */
  concurrentRuns: number;
  /** Prompt reading, in parts of what one engine reads. */
  prefillLoad: number;
  /** Whether each further home costs a load. */
  isLoadNeeded: boolean;
  /** Spreads requests over several homes; another one for each request. */
  spreadKey: string;
}

/** Returns the engines for an adapter, its home first; ill ones come last. */
export function rankEngines(
  adapterPath: string,
  engines: readonly PublishedUpstream[],
  demand: DomainDemand,
  health: UpstreamHealth,
  now: Milliseconds,
): PublishedUpstream[] {
  const ranked = rankByRendezvous(adapterPath, engines);
  const [ill, sound] = partition(
    ranked,
    (engine) => health.isAvoided(engine.id, now),
  );
  const [holding, others] = partition(
    sound,
    (engine) => engine.adapters.has(adapterPath),
  );
  const [near, distant] = partition(
    holding,
    (engine) => engine.failureDomain === demand.failureDomain,
  );
  return [
    ...moveLocalReplicasFirst([...near, ...distant, ...others], demand),
    ...ill,
  ];
}

/** Returns those for which the condition holds, and the others, each in their order. */
function partition<T>(
  values: readonly T[],
  holds: (value: T) => boolean,
): [those: T[], others: T[]] {
  const those: T[] = [];
  const others: T[] = [];
  for (const value of values) (holds(value) ? those : others).push(value);
  return [those, others];
}

/** Puts the near homes of an adapter in wide use first, another one of them for each request. */
function moveLocalReplicasFirst(
  ranked: readonly PublishedUpstream[],
  demand: DomainDemand,
): readonly PublishedUpstream[] {
  if (
    demand.isLoadNeeded && demand.concurrentRuns < MIN_RUNS_FOR_LOCAL_REPLICA
  ) return ranked;
  const near = ranked.filter((engine) =>
    engine.failureDomain === demand.failureDomain
  );
  const homeCount = Math.ceil(
    demand.prefillLoad / MAX_REPLICA_PREFILL_FRACTION,
  );
  const homes = near.slice(0, Math.max(1, homeCount));
  const first = hashText(demand.spreadKey) % Math.max(1, homes.length);
  const chosen = [...homes.slice(first), ...homes.slice(0, first)];
  return [...chosen, ...ranked.filter((each) => !chosen.includes(each))];
}

/** What is known of the load of a plain service's upstream. */
export interface ServiceLoad {
  /** Requests that this daemon has there. */
  ownRunning: number;
  /** Requests that run or wait there by its own word, others' included. */
  reportedRunning: number;
  reportedAt: Milliseconds;
}

/** Age beyond which an upstream's word on its load is not used. */
const MAX_LOAD_REPORT_AGE_MS = 1_000;
/** Load, in parts of all slots, that a hop to another failure domain is worth. */
const CROSS_DOMAIN_PENALTY = 0.25;
/** Load, in parts of all slots, that a failing upstream is charged. */
const FAILURE_PENALTY = 2;

/** Returns the upstreams of a plain service, best first. */
export function rankServiceUpstreams(
  upstreams: readonly PublishedUpstream[],
  from: {
    failureDomain: string;
    health: UpstreamHealth;
    getLoad: (upstreamId: string) => ServiceLoad | undefined;
    /** Breaks ties; another one for each request. */
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
  const distance = upstream.failureDomain === from.failureDomain
    ? 0
    : CROSS_DOMAIN_PENALTY;
  const avoidance = from.health.isAvoided(upstream.id, now) ? 10 : 0;
  return running / Math.max(1, upstream.maxConcurrentRequests) + distance +
    avoidance +
    FAILURE_PENALTY * from.health.getFailureRate(upstream.id, now);
}
