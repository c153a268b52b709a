/** Selects the records of gateways' logs that are related to one request. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
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

test.run();
