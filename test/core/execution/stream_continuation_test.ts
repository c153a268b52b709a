/** Which answers and events continue a stream that broke off. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  canFollowEvent,
  isContinuation,
} from "../../../src/core/execution/stream_continuation.ts";

test("an answer continues a stream only with the same status, and the same media type if both name one", () => {
  const first = { status: 200, contentType: "text/event-stream" };
  const cases: [number, string, boolean][] = [
    [200, "text/event-stream", true],
    [200, "Text/Event-Stream; charset=utf-8", true],
    [206, "text/event-stream", false],
    [204, "", false],
    [200, "text/html", false],
    [200, "", true],
  ];
  for (const [status, contentType, expected] of cases) {
    const next = { status, contentType };
    assert.is(isContinuation(first, next), expected, JSON.stringify(next));
  }
  const untyped = { status: 200, contentType: "" };
  assert.ok(isContinuation(untyped, untyped));
});

test("an event follows another only with a higher id, or another one that is no number", () => {
  const cases: [string, string, boolean][] = [
    ["2", "3", true],
    ["2", "7", true],
    ["9", "10", true],
    ["2", "2", false],
    ["2", "1", false],
    ["10", "9", false],
    ["a", "b", true],
    ["a", "a", false],
    ["2", "b", true],
  ];
  for (const [last, next, expected] of cases) {
    assert.is(canFollowEvent(last, next), expected, `${last}, then ${next}`);
  }
});

test.run();
