import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdapterIndex } from "../../../src/core/membership/adapter_index.ts";
import { PoolIndex } from "../../../src/core/membership/pool_index.ts";
import type { UpstreamDigest } from "../../../src/core/messages.ts";
import type { HostStructure } from "../../../src/core/structures.ts";
import { createPool } from "./membership_fixtures.ts";

function createUpstream(
  id: string,
  service: string,
  failureDomain: string,
): HostStructure {
  return {
    id,
    address: "127.0.0.1:1",
    failureDomain,
    role: "upstream",
    service,
    state: "live",
  };
}

function createDigest(
  upstreamId: string,
  residents: string[],
  loading: string[] = [],
): UpstreamDigest {
  return {
    upstreamId,
    residents,
    loading,
    creditsInUse: 0,
    waiting: 0,
    victimValue: 0,
    leaving: false,
    up: true,
  };
}

test("finds the upstreams of a pool only in the failure domains of the pool", () => {
  const index = new PoolIndex([
    createUpstream("w1", "writer", "a"),
    createUpstream("w2", "writer", "b"),
    createUpstream("w3", "writer", "c"),
    createUpstream("d1", "dispatch", "a"),
  ]);
  const pool = createPool({ service: "writer", failureDomains: ["a", "b"] });
  const found = index.getPoolUpstreams(pool).map((host) => host.id);
  assert.equal(found, ["w1", "w2"]);
  assert.is(index.getPoolUpstreams(pool), index.getPoolUpstreams(pool));
});

test("updates the index when an adapter moves from one upstream to another", () => {
  const index = new AdapterIndex();
  const first = createDigest("w1", ["a@1"], ["b@1"]);
  index.update(undefined, first);
  index.update(undefined, createDigest("w2", ["a@1"]));
  assert.equal([...index.getUpstreamIds("a@1")], ["w1", "w2"]);
  assert.equal([...index.getUpstreamIds("b@1")], ["w1"]);
  index.update(first, createDigest("w1", ["b@1"]));
  assert.equal([...index.getUpstreamIds("a@1")], ["w2"]);
  assert.equal([...index.getUpstreamIds("b@1")], ["w1"]);
  assert.equal([...index.getUpstreamIds("c@1")], []);
});

test.run();
