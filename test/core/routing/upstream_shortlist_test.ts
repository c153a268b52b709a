import { test } from "uvu";
import * as assert from "uvu/assert";
import { listShortlist } from "../../../src/core/routing/upstream_shortlist.ts";
import type { HostStructure } from "../../../src/core/structures.ts";

function createHosts(count: number): HostStructure[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `engine-${index}`,
    address: `127.0.0.1:${index}`,
    failureDomain: "hobart-a",
    role: "upstream",
    service: "brief-writer",
    state: "live",
  }));
}

function shortlist(
  hosts: HostStructure[],
  key: string,
  adapterUpstreamIds: string[] = [],
): string[] {
  const byId = new Map(hosts.map((host) => [host.id, host]));
  return [...listShortlist(hosts, {
    adapterUpstreamIds: new Set(adapterUpstreamIds),
    key,
    getPoolHost: (id) => byId.get(id),
  })].map((host) => host.id);
}

test("ranks a small pool whole", () => {
  assert.is(shortlist(createHosts(32), "briefing@v1").length, 32);
});

test("does not grow with the pool", () => {
  for (const count of [100, 1_000, 10_000]) {
    assert.ok(shortlist(createHosts(count), "briefing@v1").length <= 16);
  }
});

test("always has the upstreams that hold the adapter", () => {
  const holders = ["engine-7", "engine-99"];
  const listed = shortlist(createHosts(100), "briefing@v1", holders);
  for (const holder of holders) assert.ok(listed.includes(holder));
  assert.is(new Set(listed).size, listed.length);
});

test("is the same at every daemon, and spreads over the pool by key", () => {
  const hosts = createHosts(150);
  assert.equal(shortlist(hosts, "a@v1"), shortlist(hosts, "a@v1"));
  const seen = new Set(
    Array.from({ length: 200 }, (_, index) => shortlist(hosts, `a${index}@v1`))
      .flat(),
  );
  assert.is(seen.size, 150);
});

test.run();
