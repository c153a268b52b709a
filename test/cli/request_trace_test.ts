/** Selects the records of gateways' logs that are related to one request. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  explainRefusals,
  formatRecord,
  type LogRecord,
  parseLogLine,
  selectRequestRecords,
} from "../../src/cli/request_trace.ts";

function createRecord(
  second: number,
  event: string,
  fields: Record<string, unknown> = {},
): LogRecord {
  const time = new Date(1_800_000_000_000 + second * 1_000).toISOString();
  return { time, level: "info", host: "host-1", event, ...fields };
}

const RECORDS = [
  createRecord(20, "requestDecision", { requestId: "r1", verdict: "refuse" }),
  createRecord(10, "placeDenied", { requestId: "r1", upstream: "i-1" }),
  createRecord(8, "engineBelief", { upstream: "i-1", change: "released" }),
  createRecord(8, "engineBelief", { upstream: "i-2", change: "released" }),
  createRecord(9, "engineBelief", {
    host: "host-2",
    upstream: "i-1",
    change: "claimed",
  }),
  createRecord(1, "engineBelief", { upstream: "i-1", change: "claimed" }),
  createRecord(7, "storeLost"),
  createRecord(7, "storeLost", { host: "host-3" }),
  createRecord(12, "requestServed", { requestId: "r2", upstream: "i-1" }),
];

test("selects the records of the request, its upstreams and its host in time order", () => {
  const described = selectRequestRecords(RECORDS, "r1").map((record) =>
    `${record.host} ${record.event}`
  );
  assert.equal(described, [
    "host-1 storeLost",
    "host-1 engineBelief",
    "host-2 engineBelief",
    "host-1 placeDenied",
    "host-1 requestDecision",
  ]);
});

test("selects nothing for a request id that no record has", () => {
  assert.equal(selectRequestRecords(RECORDS, "r9"), []);
});

test("parses lines with a prefix and skips those without a record", () => {
  const record = createRecord(1, "started");
  assert.equal(parseLogLine(`1.5 host-1 ${JSON.stringify(record)}`), record);
  for (const line of ["", "no log line", "{broken", '{"event":"started"}']) {
    assert.is(parseLogLine(line), undefined);
  }
});

test("formats a record as one line of text", () => {
  const record = createRecord(0, "placeDenied", { requestId: "r", waitMs: 3 });
  assert.is(
    formatRecord(record),
    "2027-01-15T08:00:00.000Z host-1 placeDenied requestId=r waitMs=3",
  );
});

/** Versions in force, a restored store's lower one included, and refusals. */
const REFUSALS = [
  createRecord(1, "configurationInForce", { version: 7, versionInForce: 7 }),
  createRecord(5, "configurationInForce", { version: 8, versionInForce: 8 }),
  createRecord(6, "configurationInForce", {
    host: "host-2",
    version: 9,
    versionInForce: 9,
  }),
  createRecord(7, "requestDecision", {
    requestId: "r401",
    status: 401,
    key: "unknown",
    configurationVersion: 8,
  }),
  createRecord(7, "requestDecision", {
    host: "host-2",
    requestId: "r401-missing",
    status: 401,
    key: "missing",
    configurationVersion: 9,
  }),
  createRecord(7, "allotmentExceeded", { customer: "mill", rejected: 3 }),
  createRecord(7, "allotmentExceeded", { customer: "other", rejected: 4 }),
  createRecord(8, "requestDecision", {
    requestId: "r429",
    status: 429,
    customer: "mill",
    cost: 500,
    unit: "tokens",
    ratePerS: 100,
    burst: 200,
    configurationVersion: 8,
  }),
  createRecord(9, "configurationInForce", { version: 9, versionInForce: 9 }),
];

test("a 401 is explained by the key and the host's configuration, also where other hosts are ahead", () => {
  assert.equal(explainRefusals(REFUSALS, "r401"), [
    "host-1 answered 401: no customer holds its key by configuration 8, in force there since 2027-01-15T08:00:05.000Z; host-2 had a later version",
  ]);
  assert.equal(explainRefusals(REFUSALS, "r401-missing"), [
    "host-2 answered 401: it has no key, or an empty one, by configuration 9, in force there since 2027-01-15T08:00:06.000Z",
  ]);
});

test("a 429 is explained by the customer's limit and the host's configuration", () => {
  assert.equal(explainRefusals(REFUSALS, "r429"), [
    "host-1 answered 429: customer mill has used its quota of 100 tokens per second, burst 200, and the request costs 500, by configuration 8, in force there since 2027-01-15T08:00:05.000Z; host-2 had a later version",
  ]);
  const related = selectRequestRecords(REFUSALS, "r429")
    .filter(({ event }) => event === "allotmentExceeded");
  assert.equal(related.map(({ customer }) => customer), ["mill"]);
});

test("a request that got neither 401 nor 429 has no explanation of them", () => {
  assert.equal(explainRefusals(RECORDS, "r1"), []);
});

test.run();
