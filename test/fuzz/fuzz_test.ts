import { test } from "uvu";
import * as assert from "uvu/assert";
import { runFuzz, runInput } from "./fuzz_run.ts";

/** Fixed, so that the verdict is the same every time. */
const SEEDS = [1, 2, 3];
const RUNS = 20;
const CALM_INPUT = {
  worldSeed: 1,
  traits: { slots: 1, checksFencing: true },
  trafficIntervalMs: 400,
  steps: [],
};

for (const seed of SEEDS) {
  test(`no promise is broken in ${RUNS} runs of seed ${seed}`, () => {
    const { failure } = runFuzz({
      seed,
      runs: RUNS,
      maxShrinkRuns: 50,
      keepsUnfencedDomainsWhole: false,
    });
    const trace = failure?.trace.slice(-60).join("\n") ?? "";
    assert.is(failure?.breach.message, undefined, trace);
  });
}

test("the same input gives the same trace", () => {
  const first = runInput(CALM_INPUT).trace.getLines();
  assert.ok(first.length > 0);
  assert.equal(runInput(CALM_INPUT).trace.getLines(), first);
});

test.run();
