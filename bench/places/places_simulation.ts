/**
 * Plays one demand under a rule for which adapter yields its place. Each adapter has
 * one engine, by rendezvous, where requests wait for a place in the order in which
 * they came; what an engine held lately loads from its own memory.
 */
import {
  type AdapterSlot,
  AdapterSlots,
} from "../../src/core/placement/adapter_slots.ts";
import { findRendezvousWinner } from "../../src/core/hashing.ts";
import type { Milliseconds } from "../../src/core/structures.ts";
import { EventHeap } from "../policy/event_heap.ts";
import type { AdapterDemand, PlacesSite } from "./places_demand.ts";

export const YieldRule = {
  /** The product's: fewest uses, decayed over time. */
  DecayedUse: "decayed use",
  LeastRecent: "least recently used",
  FewestUses: "fewest uses",
  /** The one whose next request is furthest away: knows the future. */
  Clairvoyant: "clairvoyant",
} as const;
export type YieldRule = (typeof YieldRule)[keyof typeof YieldRule];

export interface PlacesResult {
  rule: YieldRule;
  requests: number;
  /** Loads from the weight store. */
  fetches: number;
  /** Loads from an engine's own memory. */
  reloads: number;
  /** Mean time that a request waits for its adapter. */
  meanWaitMs: Milliseconds;
  /** Part of the requests that waited for more than half a second. */
  slowShare: number;
}

/** The sheets' time of a load from the weight store, and of one from memory, a tenth. */
const FETCH_MS = 250;
const RELOAD_MS = 25;
const SLOW_MS = 500;

interface SimulatedEngine {
  id: string;
  places: AdapterSlots;
  /** Requests that have not begun to run, in the order in which they came. */
  waiting: WaitingDemand[];
  uses: Map<string, number>;
  /** Times of requests to come, by adapter, for the rule that knows them. */
  coming: Map<string, Milliseconds[]>;
}

interface WaitingDemand extends AdapterDemand {
  id: string;
  path: string;
}

export function runPlaces(
  site: PlacesSite,
  demand: readonly AdapterDemand[],
  rule: YieldRule,
): PlacesResult {
  return new PlacesSimulation(site, rule).run(demand);
}

class PlacesSimulation {
  readonly #rule: YieldRule;
  readonly #engines: SimulatedEngine[];
  readonly #heap = new EventHeap();
  readonly #waits: Milliseconds[] = [];
  #fetches = 0;
  #reloads = 0;

  constructor(site: PlacesSite, rule: YieldRule) {
    this.#rule = rule;
    this.#engines = Array.from({ length: site.engines }, (_, index) => ({
      id: `engine ${index}`,
      places: new AdapterSlots(site.slotsPerEngine),
      waiting: [],
      uses: new Map(),
      coming: new Map(),
    }));
  }

  run(demand: readonly AdapterDemand[]): PlacesResult {
    demand.forEach((each, index) => this.#addRequest(each, String(index)));
    this.#heap.runUntil(Number.POSITIVE_INFINITY);
    const waits = this.#waits;
    const requests = Math.max(1, waits.length);
    return {
      rule: this.#rule,
      requests: waits.length,
      fetches: this.#fetches,
      reloads: this.#reloads,
      meanWaitMs: waits.reduce((sum, wait) => sum + wait, 0) / requests,
      slowShare: waits.filter((wait) => wait > SLOW_MS).length / requests,
    };
  }

  #addRequest(demand: AdapterDemand, id: string): void {
    const path = `m/a${demand.adapter}`;
    const engine = findRendezvousWinner(path, this.#engines);
    if (!engine) return;
    const times = engine.coming.get(path) ?? [];
    times.push(demand.at);
    engine.coming.set(path, times);
    this.#heap.add(demand.at, (now) => {
      times.shift();
      engine.uses.set(path, (engine.uses.get(path) ?? 0) + 1);
      engine.waiting.push({ ...demand, id, path });
      this.#pump(engine, now);
    });
  }

  /** Starts what can run, and then loads for the others: what is there for somebody does not yield. */
  #pump(engine: SimulatedEngine, now: Milliseconds): void {
    engine.waiting = engine.waiting.filter((request) => {
      const place = engine.places.getSlot(request.path);
      if (place?.state !== "resident") return true;
      this.#startRun(engine, place, request, now);
      return false;
    });
    for (const { path } of engine.waiting) {
      if (!engine.places.getSlot(path)) this.#load(engine, path, now);
    }
  }

  #startRun(
    engine: SimulatedEngine,
    place: AdapterSlot,
    request: WaitingDemand,
    now: Milliseconds,
  ): void {
    this.#waits.push(now - request.at);
    engine.places.recordUse(place, request.id, now);
    this.#heap.add(now + request.holdMs, (at) => {
      place.permitIds.delete(request.id);
      place.lastUsedAt = at;
      this.#pump(engine, at);
    });
  }

  #load(engine: SimulatedEngine, path: string, now: Milliseconds): void {
    const { places } = engine;
    if (!places.hasFreeSlot()) {
      const victim = findVictim(engine, this.#rule, now);
      if (!victim) return;
      places.recordEvicted(victim.adapterPath);
    }
    const isFetch = places.needsFetch(path);
    if (isFetch) this.#fetches += 1;
    else this.#reloads += 1;
    places.recordLoadOrdered(path, undefined, now);
    this.#heap.add(now + (isFetch ? FETCH_MS : RELOAD_MS), (at) => {
      const place = places.getSlot(path);
      if (!place) return;
      place.state = "resident";
      place.isConfirmed = true;
      this.#pump(engine, at);
    });
  }
}

function findVictim(
  engine: SimulatedEngine,
  rule: YieldRule,
  now: Milliseconds,
): AdapterSlot | undefined {
  const { places, uses, coming } = engine;
  switch (rule) {
    case YieldRule.DecayedUse:
      return places.findEvictionVictim(now);
    case YieldRule.LeastRecent:
      return selectLeast(places.listIdle(now), (place) => place.lastUsedAt);
    case YieldRule.FewestUses:
      return selectLeast(
        places.listIdle(now),
        (place) => uses.get(place.adapterPath) ?? 0,
      );
    case YieldRule.Clairvoyant:
      return selectLeast(
        places.listIdle(now),
        (place) =>
          -(coming.get(place.adapterPath)?.[0] ?? Number.POSITIVE_INFINITY),
      );
  }
}

function selectLeast(
  places: readonly AdapterSlot[],
  measureOf: (place: AdapterSlot) => number,
): AdapterSlot | undefined {
  return [...places].sort((a, b) => measureOf(a) - measureOf(b))[0];
}
