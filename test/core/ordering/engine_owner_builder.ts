/** Builds what an engine's owner needs in tests of the ownership. */
import type { PermitRequest } from "../../../src/core/admission/admission_controller.ts";
import type { FetchShare } from "../../../src/core/placement/fetch_concurrency_limit.ts";
import type { EngineLimits } from "../../../src/core/view/published_view.ts";

/** A fetch may start, and there are no others. */
export const FETCH_SHARE: FetchShare = {
  fleetFetches: 0,
  fetchLimit: 8,
  canFetch: true,
  isAtHostShare: false,
  isAtMinConcurrency: false,
  fetchesPerEngine: 1,
};

/** Builds the limits of an engine with three adapter slots and one model. */
export function buildEngineLimits(loadMs: number): EngineLimits {
  return {
    adapterSlots: 3,
    batchSize: 8,
    kvCapacityTokens: 100_000,
    weightsMb: 100,
    models: [{ name: "m", weightsMb: 100, adapterCount: 9, loadMs }],
  };
}

/** Builds a request for a permit to run an adapter of the model. */
export function buildPermitRequest(
  permitId: string,
  adapter: string,
  lifetimeMs: number,
): PermitRequest {
  return {
    permitId,
    holder: "entry",
    model: "m",
    adapter,
    adapterPath: `m/${adapter}`,
    version: undefined,
    priorityRank: 0,
    promptTokens: 10,
    outputTokens: 10,
    promptParts: [],
    patienceMs: 500,
    firstTokenBudgetMs: 1_000,
    lifetimeMs,
    isLastChoice: true,
  };
}
