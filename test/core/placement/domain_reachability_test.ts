/**
 * A failure domain behind a silent network partition is detected by one request
 * and is reachable again with the first heartbeat.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DomainReachability } from "../../../src/core/placement/domain_reachability.ts";

const UPSTREAMS = ["a1", "b1", "b2", "c1"].map((id) => ({
  id,
  failureDomain: id.slice(0, 1),
}));
const PARTITION_MS = 6_000;
/** Cost of an attempt at an unreachable upstream. */
const CONNECT_TIMEOUT_MS = 400;

test("a network partition costs only few of hundreds of requests, not one per upstream and retry", () => {
  const reachability = new DomainReachability();
  let attempts = 0;
  let failures: number[] = [];
  for (let now = 0; now < PARTITION_MS; now += 10) {
    for (const failedAt of failures.filter((at) => at <= now)) {
      reachability.recordUnreachable("b", failedAt);
    }
    failures = failures.filter((at) => at > now);
    // Heartbeats have to be missing for 1.6 s before a peer counts as dead.
    const hasAlivePeer = (domain: string) => domain !== "b" || now < 1_600;
    const reachable = reachability.selectReachable(
      UPSTREAMS,
      hasAlivePeer,
      now,
    );
    const chosen = reachable[(now / 10) % reachable.length];
    if (chosen?.failureDomain !== "b" || now < 1_600) continue;
    attempts += 1;
    failures.push(now + CONNECT_TIMEOUT_MS);
  }
  // Two probe windows, each as long as a connect timeout, in which half of the
  // requests go there.
  assert.ok(attempts <= 2 * CONNECT_TIMEOUT_MS / 10 / 2 + 2, `${attempts}`);
});

test("a failed upstream does not make its failure domain unreachable while peers there are alive", () => {
  const reachability = new DomainReachability();
  reachability.recordUnreachable("b", 0);
  assert.not(reachability.isUnreachable("b", true, 10));
  assert.ok(reachability.isUnreachable("b", false, 10));
  assert.not(reachability.isUnreachable("c", false, 10));
});

test("a failure domain is reachable again after an answer, or after some time", () => {
  const reachability = new DomainReachability();
  reachability.recordUnreachable("b", 0);
  reachability.recordReached("b");
  assert.not(reachability.isUnreachable("b", false, 10));
  reachability.recordUnreachable("b", 100);
  assert.not(reachability.isUnreachable("b", false, 4_000));
});

test("if no failure domain is reachable, none is excluded", () => {
  const reachability = new DomainReachability();
  for (const domain of ["a", "b", "c"]) {
    reachability.recordUnreachable(domain, 0);
  }
  const reachable = reachability.selectReachable(UPSTREAMS, () => false, 10);
  assert.is(reachable.length, UPSTREAMS.length);
});

test.run();
