/**
 * An upstream answered with a status below 100, such as 000. Its caller's
 * connection was closed without an answer, and a request that may be repeated
 * was not. Such a status is none: the answer counts as lost, and says nothing
 * about whether the request has run.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { EVENT_STREAM, EVENTS } from "./broken_answer_calls.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const STATUSES = ["000", "001", "042", "099"];
const FRAMINGS = ["length", "chunked", "close"] as const;

test.before(async () => {
  harness.retrySlack = 1_000_000;
  harness.routeOverrides = { resume: { resumable: true, attempts: 2 } };
  await harness.start({ gateways: 1, engines: 1, services: 2 });
});
test.after(() => harness.stop());

function createInvalid(
  status: string,
  fields: Partial<ScriptedAnswer> = {},
): ScriptedAnswer {
  const framing = fields.framing ?? "length";
  return {
    statusLine: `HTTP/1.1 ${status} Nothing`,
    headers: EVENT_STREAM,
    body: EVENTS.join(""),
    end: framing === "close" ? "close" : "keep",
    ...fields,
    framing,
  };
}

let lastNumber = 0;

function createId(): string {
  lastNumber += 1;
  return `status-${lastNumber}`;
}

for (const path of ["/unsafe/1", "/brief/1"]) {
  test(`${path}: the connection of the caller is closed without an answer`, async () => {
    for (const status of STATUSES) {
      for (const framing of FRAMINGS) {
        for (const headPieceBytes of [undefined, 1]) {
          const id = createId();
          const invalid = createInvalid(status, {
            framing,
            ...(headPieceBytes ? { headPieceBytes } : {}),
          });
          harness.scriptAnswers(id, [invalid]);
          const answer = await harness.callRaw(path, {
            httpVersion: "1.1",
            id,
          });
          const detail = `${status}, ${framing}, ${headPieceBytes}`;
          assert.is(answer.status, 502, detail);
          assert.ok(answer.isComplete, detail);
          assert.is(harness.countRuns(id), 1, detail);
        }
      }
    }
  });
}

test("a request that may be repeated is not sent to another upstream", async () => {
  for (const status of STATUSES) {
    for (const method of ["GET", "POST"]) {
      const id = createId();
      harness.scriptAnswers(id, [createInvalid(status)]);
      const answer = await harness.call("/safe/1", { id, method });
      assert.is(answer.status, 200, status);
      assert.is(harness.countRuns(id), 2, status);
    }
  }
});

test("a stream goes on with an answer that has no status", async () => {
  for (const status of STATUSES) {
    const id = createId();
    harness.scriptAnswers(id, [{
      framing: "chunked",
      headers: EVENT_STREAM,
      body: EVENTS.join(""),
      sentBytes: (EVENTS[0] ?? "").length + 3,
      end: "close",
    }, createInvalid(status, { body: EVENTS[1] ?? "" })]);
    const answer = await harness.callRaw("/resume/1", {
      httpVersion: "1.1",
      id,
    });
    assert.is(answer.status, 200);
    assert.not.ok(answer.isComplete);
    assert.is(answer.body, EVENTS[0]);
  }
});

test("an answer that has no status is believed to say that its request has not run", async () => {
  for (const path of ["/unsafe/1", "/brief/1"]) {
    const id = createId();
    harness.scriptAnswers(id, [
      createInvalid("000", { headers: { "X-Not-Run": "1" } }),
    ]);
    const answer = await harness.callRaw(path, { httpVersion: "1.1", id });
    assert.is(answer.status, 502);
    assert.is(harness.countRuns(id), 1);
  }
});

test.run();
