/** Waits for a permit end while the caller is still connected. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeMaxPermitWaitMs } from "../../../src/core/admission/permit_wait.ts";

/**
 * Callers abandon a stream after four objectives without an event, two seconds
 * at the least.
 */
const LEAVES_AT = (objectiveMs: number) => Math.max(2_000, 4 * objectiveMs);

test("a chat with a long limit does not wait until its caller has left", () => {
  const patience = computeMaxPermitWaitMs({
    latencyObjectiveMs: 800,
    interTokenObjectiveMs: 0,
    elapsedMs: 0,
    remainingMs: 15_000,
  });
  assert.ok(patience < LEAVES_AT(800) - 500, String(patience));
  assert.ok(patience > 800);
});

test("a caller with a short objective stays for eight of the pauses that are in time", () => {
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
  assert.ok(short < LEAVES_AT(500) - 500, String(short));
  assert.is(long - short, 400);
});

test("what has waited already counts", () => {
  const patience = computeMaxPermitWaitMs({
    latencyObjectiveMs: 800,
    interTokenObjectiveMs: 0,
    elapsedMs: 2_400,
    remainingMs: 12_600,
  });
  assert.ok(2_400 + patience < LEAVES_AT(800) - 500, String(patience));
});

test("a place that can still be in time is waited for, within the limit", () => {
  const patience = computeMaxPermitWaitMs({
    latencyObjectiveMs: 1_000,
    interTokenObjectiveMs: 0,
    elapsedMs: 100,
    remainingMs: 700,
  });
  assert.is(patience, 700);
});

test.run();
