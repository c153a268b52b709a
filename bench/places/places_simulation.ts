/**
 * Plays one demand under a rule for which adapter yields its place. Each adapter has
 * one engine, by rendezvous, where requests wait for a place in the order in which
 * they came; what an engine held lately loads from its own memory.
 */
import {
  AdapterPlaces,
  type Place,
} from "../../src/core/placement/adapter_places.ts";
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
  places: AdapterPlaces;
  /** Requests whose adapter has no place yet. */
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
  const engines = Array.from({ length: site.engines }, (_, index) =>
    ({
      id: `engine ${index}`,
      places: new AdapterPlaces(site.slotsPerEngine),
      waiting: [],
      uses: new Map(),
      coming: new Map(),
    }) as SimulatedEngine);
  const heap = new EventHeap();
  const waits: Milliseconds[] = [];
  let fetches = 0;
  let reloads = 0;
  const startRun = (
    engine: SimulatedEngine,
    place: Place,
    request: WaitingDemand,
    now: Milliseconds,
  ): void => {
    waits.push(now - request.at);
    engine.places.recordUse(place, request.id, now);
    heap.add(now + request.holdMs, (at) => {
      place.permits.delete(request.id);
      place.lastUsedAt = at;
      serveWaiting(engine, at);
    });
  };
  const completeLoad = (
    engine: SimulatedEngine,
    place: Place,
    now: Milliseconds,
  ): void => {
    place.state = "resident";
    place.isConfirmed = true;
    serveWaiting(engine, now);
  };
  const load = (
    engine: SimulatedEngine,
    path: string,
    now: Milliseconds,
  ): boolean => {
    if (!engine.places.hasRoom()) {
      const victim = findVictim(engine, rule, now);
      if (!victim) return false;
      engine.places.recordEvicted(victim.adapterPath);
    }
    const isFetch = engine.places.isFetch(path);
    if (isFetch) fetches += 1;
    else reloads += 1;
    engine.places.recordLoadOrdered(path, undefined, now);
    const place = engine.places.getPlace(path);
    if (!place) return false;
    place.readyAt = Number.POSITIVE_INFINITY;
    heap.add(
      now + (isFetch ? FETCH_MS : RELOAD_MS),
      (at) => completeLoad(engine, place, at),
    );
    return true;
  };
  const serveWaiting = (engine: SimulatedEngine, now: Milliseconds): void => {
    const left: WaitingDemand[] = [];
    for (const request of engine.waiting) {
      const place = engine.places.getPlace(request.path);
      if (place?.state === "resident") startRun(engine, place, request, now);
      else {
        if (!place) load(engine, request.path, now);
        left.push(request);
      }
    }
    engine.waiting = left;
  };
  demand.forEach((each, index) => {
    const path = `m/a${each.adapter}`;
    const engine = findRendezvousWinner(path, engines);
    if (!engine) return;
    const times = engine.coming.get(path) ?? [];
    times.push(each.at);
    engine.coming.set(path, times);
    heap.add(each.at, (now) => {
      engine.coming.get(path)?.shift();
      engine.uses.set(path, (engine.uses.get(path) ?? 0) + 1);
      engine.waiting.push({ ...each, id: String(index), path });
      serveWaiting(engine, now);
    });
  });
  heap.runUntil(Number.POSITIVE_INFINITY);
  const slow = waits.filter((wait) => wait > SLOW_MS).length;
  return {
    rule,
    requests: waits.length,
    fetches,
    reloads,
    meanWaitMs: waits.reduce((sum, wait) => sum + wait, 0) /
      Math.max(1, waits.length),
    slowShare: slow / Math.max(1, waits.length),
  };
}

function findVictim(
  engine: SimulatedEngine,
  rule: YieldRule,
  now: Milliseconds,
): Place | undefined {
  const idle = engine.places.listIdle(now).filter((place) =>
    engine.waiting.every((request) => request.path !== place.adapterPath)
  );
  switch (rule) {
    case YieldRule.DecayedUse:
      return engine.places.findEvictable(now);
    case YieldRule.LeastRecent:
      return selectLeast(idle, (place) => place.lastUsedAt);
    case YieldRule.FewestUses:
      return selectLeast(
        idle,
        (place) => engine.uses.get(place.adapterPath) ?? 0,
      );
    case YieldRule.Clairvoyant:
      return selectLeast(
        idle,
        (place) =>
          -(engine.coming.get(place.adapterPath)?.[0] ??
            Number.POSITIVE_INFINITY),
      );
  }
}

function selectLeast(
  places: readonly Place[],
  measureOf: (place: Place) => number,
): Place | undefined {
  return [...places].sort((a, b) => measureOf(a) - measureOf(b))[0];
}
