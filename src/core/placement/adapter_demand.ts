/**
 * Request rate of each adapter at this host, by which popular adapters get
 * replicas near their callers. A few adapters out of thousands receive most of
 * the requests, and which ones changes. A single engine would be their
 * bottleneck, and three out of four callers would reach it across failure
 * domains.
 */
import { computeDecayFactor } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";

/** A request, as far as it counts for demand. */
export interface DemandSample {
  adapterPath: string;
  /** Prompt tokens that no other request shares. */
  unsharedPromptTokens: number;
}

/** Decayed request rate of an adapter at this host. */
export interface AdapterDemandRate {
  requestsPerMs: number;
  tokensPerMs: number;
}

/**
 * Half-life of a request's weight: long compared with a run, short compared
 * with changes of demand.
 */
const HALF_LIFE_MS = 5_000;
const TIME_CONSTANT_MS = HALF_LIFE_MS / Math.LN2;
/**
 * Decayed number of requests below which the rate is reported as zero. A host
 * of a large fleet sees so few requests that one or two are not significant.
 */
const MIN_SIGNIFICANT_REQUESTS = 3;
/**
 * Maximum number of adapters that are tracked; the least requested ones are
 * removed first.
 */
const MAX_TRACKED_ADAPTERS = 1_000;
/** Decayed number of requests below which an adapter may be removed. */
const MIN_TRACKED_REQUESTS = 0.05;

interface Demand {
  requests: number;
  tokens: number;
  updatedAt: Milliseconds;
}

export class AdapterDemand {
  readonly #demands = new Map<string, Demand>();

  recordRequest(sample: DemandSample, now: Milliseconds): void {
    const { adapterPath, unsharedPromptTokens } = sample;
    const previous = this.#demands.get(adapterPath);
    const decay = previous ? computeDemandDecay(previous, now) : 0;
    // Reinserts the adapter at the end, so that the first key is the oldest.
    this.#demands.delete(adapterPath);
    this.#demands.set(adapterPath, {
      requests: (previous?.requests ?? 0) * decay + 1,
      tokens: (previous?.tokens ?? 0) * decay + unsharedPromptTokens,
      updatedAt: now,
    });
    if (this.#demands.size > MAX_TRACKED_ADAPTERS) this.#trimDemands(now);
  }

  getRate(adapterPath: string, now: Milliseconds): AdapterDemandRate {
    const demand = this.#demands.get(adapterPath);
    const decay = demand ? computeDemandDecay(demand, now) : 0;
    if (!demand || demand.requests * decay < MIN_SIGNIFICANT_REQUESTS) {
      return { requestsPerMs: 0, tokensPerMs: 0 };
    }
    return {
      requestsPerMs: demand.requests * decay / TIME_CONSTANT_MS,
      tokensPerMs: demand.tokens * decay / TIME_CONSTANT_MS,
    };
  }

  #trimDemands(now: Milliseconds): void {
    for (const [path, demand] of this.#demands) {
      const requests = demand.requests * computeDemandDecay(demand, now);
      if (requests < MIN_TRACKED_REQUESTS) this.#demands.delete(path);
    }
    const [oldest] = this.#demands.keys();
    const isStillFull = this.#demands.size > MAX_TRACKED_ADAPTERS;
    if (isStillFull && oldest !== undefined) this.#demands.delete(oldest);
  }
}

function computeDemandDecay(demand: Demand, now: Milliseconds): number {
  return computeDecayFactor(now - demand.updatedAt, HALF_LIFE_MS);
}
