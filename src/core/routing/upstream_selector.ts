/**
 * Ranks the upstreams of a pool for one adapter by the digests that their
 * owners last published. At equal load, upstreams on which the adapter is
 * resident come first, then those that are loading it, then those that would
 * evict the adapter of least value.
 */
import { hashText } from "../hashing.ts";
import type { UpstreamDigest } from "../messages.ts";
import type { HostStructure, PoolStructure } from "../structures.ts";

export interface UpstreamCandidate {
  host: HostStructure;
  ownerId: string;
  digest: UpstreamDigest;
  /** Credits that this daemon has requested or holds on the upstream. */
  localCredits: number;
}

/** Whether an adapter is loaded on an upstream. */
export const Residency = {
  Resident: "resident",
  Loading: "loading",
  Absent: "absent",
} as const;
export type Residency = (typeof Residency)[keyof typeof Residency];

export interface RankedUpstream {
  candidate: UpstreamCandidate;
  residency: Residency;
  /** The lowest cost is best. */
  cost: number;
}

/**
 * What upstreams are ranked for: a pool and an adapter, as seen from a failure
 * domain.
 */
export interface RankOptions {
  pool: PoolStructure;
  adapterKey: string;
  failureDomain: string;
}

/** Cost of a load, as a number of batches to wait for. */
const LOAD_COST = 1.5;
/** Cost of waiting for a load that another request has caused. */
const LOADING_COST = 0.5;
/** Cost of each doubling of the value of the adapter to evict. */
const VICTIM_COST = 0.3;
/** Cost of an upstream in another failure domain. */
const OTHER_DOMAIN_COST = 0.01;
/** Maximum of the hash-based cost that breaks ties. */
const MAX_TIE_BREAKER_COST = 0.005;
/** Fill ratio of a batch above which a run is expected to wait. */
const TARGET_BATCH_FILL = 0.75;
/** Cost of each batch above the target fill. */
const OVERFILL_COST = 2;
/** Cost per batch up to the target fill, if only load stalls have a weight. */
const SPREAD_COST = 0.4;
/**
 * Gain per batch up to the target fill, if only batch efficiency has a weight.
 */
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

/**
 * Returns a cost that spreads runs, or packs them up to the target fill,
 * depending on the pool's weights of load stalls and batch efficiency.
 */
function computeFillCost(fill: number, pool: PoolStructure): number {
  const { loadStallWeight, batchEfficiencyWeight } = pool;
  const weights = Math.max(1e-9, loadStallWeight + batchEfficiencyWeight);
  const balance = (loadStallWeight - batchEfficiencyWeight) / weights;
  const slope = balance * (balance > 0 ? SPREAD_COST : PACK_GAIN);
  if (fill <= TARGET_BATCH_FILL) return fill * slope;
  return Math.max(0, TARGET_BATCH_FILL * slope) +
    (fill - TARGET_BATCH_FILL) * OVERFILL_COST;
}

/**
 * Returns whether the adapter is loaded, by the last published digest of the
 * upstream. Requests to plain services, which have no adapter, count as
 * resident.
 */
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

/**
 * Returns the cost of having the adapter loaded; that of a load rises with the
 * value of the adapter to evict.
 */
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
