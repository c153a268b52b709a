import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_CORE_SETTINGS } from "../../../src/core/core_settings.ts";
import { DaemonCore } from "../../../src/core/daemon_core.ts";
import type { Effect } from "../../../src/core/effects.ts";
import type {
  HostStructure,
  TablesStructure,
} from "../../../src/core/structures.ts";
import { checkTables } from "../../../src/core/tables/table_schema.ts";

const TICK_MS = 50;

/** One daemon with one engine, which finishes each load by the next tick. */
class LoneDaemon {
  readonly core: DaemonCore;
  readonly effects: Effect[] = [];
  readonly loads: string[] = [];
  now = 0;

  constructor() {
    this.core = new DaemonCore({
      selfId: "entry-1",
      incarnation: "i1",
      failureDomain: "hobart-a",
      settings: DEFAULT_CORE_SETTINGS,
      seedHosts: [],
      ticketSecret: new Uint8Array(32),
    }, this.now);
    this.core.handle(
      { kind: "hostListPublished", hostList: { revision: 1, hosts: HOSTS } },
      this.now,
    );
    this.publish(createTables(1, 8));
    this.advance(DEFAULT_CORE_SETTINGS.startGraceMs * 2);
  }

  publish(tables: TablesStructure): void {
    this.core.handle({ kind: "tablesPublished", tables }, this.now);
  }

  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.now += TICK_MS;
      for (const orderId of this.loads.splice(0)) this.endOrder(orderId);
      this.apply(this.core.handle({ kind: "tick" }, this.now));
    }
  }

  endOrder(orderId: string): void {
    const result = { kind: "done" } as const;
    const event = { kind: "orderEnded", orderId, result } as const;
    this.apply(this.core.handle(event, this.now));
  }

  apply(effects: Effect[]): void {
    this.effects.push(...effects);
    for (const effect of effects) {
      if (effect.kind === "readUpstreamState") {
        this.apply(this.core.handle({
          kind: "upstreamStateRead",
          upstreamId: effect.upstreamId,
          readId: effect.readId,
          state: {
            incarnation: "e1",
            fencing: 0,
            leaving: false,
            residents: [],
            running: 0,
          },
        }, this.now));
      }
      if (effect.kind !== "order") continue;
      if (effect.order.kind === "claim") this.endOrder(effect.orderId);
      else this.loads.push(effect.orderId);
    }
  }
}

const HOSTS: HostStructure[] = [
  {
    id: "entry-1",
    address: "127.0.0.1:1",
    failureDomain: "hobart-a",
    role: "entry",
    service: "",
    state: "live",
  },
  {
    id: "engine-1",
    address: "127.0.0.1:2",
    failureDomain: "hobart-a",
    role: "upstream",
    service: "brief-writer",
    state: "live",
  },
];

function createTables(revision: number, batchSize: number): TablesStructure {
  return checkTables({
    revision,
    customers: [{ name: "derwent", tokenDigests: ["a".repeat(64)] }],
    pools: [{
      name: "writers",
      service: "brief-writer",
      failureDomains: ["hobart-a"],
      slots: 4,
      batchSize,
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

test("applies a changed pool at the owner of its upstreams", () => {
  const daemon = new LoneDaemon();
  daemon.publish(createTables(2, 3));
  const [upstream] = daemon.core.describe(daemon.now).upstreams;
  assert.is(upstream?.batchSize, 3);
});

test("the last daemon still serves accepted requests during a planned stop", () => {
  const daemon = new LoneDaemon();
  daemon.apply(daemon.core.handle({
    kind: "requestArrived",
    requestId: "request-1",
    customer: "derwent",
    route: "briefing",
    fingerprint: "f1",
    sharedParts: [],
  }, daemon.now));
  daemon.apply(
    daemon.core.handle({
      kind: "stopRequested",
      endsAt: Number.POSITIVE_INFINITY,
    }, daemon.now),
  );
  daemon.advance(DEFAULT_CORE_SETTINGS.loadTimeMs * 4);
  const kinds = daemon.effects.map((effect) => effect.kind);
  assert.ok(kinds.includes("dispatch"));
  assert.not(kinds.includes("refuse"));
});

test.run();
