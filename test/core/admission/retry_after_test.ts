/**
 * Retry times with jitter, limited by the caller's remaining time, and
 * admission during shutdown.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeRetryAfterMs } from "../../../src/core/admission/retry_after.ts";
import {
  canAdmitWhileStopping,
  canFinishBefore,
} from "../../../src/core/admission/stop_admission.ts";

test("callers refused at the same moment get retry times spread over half of the wait", () => {
  const times = Array.from({ length: 200 }, (_, index) =>
    computeRetryAfterMs({
      requestId: `r${index}`,
      expectedWaitMs: 400,
      remainingMs: 9_000,
    }));
  assert.ok(Math.min(...times) >= 400);
  assert.ok(Math.max(...times) <= 600);
  const early = times.filter((time) => time < 500).length;
  assert.ok(early > 70 && early < 130, `${early} of 200 in the first half`);
});

test("the retry time is at most a third of the remaining time", () => {
  const time = computeRetryAfterMs({
    requestId: "r",
    expectedWaitMs: 5_000,
    remainingMs: 900,
  });
  assert.is(time, 300);
});

test("a stopping daemon admits only requests that it can complete in time", () => {
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

test("a stopping daemon admits no generation once the load balancer must know that it stops", () => {
  // A generation admitted 3.3 s after the stop notice was still running 4.3 s
  // later on a crowded engine.
  const chat = {
    isGeneration: true,
    promptTokens: 646,
    outputTokens: 68,
    latencyObjectiveMs: 500,
  };
  const booking = { ...chat, isGeneration: false, latencyObjectiveMs: 193 };
  const stop = { beganAt: 1_000, endsAt: 8_700 };
  assert.ok(canAdmitWhileStopping(stop, chat, 3_400));
  assert.not(canAdmitWhileStopping(stop, chat, 4_340));
  assert.ok(canAdmitWhileStopping(stop, booking, 4_340));
  assert.not(canAdmitWhileStopping(stop, booking, 8_000));
});

test.run();
