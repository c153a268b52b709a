/** The comparison of rules for which adapter yields: small demands whose loads can be counted by hand. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type AdapterDemand,
  createPlacesDemand,
  PLACES_SITES,
  type PlacesSite,
} from "../../../bench/places/places_demand.ts";
import {
  runPlaces,
  YieldRule,
} from "../../../bench/places/places_simulation.ts";

const ONE_ENGINE: PlacesSite = {
  name: "one",
  engines: 1,
  slotsPerEngine: 2,
  adapters: 10,
  zipfExponent: 1,
  requestsPerSecond: 1,
};

function createDemand(adapters: readonly number[]): AdapterDemand[] {
  return adapters.map((adapter, index) => ({
    at: 1_000 * index,
    adapter,
    holdMs: 100,
  }));
}

function countLoads(adapters: readonly number[], rule: YieldRule): number {
  const { fetches, reloads } = runPlaces(
    ONE_ENGINE,
    createDemand(adapters),
    rule,
  );
  return fetches + reloads;
}

test("a swept cache keeps what comes again only for the rule that knows it", () => {
  const swept = [1, 2, 3, 1, 2, 3, 1, 2, 3];
  assert.is(countLoads(swept, YieldRule.LeastRecent), 9);
  assert.is(countLoads(swept, YieldRule.Clairvoyant), 6);
});

test("what is used often stays under the rules that count uses", () => {
  const skewed = [1, 1, 1, 2, 3, 1, 4, 5, 1, 6, 7, 1];
  assert.is(countLoads(skewed, YieldRule.LeastRecent), 10);
  assert.is(countLoads(skewed, YieldRule.FewestUses), 7);
  assert.is(countLoads(skewed, YieldRule.DecayedUse), 7);
});

test("an adapter in use does not yield, and who waits is served when one falls idle", () => {
  const demand = [0, 1, 2].map((adapter) => ({
    at: 0,
    adapter,
    holdMs: 1_000,
  }));
  const result = runPlaces(ONE_ENGINE, demand, YieldRule.DecayedUse);
  assert.is(result.requests, 3);
  assert.is(Math.round(result.meanWaitMs), Math.round((250 + 250 + 1_500) / 3));
});

test("a demand is the same for the same seed, and as dense as the site asks", () => {
  const [site] = PLACES_SITES;
  if (!site) throw new Error("expected a site, actual none");
  const demand = createPlacesDemand(site, 20_000, 7);
  assert.equal(createPlacesDemand(site, 20_000, 7), demand);
  const expected = 20 * site.requestsPerSecond;
  assert.ok(Math.abs(demand.length - expected) < 0.2 * expected);
});

test.run();
