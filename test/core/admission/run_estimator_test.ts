/**
 * Averages of run times and of intervals between slot releases, which converge
 * within some tens of runs.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunEstimator } from "../../../src/core/admission/run_estimator.ts";

test("the mean duration converges to that of the runs", () => {
  const estimator = new RunEstimator();
  for (let run = 0; run < 200; run += 1) estimator.recordRun(3_000);
  assert.ok(
    Math.abs(estimator.meanRunMs - 3_000) < 20,
    `${estimator.meanRunMs}`,
  );
});

test("the mean release interval converges, and one long interval of an idle engine hardly changes it", () => {
  const estimator = new RunEstimator();
  for (let now = 0; now < 4_000; now += 40) estimator.recordSlotReleased(now);
  assert.ok(
    Math.abs(estimator.slotReleaseIntervalMs - 40) < 2,
    `${estimator.slotReleaseIntervalMs}`,
  );
  estimator.recordSlotReleased(600_000);
  assert.ok(
    estimator.slotReleaseIntervalMs < 200,
    `${estimator.slotReleaseIntervalMs}`,
  );
});

test.run();
