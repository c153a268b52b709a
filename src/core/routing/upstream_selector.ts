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
const LOAD_COST = 4;
const LOADING_COST = 1;
/** Cost of another failure domain. */
const REMOTE_COST = 0.05;

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
  const distance = host.failureDomain === failureDomain ? 0 : REMOTE_COST;
  const spread = hashText(`${adapterKey}\u0000${host.id}`) / 2 ** 32;
  return {
    candidate,
    residency,
    cost: fill + distance + getResidencyCost(residency) +
      getChoiceCost(residency, digest, spread),
  };
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

function getResidencyCost(residency: Residency): number {
  switch (residency) {
    case Residency.Resident:
      return 0;
    case Residency.Loading:
      return LOADING_COST;
    case Residency.Absent:
      return LOAD_COST;
  }
}

/** Prefers, for a load, the least valuable victim; ties go by the hash. */
function getChoiceCost(
  residency: Residency,
  digest: UpstreamDigest,
  spread: number,
): number {
  if (residency !== Residency.Absent) return 0;
  return digest.victimValue / (1 + digest.victimValue) + spread * 0.5;
}
