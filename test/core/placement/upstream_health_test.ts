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
const ILL = 3;

/** Returns a pseudorandom number from 0 to 1 for a request. */
function drawShare(request: number): number {
  return hashText(`request ${request}`) / 0x1_0000_0000;
}

/**
 * Simulates some seconds of requests at eight hosts; returns how many failed.
 */
function countFailures(isTold: boolean): number {
  const hosts = Array.from({ length: HOSTS }, () => new UpstreamHealth());
  let failures = 0;
  for (let request = 0; request < 2_400; request += 1) {
    const now = request * 5;
    const health = hosts[request % HOSTS];
    if (!health) throw new Error("expected a host");
    if (isTold && request % 80 === 0) {
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
    const hasFailed = chosen < ILL && drawShare(request) < 0.4;
    if (hasFailed) failures += 1;
    health.recordSignal(`${chosen}`, hasFailed ? "failed" : "answered", now);
  }
  return failures;
}

test("what two hosts have found out spares the others", () => {
  const alone = countFailures(false);
  const told = countFailures(true);
  assert.ok(told < 0.7 * alone, `${told} in place of ${alone}`);
});

test("one peer's word does not count, and it ends with the reports", () => {
  const health = new UpstreamHealth();
  health.recordReports([[["a", 5, 5], ["b", 2, 2]], [["b", 2, 4]]]);
  assert.not(health.isAvoided("a", 0));
  assert.ok(health.isAvoided("b", 0));
  assert.equal(health.listFailing(0), [], "others' word is not passed on");
  health.recordReports([[["b", 2, 2]]]);
  assert.not(health.isAvoided("b", 0));
});

test("a few failures among many answers leave an upstream in use", () => {
  const health = new UpstreamHealth();
  health.recordReports([[["a", 2, 12]], [["a", 2, 9]], [["a", 1, 8]]]);
  assert.not(health.isAvoided("a", 0));
});

test.run();
