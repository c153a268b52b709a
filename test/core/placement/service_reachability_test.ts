/** When a host counts as cut off from upstreams. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceReachability } from "../../../src/core/placement/service_reachability.ts";

const DESK = ["a", "b", "c", "d"];
const OTHER = ["x", "y"];
const DESK_IDS = {
  ofService: listUpstreams(DESK),
  ofAllServices: listUpstreams([...DESK, ...OTHER]),
};
const OTHER_IDS = {
  ...DESK_IDS,
  ofService: listUpstreams(OTHER),
};

function listUpstreams(ids: string[], failureDomain = "a") {
  return ids.map((id) => ({ id, failureDomain }));
}

test("two upstreams without a connection, none reached in between, stand for all", () => {
  const reachability = new ServiceReachability();
  assert.not(reachability.recordUnreachable("desk", "a", DESK_IDS, 0));
  assert.not(reachability.isCutOff("desk"));
  assert.ok(reachability.recordUnreachable("desk", "b", DESK_IDS, 400));
  assert.is(reachability.getCutOffSince("desk"), 400);
  assert.ok(reachability.isCutOff("other"));
  assert.not(reachability.recordUnreachable("desk", "c", DESK_IDS, 500));
  assert.is(reachability.getCutOffSince("desk"), 400);
});

test("upstreams of two services are evidence together", () => {
  const reachability = new ServiceReachability();
  assert.not(reachability.recordUnreachable("desk", "a", DESK_IDS, 0));
  assert.ok(reachability.recordUnreachable("other", "x", OTHER_IDS, 100));
  assert.ok(reachability.isCutOff("desk"));
});

test("a service may be cut off while another one is reached", () => {
  const reachability = new ServiceReachability();
  reachability.recordUnreachable("desk", "a", DESK_IDS, 0);
  reachability.recordReached("other");
  assert.ok(reachability.recordUnreachable("desk", "b", DESK_IDS, 100));
  reachability.recordReached("other");
  assert.ok(reachability.isCutOff("desk"));
  assert.not(reachability.isCutOff("other"));
});

test("one upstream that fails again and again is no cut, unless it is the only one", () => {
  const reachability = new ServiceReachability();
  for (let now = 0; now < 3_000; now += 100) {
    assert.not(reachability.recordUnreachable("desk", "a", DESK_IDS, now));
  }
  const single = {
    ofService: listUpstreams(["a"]),
    ofAllServices: listUpstreams(["a", "x"]),
  };
  assert.ok(reachability.recordUnreachable("single", "a", single, 0));
});

test("upstreams that crash one after the other, with connections to others in between, are no cut", () => {
  const reachability = new ServiceReachability();
  for (const [index, id] of DESK.entries()) {
    assert.not(
      reachability.recordUnreachable("desk", id, DESK_IDS, index * 100),
    );
    reachability.recordReached("desk");
  }
});

test("failures long ago, and of upstreams that are gone, don't count", () => {
  const reachability = new ServiceReachability();
  reachability.recordUnreachable("desk", "a", DESK_IDS, 0);
  assert.not(reachability.recordUnreachable("desk", "b", DESK_IDS, 3_001));
  const left = {
    ofService: listUpstreams(["c", "d"]),
    ofAllServices: listUpstreams(["c", "d"]),
  };
  assert.not(reachability.recordUnreachable("desk", "c", left, 3_100));
});

test("a failure domain that is cut off by itself is no cut from the service", () => {
  const reachability = new ServiceReachability();
  const upstreams = [
    ...listUpstreams(["a", "b"], "near"),
    ...listUpstreams(["c", "d"], "far"),
  ];
  const ids = { ofService: upstreams, ofAllServices: upstreams };
  assert.not(reachability.recordUnreachable("desk", "c", ids, 0));
  assert.not(reachability.recordUnreachable("desk", "d", ids, 100));
  assert.ok(reachability.recordUnreachable("desk", "a", ids, 200));
});

test("the first connection ends the cut, and a new one needs new evidence", () => {
  const reachability = new ServiceReachability();
  reachability.recordUnreachable("desk", "a", DESK_IDS, 0);
  reachability.recordUnreachable("desk", "b", DESK_IDS, 100);
  assert.ok(reachability.recordReached("desk"));
  assert.not(reachability.isCutOff("desk"));
  assert.not(reachability.recordReached("desk"));
  assert.not(reachability.recordUnreachable("desk", "a", DESK_IDS, 200));
});

test.run();
