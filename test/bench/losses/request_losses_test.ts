/**
 * Requests of a log by outcome: each is counted once, in the second of its
 * arrival.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  countOutcomes,
  formatOutcomeRow,
  RequestOutcome,
  sumByRoute,
} from "../../../bench/losses/request_losses.ts";
import type { LogRecord } from "../../../src/cli/request_trace.ts";

function createRecord(atMs: number, part: object): LogRecord {
  return {
    time: new Date(1_000_000 + atMs).toISOString(),
    level: "info",
    host: "h",
    event: "requestServed",
    route: "chat",
    verdict: "deliver",
    reason: "status 200",
    objectiveMs: 500,
    elapsedMs: 100,
    questions: 1,
    ...part,
  };
}

const RECORDS = [
  createRecord(100, { sentMs: 5, firstByteMs: 80 }),
  createRecord(900, { sentMs: 450, firstByteMs: 600, questions: 3 }),
  createRecord(950, { sentMs: 50, firstByteMs: 700 }),
  createRecord(2_100, { event: "requestDecision", verdict: "refuse" }),
  createRecord(2_200, {
    event: "requestDecision",
    verdict: "fail",
    reason: "deadline",
  }),
  createRecord(2_300, {
    event: "requestDecision",
    verdict: "fail",
    reason: "ECONNRESET: aborted",
  }),
  createRecord(2_400, { reason: "status 500" }),
  createRecord(2_500, { route: "book", elapsedMs: 700 }),
  createRecord(2_600, { event: "requestDecision", verdict: "tryAnother" }),
  createRecord(2_700, { event: "placeDenied" }),
];

test("counts each request with an outcome once; late ones by the slower step", () => {
  const [chat, book] = sumByRoute(countOutcomes(RECORDS));
  assert.is(chat?.requests, 7);
  assert.equal(
    chat?.counts,
    new Map([
      [RequestOutcome.OnTime, 1],
      [RequestOutcome.LateBeforeDispatch, 1],
      [RequestOutcome.LateAtUpstream, 1],
      [RequestOutcome.Refused, 1],
      [RequestOutcome.DeadlineExceeded, 1],
      [RequestOutcome.ResponseInterrupted, 1],
      [RequestOutcome.UpstreamError, 1],
    ]),
  );
  assert.is(chat?.permitCount, 9);
  assert.equal(book?.counts, new Map([[RequestOutcome.LateWholeResponse, 1]]));
});

test("counts seconds from the arrival of the first request", () => {
  const rows = countOutcomes(RECORDS).filter((row) => row.route === "chat");
  assert.equal(rows.map((row) => [row.second, row.requests]), [[0, 3], [2, 4]]);
  const [first] = rows;
  assert.is(
    first && formatOutcomeRow(first),
    "chat 0 s: 3 requests, in time 1, late: waited for a place 1, " +
      "late: upstream's first event 1; 1.67 questions each",
  );
});

test.run();
