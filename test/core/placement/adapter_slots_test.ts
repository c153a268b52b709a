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

test("if loads take longer than estimated, few are considered done too early", () => {
  const slots = new AdapterSlots(SLOTS);
  let tooEarly = 0;
  let now = 0;
  for (let load = 0; load < 100; load += 1) {
    now += 400;
    slots.recordLoadOrdered(`m/a${load}`, undefined, now);
    const slot = slots.getSlot(`m/a${load}`);
    assert.ok(slot);
    if (!slot) return;
    let readyAt = slot.readyAt;
    while (readyAt - now < TRUE_LOAD_MS) {
      tooEarly += 1;
      slots.recordLoadLate(slot, 60, readyAt);
      readyAt = slot.readyAt;
    }
    slots.completeLoads(readyAt);
    // Most first tokens come from adapters that were already loaded.
    for (let token = 0; token < 5; token += 1) {
      slots.recordLoadOnTime(readyAt);
    }
    slots.recordEvicted(`m/a${load}`);
  }
  assert.ok(tooEarly <= 5, `${tooEarly} of 100 loads`);
});

test("a slowdown by concurrent loads is not remembered for long", () => {
  const slots = new AdapterSlots(SLOTS);
  const initialMs = slots.estimateLoadMs("m/a");
  slots.recordLoadOrdered("m/a", undefined, 0);
  const slot = slots.getSlot("m/a");
  if (!slot) throw new Error("expected a slot, got none");
  for (let late = 0; late < 8; late += 1) slots.recordLoadLate(slot, 60, 0);
  assert.ok(slots.estimateLoadMs("m/b") > 2 * initialMs);
  for (let token = 0; token < 40; token += 1) slots.recordLoadOnTime(2_000);
  assert.ok(slots.estimateLoadMs("m/b") < 1.2 * initialMs);
});

test("the estimate shrinks again once loads are fast", () => {
  const slots = new AdapterSlots(SLOTS);
  const initialMs = slots.estimateLoadMs("m/a");
  slots.recordLoadOrdered("m/a", undefined, 0);
  const slot = slots.getSlot("m/a");
  if (!slot) throw new Error("expected a slot, got none");
  for (let late = 0; late < 4; late += 1) slots.recordLoadLate(slot, 60, 0);
  assert.ok(slots.estimateLoadMs("m/b") > 1.3 * initialMs);
  for (let token = 0; token < 100; token += 1) {
    slots.recordLoadOnTime(120_000);
  }
  assert.is(slots.estimateLoadMs("m/b"), initialMs);
});

test("late loads are forgotten when the engine is idle afterwards", () => {
  const slots = new AdapterSlots(4);
  slots.recordLoadOrdered("m/a1", undefined, 0);
  const [late] = slots.completeLoads(300);
  const initialMs = slots.estimateLoadMs("m/a2");
  if (late) slots.recordLoadLate(late, 60, 1_000);
  assert.ok(slots.estimateLoadMs("m/a2") > 2 * initialMs);
  slots.completeLoads(3_000);
  assert.ok(slots.estimateLoadMs("m/a2") > 2 * initialMs);
  slots.completeLoads(7_000);
  assert.is(slots.estimateLoadMs("m/a2"), initialMs);
});

test.run();
