import { test } from "uvu";
import * as assert from "uvu/assert";
import { SlotTable } from "../../../src/core/residency/slot_table.ts";
import type { UpstreamStateStructure } from "../../../src/core/structures.ts";

const ADAPTER = "briefing@v1";

function createState(residents: string[]): UpstreamStateStructure {
  return {
    incarnation: "i1",
    fencing: 0,
    leaving: false,
    residents: residents.map((adapterKey) => ({ adapterKey, inFlight: 0 })),
    running: 0,
  };
}

test("a reading started before an eviction does not restore the adapter", () => {
  const slots = new SlotTable(2);
  slots.reconcile(createState([ADAPTER]), 10, 20);
  slots.applyTrigger(ADAPTER, "evictOrdered", 30);
  slots.applyTrigger(ADAPTER, "orderDone", 50);
  assert.not(slots.reconcile(createState([ADAPTER]), 40, 60));
  assert.is(slots.getSlot(ADAPTER), undefined);
});

test("a reading with an adapter that this owner did not load is an external change", () => {
  const slots = new SlotTable(2);
  assert.ok(slots.reconcile(createState([ADAPTER]), 10, 20));
  assert.ok(slots.isResident(ADAPTER));
});

test("a reading without an adapter that this owner did not evict is an external change", () => {
  const slots = new SlotTable(2);
  slots.reconcile(createState([ADAPTER]), 10, 20);
  assert.ok(slots.reconcile(createState([]), 30, 40));
  assert.is(slots.getSlot(ADAPTER), undefined);
});

test("the result of the owner's own order is not an external change", () => {
  const slots = new SlotTable(2);
  slots.addLoading(ADAPTER, 10);
  slots.applyTrigger(ADAPTER, "orderDone", 20);
  assert.not(slots.reconcile(createState([ADAPTER]), 30, 40));
});

test.run();
