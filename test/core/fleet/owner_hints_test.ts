/** Hints about the owners of engines are used for a while and then dropped. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OwnerHints } from "../../../src/core/fleet/owner_hints.ts";

test("the latest hint is used until it expires", () => {
  const hints = new OwnerHints();
  hints.record("engine-1", "entry-1", 0);
  hints.record("engine-1", "entry-2", 1_000);
  assert.is(hints.find("engine-1", 10_999), "entry-2");
  assert.is(hints.find("engine-1", 11_000), undefined);
  assert.is(hints.find("engine-2", 1_000), undefined);
});

test("a hint that proved wrong is dropped", () => {
  const hints = new OwnerHints();
  hints.record("engine-1", "entry-1", 0);
  hints.forget("engine-1");
  assert.is(hints.find("engine-1", 1), undefined);
});

test("hints about engines that come and go do not accumulate", () => {
  const hints = new OwnerHints();
  for (let index = 0; index < 1_000; index += 1) {
    hints.record(`engine-${index}`, "entry-1", index * 1_000);
  }
  assert.is(hints.size, 10);
});

test("an engine without an owner is not asked for again at once", () => {
  const hints = new OwnerHints();
  assert.not(hints.isUnowned("e", 0));
  hints.recordUnowned("e", 0);
  assert.ok(hints.isUnowned("e", 399));
  assert.not(hints.isUnowned("e", 400));
  hints.recordUnowned("e", 500);
  hints.record("e", "h", 600);
  assert.not(hints.isUnowned("e", 610));
});

test.run();
