/**
 * Simulates one workload under an eviction policy. Rendezvous hashing assigns
 * each adapter to one engine, where requests wait for an adapter slot in order
 * of arrival. A recently evicted adapter reloads from the engine's host memory.
 */
import {
  type AdapterSlot,
  AdapterSlots,
} from "../../src/core/placement/adapter_slots.ts";
import { findRendezvousWinner } from "../../src/core/hashing.ts";
import type { Milliseconds } from "../../src/core/structures.ts";
import { EventHeap } from "../policy/event_heap.ts";
import type { AdapterRequest, SiteProfile } from "./places_demand.ts";

export const EvictionPolicy = {
  /** The product's policy: least exponentially decayed number of uses. */
  DecayedUse: "decayed use",
  LeastRecentlyUsed: "least recently used",
  LeastFrequentlyUsed: "fewest uses",
  /** Belady's algorithm: knows all requests, evicts the one needed latest. */
  Clairvoyant: "clairvoyant",
} as const;
export type EvictionPolicy =
  (typeof EvictionPolicy)[keyof typeof EvictionPolicy];

export interface EvictionResult {
  policy: EvictionPolicy;
  requests: number;
  /** Number of loads from the weight store. */
  fetches: number;
  /** Number of loads from an engine's host memory. */
  reloads: number;
  /** Mean time from a request's arrival until its adapter is loaded. */
  meanWaitMs: Milliseconds;
  /** Fraction of the requests that waited for more than 500 ms. */
  slowFraction: number;
}

/**
 * Load time from the weight store in the site specifications; a load from host
 * memory takes a tenth of it.
 */
const FETCH_MS = 250;
const RELOAD_MS = 25;
const SLOW_WAIT_MS = 500;

interface SimulatedEngine {
  id: string;
  slots: AdapterSlots;
  /** Requests that have not started to run, in order of arrival. */
  queue: QueuedRequest[];
  useCounts: Map<string, number>;
  /** Future arrival times by adapter, for the clairvoyant policy. */
  upcomingArrivals: Map<string, Milliseconds[]>;
}

interface QueuedRequest extends AdapterRequest {
  id: string;
  path: string;
}

export function runEvictionSimulation(
  site: SiteProfile,
  workload: readonly AdapterRequest[],
  policy: EvictionPolicy,
): EvictionResult {
  return new EvictionSimulation(site, policy).run(workload);
}

class EvictionSimulation {
  readonly #policy: EvictionPolicy;
  readonly #engines: SimulatedEngine[];
  readonly #heap = new EventHeap();
  readonly #waits: Milliseconds[] = [];
  #fetches = 0;
  #reloads = 0;

  constructor(site: SiteProfile, policy: EvictionPolicy) {
    this.#policy = policy;
    this.#engines = Array.from({ length: site.engines }, (_, index) => ({
      id: `engine ${index}`,
      slots: new AdapterSlots(site.slotsPerEngine),
      queue: [],
      useCounts: new Map(),
      upcomingArrivals: new Map(),
    }));
  }

  run(workload: readonly AdapterRequest[]): EvictionResult {
    workload.forEach((request, index) =>
      this.#addRequest(request, String(index))
    );
    this.#heap.runUntil(Number.POSITIVE_INFINITY);
    const waits = this.#waits;
    const requests = Math.max(1, waits.length);
    return {
      policy: this.#policy,
      requests: waits.length,
      fetches: this.#fetches,
      reloads: this.#reloads,
      meanWaitMs: waits.reduce((sum, wait) => sum + wait, 0) / requests,
      slowFraction: waits.filter((wait) => wait > SLOW_WAIT_MS).length /
        requests,
    };
  }

  #addRequest(request: AdapterRequest, id: string): void {
    const path = `m/a${request.adapter}`;
    const engine = findRendezvousWinner(path, this.#engines);
    if (!engine) return;
    const arrivals = engine.upcomingArrivals.get(path) ?? [];
    arrivals.push(request.at);
    engine.upcomingArrivals.set(path, arrivals);
    this.#heap.schedule(request.at, (now) => {
      arrivals.shift();
      engine.useCounts.set(path, (engine.useCounts.get(path) ?? 0) + 1);
      engine.queue.push({ ...request, id, path });
      this.#dispatchQueue(engine, now);
    });
  }

  /**
   * Starts the requests whose adapter is loaded, then orders loads for the
   * others. Runs start first so that a load cannot evict an adapter that a
   * queued request can use at once.
   */
  #dispatchQueue(engine: SimulatedEngine, now: Milliseconds): void {
    engine.queue = engine.queue.filter((request) => {
      const slot = engine.slots.getSlot(request.path);
      if (slot?.state !== "resident") return true;
      this.#startRun(engine, slot, request, now);
      return false;
    });
    for (const { path } of engine.queue) {
      if (!engine.slots.getSlot(path)) this.#load(engine, path, now);
    }
  }

  #startRun(
    engine: SimulatedEngine,
    slot: AdapterSlot,
    request: QueuedRequest,
    now: Milliseconds,
  ): void {
    this.#waits.push(now - request.at);
    engine.slots.recordUse(slot, request.id, now);
    this.#heap.schedule(now + request.runMs, (at) => {
      slot.permitIds.delete(request.id);
      slot.lastUsedAt = at;
      this.#dispatchQueue(engine, at);
    });
  }

  #load(engine: SimulatedEngine, path: string, now: Milliseconds): void {
    const { slots } = engine;
    if (!slots.hasFreeSlot()) {
      const victim = findVictim(engine, this.#policy, now);
      if (!victim) return;
      slots.recordEvicted(victim.adapterPath);
    }
    const isStoreFetch = slots.needsFetch(path);
    if (isStoreFetch) this.#fetches += 1;
    else this.#reloads += 1;
    slots.recordLoadOrdered(path, undefined, now);
    this.#heap.schedule(now + (isStoreFetch ? FETCH_MS : RELOAD_MS), (at) => {
      const slot = slots.getSlot(path);
      if (!slot) return;
      slot.state = "resident";
      slot.isConfirmed = true;
      this.#dispatchQueue(engine, at);
    });
  }
}

function findVictim(
  engine: SimulatedEngine,
  policy: EvictionPolicy,
  now: Milliseconds,
): AdapterSlot | undefined {
  const { slots, useCounts, upcomingArrivals } = engine;
  switch (policy) {
    case EvictionPolicy.DecayedUse:
      return slots.findEvictionVictim(now);
    case EvictionPolicy.LeastRecentlyUsed:
      return selectMinimum(slots.listIdle(now), (slot) => slot.lastUsedAt);
    case EvictionPolicy.LeastFrequentlyUsed:
      return selectMinimum(
        slots.listIdle(now),
        (slot) => useCounts.get(slot.adapterPath) ?? 0,
      );
    case EvictionPolicy.Clairvoyant:
      return selectMinimum(
        slots.listIdle(now),
        (slot) =>
          -(upcomingArrivals.get(slot.adapterPath)?.[0] ??
            Number.POSITIVE_INFINITY),
      );
  }
}

function selectMinimum(
  slots: readonly AdapterSlot[],
  rankOf: (slot: AdapterSlot) => number,
): AdapterSlot | undefined {
  return [...slots].sort((a, b) => rankOf(a) - rankOf(b))[0];
}
