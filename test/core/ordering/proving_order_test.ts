/**
 * Daemons that claim an engine at the same time prove their ownership with
 * different orders.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ProvingOrderInput,
  selectProvingOrder,
} from "../../../src/core/ordering/proving_order.ts";

const CLAIMANTS = ["host-1", "host-2", "host-3"];

function select(part: Partial<ProvingOrderInput>) {
  return selectProvingOrder({
    selfId: "host-1",
    claimants: CLAIMANTS,
    mayEvictAny: false,
    model: "m",
    ownAdapter: "own",
    idlePaths: [],
    hasFreeSlot: false,
    hasAdapter: () => false,
    ...part,
  });
}

test("with a free slot the own adapter is loaded, unless it is already present", () => {
  assert.is(select({ hasFreeSlot: true })?.adapterPath, "m/own");
  assert.is(select({ hasFreeSlot: true })?.kind, "load");
  assert.is(select({ hasFreeSlot: true, hasAdapter: () => true }), undefined);
});

test("claimants that see the same idle adapters never evict the same one", () => {
  for (let from = 0; from < 50; from += 1) {
    const idlePaths = [0, 1, 2, 3, 4].map((each) => `m/a${from + each}`);
    const victims = CLAIMANTS.flatMap((selfId) =>
      select({ selfId, idlePaths })?.adapterPath ?? []
    );
    assert.is(new Set(victims).size, victims.length);
  }
});

test("an adapter of another claimant's share is evicted only if that is allowed", () => {
  const idlePaths = ["m/a1"];
  const owners = CLAIMANTS.filter((selfId) => select({ selfId, idlePaths }));
  assert.is(owners.length, 1);
  const other = CLAIMANTS.find((selfId) => !owners.includes(selfId));
  const late = select({ selfId: other ?? "", idlePaths, mayEvictAny: true });
  assert.equal(late, {
    kind: "evict",
    model: "m",
    adapter: "a1",
    adapterPath: "m/a1",
  });
});

test.run();
