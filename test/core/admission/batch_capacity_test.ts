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
function play(promptTokens: number, tokensPerMs: number): number {
  const room = new BatchCapacity({
    batchSize: 64,
    kvCapacityTokens: 1_000_000,
  });
  for (let round = 0; round < 40; round += 1) {
    const now = round * 10_000;
    room.admit(`p${round}`, createDemand(promptTokens), now);
    room.recordFirstToken(`p${round}`, now + promptTokens / tokensPerMs);
    room.release(`p${round}`);
  }
  return room.estimatePrefillMs(createDemand(9_190));
}

test("an engine that reads slowly is found out by long prompts", () => {
  const estimateMs = play(9_190, 23);
  assert.ok(Math.abs(estimateMs - 9_190 / 23) < 20, String(estimateMs));
});

test("prompts before one's own count", () => {
  const room = new BatchCapacity({
    batchSize: 64,
    kvCapacityTokens: 1_000_000,
  });
  for (let round = 0; round < 40; round += 1) {
    const now = round * 10_000;
    room.admit(`a${round}`, createDemand(6_000), now);
    room.admit(`b${round}`, createDemand(6_000), now);
    room.recordFirstToken(`a${round}`, now + 200);
    room.recordFirstToken(`b${round}`, now + 400);
    room.release(`a${round}`);
    room.release(`b${round}`);
  }
  const estimateMs = room.estimatePrefillMs(createDemand(9_000));
  assert.ok(Math.abs(estimateMs - 300) < 15, String(estimateMs));
});

test("short prompts, and times that reading can't explain, change little", () => {
  const untold = play(1, 38);
  assert.is(play(600, 5), untold);
  assert.ok(play(9_190, 0.5) < 3 * untold);
});

test.run();
