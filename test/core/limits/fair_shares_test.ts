import { test } from "uvu";
import * as assert from "uvu/assert";
import { FairShares } from "../../../src/core/limits/fair_shares.ts";

function createShares(weights: Record<string, number> = {}): FairShares {
  return new FairShares((customer) => weights[customer] ?? 1);
}

test("a customer alone exceeds nothing", () => {
  const shares = createShares();
  shares.recordDemand("a", 0);
  shares.recordUsage("a", 100, 0);
  assert.not.ok(shares.isOverShare("a", 200));
});

test("a customer above its part yields, one below does not", () => {
  const shares = createShares();
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  shares.recordUsage("b", 10, 0);
  assert.ok(shares.isOverShare("a", 200));
  assert.not.ok(shares.isOverShare("b", 200));
});

test("parts are in proportion to the customers' shares", () => {
  const shares = createShares({ a: 3 });
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  shares.recordUsage("b", 10, 0);
  assert.not.ok(shares.isOverShare("a", 200));
});

test("a customer that asks no more leaves the division", () => {
  const shares = createShares();
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  shares.recordDemand("a", 60_000);
  assert.not.ok(shares.isOverShare("a", 60_000));
});

test("what was given long ago counts less", () => {
  const shares = createShares();
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 600_000);
  shares.recordUsage("b", 10, 600_000);
  assert.not.ok(shares.isOverShare("a", 600_000));
  assert.ok(shares.isOverShare("b", 600_000));
});

test.run();
