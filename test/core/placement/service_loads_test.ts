/** Estimates of the load and pace of upstreams between their reports. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type LoadReport,
  ServiceLoads,
} from "../../../src/core/placement/service_loads.ts";

const REPORT: LoadReport = {
  requests: 4,
  waiting: 0,
  slots: 6,
  pace: 3,
};

function createLoads(...reports: [at: number, Partial<LoadReport>][]) {
  const loads = new ServiceLoads();
  loads.recordStart("u");
  for (const [at, report] of reports) {
    loads.recordReport("u", { ...REPORT, ...report }, at);
  }
  loads.recordEnd("u");
  return loads;
}

test("a report just heard is the estimate", () => {
  const { requests, pace, slots } = createLoads([0, {}], [50, { pace: 2 }])
    .estimateLoad("u", 50);
  assert.is(pace, 2);
  assert.is(slots, 6);
  // One of the four was this daemon's own, which has ended.
  assert.is(requests, 3);
});

test("an old report does not outweigh the mean of those before it", () => {
  const reports = Array.from(
    { length: 20 },
    (_, index): [number, Partial<LoadReport>] => [index * 100, { pace: 1 }],
  );
  const loads = createLoads(...reports, [2_000, { pace: 6 }]);
  assert.is(loads.estimateLoad("u", 2_000).pace, 6);
  const { pace } = loads.estimateLoad("u", 3_000);
  assert.ok(pace > 1 && pace < 2, `${pace}`);
});

test("an upstream that was slow and is not heard any more counts as normal in the end", () => {
  const loads = createLoads([0, {}], [100, {}], [200, {}]);
  assert.ok(loads.estimateLoad("u", 1_000).pace > 2);
  const { pace, requests } = loads.estimateLoad("u", 60_000);
  assert.ok(pace < 1.1, `${pace}`);
  assert.ok(requests < 0.1, `${requests}`);
});

test("this daemon's own requests count from when they are sent, until they end", () => {
  const loads = createLoads([0, {}]);
  const before = loads.estimateLoad("u", 10).requests;
  loads.recordStart("u");
  loads.recordStart("u");
  assert.is(loads.estimateLoad("u", 10).requests, before + 2);
  loads.recordEnd("u");
  assert.is(loads.estimateLoad("u", 10).requests, before + 1);
});

test("an upstream with waiting requests, or that rejected one, is saturated for a short time", () => {
  const waiting = createLoads([0, { waiting: 1 }]);
  assert.ok(waiting.estimateLoad("u", 50).isSaturated);
  assert.not(waiting.estimateLoad("u", 500).isSaturated);
  const rejecting = createLoads([0, {}]);
  assert.not(rejecting.estimateLoad("u", 0).isSaturated);
  rejecting.recordRejection("u", 0);
  assert.ok(rejecting.estimateLoad("u", 50).isSaturated);
  assert.not(rejecting.estimateLoad("u", 500).isSaturated);
});

test("a faulty pace is limited, so that it can't exclude the upstream or draw all requests", () => {
  for (const [pace, limit] of [[1e9, 20], [1e-9, 0.1]] as const) {
    assert.is(createLoads([0, { pace }]).estimateLoad("u", 0).pace, limit);
  }
});

test("only the first report with a pace is told as such, and no report without one", () => {
  const loads = new ServiceLoads();
  assert.not(loads.recordReport("u", REPORT, 0));
  assert.not(loads.hasPace("u"));
  loads.recordStart("u");
  assert.not(loads.recordReport("u", { ...REPORT, pace: undefined }, 0));
  assert.not(loads.hasPace("u"));
  assert.is(loads.estimateHighestPace(0), undefined);
  assert.ok(loads.recordReport("u", REPORT, 0));
  assert.not(loads.recordReport("u", REPORT, 0));
  assert.ok(loads.hasPace("u"));
  assert.is(loads.estimateHighestPace(0), 3);
});

test.run();
