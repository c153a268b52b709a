import { test } from "uvu";
import * as assert from "uvu/assert";
import type { TablesStructure } from "../../../src/core/structures.ts";
import { checkTables } from "../../../src/core/tables/table_schema.ts";
import { TableReplica } from "../../../src/core/tables/table_replica.ts";

const DIGEST = "a".repeat(64);

function createTables(revision: number): TablesStructure {
  return checkTables({
    revision,
    customers: [{ name: "derwent", tokenDigests: [DIGEST] }],
    pools: [{
      name: "writers",
      service: "brief-writer",
      failureDomains: ["hobart-a"],
      slots: 4,
    }],
    routes: [{
      name: "briefing",
      customer: "derwent",
      pool: "writers",
      adapter: "briefing",
      version: "v1",
    }],
  }).unwrap();
}

test("takes a newer revision", () => {
  const keeper = new TableReplica();
  assert.equal(keeper.offerTables(createTables(2)), { kind: "accepted" });
  assert.is(keeper.getTablesRevision(), 2);
});

test("never goes back by a published delta", () => {
  const keeper = new TableReplica();
  keeper.offerTables(createTables(5));
  const unchanged = {
    digest: "",
    customers: [],
    routes: [],
    pools: [],
    removedCustomers: [],
    removedRoutes: ["briefing"],
    removedPools: [],
  };
  for (const toRevision of [5, 4, 1]) {
    const delta = { ...unchanged, fromRevision: 5, toRevision };
    assert.equal(keeper.offerPublishedDelta(delta), { kind: "stale" });
  }
  assert.is(keeper.getTablesRevision(), 5);
  assert.is(keeper.getSnapshot()?.getRoutes().length, 1);
});

test("never goes back to an older or equal revision", () => {
  const keeper = new TableReplica();
  keeper.offerTables(createTables(5));
  for (const revision of [5, 4, 1]) {
    assert.equal(keeper.offerTables(createTables(revision)), { kind: "stale" });
  }
  assert.is(keeper.getTablesRevision(), 5);
});

test("rejects an invalid revision whole and keeps the last good one", () => {
  const keeper = new TableReplica();
  keeper.offerTables(createTables(2));
  const invalid = createTables(3);
  invalid.pools = [];
  assert.is(keeper.offerTables(invalid).kind, "invalid");
  assert.is(keeper.getTablesRevision(), 2);
  assert.ok(keeper.getSnapshot()?.getRoute("briefing", "derwent"));
});

test("shows a route to its own customer only", () => {
  const keeper = new TableReplica();
  keeper.offerTables(createTables(2));
  assert.is(keeper.getSnapshot()?.getRoute("briefing", "solljus"), undefined);
  assert.is(keeper.getSnapshot()?.getRoute("absent", "derwent"), undefined);
});

test.run();
