/**
 * Averages of run times and of intervals between slot releases, which converge
 * within some tens of runs.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunEstimator } from "../../../src/core/admission/run_estimator.ts";

test("the mean duration follows the runs", () => {
  const pace = new RunEstimator();
  for (let run = 0; run < 200; run += 1) pace.recordRun(3_000);
  assert.ok(Math.abs(pace.meanRunMs - 3_000) < 20, `${pace.meanRunMs}`);
});

test("the time between idle slots follows them; an idle engine does not make it long", () => {
  const pace = new RunEstimator();
  for (let now = 0; now < 4_000; now += 40) pace.recordSlotReleased(now);
  assert.ok(
    Math.abs(pace.slotReleaseIntervalMs - 40) < 2,
    `${pace.slotReleaseIntervalMs}`,
  );
  pace.recordSlotReleased(600_000);
  assert.ok(pace.slotReleaseIntervalMs < 200, `${pace.slotReleaseIntervalMs}`);
});

test.run();
