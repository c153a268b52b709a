import { test } from "uvu";
import * as assert from "uvu/assert";
import { runFuzz, runInput } from "./fuzz_run.ts";

/** Fixed seeds, so that the result is reproducible. */
const SEEDS = [1, 2, 3];
const RUNS = 20;
const INPUT_WITHOUT_STEPS = {
  worldSeed: 1,
  traits: { slots: 1, checksFencing: true },
  trafficIntervalMs: 400,
  steps: [],
};

for (const seed of SEEDS) {
  test(`no invariant is violated in ${RUNS} runs of seed ${seed}`, () => {
    const { failure } = runFuzz({
      seed,
      runs: RUNS,
      maxShrinkRuns: 50,
      keepsUnfencedDomainsConnected: false,
    });
    const trace = failure?.trace.slice(-60).join("\n") ?? "";
    assert.is(failure?.violation.message, undefined, trace);
  });
}

test("two runs of the same input have the same trace", () => {
  const first = runInput(INPUT_WITHOUT_STEPS).trace.getLines();
  assert.ok(first.length > 0);
  assert.equal(runInput(INPUT_WITHOUT_STEPS).trace.getLines(), first);
});

test.run();
