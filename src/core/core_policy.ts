/**
 * The choices of the core that benches replace as a whole, to compare them
 * under the same requests, faults and admission.
 */
import type { AdapterPopularity } from "./residency/adapter_popularity.ts";
import type { Slot } from "./residency/slot_table.ts";
import {
  type RankedUpstream,
  type RankOptions,
  rankUpstreams,
  type UpstreamCandidate,
} from "./routing/upstream_selector.ts";
import type { Milliseconds } from "./structures.ts";

export interface CorePolicy {
  /** Returns the upstreams that may serve the adapter, best first. */
  rankUpstreams(
    candidates: readonly UpstreamCandidate[],
    options: RankOptions,
  ): RankedUpstream[];
  /** Whether owners send requests on to an upstream that has their adapter. */
  redirects: boolean;
  /** Returns the worth of keeping a resident adapter; the least is evicted first. */
  computeRetentionValue(
    slot: Slot,
    popularity: AdapterPopularity,
    now: Milliseconds,
  ): number;
}

/** The policy that daemons run. */
export const DEFAULT_CORE_POLICY: CorePolicy = {
  rankUpstreams,
  redirects: true,
  computeRetentionValue: (slot, popularity, now) =>
    popularity.getScore(slot.adapterKey, now),
};
