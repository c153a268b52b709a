/** Requests of a log sorted by what became of them: each counted once, in the second of its arrival. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  countLosses,
  formatLossRow,
  Loss,
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

test("each concluded request is counted once, by the step that cost most", () => {
  const [chat, book] = sumByRoute(countLosses(RECORDS));
  assert.is(chat?.requests, 7);
  assert.equal(
    chat?.counts,
    new Map([
      [Loss.InTime, 1],
      [Loss.LateWaiting, 1],
      [Loss.LateAtUpstream, 1],
      [Loss.Refused, 1],
      [Loss.Stretched, 1],
      [Loss.Cut, 1],
      [Loss.Failed, 1],
    ]),
  );
  assert.is(chat?.questions, 9);
  assert.equal(book?.counts, new Map([[Loss.LateInFull, 1]]));
});

test("seconds count from the first arrival", () => {
  const rows = countLosses(RECORDS).filter((row) => row.route === "chat");
  assert.equal(rows.map((row) => [row.second, row.requests]), [[0, 3], [2, 4]]);
  const [first] = rows;
  assert.is(
    first && formatLossRow(first),
    "chat 0 s: 3 requests, in time 1, late: waited for a place 1, " +
      "late: upstream's first event 1; 1.67 questions each",
  );
});

test.run();
