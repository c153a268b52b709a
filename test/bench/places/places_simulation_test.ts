/**
 * Eviction policies in the simulation, on workloads small enough to count the
 * loads by hand.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type AdapterRequest,
  createAdapterRequests,
  SITE_PROFILES,
  type SiteProfile,
} from "../../../bench/places/places_demand.ts";
import {
  EvictionPolicy,
  runEvictionSimulation,
} from "../../../bench/places/places_simulation.ts";

const ONE_ENGINE: SiteProfile = {
  name: "one",
  engines: 1,
  slotsPerEngine: 2,
  adapters: 10,
  zipfExponent: 1,
  requestsPerSecond: 1,
};

function createWorkload(adapters: readonly number[]): AdapterRequest[] {
  return adapters.map((adapter, index) => ({
    at: 1_000 * index,
    adapter,
    runMs: 100,
  }));
}

function countLoads(
  adapters: readonly number[],
  policy: EvictionPolicy,
): number {
  const { fetches, reloads } = runEvictionSimulation(
    ONE_ENGINE,
    createWorkload(adapters),
    policy,
  );
  return fetches + reloads;
}

test("cyclic scan: every request misses under LRU, the clairvoyant policy keeps some adapters", () => {
  const scan = [1, 2, 3, 1, 2, 3, 1, 2, 3];
  assert.is(countLoads(scan, EvictionPolicy.LeastRecentlyUsed), 9);
  assert.is(countLoads(scan, EvictionPolicy.Clairvoyant), 6);
});

test("policies that count uses keep a frequently used adapter loaded", () => {
  const skewed = [1, 1, 1, 2, 3, 1, 4, 5, 1, 6, 7, 1];
  assert.is(countLoads(skewed, EvictionPolicy.LeastRecentlyUsed), 10);
  assert.is(countLoads(skewed, EvictionPolicy.LeastFrequentlyUsed), 7);
  assert.is(countLoads(skewed, EvictionPolicy.DecayedUse), 7);
});

test("an adapter in use is not evicted; a queued request is served once an adapter becomes idle", () => {
  const workload = [0, 1, 2].map((adapter) => ({
    at: 0,
    adapter,
    runMs: 1_000,
  }));
  const result = runEvictionSimulation(
    ONE_ENGINE,
    workload,
    EvictionPolicy.DecayedUse,
  );
  assert.is(result.requests, 3);
  assert.is(Math.round(result.meanWaitMs), Math.round((250 + 250 + 1_500) / 3));
});

test("the same seed generates the same workload, at about the site's request rate", () => {
  const [site] = SITE_PROFILES;
  if (!site) throw new Error("expected a site, actual none");
  const workload = createAdapterRequests(site, 20_000, 7);
  assert.equal(createAdapterRequests(site, 20_000, 7), workload);
  const expected = 20 * site.requestsPerSecond;
  assert.ok(Math.abs(workload.length - expected) < 0.2 * expected);
});

test.run();
