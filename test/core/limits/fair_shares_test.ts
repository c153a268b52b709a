import { test } from "uvu";
import * as assert from "uvu/assert";
import { FairShares } from "../../../src/core/limits/fair_shares.ts";

function createShares(weights: Record<string, number> = {}): FairShares {
  return new FairShares((customer) => weights[customer] ?? 1);
}

test("a customer without others is never above its share", () => {
  const shares = createShares();
  shares.recordDemand("a", 0);
  shares.recordUsage("a", 100, 0);
  assert.not.ok(shares.isOverShare("a", 200));
});

test("a customer above its share is reported, one below is not", () => {
  const shares = createShares();
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  shares.recordUsage("b", 10, 0);
  assert.ok(shares.isOverShare("a", 200));
  assert.not.ok(shares.isOverShare("b", 200));
});

test("usage is compared in proportion to the customers' weights", () => {
  const shares = createShares({ a: 3 });
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  shares.recordUsage("b", 10, 0);
  assert.not.ok(shares.isOverShare("a", 200));
});

test("a customer without recent requests no longer counts as active", () => {
  const shares = createShares();
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  shares.recordDemand("a", 60_000);
  assert.not.ok(shares.isOverShare("a", 60_000));
});

test("old usage counts less than recent usage", () => {
  const shares = createShares();
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 0);
  shares.recordUsage("a", 30, 0);
  for (const customer of ["a", "b"]) shares.recordDemand(customer, 600_000);
  shares.recordUsage("b", 10, 600_000);
  assert.not.ok(shares.isOverShare("a", 600_000));
  assert.ok(shares.isOverShare("b", 600_000));
});

test.run();
