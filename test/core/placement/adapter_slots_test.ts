/**
 * The estimated load time follows observed loads and remembers for a while that
 * it was too short.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";

const SLOTS = 5;
/**
 * Load time at the large sites by their specifications; the initial estimate is
 * that of the smaller sites.
 */
const TRUE_LOAD_MS = 288;

test("where loads take longer than estimated, few are taken for done too soon", () => {
  const places = new AdapterSlots(SLOTS);
  let tooSoon = 0;
  let now = 0;
  for (let load = 0; load < 100; load += 1) {
    now += 400;
    places.recordLoadOrdered(`m/a${load}`, undefined, now);
    const place = places.getSlot(`m/a${load}`);
    assert.ok(place);
    if (!place) return;
    let readyAt = place.readyAt;
    while (readyAt - now < TRUE_LOAD_MS) {
      tooSoon += 1;
      places.recordLoadLate(place, 60, readyAt);
      readyAt = place.readyAt;
    }
    places.completeLoads(readyAt);
    // Most first tokens come from adapters that were already loaded.
    for (let token = 0; token < 5; token += 1) {
      places.recordLoadOnTime(readyAt);
    }
    places.recordEvicted(`m/a${load}`);
  }
  assert.ok(tooSoon <= 5, `${tooSoon} of 100 loads`);
});

test("what a crowd of loads delayed is not remembered for long", () => {
  const places = new AdapterSlots(SLOTS);
  const first = places.estimateLoadMs("m/a");
  places.recordLoadOrdered("m/a", undefined, 0);
  const place = places.getSlot("m/a");
  if (!place) throw new Error("expected a place, got none");
  for (let late = 0; late < 8; late += 1) places.recordLoadLate(place, 60, 0);
  assert.ok(places.estimateLoadMs("m/b") > 2 * first);
  for (let token = 0; token < 40; token += 1) places.recordLoadOnTime(2_000);
  assert.ok(places.estimateLoadMs("m/b") < 1.2 * first);
});

test("the estimate shrinks again once loads are quick", () => {
  const places = new AdapterSlots(SLOTS);
  const first = places.estimateLoadMs("m/a");
  places.recordLoadOrdered("m/a", undefined, 0);
  const place = places.getSlot("m/a");
  if (!place) throw new Error("expected a place, got none");
  for (let late = 0; late < 4; late += 1) places.recordLoadLate(place, 60, 0);
  assert.ok(places.estimateLoadMs("m/b") > 1.3 * first);
  for (let token = 0; token < 100; token += 1) {
    places.recordLoadOnTime(120_000);
  }
  assert.is(places.estimateLoadMs("m/b"), first);
});

test("late loads of an engine that is idle since are forgotten", () => {
  const places = new AdapterSlots(4);
  places.recordLoadOrdered("m/a1", undefined, 0);
  const [late] = places.completeLoads(300);
  const untoldMs = places.estimateLoadMs("m/a2");
  if (late) places.recordLoadLate(late, 60, 1_000);
  assert.ok(places.estimateLoadMs("m/a2") > 2 * untoldMs);
  places.completeLoads(3_000);
  assert.ok(places.estimateLoadMs("m/a2") > 2 * untoldMs);
  places.completeLoads(7_000);
  assert.is(places.estimateLoadMs("m/a2"), untoldMs);
});

test.run();
