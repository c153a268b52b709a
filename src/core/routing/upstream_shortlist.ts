/**
 * Chooses which upstreams of a large pool are ranked for a request: those that
 * have the adapter, and a fixed number of others by hash, so that the cost of a
 * decision does not grow with the pool. A key selects the same upstreams in
 * every daemon.
 */
import { hashText } from "../hashing.ts";
import type { HostStructure } from "../structures.ts";

/** Size up to which all upstreams of a pool are ranked. */
const MAX_FULLY_RANKED_POOL = 32;
/** Number of upstreams selected by hash. */
const SAMPLED_UPSTREAMS = 16;

export interface ShortlistOptions {
  /** Upstreams on which the adapter is resident or being loaded. */
  adapterUpstreamIds: ReadonlySet<string>;
  /** Key of the adapter, or identifier of the request for plain services. */
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
