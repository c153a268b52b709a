/**
 * Ranks the upstreams of a pool for one adapter, by what their owners last
 * published: residents first, then upstreams that are loading it, then those
 * whose least valuable resident is worth least.
 */
import { hashText } from "../hashing.ts";
import type { UpstreamDigest } from "../messages.ts";
import type { HostStructure, PoolStructure } from "../structures.ts";

export interface UpstreamCandidate {
  host: HostStructure;
  ownerId: string;
  digest: UpstreamDigest;
  /** Credits that this daemon has asked for or holds there. */
  localCredits: number;
}

/** How an upstream stands to an adapter. */
export const Residency = {
  Resident: "resident",
  Loading: "loading",
  Absent: "absent",
} as const;
export type Residency = (typeof Residency)[keyof typeof Residency];

export interface RankedUpstream {
  candidate: UpstreamCandidate;
  residency: Residency;
  /** Smaller is better. */
  cost: number;
}

/** What a ranking is for. */
export interface RankOptions {
  pool: PoolStructure;
  adapterKey: string;
  failureDomain: string;
}

/** Cost of a load, in batches of waiting. */
const LOAD_COST = 1.5;
/** Cost of joining a load that another request has asked for. */
const LOADING_COST = 0.5;
/** Cost of each doubling of the victim's popularity. */
const VICTIM_COST = 0.3;
/** Cost of another failure domain. */
const OTHER_DOMAIN_COST = 0.01;
/** Largest part of the cost that ties are broken by. */
const MAX_TIE_BREAKER_COST = 0.005;
/** Filled share of a batch beyond which a run is expected to wait. */
const TARGET_BATCH_FILL = 0.75;
/** Cost of each batch beyond the target. */
const OVERFILL_COST = 2;
/** Cost of a batch that is filled up to the target, where load stalls alone count. */
const SPREAD_COST = 0.4;
/** Gain of a batch that is filled up to the target, where batches alone count. */
const PACK_GAIN = 2;

/** Returns the candidates by ascending cost of running the adapter there. */
export function rankUpstreams(
  candidates: readonly UpstreamCandidate[],
  options: RankOptions,
): RankedUpstream[] {
  return candidates
    .map((candidate) => rankUpstream(candidate, options))
    .sort((a, b) =>
      a.cost - b.cost ||
      (a.candidate.host.id < b.candidate.host.id ? -1 : 1)
    );
}

function rankUpstream(
  candidate: UpstreamCandidate,
  options: RankOptions,
): RankedUpstream {
  const { pool, adapterKey, failureDomain } = options;
  const { digest, host } = candidate;
  const residency = findResidency(digest, adapterKey);
  const used = Math.max(digest.creditsInUse, candidate.localCredits) +
    digest.waiting;
  const fill = used / pool.batchSize;
  const domainCost = host.failureDomain === failureDomain
    ? 0
    : OTHER_DOMAIN_COST;
  const tieBreaker = hashText(`${adapterKey}\u0000${host.id}`) / 2 ** 32 *
    MAX_TIE_BREAKER_COST;
  return {
    candidate,
    residency,
    cost: computeFillCost(fill, pool) + domainCost + tieBreaker +
      computeResidencyCost(residency, digest),
  };
}

/** Spreads runs, or packs them up to the target, as the pool weighs stalls against batches. */
function computeFillCost(fill: number, pool: PoolStructure): number {
  const { loadStallWeight, batchEfficiencyWeight } = pool;
  const weights = Math.max(1e-9, loadStallWeight + batchEfficiencyWeight);
  const balance = (loadStallWeight - batchEfficiencyWeight) / weights;
  const slope = balance * (balance > 0 ? SPREAD_COST : PACK_GAIN);
  if (fill <= TARGET_BATCH_FILL) return fill * slope;
  return Math.max(0, TARGET_BATCH_FILL * slope) +
    (fill - TARGET_BATCH_FILL) * OVERFILL_COST;
}

/** Returns how the upstream, as its owner last published it, stands to the adapter. */
export function findResidency(
  digest: UpstreamDigest,
  adapterKey: string,
): Residency {
  if (adapterKey === "" || digest.residents.includes(adapterKey)) {
    return Residency.Resident;
  }
  return digest.loading.includes(adapterKey)
    ? Residency.Loading
    : Residency.Absent;
}

/** For a load, prefers the upstream whose victim is worth least. */
function computeResidencyCost(
  residency: Residency,
  digest: UpstreamDigest,
): number {
  switch (residency) {
    case Residency.Resident:
      return 0;
    case Residency.Loading:
      return LOADING_COST;
    case Residency.Absent:
      return LOAD_COST + VICTIM_COST * Math.log2(1 + digest.victimValue);
  }
}
