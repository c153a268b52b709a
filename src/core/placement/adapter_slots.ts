/**
 * The adapter slots of one engine: which adapters are loaded, loading or in
 * use, which one to evict, and how long a load will take. Many rarely used
 * adapters pass through few slots while a few adapters stay busy. A recently
 * evicted adapter loads ten times as fast, from host memory.
 */
import { computeDecayFactor } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";
import type {
  FetchObservation,
  FetchShare,
} from "./fetch_concurrency_limit.ts";

/**
 * A draining adapter was evicted while runs were using it: its slot is not free
 * until the engine reports the adapter gone.
 */
export type AdapterSlotState = "loading" | "resident" | "draining";

export interface AdapterSlot {
  adapterPath: string;
  /** Loaded or loading version; undefined when unknown. */
  version: number | undefined;
  state: AdapterSlotState;
  /**
   * For a fetch from the weight store: when it was ordered and how many were in
   * flight then. Undefined for reloads from host memory.
   */
  fetch:
    | Pick<
      FetchObservation,
      "orderedAt" | "concurrentFetches" | "isAtHostShare" | "isAtMinConcurrency"
    >
    | undefined;
  /** When its load is expected to be complete. */
  readyAt: Milliseconds;
  /**
   * Whether a served request or the engine's report has confirmed that the
   * adapter is loaded.
   */
  isConfirmed: boolean;
  /** Permits of requests that may use it. */
  permitIds: Set<string>;
  lastUsedAt: Milliseconds;
  /** Exponentially decayed number of uses. */
  decayedUses: number;
}

/**
 * Initial estimate of a fetch from the weight store; the site specifications
 * give 250 and 288 ms.
 */
const INITIAL_FETCH_MS = 260;
/**
 * Initial estimate of the reload of an adapter that the engine held recently.
 */
const RELOAD_MS = 35;
/**
 * Number of evicted adapters per slot that an engine is assumed to keep in host
 * memory, from where they reload faster.
 */
const HOST_CACHED_ADAPTERS_PER_SLOT = 5;
/**
 * Fraction of the fetch limit up to which a new fetch starts without queueing.
 */
const UNQUEUED_FRACTION = 0.5;
/** Half-life of the weight of a use. */
const USE_HALF_LIFE_MS = 15_000;
/**
 * Upper bound of the slowdown, which scales the estimate of a load, and its
 * change with each late load and each load on time.
 */
const MAX_SLOWDOWN = 3;
const SLOWDOWN_GROWTH = 1.12;
const SLOWDOWN_DECAY = 0.97;
/**
 * Lower bound of the slowdown for a while after a late load. The sites' load
 * times differ by as much; a greater slowdown comes from concurrent loads and
 * is temporary.
 */
const MIN_RECENT_SLOWDOWN = 1.12;
/**
 * Time for which the lower bound holds: long compared with the seconds between
 * loads.
 */
const LATE_LOAD_MEMORY_MS = 30_000;
/**
 * Time without a late load after which the slowdown is reset, even if no first
 * token has shown that loads are on time again.
 */
const SLOWDOWN_LIFETIME_MS = 5_000;
/** Time by which a load may exceed its estimate. */
export const MAX_LOAD_LATENESS_MS = 1_200;
/**
 * Time after the expected end of a load after which the engine is asked about
 * it.
 */
const LOAD_TIMEOUT_MS = 3_000;

export class AdapterSlots {
  #capacity: number;
  /** State of the fetches from the weight store, across all engines. */
  #share: Omit<FetchShare, "canFetch"> = {
    fleetFetches: 0,
    fetchLimit: 1,
    isAtHostShare: true,
    isAtMinConcurrency: true,
    fetchesPerEngine: 1,
  };
  #observations: FetchObservation[] = [];
  /** Factor by which loads take longer than the initial estimate. */
  #slowdown = 1;
  #lastLateAt = Number.NEGATIVE_INFINITY;
  readonly #slots = new Map<string, AdapterSlot>();
  /**
   * Recently evicted adapters, which the engine still holds in host memory,
   * oldest first.
   */
  readonly #hostCached = new Set<string>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  setCapacity(capacity: number): void {
    this.#capacity = capacity;
  }

  setFetchShare(share: Omit<FetchShare, "canFetch">): void {
    this.#share = share;
  }

  /** Returns the observed fetches from the weight store and removes them. */
  takeObservations(): FetchObservation[] {
    const observations = this.#observations;
    this.#observations = [];
    return observations;
  }

  getSlot(adapterPath: string): AdapterSlot | undefined {
    return this.#slots.get(adapterPath);
  }

  listSlots(): AdapterSlot[] {
    return [...this.#slots.values()];
  }

  countLoading(): number {
    return this.listSlots().filter((slot) => slot.state === "loading")
      .length;
  }

  hasFreeSlot(): boolean {
    return this.#slots.size < this.#capacity;
  }

  /**
   * Returns whether fewer slots are free than an owner keeps for proving its
   * ownership and for the load that follows: two, or a quarter of few slots.
   */
  needsSpareSlot(): boolean {
    const spareSlots = Math.min(2, Math.floor(this.#capacity / 4));
    return this.#slots.size > this.#capacity - spareSlots;
  }

  /**
   * Returns whether loading the adapter takes a fetch from the weight store.
   */
  needsFetch(adapterPath: string): boolean {
    return !this.#hostCached.has(adapterPath);
  }

  /** Returns how long a load takes that starts now. */
  estimateLoadMs(adapterPath: string): Milliseconds {
    if (!this.needsFetch(adapterPath)) return RELOAD_MS;
    const contention = this.#countConcurrentFetches() / this.#share.fetchLimit;
    // Contention also shows up as slowdown, so only the greater of the two
    // counts.
    const factor = Math.max(this.#slowdown, contention);
    return INITIAL_FETCH_MS * Math.min(MAX_SLOWDOWN, factor);
  }

  /**
   * Returns how long a load queues behind the given number of loads at this
   * engine.
   */
  estimateEngineQueueMs(adapterPath: string, loadsAhead: number): Milliseconds {
    if (!this.needsFetch(adapterPath)) return 0;
    return INITIAL_FETCH_MS * this.#slowdown * loadsAhead /
      this.#share.fetchesPerEngine;
  }

  /**
   * Returns how long a load queues behind other fetches from the weight store.
   */
  estimateStoreQueueMs(adapterPath: string): Milliseconds {
    if (!this.needsFetch(adapterPath)) return 0;
    const { fleetFetches, fetchLimit } = this.#share;
    const excess = fleetFetches / fetchLimit - UNQUEUED_FRACTION;
    return INITIAL_FETCH_MS * Math.max(0, excess);
  }

  /**
   * Returns the loaded adapters that no request uses. One that is only
   * estimated to be loaded is left out: the engine would confirm its eviction
   * without counting it, and load it all the same.
   */
  listIdle(now: Milliseconds): AdapterSlot[] {
    return this.listSlots().filter((slot) =>
      slot.state === "resident" && slot.permitIds.size === 0 &&
      (slot.isConfirmed || now - slot.readyAt >= MAX_LOAD_LATENESS_MS)
    );
  }

  /**
   * Returns the idle adapter to evict first, or undefined when all are in use.
   */
  findEvictionVictim(now: Milliseconds): AdapterSlot | undefined {
    let best: AdapterSlot | undefined;
    for (const slot of this.listIdle(now)) {
      const isBetter = best === undefined ||
        getRetentionScore(slot, now) < getRetentionScore(best, now);
      if (isBetter) best = slot;
    }
    return best;
  }

  recordLoadOrdered(
    adapterPath: string,
    version: number | undefined,
    now: Milliseconds,
  ): void {
    const slot = this.#slots.get(adapterPath) ??
      this.#createSlot(adapterPath, now);
    slot.version = version;
    slot.state = "loading";
    slot.isConfirmed = false;
    slot.fetch = this.needsFetch(adapterPath)
      ? {
        orderedAt: now,
        concurrentFetches: this.#countConcurrentFetches(),
        isAtHostShare: this.#share.isAtHostShare,
        isAtMinConcurrency: this.#share.isAtMinConcurrency,
      }
      : undefined;
    slot.readyAt = now + this.estimateLoadMs(adapterPath);
    this.#slots.set(adapterPath, slot);
    this.#hostCached.delete(adapterPath);
  }

  recordEvicted(adapterPath: string): void {
    this.#slots.delete(adapterPath);
    this.#hostCached.delete(adapterPath);
    this.#hostCached.add(adapterPath);
    if (
      this.#hostCached.size <= HOST_CACHED_ADAPTERS_PER_SLOT * this.#capacity
    ) return;
    const [oldest] = this.#hostCached;
    if (oldest !== undefined) this.#hostCached.delete(oldest);
  }

  /**
   * Records an eviction that waits for runs that this daemon doesn't know of.
   */
  recordDraining(adapterPath: string): void {
    const slot = this.#slots.get(adapterPath);
    if (slot) slot.state = "draining";
  }

  hasDraining(): boolean {
    return this.listSlots().some((slot) => slot.state === "draining");
  }

  recordUse(slot: AdapterSlot, permitId: string, now: Milliseconds): void {
    slot.decayedUses = computeDecayedUses(slot, now) + 1;
    slot.lastUsedAt = now;
    slot.permitIds.add(permitId);
  }

  /** Marks loads as done whose expected end has passed, and returns them. */
  completeLoads(now: Milliseconds): AdapterSlot[] {
    const isExpired = now - this.#lastLateAt > SLOWDOWN_LIFETIME_MS;
    if (isExpired && this.#slowdown > MIN_RECENT_SLOWDOWN) this.#slowdown = 1;
    const completed = this.listSlots().filter((slot) =>
      slot.state === "loading" && slot.readyAt <= now
    );
    for (const slot of completed) slot.state = "resident";
    return completed;
  }

  /** Records that a load took no longer than estimated. */
  recordLoadOnTime(now: Milliseconds): void {
    const isRecent = now - this.#lastLateAt < LATE_LOAD_MEMORY_MS;
    const minSlowdown = isRecent ? MIN_RECENT_SLOWDOWN : 1;
    this.#slowdown = Math.max(minSlowdown, this.#slowdown * SLOWDOWN_DECAY);
  }

  /**
   * Records that a request was served with the adapter, so that its load was
   * done when the request was sent.
   */
  recordLoadConfirmed(slot: AdapterSlot): void {
    slot.isConfirmed = true;
    this.#recordFetchObservation(slot, slot.readyAt, true);
  }

  /** Records that the engine had not loaded the adapter yet. */
  recordLoadLate(
    slot: AdapterSlot,
    delayMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { fetch } = slot;
    const observed = fetch ? (now - fetch.orderedAt) / INITIAL_FETCH_MS : 1;
    const slowdown = Math.max(observed, this.#slowdown) * SLOWDOWN_GROWTH;
    this.#slowdown = Math.min(MAX_SLOWDOWN, slowdown);
    this.#lastLateAt = now;
    this.#recordFetchObservation(slot, now, false);
    this.#delayLoad(slot, delayMs, now);
  }

  /**
   * Returns how many fetches from the weight store are in flight, including one
   * that starts now.
   */
  #countConcurrentFetches(): number {
    return this.#share.fleetFetches + 1;
  }

  #recordFetchObservation(
    slot: AdapterSlot,
    endedAt: Milliseconds,
    isDone: boolean,
  ): void {
    const { fetch } = slot;
    if (!fetch) return;
    const durationMs = endedAt - fetch.orderedAt;
    this.#observations.push({ ...fetch, durationMs, isDone });
    if (isDone) slot.fetch = undefined;
  }

  #delayLoad(
    slot: AdapterSlot,
    delayMs: Milliseconds,
    now: Milliseconds,
  ): void {
    slot.state = "loading";
    slot.readyAt = now + delayMs;
  }

  /**
   * Replaces the assumed state of the slots with the engine's report; permits
   * are kept.
   */
  reconcile(
    adapters: ReadonlyMap<string, { version: number; isLoading: boolean }>,
    now: Milliseconds,
  ): void {
    for (const adapterPath of [...this.#slots.keys()]) {
      if (!adapters.has(adapterPath)) this.#slots.delete(adapterPath);
    }
    for (const [adapterPath, { version, isLoading }] of adapters) {
      const known = this.#slots.get(adapterPath);
      const slot = known ?? this.#createSlot(adapterPath, now);
      slot.version = version;
      // An evicted adapter that is still reported is draining and can't be
      // evicted again.
      const isDraining = this.#hostCached.has(adapterPath);
      slot.isConfirmed = !isLoading && !isDraining;
      const isNewlyLoading = isLoading && slot.state !== "loading";
      if (isNewlyLoading) this.#delayLoad(slot, INITIAL_FETCH_MS, now);
      if (!isLoading && slot.state === "loading") {
        slot.readyAt = Math.min(slot.readyAt, now);
      }
      this.#slots.set(adapterPath, slot);
    }
  }

  /**
   * Returns whether a load is so late that the engine should be asked about it.
   */
  hasOverdueLoad(now: Milliseconds): boolean {
    return this.listSlots().some((slot) =>
      slot.state === "loading" && now - slot.readyAt > LOAD_TIMEOUT_MS
    );
  }

  clear(): void {
    this.#slots.clear();
    this.#hostCached.clear();
  }

  #createSlot(adapterPath: string, now: Milliseconds): AdapterSlot {
    return {
      adapterPath,
      version: undefined,
      state: "resident",
      fetch: undefined,
      readyAt: now,
      isConfirmed: false,
      permitIds: new Set(),
      lastUsedAt: now,
      decayedUses: 0,
    };
  }
}

function computeDecayedUses(slot: AdapterSlot, now: Milliseconds): number {
  return slot.decayedUses *
    computeDecayFactor(now - slot.lastUsedAt, USE_HALF_LIFE_MS);
}

/** Ranks by frequency of use, then by recency. */
function getRetentionScore(slot: AdapterSlot, now: Milliseconds): number {
  return computeDecayedUses(slot, now);
}
