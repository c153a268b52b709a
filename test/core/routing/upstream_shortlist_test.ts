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

test("lists every upstream of a small pool", () => {
  assert.is(shortlist(createHosts(32), "briefing@v1").length, 32);
});

test("does not grow with the pool", () => {
  for (const count of [100, 1_000, 10_000]) {
    assert.ok(shortlist(createHosts(count), "briefing@v1").length <= 16);
  }
});

test("always lists the upstreams that have the adapter", () => {
  const upstreamIds = ["engine-7", "engine-99"];
  const listed = shortlist(createHosts(100), "briefing@v1", upstreamIds);
  for (const holder of upstreamIds) assert.ok(listed.includes(holder));
  assert.is(new Set(listed).size, listed.length);
});

test("is the same in every daemon, and spreads keys over the pool", () => {
  const hosts = createHosts(150);
  assert.equal(shortlist(hosts, "a@v1"), shortlist(hosts, "a@v1"));
  const seen = new Set(
    Array.from({ length: 200 }, (_, index) => shortlist(hosts, `a${index}@v1`))
      .flat(),
  );
  assert.is(seen.size, 150);
});

test.run();
