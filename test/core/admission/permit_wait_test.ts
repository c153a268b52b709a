/** Waits for a permit end while the caller is still connected. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeMaxPermitWaitMs } from "../../../src/core/admission/permit_wait.ts";

/**
 * Callers abandon a stream after four objectives without an event, two seconds
 * at the least.
 */
const computeAbandonMs = (objectiveMs: number) =>
  Math.max(2_000, 4 * objectiveMs);

test("a chat with a long timeout doesn't wait until its caller has left", () => {
  const waitMs = computeMaxPermitWaitMs({
    latencyObjectiveMs: 800,
    interTokenObjectiveMs: 0,
    elapsedMs: 0,
    remainingMs: 15_000,
  });
  assert.ok(waitMs < computeAbandonMs(800) - 500, String(waitMs));
  assert.ok(waitMs > 800);
});

test("with a short latency objective, callers stay for eight inter-token objectives", () => {
  const request = {
    latencyObjectiveMs: 500,
    elapsedMs: 0,
    remainingMs: 20_000,
  };
  const short = computeMaxPermitWaitMs({
    ...request,
    interTokenObjectiveMs: 0,
  });
  const long = computeMaxPermitWaitMs({
    ...request,
    interTokenObjectiveMs: 300,
  });
  assert.ok(short < computeAbandonMs(500) - 500, String(short));
  assert.is(long - short, 400);
});

test("the time already waited counts", () => {
  const waitMs = computeMaxPermitWaitMs({
    latencyObjectiveMs: 800,
    interTokenObjectiveMs: 0,
    elapsedMs: 2_400,
    remainingMs: 12_600,
  });
  assert.ok(2_400 + waitMs < computeAbandonMs(800) - 500, String(waitMs));
});

test("a request waits while it can still be on time, up to its remaining time", () => {
  const waitMs = computeMaxPermitWaitMs({
    latencyObjectiveMs: 1_000,
    interTokenObjectiveMs: 0,
    elapsedMs: 100,
    remainingMs: 700,
  });
  assert.is(waitMs, 700);
});

test.run();
