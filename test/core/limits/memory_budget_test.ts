/**
 * Short responses are always accepted, long ones share one limit, and released
 * bytes are available again.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemoryBudget } from "../../../src/core/limits/memory_budget.ts";

const EXEMPT_BYTES = 100;
const SHARED_BYTES = 1_000;

function createBudget(): MemoryBudget {
  return new MemoryBudget({
    exemptBytes: EXEMPT_BYTES,
    sharedBytes: SHARED_BYTES,
  });
}

test("long responses share the limit while short responses are still accepted", () => {
  const budget = createBudget();
  const large = [
    budget.createReservation(),
    budget.createReservation(),
  ];
  let reserved = 0;
  for (let chunk = 0; chunk < 100; chunk += 1) {
    for (const each of large) if (budget.tryExtend(each, 50)) reserved += 50;
  }
  assert.is(reserved, SHARED_BYTES + 2 * EXEMPT_BYTES);
  const short = budget.createReservation();
  assert.ok(budget.tryExtend(short, EXEMPT_BYTES));
  assert.not(budget.tryExtend(short, 1));
});

test("bytes that a response releases are available to others", () => {
  const budget = createBudget();
  const first = budget.createReservation();
  assert.ok(budget.tryExtend(first, EXEMPT_BYTES + SHARED_BYTES));
  const second = budget.createReservation();
  assert.not(budget.tryExtend(second, EXEMPT_BYTES + 1));
  budget.release(first);
  budget.release(first);
  assert.is(budget.usedBytes, 0);
  assert.ok(budget.tryExtend(second, EXEMPT_BYTES + SHARED_BYTES));
  budget.release(second);
  assert.is(budget.usedBytes, 0);
});

test("a chunk that exceeds the limit reserves nothing", () => {
  const budget = createBudget();
  const response = budget.createReservation();
  assert.not(budget.tryExtend(response, EXEMPT_BYTES + SHARED_BYTES + 1));
  assert.is(response.bytes, 0);
  assert.is(budget.usedBytes, 0);
});

test.run();
