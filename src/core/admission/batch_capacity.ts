/**
 * Room in one engine's batch, as the daemon that admits to it counts it: places,
 * memory for tokens, and the prompts that are still to be read. Load pattern: a
 * burst of long prompts, each of which delays the first token of all behind it.
 * Parts of prompts that were read there lately for the same adapter cost nothing.
 */
import type { Milliseconds } from "../structures.ts";

/** Prompt tokens that an engine reads in a millisecond, before any were seen read; the users' sheets give 30.6 to 38.7. */
export const DEFAULT_PREFILL_TOKENS_PER_MS = 38;
/** Prompts, in tokens, from which the time to a first token tells how fast an engine reads: some hundred milliseconds. */
const MIN_PREFILL_SAMPLE_TOKENS = 4_000;
/** Weight of the latest such time in the mean. */
const PREFILL_RATE_WEIGHT = 1 / 8;
/** Bounds of the mean, in parts of the first value: beyond, something else has taken the time. */
const MIN_PREFILL_RATE_FACTOR = 0.4;
const MAX_PREFILL_RATE_FACTOR = 2;
/** Part of the memory for tokens that is given out: caches and estimates need the rest. */
const USABLE_KV_CACHE_FRACTION = 0.9;
/** Prompt parts that an engine is taken to keep. */
const MAX_CACHED_PROMPT_PARTS = 64;
/** Time after which a prompt is taken to be read, though nobody said so. */
const PREFILL_TIMEOUT_MS = 4_000;

/** What a request asks of an engine. */
export interface BatchDemand {
  adapterPath: string;
  promptTokens: number;
  outputTokens: number;
  promptParts: readonly { id: string; tokens: number }[];
}

interface RunningRequest {
  tokens: number;
  prefillTokens: number;
  /** Tokens of prompts that were to be read before its own was done. */
  tokensToFirstToken: number;
  admittedAt: Milliseconds;
}

export class BatchCapacity {
  readonly #running = new Map<string, RunningRequest>();
  readonly #cachedParts = new Set<string>();
  #batchSize: number;
  /** Prompt tokens that the engine reads in a millisecond. */
  #prefillTokensPerMs = DEFAULT_PREFILL_TOKENS_PER_MS;
  #kvCacheTokens: number;

  constructor(limits: { batchSize: number; kvCapacityTokens: number }) {
    this.#batchSize = limits.batchSize;
    this.#kvCacheTokens = limits.kvCapacityTokens * USABLE_KV_CACHE_FRACTION;
  }

  setLimits(limits: { batchSize: number; kvCapacityTokens: number }): void {
    this.#batchSize = limits.batchSize;
    this.#kvCacheTokens = limits.kvCapacityTokens * USABLE_KV_CACHE_FRACTION;
  }

  countRunning(): number {
    return this.#running.size;
  }

  /** Returns whether the request fits into the batch and its memory now. */
  hasCapacityFor(demand: BatchDemand): boolean {
    if (this.#running.size === 0) return true;
    const usedTokens = this.#sumTokens();
    return this.#running.size < this.#batchSize &&
      usedTokens + demand.promptTokens + demand.outputTokens <=
        this.#kvCacheTokens;
  }

  /** Returns how long the prompts before a new request take to be read. */
  estimatePrefillBacklogMs(now: Milliseconds): Milliseconds {
    return this.#sumPrefillTokens(now) / this.#prefillTokensPerMs;
  }

  /** Returns how long the engine reads the request's own prompt. */
  estimatePrefillMs(demand: BatchDemand): Milliseconds {
    return this.#countUncachedTokens(demand) / this.#prefillTokensPerMs;
  }

  admit(permitId: string, demand: BatchDemand, now: Milliseconds): void {
    const unreadTokens = this.#countUncachedTokens(demand);
    this.#running.set(permitId, {
      tokens: demand.promptTokens + demand.outputTokens,
      prefillTokens: unreadTokens,
      tokensToFirstToken: this.#sumPrefillTokens(now) + unreadTokens,
      admittedAt: now,
    });
    for (const part of demand.promptParts) this.#recordPart(demand, part.id);
  }

  /** Counts a request whose prompt has been read. */
  admitPrefilled(
    permitId: string,
    demand: BatchDemand,
    now: Milliseconds,
  ): void {
    this.admit(permitId, demand, now);
    const request = this.#running.get(permitId);
    if (request) request.prefillTokens = 0;
  }

  /** Notes that the request's prompt has been read. */
  recordFirstToken(permitId: string, now: Milliseconds): void {
    const request = this.#running.get(permitId);
    if (!request || request.prefillTokens === 0) return;
    request.prefillTokens = 0;
    const elapsedMs = now - request.admittedAt;
    if (
      request.tokensToFirstToken < MIN_PREFILL_SAMPLE_TOKENS || elapsedMs <= 0
    ) return;
    const speed = Math.min(
      MAX_PREFILL_RATE_FACTOR * DEFAULT_PREFILL_TOKENS_PER_MS,
      Math.max(
        MIN_PREFILL_RATE_FACTOR * DEFAULT_PREFILL_TOKENS_PER_MS,
        request.tokensToFirstToken / elapsedMs,
      ),
    );
    this.#prefillTokensPerMs += PREFILL_RATE_WEIGHT *
      (speed - this.#prefillTokensPerMs);
  }

  #sumPrefillTokens(now: Milliseconds): number {
    let unread = 0;
    for (const request of this.#running.values()) {
      const isTakenForRead = now - request.admittedAt > PREFILL_TIMEOUT_MS;
      if (!isTakenForRead) unread += request.prefillTokens;
    }
    return unread;
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

  /** A part counts as read only if all parts before it are. */
  #countUncachedTokens(demand: BatchDemand): number {
    let unread = demand.promptTokens;
    for (const part of demand.promptParts) {
      if (!this.#cachedParts.has(`${demand.adapterPath}|${part.id}`)) break;
      unread -= part.tokens;
    }
    return Math.max(0, unread);
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
