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
    mayEvictCommon: false,
    divisionKey: "0",
    model: "m",
    ownAdapter: "own",
    dividedPaths: part.idlePaths ?? [],
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

test("claimants whose idle adapters differ never evict the same one", () => {
  for (let from = 0; from < 50; from += 1) {
    const dividedPaths = [0, 1, 2, 3, 4].map((each) => `m/a${from + each}`);
    const victims = CLAIMANTS.flatMap((selfId, index) =>
      select({
        selfId,
        dividedPaths,
        idlePaths: dividedPaths.filter((_, each) => each !== index),
      })?.adapterPath ?? []
    );
    assert.is(new Set(victims).size, victims.length);
  }
});

test("each claimant may evict an adapter of an engine that has as many as claimants", () => {
  for (let from = 0; from < 50; from += 1) {
    const idlePaths = [0, 1, 2].map((each) => `m/a${from + each}`);
    for (const selfId of CLAIMANTS) {
      assert.is(select({ selfId, idlePaths })?.kind, "evict");
    }
  }
});

test("the common share is evicted from only in turns, also by daemons that are not listed as claimants", () => {
  for (let from = 0; from < 50; from += 1) {
    const idlePaths = [0, 1, 2, 3].map((each) => `m/a${from + each}`);
    const victims = CLAIMANTS.map((selfId) =>
      select({ selfId, idlePaths })?.adapterPath
    );
    const unlisted = { selfId: "host-4", idlePaths };
    assert.is(select(unlisted), undefined);
    victims.push(select({ ...unlisted, mayEvictCommon: true })?.adapterPath);
    assert.is(new Set(victims).size, idlePaths.length);
  }
});

test("claimants of an engine with fewer adapters than claimants evict in turns", () => {
  const idlePaths = ["m/a1"];
  for (const selfId of [...CLAIMANTS, "host-4"]) {
    assert.is(select({ selfId, idlePaths }), undefined);
    const order = select({ selfId, idlePaths, mayEvictCommon: true });
    assert.is(order?.adapterPath, "m/a1");
  }
});

test("another division gives a claimant another share", () => {
  const dividedPaths = ["m/a1", "m/a2", "m/a3"];
  const victims = Array.from(
    { length: 50 },
    (_, each) =>
      select({ idlePaths: dividedPaths, divisionKey: String(each) })
        ?.adapterPath,
  );
  assert.equal(new Set(victims), new Set(dividedPaths));
});

test("an adapter of another claimant's share is evicted only if that is allowed", () => {
  const dividedPaths = ["m/a1", "m/a2", "m/a3"];
  const input = { dividedPaths, idlePaths: ["m/a1"] };
  const owners = CLAIMANTS.filter((selfId) =>
    select({ ...input, selfId, mayEvictCommon: true })
  );
  assert.is(owners.length, 1);
  const other = CLAIMANTS.find((selfId) => !owners.includes(selfId));
  const late = select({ ...input, selfId: other ?? "", mayEvictAny: true });
  assert.equal(late, {
    kind: "evict",
    model: "m",
    adapter: "a1",
    adapterPath: "m/a1",
  });
});

test.run();
