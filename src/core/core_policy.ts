/**
 * Policy decisions of the core. Benchmarks replace them as a set, to compare
 * policies under the same requests, faults and admission control.
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
  /**
   * Whether owners redirect requests to another upstream where the adapter is
   * resident.
   */
  redirects: boolean;
  /**
   * Returns the value of keeping an adapter resident; the adapter with the
   * lowest value is evicted first.
   */
  computeRetentionValue(
    slot: Slot,
    popularity: AdapterPopularity,
    now: Milliseconds,
  ): number;
}

/** Policy that daemons use in production. */
export const DEFAULT_CORE_POLICY: CorePolicy = {
  rankUpstreams,
  redirects: true,
  computeRetentionValue: (slot, popularity, now) =>
    popularity.getScore(slot.adapterKey, now),
};
