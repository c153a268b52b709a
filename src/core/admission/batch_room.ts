/**
 * Room in one engine's batch, as the daemon that admits to it counts it: places,
 * memory for tokens, and the prompts that are still to be read. Load pattern: a
 * burst of long prompts, each of which delays the first token of all behind it.
 * Parts of prompts that were read there lately for the same adapter cost nothing.
 */
import type { Milliseconds } from "../structures.ts";

/** Prompt tokens that an engine reads in a millisecond, before any were seen read; the users' sheets give 30.6 to 38.7. */
export const PREFILL_TOKENS_PER_MS = 38;
/** Prompts, in tokens, from which the time to a first token tells how fast an engine reads: some hundred milliseconds. */
const TELLING_TOKENS = 4_000;
/** Weight of the latest such time in the mean. */
const READING_WEIGHT = 1 / 8;
/** Bounds of the mean, in parts of the first value: beyond, something else has taken the time. */
const LEAST_READING = 0.4;
const MOST_READING = 2;
/** Part of the memory for tokens that is given out: caches and estimates need the rest. */
const USABLE_MEMORY_SHARE = 0.9;
/** Prompt parts that an engine is taken to keep. */
const MAX_CACHED_PARTS = 64;
/** Time after which a prompt is taken to be read, though nobody said so. */
const PREFILL_PATIENCE_MS = 4_000;

/** What a request asks of an engine. */
export interface BatchDemand {
  adapterPath: string;
  promptTokens: number;
  outputTokens: number;
  promptParts: readonly { id: string; tokens: number }[];
}

interface RunningRequest {
  tokens: number;
  unreadTokens: number;
  /** Tokens of prompts that were to be read before its own was done. */
  tokensToFirst: number;
  admittedAt: Milliseconds;
}

export class BatchRoom {
  readonly #running = new Map<string, RunningRequest>();
  readonly #cachedParts = new Set<string>();
  #batchSize: number;
  /** Prompt tokens that the engine reads in a millisecond. */
  #readingSpeed = PREFILL_TOKENS_PER_MS;
  #memoryTokens: number;

  constructor(limits: { batchSize: number; kvCapacityTokens: number }) {
    this.#batchSize = limits.batchSize;
    this.#memoryTokens = limits.kvCapacityTokens * USABLE_MEMORY_SHARE;
  }

  setLimits(limits: { batchSize: number; kvCapacityTokens: number }): void {
    this.#batchSize = limits.batchSize;
    this.#memoryTokens = limits.kvCapacityTokens * USABLE_MEMORY_SHARE;
  }

  countRunning(): number {
    return this.#running.size;
  }

  /** Returns whether the request fits into the batch and its memory now. */
  hasRoomFor(demand: BatchDemand): boolean {
    if (this.#running.size === 0) return true;
    const usedTokens = this.#sumTokens();
    return this.#running.size < this.#batchSize &&
      usedTokens + demand.promptTokens + demand.outputTokens <=
        this.#memoryTokens;
  }

  /** Returns how long the prompts before a new request take to be read. */
  estimateBacklogMs(now: Milliseconds): Milliseconds {
    return this.#sumUnread(now) / this.#readingSpeed;
  }

  /** Returns how long the engine reads the request's own prompt. */
  estimateOwnPrefillMs(demand: BatchDemand): Milliseconds {
    return this.#countUnread(demand) / this.#readingSpeed;
  }

  admit(permitId: string, demand: BatchDemand, now: Milliseconds): void {
    const unreadTokens = this.#countUnread(demand);
    this.#running.set(permitId, {
      tokens: demand.promptTokens + demand.outputTokens,
      unreadTokens,
      tokensToFirst: this.#sumUnread(now) + unreadTokens,
      admittedAt: now,
    });
    for (const part of demand.promptParts) this.#rememberPart(demand, part.id);
  }

  /** Counts a request whose prompt has been read. */
  adopt(permitId: string, demand: BatchDemand, now: Milliseconds): void {
    this.admit(permitId, demand, now);
    const request = this.#running.get(permitId);
    if (request) request.unreadTokens = 0;
  }

  /** Notes that the request's prompt has been read. */
  recordFirstToken(permitId: string, now: Milliseconds): void {
    const request = this.#running.get(permitId);
    if (!request || request.unreadTokens === 0) return;
    request.unreadTokens = 0;
    const elapsedMs = now - request.admittedAt;
    if (request.tokensToFirst < TELLING_TOKENS || elapsedMs <= 0) return;
    const speed = Math.min(
      MOST_READING * PREFILL_TOKENS_PER_MS,
      Math.max(
        LEAST_READING * PREFILL_TOKENS_PER_MS,
        request.tokensToFirst / elapsedMs,
      ),
    );
    this.#readingSpeed += READING_WEIGHT * (speed - this.#readingSpeed);
  }

  #sumUnread(now: Milliseconds): number {
    let unread = 0;
    for (const request of this.#running.values()) {
      const isTakenForRead = now - request.admittedAt > PREFILL_PATIENCE_MS;
      if (!isTakenForRead) unread += request.unreadTokens;
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
  #countUnread(demand: BatchDemand): number {
    let unread = demand.promptTokens;
    for (const part of demand.promptParts) {
      if (!this.#cachedParts.has(`${demand.adapterPath}|${part.id}`)) break;
      unread -= part.tokens;
    }
    return Math.max(0, unread);
  }

  #rememberPart(demand: BatchDemand, partId: string): void {
    const key = `${demand.adapterPath}|${partId}`;
    this.#cachedParts.delete(key);
    this.#cachedParts.add(key);
    if (this.#cachedParts.size <= MAX_CACHED_PARTS) return;
    const [oldest] = this.#cachedParts;
    if (oldest !== undefined) this.#cachedParts.delete(oldest);
  }
}
