/** Times to come back: spread, and within what the caller can wait. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeRetryAfterMs } from "../../../src/core/admission/refusal_advice.ts";
import { canFinishBefore } from "../../../src/core/admission/stop_admission.ts";

test("a crowd refused in one moment returns spread over half of the wait", () => {
  const times = Array.from({ length: 200 }, (_, index) =>
    computeRetryAfterMs({
      requestId: `r${index}`,
      expectedMs: 400,
      remainingMs: 9_000,
    }));
  assert.ok(Math.min(...times) >= 400);
  assert.ok(Math.max(...times) <= 600);
  const early = times.filter((time) => time < 500).length;
  assert.ok(early > 70 && early < 130, `${early} of 200 in the first half`);
});

test("the time is one that the caller honours", () => {
  const time = computeRetryAfterMs({
    requestId: "r",
    expectedMs: 5_000,
    remainingMs: 900,
  });
  assert.is(time, 300);
});

test("a stopping daemon takes what it can finish and refuses what it can't", () => {
  const chat = {
    isGeneration: true,
    promptTokens: 826,
    outputTokens: 290,
    latencyObjectiveMs: 800,
  };
  const booking = {
    isGeneration: false,
    promptTokens: 0,
    outputTokens: 0,
    latencyObjectiveMs: 193,
  };
  assert.ok(canFinishBefore(8_000, chat, 3_000));
  assert.not(canFinishBefore(8_000, chat, 5_000));
  assert.ok(canFinishBefore(8_000, booking, 5_000));
  assert.not(canFinishBefore(8_000, booking, 7_000));
});

test.run();
