/**
 * The copy of the store never goes back to an older revision, whether changes
 * come from the store or from peers.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreMirror } from "../../../src/core/view/store_mirror.ts";

function put(key: string, revision: number, value = "v") {
  return { key, revision, value };
}

test("an older revision never replaces a newer one", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({
    isSnapshot: true,
    asOf: 9,
    changes: [put("a", 9, "new")],
  });
  const applied = mirror.applyBatch({
    isSnapshot: false,
    asOf: 5,
    changes: [put("a", 5, "old")],
  });
  assert.equal(applied, []);
  assert.is(mirror.asOf, 9);
  assert.is(mirror.buildBatchAfter(0).changes[0]?.value, "new");
});

test("a snapshot removes the keys that it does not list, unless they are newer", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({
    isSnapshot: false,
    asOf: 12,
    changes: [put("a", 3), put("b", 12)],
  });
  const applied = mirror.applyBatch({
    isSnapshot: true,
    asOf: 10,
    changes: [],
  });
  assert.equal(applied, [{ key: "a", revision: 10, value: undefined }]);
  assert.equal(mirror.buildBatchAfter(0).changes, [put("b", 12)]);
});

test("an older change does not restore a removed key, a newer one does", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({ isSnapshot: true, asOf: 1, changes: [put("a", 1)] });
  mirror.applyBatch({
    isSnapshot: false,
    asOf: 4,
    changes: [{ key: "a", revision: 4, value: undefined }],
  });
  assert.equal(
    mirror.applyBatch({ isSnapshot: false, asOf: 4, changes: [put("a", 3)] }),
    [],
  );
  const applied = mirror.applyBatch({
    isSnapshot: false,
    asOf: 6,
    changes: [put("a", 6)],
  });
  assert.is(applied.length, 1);
});

test("a peer that lags behind gets changes and removals, one without data a snapshot", () => {
  const mirror = new StoreMirror();
  mirror.applyBatch({
    isSnapshot: true,
    asOf: 3,
    changes: [put("a", 1), put("b", 3)],
  });
  mirror.applyBatch({
    isSnapshot: false,
    asOf: 5,
    changes: [{ key: "a", revision: 5, value: undefined }],
  });
  const delta = mirror.buildBatchAfter(3);
  assert.not(delta.isSnapshot);
  assert.equal(delta.changes, [{ key: "a", revision: 5, value: undefined }]);
  const whole = mirror.buildBatchAfter(0);
  assert.ok(whole.isSnapshot);
  assert.equal(whole.changes, [put("b", 3)]);
});

test("a peer that lags behind the remembered removals gets a snapshot", () => {
  const mirror = new StoreMirror();
  for (let revision = 1; revision <= 2_100; revision += 1) {
    mirror.applyBatch({
      isSnapshot: false,
      asOf: revision,
      changes: [{ key: `k${revision}`, revision, value: undefined }],
    });
  }
  assert.ok(mirror.buildBatchAfter(50).isSnapshot);
  assert.not(mirror.buildBatchAfter(2_000).isSnapshot);
});

test.run();
