/**
 * Guards against batches so full that the pauses between events exceed what the
 * callers accept, and against a limit on engines whose pauses are short.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  AdmissionController,
  type PermitRequest,
} from "../../../src/core/admission/admission_controller.ts";
import { BatchCapacity } from "../../../src/core/admission/batch_capacity.ts";
import { PauseLimit } from "../../../src/core/admission/pause_limit.ts";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";

const BATCH_SIZE = 48;
const OBJECTIVE_MS = 400;
const TOKENS = 30;

interface EngineRun {
  permitId: string;
  tokensLeft: number;
  longestPauseMs: number;
}

/**
 * Keeps more requests waiting than an engine can run. Each step gives each run
 * an event and takes longer the more of them there are. Returns what came to
 * its end within each period.
 */
function simulateSteps(
  { objectiveMs, getStepMs, periodMs, periods }: {
    objectiveMs: number | undefined;
    getStepMs: (running: number, now: number) => number;
    periodMs: number;
    periods: number;
  },
): { finished: number; late: number; running: number }[] {
  const admission = new AdmissionController(
    new AdapterSlots(1),
    new BatchCapacity({ batchSize: BATCH_SIZE, kvCapacityTokens: 231_170 }),
  );
  const runs: EngineRun[] = [];
  const results = [];
  let count = 0;
  let now = 0;
  for (let period = 1; period <= periods; period += 1) {
    const result = { finished: 0, late: 0, running: 0 };
    while (now < period * periodMs) {
      while (admission.countWaiting() < 4) {
        count += 1;
        admission.requestPermit(createRequest(`p${count}`, objectiveMs), now);
      }
      for (const answer of admission.takeAnswers()) {
        if (answer.kind !== "granted") continue;
        const { permitId } = answer;
        runs.push({ permitId, tokensLeft: TOKENS, longestPauseMs: 0 });
      }
      const stepMs = getStepMs(runs.length, now);
      now += stepMs;
      for (const run of [...runs]) {
        if (run.tokensLeft === TOKENS) {
          admission.recordFirstToken(run.permitId, now);
        } else run.longestPauseMs = Math.max(run.longestPauseMs, stepMs);
        run.tokensLeft -= 1;
        if (run.tokensLeft > 0) continue;
        runs.splice(runs.indexOf(run), 1);
        result.finished += 1;
        if (run.longestPauseMs > OBJECTIVE_MS) result.late += 1;
        admission.releasePermit(run.permitId, now, run.longestPauseMs);
      }
      result.running = runs.length;
    }
    results.push(result);
  }
  return results;
}

function createRequest(
  permitId: string,
  interTokenObjectiveMs: number | undefined,
): PermitRequest {
  return {
    permitId,
    holder: "entry",
    model: "m",
    adapter: "",
    adapterPath: "m",
    priorityRank: 1,
    promptTokens: 100,
    outputTokens: TOKENS,
    promptParts: [],
    patienceMs: 100_000,
    firstTokenBudgetMs: 1_000,
    interTokenObjectiveMs,
    lifetimeMs: 200_000,
    isLastChoice: true,
  };
}

const FULL_BATCH_TOO_SLOW = (running: number) => 50 + 9 * running;

test("a batch that is too full shrinks until its pauses are accepted", () => {
  const load = {
    getStepMs: FULL_BATCH_TOO_SLOW,
    periodMs: 30_000,
    periods: 6,
  };
  const before = simulateSteps({ ...load, objectiveMs: undefined });
  const after = simulateSteps({ ...load, objectiveMs: OBJECTIVE_MS });
  const last = after.slice(2);
  for (const { late } of last) assert.is(late, 0);
  for (const { running } of last) assert.ok(running >= 26 && running <= 38);
  for (const { late, finished } of before.slice(1)) assert.is(late, finished);
  const sumFinished = (results: { finished: number }[]) =>
    results.reduce((sum, { finished }) => sum + finished, 0);
  assert.ok(sumFinished(last) >= 0.9 * sumFinished(before.slice(2)));
});

test("the batch is filled again when pauses are short", () => {
  const results = simulateSteps({
    objectiveMs: OBJECTIVE_MS,
    getStepMs: (running, now) =>
      now < 60_000 ? FULL_BATCH_TOO_SLOW(running) : 20 + 2 * running,
    periodMs: 30_000,
    periods: 4,
  });
  assert.ok((results[1]?.running ?? 0) < 40);
  assert.is(results[3]?.running, BATCH_SIZE);
});

test("pauses within the objective don't limit the batch", () => {
  const limit = new PauseLimit();
  for (let count = 0; count < 1_000; count += 1) {
    limit.recordPause(count % 20 === 0 ? 900 : 350, {
      objectiveMs: OBJECTIVE_MS,
      running: BATCH_SIZE,
      batchSize: BATCH_SIZE,
    });
  }
  assert.is(limit.maxRunning, undefined);
});

test("pauses of an engine that isn't full don't limit it", () => {
  const limit = new PauseLimit();
  for (let count = 0; count < 1_000; count += 1) {
    limit.recordPause(2_000, {
      objectiveMs: OBJECTIVE_MS,
      running: 10,
      batchSize: BATCH_SIZE,
    });
  }
  assert.is(limit.maxRunning, undefined);
});

test("a batch is never limited below half of its size", () => {
  const limit = new PauseLimit();
  for (let count = 0; count < 1_000; count += 1) {
    limit.recordPause(60_000, {
      objectiveMs: OBJECTIVE_MS,
      running: BATCH_SIZE,
      batchSize: BATCH_SIZE,
    });
  }
  assert.is(limit.maxRunning, BATCH_SIZE / 2);
});

test.run();
