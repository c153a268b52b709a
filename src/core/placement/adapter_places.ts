/**
 * The adapter slots of one engine: what is resident, on its way or in use, what
 * yields when room is wanted, and how long a load will take. Load pattern: many
 * rarely used adapters sweep through few slots while a few stay busy; what was
 * evicted lately loads ten times as fast from the engine's own memory.
 */
import { computeDecay } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";
import type { FetchObservation, FetchShare } from "./fetch_window.ts";

/** A draining adapter was evicted while runs used it: its slot is not free until the engine reports it gone. */
export type PlaceState = "loading" | "resident" | "draining";

export interface Place {
  adapterPath: string;
  /** Version that it has, or will have; undefined when not told. */
  version: number | undefined;
  state: PlaceState;
  /** When its load from the weight store was ordered, and how many were on the way then; undefined for others. */
  fetch:
    | Pick<FetchObservation, "orderedAt" | "crowd" | "isLast" | "isOnlyOwn">
    | undefined;
  /** When a load is taken to be done. */
  readyAt: Milliseconds;
  /** Whether a request or the engine has shown that it is there to stay. */
  isConfirmed: boolean;
  /** Requests that may use it. */
  permits: Set<string>;
  lastUsedAt: Milliseconds;
  /** Decayed count of uses. */
  uses: number;
}

/** First estimate of a load from the weight store; the users' sheets give 250 and 288 ms. */
const FETCH_MS = 260;
/** First estimate of a load of an adapter that the engine held lately. */
const RELOAD_MS = 35;
/** Adapters that an engine is taken to keep in its memory beside its slots, for each of these; a reload is faster from there. */
const KEPT_PER_SLOT = 5;
/** Part of the loads at full speed below which a new load starts at once. */
const UNQUEUED_SHARE = 0.5;
/** Time in which a use loses half of its weight. */
const USE_HALF_LIFE_MS = 15_000;
/** Bounds and steps of the factor by which the estimate of a load follows what is seen. */
const MAX_SLOWNESS = 3;
const SLOWNESS_GROWTH = 1.12;
const SLOWNESS_DECAY = 0.97;
/** Least factor for a while after a load was late: the sheets' loads differ by as much, what is beyond is a crowd that passes. */
const REMEMBERED_SLOWNESS = 1.12;
/** That while: long against the seconds between loads. */
const SLOWNESS_MEMORY_MS = 30_000;
/** Time without a late load after which what slowed them has passed, also where no first token tells so. */
const SLOWNESS_LIFETIME_MS = 5_000;
/** Time by which a load may be later than its estimate. */
export const LOAD_LATENESS_MS = 1_200;
/** Longest time for which a load that is not done is waited for before the engine is asked. */
const LOAD_PATIENCE_MS = 3_000;

export class AdapterPlaces {
  #capacity: number;
  /** What is known of loads from the weight store, over all engines. */
  #share: Omit<FetchShare, "canFetch"> = {
    fleetFetches: 0,
    fullSpeedFetches: 1,
    isLast: true,
    isOnlyOwn: true,
    perEngine: 1,
  };
  #observations: FetchObservation[] = [];
  /** How much longer loads take than the first estimate. */
  #slowness = 1;
  #lastLateAt = Number.NEGATIVE_INFINITY;
  readonly #places = new Map<string, Place>();
  /** Adapters that were evicted lately, oldest first. */
  readonly #kept = new Set<string>();

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

  getPlace(adapterPath: string): Place | undefined {
    return this.#places.get(adapterPath);
  }

  listPlaces(): Place[] {
    return [...this.#places.values()];
  }

  countComing(): number {
    return this.listPlaces().filter((place) => place.state === "loading")
      .length;
  }

  hasRoom(): boolean {
    return this.#places.size < this.#capacity;
  }

  /** Returns whether loading the adapter calls on the weight store. */
  isFetch(adapterPath: string): boolean {
    return !this.#kept.has(adapterPath);
  }

  /** Returns how long a load takes that starts now. */
  estimateLoadMs(adapterPath: string): Milliseconds {
    if (!this.isFetch(adapterPath)) return RELOAD_MS;
    const crowding = this.#countCrowd() / this.#share.fullSpeedFetches;
    // What the crowd explains is seen as slowness, too: only the greater counts.
    const factor = Math.max(this.#slowness, crowding);
    return FETCH_MS * Math.min(MAX_SLOWNESS, factor);
  }

  /** Returns how long a load waits for those that wait before it here. */
  estimateOwnQueueMs(adapterPath: string, before: number): Milliseconds {
    if (!this.isFetch(adapterPath)) return 0;
    return FETCH_MS * this.#slowness * before / this.#share.perEngine;
  }

  /** Returns how long a load waits for others of the weight store. */
  estimateStoreQueueMs(adapterPath: string): Milliseconds {
    if (!this.isFetch(adapterPath)) return 0;
    const { fleetFetches, fullSpeedFetches } = this.#share;
    const crowd = fleetFetches / fullSpeedFetches - UNQUEUED_SHARE;
    return FETCH_MS * Math.max(0, crowd);
  }

  /**
   * Returns the adapters that are there and that no request uses. One that was
   * only estimated to be there is left out: the engine confirms its eviction
   * without counting it, and loads it all the same.
   */
  listIdle(now: Milliseconds): Place[] {
    return this.listPlaces().filter((place) =>
      place.state === "resident" && place.permits.size === 0 &&
      (place.isConfirmed || now - place.readyAt >= LOAD_LATENESS_MS)
    );
  }

  /** Returns the idle adapter that yields first, or undefined when all are in use. */
  findEvictable(now: Milliseconds): Place | undefined {
    let best: Place | undefined;
    for (const place of this.listIdle(now)) {
      const isBetter = best === undefined ||
        getWorth(place, now) < getWorth(best, now);
      if (isBetter) best = place;
    }
    return best;
  }

  recordLoadOrdered(
    adapterPath: string,
    version: number | undefined,
    now: Milliseconds,
  ): void {
    const place = this.#places.get(adapterPath) ??
      this.#createPlace(adapterPath, now);
    place.version = version;
    place.state = "loading";
    place.isConfirmed = false;
    place.fetch = this.isFetch(adapterPath)
      ? {
        orderedAt: now,
        crowd: this.#countCrowd(),
        isLast: this.#share.isLast,
        isOnlyOwn: this.#share.isOnlyOwn,
      }
      : undefined;
    place.readyAt = now + this.estimateLoadMs(adapterPath);
    this.#places.set(adapterPath, place);
    this.#kept.delete(adapterPath);
  }

  recordEvicted(adapterPath: string): void {
    this.#places.delete(adapterPath);
    this.#kept.delete(adapterPath);
    this.#kept.add(adapterPath);
    if (this.#kept.size <= KEPT_PER_SLOT * this.#capacity) return;
    const [oldest] = this.#kept;
    if (oldest !== undefined) this.#kept.delete(oldest);
  }

  /** Notes an eviction that waits for runs that are not known here. */
  recordDraining(adapterPath: string): void {
    const place = this.#places.get(adapterPath);
    if (place) place.state = "draining";
  }

  hasDraining(): boolean {
    return this.listPlaces().some((place) => place.state === "draining");
  }

  recordUse(place: Place, permitId: string, now: Milliseconds): void {
    place.uses = computeUses(place, now) + 1;
    place.lastUsedAt = now;
    place.permits.add(permitId);
  }

  /** Takes loads whose time has come for done; returns them. */
  completeLoads(now: Milliseconds): Place[] {
    const isPast = now - this.#lastLateAt > SLOWNESS_LIFETIME_MS;
    if (isPast && this.#slowness > REMEMBERED_SLOWNESS) this.#slowness = 1;
    const done = this.listPlaces().filter((place) =>
      place.state === "loading" && place.readyAt <= now
    );
    for (const place of done) place.state = "resident";
    return done;
  }

  /** Notes that a load has taken no longer than estimated. */
  recordLoadInTime(now: Milliseconds): void {
    const isRemembered = now - this.#lastLateAt < SLOWNESS_MEMORY_MS;
    const floor = isRemembered ? REMEMBERED_SLOWNESS : 1;
    this.#slowness = Math.max(floor, this.#slowness * SLOWNESS_DECAY);
  }

  /** Notes that a request was served with the adapter: its load was done when that was sent. */
  recordConfirmed(place: Place): void {
    place.isConfirmed = true;
    this.#observeFetch(place, place.readyAt, true);
  }

  /** Notes that the engine was not ready for the adapter yet. */
  recordLoadLate(place: Place, delayMs: Milliseconds, now: Milliseconds): void {
    const { fetch } = place;
    const seen = fetch ? (now - fetch.orderedAt) / FETCH_MS : 1;
    const slowness = Math.max(seen, this.#slowness) * SLOWNESS_GROWTH;
    this.#slowness = Math.min(MAX_SLOWNESS, slowness);
    this.#lastLateAt = now;
    this.#observeFetch(place, now, false);
    this.#delayLoad(place, delayMs, now);
  }

  /** Returns how many loads from the weight store are on the way with one that starts now. */
  #countCrowd(): number {
    return this.#share.fleetFetches + 1;
  }

  #observeFetch(place: Place, until: Milliseconds, isDone: boolean): void {
    const { fetch } = place;
    if (!fetch) return;
    const durationMs = until - fetch.orderedAt;
    this.#observations.push({ ...fetch, durationMs, isDone });
    if (isDone) place.fetch = undefined;
  }

  #delayLoad(place: Place, delayMs: Milliseconds, now: Milliseconds): void {
    place.state = "loading";
    place.readyAt = now + delayMs;
  }

  /** Puts what the engine reported in place of what was believed; permits are kept. */
  reconcile(
    adapters: ReadonlyMap<string, { version: number; isComing: boolean }>,
    now: Milliseconds,
  ): void {
    for (const adapterPath of [...this.#places.keys()]) {
      if (!adapters.has(adapterPath)) this.#places.delete(adapterPath);
    }
    for (const [adapterPath, { version, isComing }] of adapters) {
      const known = this.#places.get(adapterPath);
      const place = known ?? this.#createPlace(adapterPath, now);
      place.version = version;
      // What was evicted and is still there drains: it can't be evicted again.
      const isDraining = this.#kept.has(adapterPath);
      place.isConfirmed = !isComing && !isDraining;
      const isNewlyComing = isComing && place.state !== "loading";
      if (isNewlyComing) this.#delayLoad(place, FETCH_MS, now);
      if (!isComing && place.state === "loading") {
        place.readyAt = Math.min(place.readyAt, now);
      }
      this.#places.set(adapterPath, place);
    }
  }

  /** Returns whether a load is so late that the engine should be asked. */
  hasOverdueLoad(now: Milliseconds): boolean {
    return this.listPlaces().some((place) =>
      place.state === "loading" && now - place.readyAt > LOAD_PATIENCE_MS
    );
  }

  clear(): void {
    this.#places.clear();
    this.#kept.clear();
  }

  #createPlace(adapterPath: string, now: Milliseconds): Place {
    return {
      adapterPath,
      version: undefined,
      state: "resident",
      fetch: undefined,
      readyAt: now,
      isConfirmed: false,
      permits: new Set(),
      lastUsedAt: now,
      uses: 0,
    };
  }
}

function computeUses(place: Place, now: Milliseconds): number {
  return place.uses * computeDecay(now - place.lastUsedAt, USE_HALF_LIFE_MS);
}

/** Frequency first, recency among equals. */
function getWorth(place: Place, now: Milliseconds): number {
  return computeUses(place, now);
}
