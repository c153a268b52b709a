/**
 * Order of upstreams: adapter replicas, load of services, unhealthy ones last.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  rankEngines,
  rankServiceUpstreams,
} from "../../../src/core/placement/upstream_ranking.ts";
import { UpstreamHealth } from "../../../src/core/placement/upstream_health.ts";
import type { PublishedUpstream } from "../../../src/core/view/published_view.ts";

function createUpstream(id: string, failureDomain = "a"): PublishedUpstream {
  return {
    id,
    service: "s",
    address: "127.0.0.1:1",
    failureDomain,
    maxConcurrentRequests: 6,
    isLeaving: false,
    bornAtUnixMs: 1,
    models: ["m"],
    adapters: new Map(),
  };
}

const UPSTREAMS = ["1", "2", "3", "4", "5"].map((id) => createUpstream(id));

/** An adapter with hardly any requests. */
const IDLE = {
  failureDomain: "a",
  concurrentRuns: 0,
  prefillLoad: 0,
  isLoadNeeded: true,
  spreadKey: "r",
};

test("an adapter keeps its preferred engine when another engine is removed", () => {
  const health = new UpstreamHealth();
  let moved = 0;
  for (let index = 0; index < 200; index += 1) {
    const path = `m/a${index}`;
    const [preferred] = rankEngines(path, UPSTREAMS, IDLE, health, 0);
    const [after] = rankEngines(path, UPSTREAMS.slice(1), IDLE, health, 0);
    if (preferred?.id !== after?.id) moved += 1;
    if (preferred?.id !== "1") assert.is(after?.id, preferred?.id);
  }
  assert.ok(moved > 20 && moved < 60, `${moved} of 200 moved`);
});

/** Fifteen engines in three failure domains. */
const MULTI_DOMAIN_ENGINES = Array.from(
  { length: 15 },
  (_, index) => createUpstream(`e${index}`, ["a", "b", "c"][index % 3]),
);

test("a popular adapter is served in its callers' failure domain, any other by one preferred engine", () => {
  const health = new UpstreamHealth();
  const popular = { ...IDLE, concurrentRuns: 3 };
  for (const failureDomain of ["a", "b", "c"]) {
    const [preferred] = rankEngines(
      "m/a1",
      MULTI_DOMAIN_ENGINES,
      { ...popular, failureDomain },
      health,
      0,
    );
    assert.is(preferred?.failureDomain, failureDomain);
  }
  const preferredIds = new Set(
    ["a", "b", "c"].map((failureDomain) =>
      rankEngines(
        "m/a1",
        MULTI_DOMAIN_ENGINES,
        { ...IDLE, failureDomain },
        health,
        0,
      )[0]
        ?.id
    ),
  );
  assert.is(preferredIds.size, 1);
});

test("an adapter that would saturate one engine gets several evenly used replicas", () => {
  const health = new UpstreamHealth();
  const uses = new Map<string, number>();
  for (let request = 0; request < 300; request += 1) {
    const demand = {
      ...IDLE,
      concurrentRuns: 20,
      prefillLoad: 0.6,
      spreadKey: `r${request}`,
    };
    const [preferred] = rankEngines(
      "m/a1",
      MULTI_DOMAIN_ENGINES,
      demand,
      health,
      0,
    );
    assert.is(preferred?.failureDomain, "a");
    const id = preferred?.id ?? "";
    uses.set(id, (uses.get(id) ?? 0) + 1);
  }
  assert.is(uses.size, 3);
  for (const count of uses.values()) assert.ok(count > 70, `${count} of 300`);
});

test("an engine that holds the adapter comes before a preferred one that would load it, a local one first", () => {
  const health = new UpstreamHealth();
  const preferred = rankEngines(
    "m/a7",
    MULTI_DOMAIN_ENGINES,
    IDLE,
    health,
    0,
  )[0]?.id;
  const engines = MULTI_DOMAIN_ENGINES.map((engine) => ({
    ...engine,
    adapters: new Map(
      engine.id !== preferred && ["e1", "e3", "e4"].includes(engine.id)
        ? [["m/a7", 1]]
        : [],
    ),
  }));
  const ranked = rankEngines("m/a7", engines, IDLE, health, 0);
  const holding = engines.filter((engine) => engine.adapters.size > 0);
  assert.is(ranked[0]?.failureDomain, "a");
  assert.equal(
    new Set(ranked.slice(0, holding.length).map((engine) => engine.id)),
    new Set(holding.map((engine) => engine.id)),
  );
});

test("the base model takes no load and is served in the local failure domain", () => {
  const health = new UpstreamHealth();
  const demand = { ...IDLE, failureDomain: "b", isLoadNeeded: false };
  const [first] = rankEngines(
    "m|part",
    MULTI_DOMAIN_ENGINES,
    demand,
    health,
    0,
  );
  assert.is(first?.failureDomain, "b");
});

test("an unreachable engine is ranked last until its avoidance time has passed", () => {
  const health = new UpstreamHealth();
  const [preferred] = rankEngines("m/a1", UPSTREAMS, IDLE, health, 0);
  health.recordSignal(preferred?.id ?? "", "unreachable", 0);
  const during = rankEngines("m/a1", UPSTREAMS, IDLE, health, 100);
  assert.is(during.at(-1)?.id, preferred?.id);
  assert.is(
    rankEngines("m/a1", UPSTREAMS, IDLE, health, 3_000)[0]?.id,
    preferred?.id,
  );
});

test("an upstream that fails half of its requests is avoided until it recovers", () => {
  const health = new UpstreamHealth();
  const rankAt = (now: number, key: string) =>
    rankServiceUpstreams(UPSTREAMS, {
      failureDomain: "a",
      health,
      getLoad: () => undefined,
      tieBreakKey: key,
    }, now)[0]?.id;
  for (let index = 0; index < 12; index += 1) {
    const sign = index % 2 === 0 ? "failed" : "answered";
    health.recordSignal("3", sign, index * 100);
  }
  const countThird = (now: number) =>
    Array.from({ length: 200 }, (_, index) => rankAt(now, `r${index}`))
      .filter((id) => id === "3").length;
  assert.is(countThird(1_200), 0);
  for (let at = 20_000; at < 24_000; at += 100) {
    health.recordSignal("3", "answered", at);
  }
  assert.ok(countThird(60_000) > 15);
});

test("local upstreams come first until their load is higher by a quarter", () => {
  const local = createUpstream("local", "a");
  const remote = createUpstream("remote", "b");
  const rank = (ownRunning: number) =>
    rankServiceUpstreams([remote, local], {
      failureDomain: "a",
      health: new UpstreamHealth(),
      getLoad: (id) =>
        id === "local"
          ? { ownRunning, reportedRunning: 0, reportedAt: 0 }
          : undefined,
      tieBreakKey: "r",
    }, 0)[0]?.id;
  assert.is(rank(1), "local");
  assert.is(rank(2), "remote");
});

test.run();
