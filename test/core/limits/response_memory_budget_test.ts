/** The bound that answers share: short ones always fit, floods are cut, nothing leaks. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ResponseMemoryBudget } from "../../../src/core/limits/response_memory_budget.ts";

const FREE = 100;
const SHARED = 1_000;

function createBudget(): ResponseMemoryBudget {
  return new ResponseMemoryBudget({ exemptBytes: FREE, sharedBytes: SHARED });
}

test("floods share the bound, short answers pass beside them", () => {
  const budget = createBudget();
  const floods = [budget.createReservation(), budget.createReservation()];
  let taken = 0;
  for (let piece = 0; piece < 100; piece += 1) {
    for (const flood of floods) if (budget.tryExtend(flood, 50)) taken += 50;
  }
  assert.is(taken, SHARED + 2 * FREE);
  const short = budget.createReservation();
  assert.ok(budget.tryExtend(short, FREE));
  assert.not(budget.tryExtend(short, 1));
});

test("what an answer gives back others can take", () => {
  const budget = createBudget();
  const first = budget.createReservation();
  assert.ok(budget.tryExtend(first, FREE + SHARED));
  const second = budget.createReservation();
  assert.not(budget.tryExtend(second, FREE + 1));
  budget.release(first);
  budget.release(first);
  assert.is(budget.usedBytes, 0);
  assert.ok(budget.tryExtend(second, FREE + SHARED));
  budget.release(second);
  assert.is(budget.usedBytes, 0);
});

test("a refused piece takes nothing", () => {
  const budget = createBudget();
  const answer = budget.createReservation();
  assert.not(budget.tryExtend(answer, FREE + SHARED + 1));
  assert.is(answer.bytes, 0);
  assert.is(budget.usedBytes, 0);
});

test.run();
