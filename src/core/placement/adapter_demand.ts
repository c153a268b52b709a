/**
 * How much each adapter is asked for here, so that those in wide use get homes near
 * their callers. Load pattern: a few adapters out of thousands receive most of the
 * requests, and which they are changes; one home would be their bottleneck, and
 * three callers in four would reach it through another failure domain.
 */
import { computeDecay } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";

/** What a caller's request asks of an engine, as far as demand goes. */
export interface DemandSample {
  adapterPath: string;
  /** Prompt tokens that no other request shares. */
  unsharedPromptTokens: number;
}

/** How much an adapter is asked for at this host, decayed. */
export interface AdapterDemandRate {
  requestsPerMs: number;
  tokensPerMs: number;
}

/** Time in which a request loses half of its weight: long against a run, short against changes of demand. */
const HALF_LIFE_MS = 5_000;
const TIME_CONSTANT_MS = HALF_LIFE_MS / Math.LN2;
/** Decayed requests below which no rate is told: a host of a large fleet sees so few that one or two say nothing. */
const MIN_SIGNIFICANT_REQUESTS = 3;
/** Adapters that are remembered; those that are asked for least are forgotten first. */
const MAX_TRACKED_ADAPTERS = 1_000;
/** Decayed requests below which an adapter is forgotten. */
const MIN_TRACKED_REQUESTS = 0.05;

interface Demand {
  requests: number;
  tokens: number;
  updatedAt: Milliseconds;
}

export class AdapterDemand {
  readonly #demands = new Map<string, Demand>();

  recordRequest(sample: DemandSample, now: Milliseconds): void {
    const { adapterPath, unsharedPromptTokens: ownTokens } = sample;
    const before = this.#demands.get(adapterPath);
    const kept = before ? computeDemandDecay(before, now) : 0;
    // The last one asked for comes last, so that the first is the oldest.
    this.#demands.delete(adapterPath);
    this.#demands.set(adapterPath, {
      requests: (before?.requests ?? 0) * kept + 1,
      tokens: (before?.tokens ?? 0) * kept + ownTokens,
      updatedAt: now,
    });
    if (this.#demands.size > MAX_TRACKED_ADAPTERS) this.#trimDemands(now);
  }

  getRate(adapterPath: string, now: Milliseconds): AdapterDemandRate {
    const demand = this.#demands.get(adapterPath);
    const kept = demand ? computeDemandDecay(demand, now) : 0;
    if (!demand || demand.requests * kept < MIN_SIGNIFICANT_REQUESTS) {
      return { requestsPerMs: 0, tokensPerMs: 0 };
    }
    return {
      requestsPerMs: demand.requests * kept / TIME_CONSTANT_MS,
      tokensPerMs: demand.tokens * kept / TIME_CONSTANT_MS,
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
  return computeDecay(now - demand.updatedAt, HALF_LIFE_MS);
}
