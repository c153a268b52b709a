/** Durations of runs and times between idle slots, learnt within some tens of runs. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunPace } from "../../../src/core/admission/run_pace.ts";

test("the mean duration follows the runs", () => {
  const pace = new RunPace();
  for (let run = 0; run < 200; run += 1) pace.recordRun(3_000);
  assert.ok(Math.abs(pace.runMs - 3_000) < 20, `${pace.runMs}`);
});

test("the time between idle slots follows them; an idle engine does not make it long", () => {
  const pace = new RunPace();
  for (let now = 0; now < 4_000; now += 40) pace.recordIdle(now);
  assert.ok(Math.abs(pace.idleIntervalMs - 40) < 2, `${pace.idleIntervalMs}`);
  pace.recordIdle(600_000);
  assert.ok(pace.idleIntervalMs < 200, `${pace.idleIntervalMs}`);
});

test.run();
