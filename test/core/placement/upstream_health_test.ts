/**
 * Upstreams that fail some of their requests while their health check passes:
 * the failures that each host sees count for all.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { hashText } from "../../../src/core/hashing.ts";
import { UpstreamHealth } from "../../../src/core/placement/upstream_health.ts";

const HOSTS = 8;
const UPSTREAMS = 12;
/** Upstreams with a lower index fail two out of five requests. */
const UNHEALTHY = 3;

/** Returns a pseudorandom number from 0 to 1 for a request. */
function drawFraction(request: number): number {
  return hashText(`request ${request}`) / 0x1_0000_0000;
}

/**
 * Simulates some seconds of requests at eight hosts; returns how many failed.
 */
function countFailures(isShared: boolean): number {
  const hosts = Array.from({ length: HOSTS }, () => new UpstreamHealth());
  let failures = 0;
  for (let request = 0; request < 2_400; request += 1) {
    const now = request * 5;
    const health = hosts[request % HOSTS];
    if (!health) throw new Error("expected a host");
    if (isShared && request % 80 === 0) {
      for (const host of hosts) {
        const others = hosts.filter((each) => each !== host);
        host.recordReports(others.map((each) => each.listFailing(now)));
      }
    }
    const ids = Array.from(
      { length: UPSTREAMS },
      (_, index) => (request * 7 + index) % UPSTREAMS,
    );
    const chosen = ids.find((id) => !health.isAvoided(`${id}`, now)) ?? 0;
    const hasFailed = chosen < UNHEALTHY && drawFraction(request) < 0.4;
    if (hasFailed) failures += 1;
    health.recordSignal(`${chosen}`, hasFailed ? "failed" : "answered", now);
  }
  return failures;
}

test("the reports of two hosts spare the others", () => {
  const alone = countFailures(false);
  const shared = countFailures(true);
  assert.ok(shared < 0.7 * alone, `${shared} instead of ${alone}`);
});

test("the report of a single peer does not count, and reports end when they are replaced", () => {
  const health = new UpstreamHealth();
  health.recordReports([[["a", 5, 5], ["b", 2, 2]], [["b", 2, 4]]]);
  assert.not(health.isAvoided("a", 0));
  assert.ok(health.isAvoided("b", 0));
  assert.equal(health.listFailing(0), [], "peers' reports are not forwarded");
  health.recordReports([[["b", 2, 2]]]);
  assert.not(health.isAvoided("b", 0));
});

test("few failures among many answers don't exclude an upstream", () => {
  const health = new UpstreamHealth();
  health.recordReports([[["a", 2, 12]], [["a", 2, 9]], [["a", 1, 8]]]);
  assert.not(health.isAvoided("a", 0));
});

test.run();
