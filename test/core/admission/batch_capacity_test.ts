/** The estimated prefill rate follows long prompts and ignores short ones. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BatchCapacity } from "../../../src/core/admission/batch_capacity.ts";

function createDemand(promptTokens: number) {
  return {
    adapterPath: "m/a1",
    promptTokens,
    outputTokens: 10,
    promptParts: [],
  };
}

/**
 * Runs prompts one after the other at a given rate; returns the estimate for
 * another prompt.
 */
function estimateAfterRuns(promptTokens: number, tokensPerMs: number): number {
  const capacity = new BatchCapacity({
    batchSize: 64,
    kvCapacityTokens: 1_000_000,
  });
  for (let round = 0; round < 40; round += 1) {
    const now = round * 10_000;
    capacity.admit(`p${round}`, createDemand(promptTokens), now);
    capacity.recordFirstToken(`p${round}`, now + promptTokens / tokensPerMs);
    capacity.release(`p${round}`);
  }
  return capacity.estimatePrefillMs(createDemand(9_190));
}

test("long prompts reveal a slow prefill rate", () => {
  const estimateMs = estimateAfterRuns(9_190, 23);
  assert.ok(Math.abs(estimateMs - 9_190 / 23) < 20, String(estimateMs));
});

test("prompts ahead of a request count for its prefill rate", () => {
  const capacity = new BatchCapacity({
    batchSize: 64,
    kvCapacityTokens: 1_000_000,
  });
  for (let round = 0; round < 40; round += 1) {
    const now = round * 10_000;
    capacity.admit(`a${round}`, createDemand(6_000), now);
    capacity.admit(`b${round}`, createDemand(6_000), now);
    capacity.recordFirstToken(`a${round}`, now + 200);
    capacity.recordFirstToken(`b${round}`, now + 400);
    capacity.release(`a${round}`);
    capacity.release(`b${round}`);
  }
  const estimateMs = capacity.estimatePrefillMs(createDemand(9_000));
  assert.ok(Math.abs(estimateMs - 300) < 15, String(estimateMs));
});

test("short prompts and implausible times hardly change the prefill rate", () => {
  const initialMs = estimateAfterRuns(1, 38);
  assert.is(estimateAfterRuns(600, 5), initialMs);
  assert.ok(estimateAfterRuns(9_190, 0.5) < 3 * initialMs);
});

test.run();
