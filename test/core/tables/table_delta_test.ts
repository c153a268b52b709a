/** Deltas and full transfers of the tables and the host list between peers. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createRoute,
  createTables,
  editTables,
} from "../../../bench/control/fleet_tables.ts";
import type { Effect } from "../../../src/core/effects.ts";
import type { PeerMessage, TablesDelta } from "../../../src/core/messages.ts";
import type { TablesStructure } from "../../../src/core/structures.ts";
import { DeltaLog } from "../../../src/core/tables/delta_log.ts";
import {
  RevisionSource,
  TableExchange,
} from "../../../src/core/tables/table_exchange.ts";
import { TableReplica } from "../../../src/core/tables/table_replica.ts";
import { TableSnapshot } from "../../../src/core/tables/table_snapshot.ts";

const SIZES = {
  domains: 2,
  daemonsPerDomain: 2,
  upstreamsPerDomain: 4,
  pools: 2,
  routes: 20,
};

function createReplica(tables: TablesStructure): TableReplica {
  const replica = new TableReplica();
  assert.equal(replica.offerTables(tables), { kind: "accepted" });
  return replica;
}

function findDelta(from: TablesStructure, to: TablesStructure): TablesDelta {
  return TableSnapshot.createFrom(from)
    .findDelta(TableSnapshot.createFrom(to));
}

/** Table exchanges of two daemons that are connected to each other. */
class ExchangePair {
  readonly replicas = [new TableReplica(), new TableReplica()] as const;
  readonly exchanges: readonly [TableExchange, TableExchange];
  readonly published: TablesDelta[] = [];
  readonly sent: PeerMessage[] = [];
  now = 0;
  /** Replaces a message in transit; returns undefined to drop it. */
  intercept: (message: PeerMessage) => PeerMessage | undefined = (message) =>
    message;

  constructor() {
    this.exchanges = [this.#createExchange(0), this.#createExchange(1)];
  }

  /** Announces the first daemon's revisions to the second. */
  announceRevisions(): void {
    this.exchanges[1].handlePeerRevisions("0", {
      tablesRevision: this.replicas[0].getTablesRevision(),
      hostListRevision: this.replicas[0].getHostListRevision(),
    }, this.now);
  }

  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += 100) {
      this.now += 100;
      for (const exchange of this.exchanges) exchange.tick(this.now);
      this.announceRevisions();
    }
  }

  #createExchange(index: 0 | 1): TableExchange {
    return new TableExchange(this.replicas[index], {
      emit: (effect: Effect) => {
        if (effect.kind !== "send") return;
        this.sent.push(effect.message);
        const message = this.intercept(effect.message);
        if (message) this.#deliver(index === 0 ? 1 : 0, message);
      },
      handleTablesAccepted: () => {},
      handleHostListAccepted: () => {},
      publishTablesDelta: (delta) => this.published.push(delta),
      publishHostListDelta: () => {},
    });
  }

  #deliver(to: 0 | 1, message: PeerMessage): void {
    const from = to === 0 ? "1" : "0";
    const exchange = this.exchanges[to];
    const source = RevisionSource.LocalDomain;
    switch (message.kind) {
      case "tablesRequest":
        return exchange.handleRequest(from, message, this.now);
      case "tablesTransfer":
        return exchange.handleDeltas(from, message, source, this.now);
      case "chunkRequest":
        return exchange.handleChunkRequest(from, message, this.now);
      case "tablesChunk":
        return exchange.handleTablesChunk(from, message, source, this.now);
      case "hostListChunk":
        return exchange.handleHostListChunk(from, message, source, this.now);
      default:
        throw new Error(
          `Expected a message about tables, found ${message.kind}`,
        );
    }
  }
}

test("applying a delta gives the same digest as the full tables", () => {
  const first = createTables(SIZES, 2);
  const second = {
    ...editTables(first, 3),
    pools: first.pools.map((pool) => ({ ...pool, batchSize: 16 })),
  };
  second.routes = second.routes.slice(0, 15).concat(createRoute(99, 2, "v1"));
  const replica = createReplica(first);
  assert.equal(replica.offerTablesDelta(findDelta(first, second)), {
    kind: "accepted",
  });
  const expected = TableSnapshot.createFrom(second);
  const snapshot = replica.getSnapshot();
  assert.is(snapshot?.digest, expected.digest);
  assert.is(snapshot?.getRouteByName("route-3")?.version, "v3");
  assert.is(snapshot?.getRouteByName("route-16"), undefined);
  assert.ok(snapshot?.getRouteByName("route-99"));
});

test("a delta that is stale or leaves a gap changes nothing", () => {
  const revisions = [createTables(SIZES, 2)];
  for (let edit = 0; edit < 3; edit += 1) {
    revisions.push(editTables(revisions.at(-1)!, edit));
  }
  const [r2, r3, r4, r5] = revisions as [
    TablesStructure,
    TablesStructure,
    TablesStructure,
    TablesStructure,
  ];
  const replica = createReplica(r2);
  const cases: [TablesDelta, string, number][] = [
    [findDelta(r4, r5), "gap", 2],
    [findDelta(r2, r3), "accepted", 3],
    [findDelta(r2, r3), "stale", 3],
    [findDelta(r2, r4), "accepted", 4],
    [findDelta(r3, r4), "stale", 4],
    [findDelta(r4, r5), "accepted", 5],
  ];
  for (const [delta, kind, revision] of cases) {
    assert.is(replica.offerTablesDelta(delta).kind, kind);
    assert.is(replica.getTablesRevision(), revision);
  }
});

test("a published delta is rejected if it is stale or leaves a gap", () => {
  const first = createTables(SIZES, 5);
  const replica = createReplica(first);
  const spans: [number, number, string][] = [
    [5, 4, "stale"],
    [5, 5, "stale"],
    [6, 7, "gap"],
    [4, 7, "gap"],
    [5, 6, "accepted"],
  ];
  for (const [fromRevision, toRevision, kind] of spans) {
    const delta = findDelta(first, editTables(first, 1));
    const result = replica.offerPublishedDelta({
      ...delta,
      fromRevision,
      toRevision,
      digest: "",
    });
    assert.is(result.kind, kind, `${fromRevision} to ${toRevision}`);
  }
  assert.is(replica.getTablesRevision(), 6);
});

test("a delta over a change and its reversal fails the digest check", () => {
  const first = createTables(SIZES, 2);
  const changed = editTables(first, 1);
  const reverted = { ...first, revision: 4 };
  const replica = createReplica(changed);
  const result = replica.offerTablesDelta(findDelta(first, reverted));
  assert.is(result.kind, "digestMismatch");
  assert.is(replica.getTablesRevision(), 3);
  assert.is(replica.getSnapshot()?.getRouteByName("route-1")?.version, "v3");
});

const INVALID_DELTAS: [string, (delta: TablesDelta) => Partial<TablesDelta>][] =
  [
    ["a route without its pool", () => ({ removedPools: ["pool-0"] })],
    ["a route without its customer", () => ({ removedCustomers: ["derwent"] })],
    ["a route to an unknown pool", (delta) => ({
      routes: delta.routes.map((route) => ({ ...route, pool: "absent" })),
    })],
    ["a malformed name", (delta) => ({
      routes: delta.routes.map((route) => ({ ...route, name: "no name" })),
    })],
    ["missing rows", (delta) => ({ routes: delta.routes.slice(1) })],
    ["a wrong digest", () => ({ digest: "0".repeat(16) })],
  ];

for (const [what, corrupt] of INVALID_DELTAS) {
  test(`a delta with ${what} is rejected as a whole`, () => {
    const first = createTables(SIZES, 2);
    const replica = createReplica(first);
    const digest = replica.getSnapshot()?.digest;
    const delta = findDelta(first, editTables(first, 2));
    const result = replica.offerTablesDelta({ ...delta, ...corrupt(delta) });
    assert.ok(["invalid", "digestMismatch"].includes(result.kind), result.kind);
    assert.is(replica.getTablesRevision(), 2);
    assert.is(replica.getSnapshot()?.digest, digest);
  });
}

test("the digest does not depend on the order of the rows", () => {
  const tables = createTables(SIZES, 2);
  const reversed = { ...tables, routes: [...tables.routes].reverse() };
  assert.is(
    TableSnapshot.createFrom(tables).digest,
    TableSnapshot.createFrom(reversed).digest,
  );
});

test("the delta log returns no deltas from before a gap", () => {
  const log = new DeltaLog<{ fromRevision: number; toRevision: number }>(
    () => 1,
  );
  for (let revision = 1; revision < 6; revision += 1) {
    log.add({ fromRevision: revision, toRevision: revision + 1 });
  }
  assert.is(log.getDeltasSince(3)?.length, 3);
  assert.is(log.getDeltasSince(6), undefined);
  log.add({ fromRevision: 9, toRevision: 10 });
  assert.is(log.getDeltasSince(3), undefined);
  assert.is(log.getDeltasSince(9)?.length, 1);
});

test("a peer a few revisions behind gets deltas, a new peer gets chunks", () => {
  const pair = new ExchangePair();
  const sizes = { ...SIZES, routes: 4_000 };
  pair.exchanges[0].offerTables(createTables(sizes, 2), 0);
  pair.advance(1_000);
  assert.is(pair.replicas[1].getTablesRevision(), 2);
  const chunks = pair.sent.filter((message) => message.kind === "tablesChunk");
  assert.ok(chunks.length > 1);
  for (const chunk of chunks) {
    assert.ok(JSON.stringify(chunk).length < 1_048_576);
  }
  pair.sent.length = 0;
  let tables = createTables(sizes, 2);
  for (let edit = 0; edit < 3; edit += 1) {
    tables = editTables(tables, edit);
    pair.exchanges[0].offerTables(tables, pair.now);
  }
  assert.is(pair.published.length, 3);
  pair.advance(1_000);
  assert.is(pair.replicas[1].getTablesRevision(), 5);
  assert.is(
    pair.sent.some((message) => message.kind === "tablesChunk"),
    false,
  );
});

test("lost chunks are requested again and incomplete tables are rejected", () => {
  const pair = new ExchangePair();
  const tables = createTables({ ...SIZES, routes: 4_000 }, 2);
  pair.exchanges[0].offerTables(tables, 0);
  let chunks = 0;
  pair.intercept = (message) => {
    if (message.kind !== "tablesChunk") return message;
    chunks += 1;
    if (chunks === 2) return undefined;
    return chunks === 4
      ? { ...message, routes: message.routes.slice(1) }
      : message;
  };
  pair.advance(8_000);
  assert.is(pair.replicas[1].getTablesRevision(), 2);
  assert.is(
    pair.replicas[1].getSnapshot()?.digest,
    pair.replicas[0].getSnapshot()?.digest,
  );
});

test("a full transfer follows a delta with a wrong digest", () => {
  const pair = new ExchangePair();
  const tables = createTables(SIZES, 2);
  pair.exchanges[0].offerTables(tables, 0);
  pair.advance(500);
  pair.exchanges[0].offerTables(editTables(tables, 1), pair.now);
  pair.intercept = (message) =>
    message.kind === "tablesTransfer"
      ? {
        ...message,
        tablesDeltas: message.tablesDeltas.map((delta) => ({
          ...delta,
          digest: "f".repeat(16),
        })),
      }
      : message;
  pair.advance(2_000);
  assert.is(pair.replicas[1].getTablesRevision(), 3);
});

test("the host list is updated by deltas", () => {
  const pair = new ExchangePair();
  const host = {
    id: "entry-1",
    address: "127.0.0.1:1",
    failureDomain: "a",
    role: "entry",
    service: "",
    state: "live",
  } as const;
  pair.exchanges[0].offerHostList({ revision: 1, hosts: [host] }, 0);
  pair.advance(500);
  assert.is(pair.replicas[1].getHostListRevision(), 1);
  pair.exchanges[0].offerHostList({
    revision: 2,
    hosts: [{ ...host, id: "entry-2" }],
  }, pair.now);
  pair.sent.length = 0;
  pair.advance(500);
  assert.is(pair.replicas[1].getHostList()?.getHosts()[0]?.id, "entry-2");
  assert.is(
    pair.sent.some((message) => message.kind === "hostListChunk"),
    false,
  );
});

test.run();
