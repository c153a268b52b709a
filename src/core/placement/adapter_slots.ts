/**
 * The adapter slots of one engine: what is resident, on its way or in use, what
 * yields when room is wanted, and how long a load will take. Load pattern: many
 * rarely used adapters sweep through few slots while a few stay busy; what was
 * evicted lately loads ten times as fast from the engine's own memory.
 */
import { computeDecay } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";
import type {
  FetchObservation,
  FetchShare,
} from "./fetch_concurrency_limit.ts";

/** A draining adapter was evicted while runs used it: its slot is not free until the engine reports it gone. */
export type AdapterSlotState = "loading" | "resident" | "draining";

export interface AdapterSlot {
  adapterPath: string;
  /** Version that it has, or will have; undefined when not told. */
  version: number | undefined;
  state: AdapterSlotState;
  /** When its load from the weight store was ordered, and how many were on the way then; undefined for others. */
  fetch:
    | Pick<FetchObservation, "orderedAt" | "crowd" | "isLast" | "isOnlyOwn">
    | undefined;
  /** When a load is taken to be done. */
  readyAt: Milliseconds;
  /** Whether a request or the engine has shown that it is there to stay. */
  isConfirmed: boolean;
  /** Requests that may use it. */
  permitIds: Set<string>;
  lastUsedAt: Milliseconds;
  /** Decayed count of uses. */
  decayedUses: number;
}

/** First estimate of a load from the weight store; the users' sheets give 250 and 288 ms. */
const INITIAL_FETCH_MS = 260;
/** First estimate of a load of an adapter that the engine held lately. */
const RELOAD_MS = 35;
/** Adapters that an engine is taken to keep in its memory beside its slots, for each of these; a reload is faster from there. */
const HOST_CACHED_ADAPTERS_PER_SLOT = 5;
/** Part of the loads at full speed below which a new load starts at once. */
const UNQUEUED_FRACTION = 0.5;
/** Time in which a use loses half of its weight. */
const USE_HALF_LIFE_MS = 15_000;
/** Bounds and steps of the factor by which the estimate of a load follows what is seen. */
const MAX_SLOWDOWN = 3;
const SLOWDOWN_GROWTH = 1.12;
const SLOWDOWN_DECAY = 0.97;
/** Least factor for a while after a load was late: the sheets' loads differ by as much, what is beyond is a crowd that passes. */
const MIN_RECENT_SLOWDOWN = 1.12;
/** That while: long against the seconds between loads. */
const LATE_LOAD_MEMORY_MS = 30_000;
/** Time without a late load after which what slowed them has passed, also where no first token tells so. */
const SLOWDOWN_LIFETIME_MS = 5_000;
/** Time by which a load may be later than its estimate. */
export const MAX_LOAD_LATENESS_MS = 1_200;
/** Longest time for which a load that is not done is waited for before the engine is asked. */
const LOAD_TIMEOUT_MS = 3_000;

export class AdapterSlots {
  #capacity: number;
  /** What is known of loads from the weight store, over all engines. */
  #share: Omit<FetchShare, "canFetch"> = {
    fleetFetches: 0,
    fetchLimit: 1,
    isAtHostShare: true,
    isAtMinConcurrency: true,
    fetchesPerEngine: 1,
  };
  #observations: FetchObservation[] = [];
  /** How much longer loads take than the first estimate. */
  #slowdown = 1;
  #lastLateAt = Number.NEGATIVE_INFINITY;
  readonly #slots = new Map<string, AdapterSlot>();
  /** Adapters that were evicted lately, oldest first. */
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

  /** Returns what has been seen of loads from the weight store, and forgets it. */
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
    return this.listSlots().filter((place) => place.state === "loading")
      .length;
  }

  hasFreeSlot(): boolean {
    return this.#slots.size < this.#capacity;
  }

  /** Returns whether loading the adapter calls on the weight store. */
  needsFetch(adapterPath: string): boolean {
    return !this.#hostCached.has(adapterPath);
  }

  /** Returns how long a load takes that starts now. */
  estimateLoadMs(adapterPath: string): Milliseconds {
    if (!this.needsFetch(adapterPath)) return RELOAD_MS;
    const crowding = this.#countConcurrentFetches() / this.#share.fetchLimit;
    // What the crowd explains is seen as slowness, too: only the greater counts.
    const factor = Math.max(this.#slowdown, crowding);
    return INITIAL_FETCH_MS * Math.min(MAX_SLOWDOWN, factor);
  }

  /** Returns how long a load waits for those that wait before it here. */
  estimateEngineQueueMs(adapterPath: string, before: number): Milliseconds {
    if (!this.needsFetch(adapterPath)) return 0;
    return INITIAL_FETCH_MS * this.#slowdown * before /
      this.#share.fetchesPerEngine;
  }

  /** Returns how long a load waits for others of the weight store. */
  estimateStoreQueueMs(adapterPath: string): Milliseconds {
    if (!this.needsFetch(adapterPath)) return 0;
    const { fleetFetches, fetchLimit: fullSpeedFetches } = this.#share;
    const crowd = fleetFetches / fullSpeedFetches - UNQUEUED_FRACTION;
    return INITIAL_FETCH_MS * Math.max(0, crowd);
  }

  /**
   * Returns the adapters that are there and that no request uses. One that was
   * only estimated to be there is left out: the engine confirms its eviction
   * without counting it, and loads it all the same.
   */
  listIdle(now: Milliseconds): AdapterSlot[] {
    return this.listSlots().filter((place) =>
      place.state === "resident" && place.permitIds.size === 0 &&
      (place.isConfirmed || now - place.readyAt >= MAX_LOAD_LATENESS_MS)
    );
  }

  /** Returns the idle adapter that yields first, or undefined when all are in use. */
  findEvictionVictim(now: Milliseconds): AdapterSlot | undefined {
    let best: AdapterSlot | undefined;
    for (const place of this.listIdle(now)) {
      const isBetter = best === undefined ||
        getRetentionScore(place, now) < getRetentionScore(best, now);
      if (isBetter) best = place;
    }
    return best;
  }

  recordLoadOrdered(
    adapterPath: string,
    version: number | undefined,
    now: Milliseconds,
  ): void {
    const place = this.#slots.get(adapterPath) ??
      this.#createSlot(adapterPath, now);
    place.version = version;
    place.state = "loading";
    place.isConfirmed = false;
    place.fetch = this.needsFetch(adapterPath)
      ? {
        orderedAt: now,
        crowd: this.#countConcurrentFetches(),
        isLast: this.#share.isAtHostShare,
        isOnlyOwn: this.#share.isAtMinConcurrency,
      }
      : undefined;
    place.readyAt = now + this.estimateLoadMs(adapterPath);
    this.#slots.set(adapterPath, place);
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

  /** Notes an eviction that waits for runs that are not known here. */
  recordDraining(adapterPath: string): void {
    const place = this.#slots.get(adapterPath);
    if (place) place.state = "draining";
  }

  hasDraining(): boolean {
    return this.listSlots().some((place) => place.state === "draining");
  }

  recordUse(place: AdapterSlot, permitId: string, now: Milliseconds): void {
    place.decayedUses = computeDecayedUses(place, now) + 1;
    place.lastUsedAt = now;
    place.permitIds.add(permitId);
  }

  /** Takes loads whose time has come for done; returns them. */
  completeLoads(now: Milliseconds): AdapterSlot[] {
    const isPast = now - this.#lastLateAt > SLOWDOWN_LIFETIME_MS;
    if (isPast && this.#slowdown > MIN_RECENT_SLOWDOWN) this.#slowdown = 1;
    const done = this.listSlots().filter((place) =>
      place.state === "loading" && place.readyAt <= now
    );
    for (const place of done) place.state = "resident";
    return done;
  }

  /** Notes that a load has taken no longer than estimated. */
  recordLoadOnTime(now: Milliseconds): void {
    const isRemembered = now - this.#lastLateAt < LATE_LOAD_MEMORY_MS;
    const floor = isRemembered ? MIN_RECENT_SLOWDOWN : 1;
    this.#slowdown = Math.max(floor, this.#slowdown * SLOWDOWN_DECAY);
  }

  /** Notes that a request was served with the adapter: its load was done when that was sent. */
  recordLoadConfirmed(place: AdapterSlot): void {
    place.isConfirmed = true;
    this.#recordFetchObservation(place, place.readyAt, true);
  }

  /** Notes that the engine was not ready for the adapter yet. */
  recordLoadLate(
    place: AdapterSlot,
    delayMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { fetch } = place;
    const seen = fetch ? (now - fetch.orderedAt) / INITIAL_FETCH_MS : 1;
    const slowness = Math.max(seen, this.#slowdown) * SLOWDOWN_GROWTH;
    this.#slowdown = Math.min(MAX_SLOWDOWN, slowness);
    this.#lastLateAt = now;
    this.#recordFetchObservation(place, now, false);
    this.#delayLoad(place, delayMs, now);
  }

  /** Returns how many loads from the weight store are on the way with one that starts now. */
  #countConcurrentFetches(): number {
    return this.#share.fleetFetches + 1;
  }

  #recordFetchObservation(
    place: AdapterSlot,
    until: Milliseconds,
    isDone: boolean,
  ): void {
    const { fetch } = place;
    if (!fetch) return;
    const durationMs = until - fetch.orderedAt;
    this.#observations.push({ ...fetch, durationMs, isDone });
    if (isDone) place.fetch = undefined;
  }

  #delayLoad(
    place: AdapterSlot,
    delayMs: Milliseconds,
    now: Milliseconds,
  ): void {
    place.state = "loading";
    place.readyAt = now + delayMs;
  }

  /** Puts what the engine reported in place of what was believed; permits are kept. */
  reconcile(
    adapters: ReadonlyMap<string, { version: number; isLoading: boolean }>,
    now: Milliseconds,
  ): void {
    for (const adapterPath of [...this.#slots.keys()]) {
      if (!adapters.has(adapterPath)) this.#slots.delete(adapterPath);
    }
    for (const [adapterPath, { version, isLoading }] of adapters) {
      const known = this.#slots.get(adapterPath);
      const place = known ?? this.#createSlot(adapterPath, now);
      place.version = version;
      // What was evicted and is still there drains: it can't be evicted again.
      const isDraining = this.#hostCached.has(adapterPath);
      place.isConfirmed = !isLoading && !isDraining;
      const isNewlyLoading = isLoading && place.state !== "loading";
      if (isNewlyLoading) this.#delayLoad(place, INITIAL_FETCH_MS, now);
      if (!isLoading && place.state === "loading") {
        place.readyAt = Math.min(place.readyAt, now);
      }
      this.#slots.set(adapterPath, place);
    }
  }

  /** Returns whether a load is so late that the engine should be asked. */
  hasOverdueLoad(now: Milliseconds): boolean {
    return this.listSlots().some((place) =>
      place.state === "loading" && now - place.readyAt > LOAD_TIMEOUT_MS
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

function computeDecayedUses(place: AdapterSlot, now: Milliseconds): number {
  return place.decayedUses *
    computeDecay(now - place.lastUsedAt, USE_HALF_LIFE_MS);
}

/** Frequency first, recency among equals. */
function getRetentionScore(place: AdapterSlot, now: Milliseconds): number {
  return computeDecayedUses(place, now);
}
