/**
 * Capacity of one engine's running batch, as tracked by the daemon that admits
 * requests to it: batch slots, KV cache and the prefill backlog. In a burst of
 * long prompts, each prompt delays the first token of all requests behind it.
 * Prompt parts that the engine has recently prefilled for the same adapter are
 * cached and cost nothing.
 */
import type { Milliseconds } from "../structures.ts";
import type { Reservation } from "./room_reservation.ts";

/**
 * Prompt tokens that an engine prefills per millisecond, until its own rate was
 * observed; the site specifications give 30.6 to 38.7.
 */
export const DEFAULT_PREFILL_TOKENS_PER_MS = 38;
/**
 * Minimum number of tokens for a time to first token to be a sample of the
 * prefill rate: these take some hundred milliseconds.
 */
const MIN_PREFILL_SAMPLE_TOKENS = 4_000;
/** Weight of the latest sample in the moving average. */
const PREFILL_RATE_WEIGHT = 1 / 8;
/**
 * Bounds of a sample, as multiples of the default rate. A value outside them
 * has another cause than prefill.
 */
const MIN_PREFILL_RATE_FACTOR = 0.4;
const MAX_PREFILL_RATE_FACTOR = 2;
/**
 * Fraction of the KV cache that is allotted to requests; prefix caches and
 * errors of the estimates need the rest.
 */
const USABLE_KV_CACHE_FRACTION = 0.9;
/** Number of prompt parts that an engine is assumed to cache. */
const MAX_CACHED_PROMPT_PARTS = 64;
/**
 * Time after which a prompt counts as prefilled even if no first token was
 * reported.
 */
const PREFILL_TIMEOUT_MS = 4_000;

/** Resources of an engine that a request needs. */
export interface BatchDemand {
  adapterPath: string;
  promptTokens: number;
  outputTokens: number;
  promptParts: readonly { id: string; tokens: number }[];
}

interface RunningRequest {
  tokens: number;
  prefillTokens: number;
  /**
   * Tokens to prefill until its first token: the backlog at its admission and
   * its own prompt.
   */
  tokensToFirstToken: number;
  admittedAt: Milliseconds;
}

export class BatchCapacity {
  readonly #running = new Map<string, RunningRequest>();
  readonly #cachedParts = new Set<string>();
  #batchSize: number;
  /** Prompt tokens that the engine prefills per millisecond. */
  #prefillTokensPerMs = DEFAULT_PREFILL_TOKENS_PER_MS;
  #kvCacheTokens: number;
  /** Number of requests that may run; undefined if only the batch size counts. */
  #maxRunning: number | undefined;

  constructor(limits: { batchSize: number; kvCapacityTokens: number }) {
    this.#batchSize = limits.batchSize;
    this.#kvCacheTokens = limits.kvCapacityTokens * USABLE_KV_CACHE_FRACTION;
  }

  setLimits(limits: { batchSize: number; kvCapacityTokens: number }): void {
    this.#batchSize = limits.batchSize;
    this.#kvCacheTokens = limits.kvCapacityTokens * USABLE_KV_CACHE_FRACTION;
  }

  get batchSize(): number {
    return this.#batchSize;
  }

  /** Limits the batch below its size; undefined removes the limit. */
  setMaxRunning(maxRunning: number | undefined): void {
    this.#maxRunning = maxRunning;
  }

  countRunning(): number {
    return this.#running.size;
  }

  /** Returns the room of the empty batch. */
  get room(): Reservation {
    return { tokens: this.#kvCacheTokens, runs: this.#batchSize };
  }

  /**
   * Returns whether the request fits into the batch and the KV cache now,
   * beside what is reserved for others. An idle engine takes any request.
   */
  hasCapacityFor(
    demand: BatchDemand,
    reserved: Reservation = { tokens: 0, runs: 0 },
  ): boolean {
    if (this.#running.size === 0) return true;
    const usedTokens = this.#sumTokens() + reserved.tokens;
    const maxRunning = Math.min(
      this.#batchSize,
      this.#maxRunning ?? this.#batchSize,
    );
    return this.#running.size + reserved.runs < maxRunning &&
      usedTokens + demand.promptTokens + demand.outputTokens <=
        this.#kvCacheTokens;
  }

  /**
   * Returns how long the engine takes to prefill the prompts ahead of a new
   * request.
   */
  estimatePrefillBacklogMs(now: Milliseconds): Milliseconds {
    return this.#sumPrefillTokens(now) / this.#prefillTokensPerMs;
  }

  /** Returns how long the engine takes to prefill the request's own prompt. */
  estimatePrefillMs(demand: BatchDemand): Milliseconds {
    return this.#countUncachedTokens(demand) / this.#prefillTokensPerMs;
  }

  admit(permitId: string, demand: BatchDemand, now: Milliseconds): void {
    const prefillTokens = this.#countUncachedTokens(demand);
    this.#running.set(permitId, {
      tokens: demand.promptTokens + demand.outputTokens,
      prefillTokens,
      tokensToFirstToken: this.#sumPrefillTokens(now) + prefillTokens,
      admittedAt: now,
    });
    for (const part of demand.promptParts) this.#recordPart(demand, part.id);
  }

  /** Counts a request whose prompt has already been prefilled. */
  admitPrefilled(
    permitId: string,
    demand: BatchDemand,
    now: Milliseconds,
  ): void {
    this.admit(permitId, demand, now);
    const request = this.#running.get(permitId);
    if (request) request.prefillTokens = 0;
  }

  /** Records that the request's prompt has been prefilled. */
  recordFirstToken(permitId: string, now: Milliseconds): void {
    const request = this.#running.get(permitId);
    if (!request || request.prefillTokens === 0) return;
    request.prefillTokens = 0;
    const elapsedMs = now - request.admittedAt;
    if (
      request.tokensToFirstToken < MIN_PREFILL_SAMPLE_TOKENS || elapsedMs <= 0
    ) return;
    const sampledRate = Math.min(
      MAX_PREFILL_RATE_FACTOR * DEFAULT_PREFILL_TOKENS_PER_MS,
      Math.max(
        MIN_PREFILL_RATE_FACTOR * DEFAULT_PREFILL_TOKENS_PER_MS,
        request.tokensToFirstToken / elapsedMs,
      ),
    );
    this.#prefillTokensPerMs += PREFILL_RATE_WEIGHT *
      (sampledRate - this.#prefillTokensPerMs);
  }

  #sumPrefillTokens(now: Milliseconds): number {
    let sum = 0;
    for (const request of this.#running.values()) {
      const isTimedOut = now - request.admittedAt > PREFILL_TIMEOUT_MS;
      if (!isTimedOut) sum += request.prefillTokens;
    }
    return sum;
  }

  release(permitId: string): boolean {
    return this.#running.delete(permitId);
  }

  clear(): void {
    this.#running.clear();
    this.#cachedParts.clear();
  }

  #sumTokens(): number {
    let sum = 0;
    for (const request of this.#running.values()) sum += request.tokens;
    return sum;
  }

  /** A part is cached only if all parts before it are. */
  #countUncachedTokens(demand: BatchDemand): number {
    let uncached = demand.promptTokens;
    for (const part of demand.promptParts) {
      if (!this.#cachedParts.has(`${demand.adapterPath}|${part.id}`)) break;
      uncached -= part.tokens;
    }
    return Math.max(0, uncached);
  }

  #recordPart(demand: BatchDemand, partId: string): void {
    const key = `${demand.adapterPath}|${partId}`;
    this.#cachedParts.delete(key);
    this.#cachedParts.add(key);
    if (this.#cachedParts.size <= MAX_CACHED_PROMPT_PARTS) return;
    const [oldest] = this.#cachedParts;
    if (oldest !== undefined) this.#cachedParts.delete(oldest);
  }
}
