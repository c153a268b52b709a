import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdapterPopularity } from "../../../src/core/residency/adapter_popularity.ts";

test("a peer takes over the score of an evicted adapter", () => {
  const former = new AdapterPopularity();
  const next = new AdapterPopularity();
  former.recordRequests("salmon@1", 5, 0);
  former.recordEviction("salmon@1");
  next.mergeEvictions(former.takeEvictions(100), 100);
  assert.ok(Math.abs(next.getScore("salmon@1", 100) - 5) < 0.01);
});

test("a lower score from a peer changes nothing", () => {
  const popularity = new AdapterPopularity();
  popularity.recordRequests("salmon@1", 5, 0);
  popularity.mergeEvictions([{ adapterKey: "salmon@1", score: 2 }], 0);
  assert.is(popularity.getScore("salmon@1", 0), 5);
});

test("an eviction is returned only once", () => {
  const popularity = new AdapterPopularity();
  popularity.recordRequests("salmon@1", 5, 0);
  popularity.recordEviction("salmon@1");
  assert.equal(popularity.takeEvictions(0), [
    { adapterKey: "salmon@1", score: 5 },
  ]);
  assert.equal(popularity.takeEvictions(1), []);
});

test.run();
