/**
 * Chooses which upstreams of a large pool are ranked for a request: those that
 * hold the adapter, and a few others by hash, so that a decision does not cost
 * more as the pool grows. The same key gives the same few at every daemon.
 */
import { hashText } from "../hashing.ts";
import type { HostStructure } from "../structures.ts";

/** Pools up to this size are ranked whole. */
const MAX_FULLY_RANKED_POOL = 32;
/** Upstreams drawn by hash. */
const SAMPLED_UPSTREAMS = 16;

export interface ShortlistOptions {
  /** Upstreams on which the adapter is resident or being loaded. */
  adapterUpstreamIds: ReadonlySet<string>;
  /** Adapter, or for plain services the request. */
  key: string;
  /** Returns the upstream if the pool selects it. */
  getPoolHost: (id: string) => HostStructure | undefined;
}

/** Returns the upstreams of the pool to rank, each once. */
export function listShortlist(
  poolHosts: readonly HostStructure[],
  options: ShortlistOptions,
): Iterable<HostStructure> {
  if (poolHosts.length <= MAX_FULLY_RANKED_POOL) return poolHosts;
  const shortlist = new Set<HostStructure>();
  for (const id of options.adapterUpstreamIds) {
    const host = options.getPoolHost(id);
    if (host) shortlist.add(host);
  }
  for (let seed = 0; seed < SAMPLED_UPSTREAMS; seed += 1) {
    const host = poolHosts[hashText(options.key, seed) % poolHosts.length];
    if (host) shortlist.add(host);
  }
  return shortlist;
}
