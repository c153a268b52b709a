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

test("accepts a newer revision", () => {
  const replica = new TableReplica();
  assert.equal(replica.offerTables(createTables(2)), { kind: "accepted" });
  assert.is(replica.getTablesRevision(), 2);
});

test("ignores a published delta to an older or equal revision", () => {
  const replica = new TableReplica();
  replica.offerTables(createTables(5));
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
    assert.equal(replica.offerPublishedDelta(delta), { kind: "stale" });
  }
  assert.is(replica.getTablesRevision(), 5);
  assert.is(replica.getSnapshot()?.getRoutes().length, 1);
});

test("ignores an older or equal revision", () => {
  const replica = new TableReplica();
  replica.offerTables(createTables(5));
  for (const revision of [5, 4, 1]) {
    assert.equal(replica.offerTables(createTables(revision)), {
      kind: "stale",
    });
  }
  assert.is(replica.getTablesRevision(), 5);
});

test("rejects an invalid revision as a whole and keeps the last valid one", () => {
  const replica = new TableReplica();
  replica.offerTables(createTables(2));
  const invalid = createTables(3);
  invalid.pools = [];
  assert.is(replica.offerTables(invalid).kind, "invalid");
  assert.is(replica.getTablesRevision(), 2);
  assert.ok(replica.getSnapshot()?.getRoute("briefing", "derwent"));
});

test("returns a route to its own customer only", () => {
  const replica = new TableReplica();
  replica.offerTables(createTables(2));
  assert.is(replica.getSnapshot()?.getRoute("briefing", "solljus"), undefined);
  assert.is(replica.getSnapshot()?.getRoute("absent", "derwent"), undefined);
});

test.run();
