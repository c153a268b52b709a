/** Holders that other daemons named are believed for a while, and then forgotten. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OwnerHints } from "../../../src/core/fleet/owner_hints.ts";

test("the latest word counts until it is old", () => {
  const told = new OwnerHints();
  told.record("engine-1", "entry-1", 0);
  told.record("engine-1", "entry-2", 1_000);
  assert.is(told.find("engine-1", 10_999), "entry-2");
  assert.is(told.find("engine-1", 11_000), undefined);
  assert.is(told.find("engine-2", 1_000), undefined);
});

test("a word that proved wrong is forgotten", () => {
  const told = new OwnerHints();
  told.record("engine-1", "entry-1", 0);
  told.forget("engine-1");
  assert.is(told.find("engine-1", 1), undefined);
});

test("engines that come and go leave nothing behind", () => {
  const told = new OwnerHints();
  for (let index = 0; index < 1_000; index += 1) {
    told.record(`engine-${index}`, "entry-1", index * 1_000);
  }
  assert.is(told.size, 10);
});

test("an engine that nobody held is not asked for again at once", () => {
  const told = new OwnerHints();
  assert.not(told.isUnowned("e", 0));
  told.recordUnowned("e", 0);
  assert.ok(told.isUnowned("e", 399));
  assert.not(told.isUnowned("e", 400));
  told.recordUnowned("e", 500);
  told.record("e", "h", 600);
  assert.not(told.isUnowned("e", 610));
});

test.run();
