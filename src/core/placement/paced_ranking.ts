/**
 * Ranks the upstreams of a plain service by the expected time to the response,
 * where upstreams report their pace: requests in slots, times pace.
 *
 * Many daemons see the same reports, late. If each took the best upstream by
 * them, they would fill it together before any heard of it; a request therefore
 * goes to the better of two upstreams that its own key draws from those near
 * the best, or to the one drawn first if they hardly differ.
 */
import { rankByRendezvous } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";
import type { PublishedUpstream } from "../view/published_view.ts";
import type { LoadEstimate, ServiceLoads } from "./service_loads.ts";
import type { UpstreamHealth } from "./upstream_health.ts";

/** Why the first upstream of a ranking comes first. */
export const PlacementReason = {
  /** It has the shortest expected time of all. */
  Fastest: "fastest",
  /** It was drawn from those near the best. */
  Spread: "spread",
  /** All are saturated, or avoided. */
  NoneFree: "noneFree",
} as const;
export type PlacementReason =
  (typeof PlacementReason)[keyof typeof PlacementReason];

export interface RankedPlacement {
  /** Best first. */
  upstreams: PublishedUpstream[];
  reason: PlacementReason;
}

/** Upstreams from which a request draws the better one. */
const DRAWN_UPSTREAMS = 2;
/** Multiple of the shortest expected time up to which an upstream is near the best. */
const NEAR_BEST_FACTOR = 2;
/**
 * Multiple of the other's expected time up to which the upstream drawn first is
 * taken. Without it, the best of two would get every request, and the other one
 * would not be heard again.
 */
const EQUAL_FACTOR = 1.25;
/**
 * Expected time, as a fraction of the normal time of all slots, that equals the
 * cost of a hop to another failure domain.
 */
const CROSS_DOMAIN_PENALTY = 0.05;
/** Expected time that is added for a failure rate of 1. */
const FAILURE_PENALTY = 2;

interface Candidate {
  id: string;
  upstream: PublishedUpstream;
  score: number;
  isFree: boolean;
}

/** Returns the upstreams of a plain service that reports paces, best first. */
export function rankPacedUpstreams(
  upstreams: readonly PublishedUpstream[],
  from: {
    failureDomain: string;
    health: UpstreamHealth;
    loads: ServiceLoads;
    /** Draws the upstreams; differs for each request. */
    spreadKey: string;
  },
  now: Milliseconds,
): RankedPlacement {
  const candidates = rankByRendezvous(
    from.spreadKey,
    upstreams.map((upstream): Candidate => {
      const estimate = from.loads.estimateLoad(upstream.id, now);
      const slots = Math.max(
        1,
        estimate.slots ?? upstream.maxConcurrentRequests,
      );
      const domainPenalty = upstream.failureDomain === from.failureDomain
        ? 0
        : CROSS_DOMAIN_PENALTY;
      return {
        id: upstream.id,
        upstream,
        score: computeExpectedTime(estimate, slots) + domainPenalty +
          FAILURE_PENALTY * from.health.getFailureRate(upstream.id, now),
        isFree: !estimate.isSaturated && estimate.requests < slots &&
          !from.health.isAvoided(upstream.id, now),
      };
    }),
  );
  const ranked = [...candidates].sort((a, b) =>
    Number(b.isFree) - Number(a.isFree) || a.score - b.score
  );
  const best = ranked[0];
  if (!best?.isFree) {
    return {
      upstreams: ranked.map(({ upstream }) => upstream),
      reason: PlacementReason.NoneFree,
    };
  }
  const drawn = candidates.filter(({ isFree, score }) =>
    isFree && score <= NEAR_BEST_FACTOR * best.score
  ).slice(0, DRAWN_UPSTREAMS);
  const [drawnFirst = best] = drawn;
  const better = ranked.find((each) => drawn.includes(each)) ?? best;
  const first = drawnFirst.score <= EQUAL_FACTOR * better.score
    ? drawnFirst
    : better;
  return {
    upstreams: [first, ...ranked.filter((each) => each !== first)]
      .map(({ upstream }) => upstream),
    reason: first === best ? PlacementReason.Fastest : PlacementReason.Spread,
  };
}

/** The request itself counts, so that the pace of an idle upstream does, too. */
function computeExpectedTime(estimate: LoadEstimate, slots: number): number {
  return (1 + estimate.requests) * estimate.pace / slots;
}
