/**
 * Plays faults round the restart of an engine (restart_schedule_simulation.ts):
 * those of restart_schedules.ts one at a time beside a missed acknowledgement,
 * and seeded combinations in which messages are lost as well. CI plays a part;
 * by hand, `SCHEDULE_STRIDE=1` plays all of the first, and `SCHEDULE_RUNS=2000`
 * with `SCHEDULE_SEED=…` others of the second.
 */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RandomSource } from "./random_source.ts";
import { RestartScheduleSimulation } from "./restart_schedule_simulation.ts";
import {
  drawClaimRace,
  drawSchedule,
  listSystematicSchedules,
} from "./restart_schedules.ts";

/** Every so many-th of the systematic schedules is played. */
const STRIDE = Number(process.env.SCHEDULE_STRIDE ?? 23);
const RUNS = Number(process.env.SCHEDULE_RUNS ?? 15);
const FIRST_SEED = Number(process.env.SCHEDULE_SEED ?? 1);
/** Fleets, and load times of the users' data sheets. */
const FLEETS = [
  { daemons: 3, modelLoadMs: 600 },
  { daemons: 5, modelLoadMs: 2_900 },
];

test("no fault round an engine's restart gives two hosts that order it in turn", () => {
  const schedules = listSystematicSchedules();
  for (let index = 0; index < schedules.length; index += STRIDE) {
    const faults = schedules[index] ?? [];
    const simulation = new RestartScheduleSimulation(index, {
      daemons: 5,
      modelLoadMs: 2_900,
      faults,
      lossPercent: 0,
    });
    assert.equal(simulation.run().violations, [], JSON.stringify(faults));
  }
});

for (const { daemons, modelLoadMs } of FLEETS) {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const options = { daemons, modelLoadMs, lossPercent: 3 };
    test(`${daemons} hosts keep the rules in several faults round an engine's restart, seed ${seed}`, () => {
      const faults = drawSchedule(new RandomSource(seed));
      const simulation = new RestartScheduleSimulation(seed, {
        ...options,
        faults,
      });
      assert.equal(simulation.run().violations, [], JSON.stringify(faults));
    });
    test(`two of ${daemons} hosts that claim a new engine without hearing each other keep them, seed ${seed}`, () => {
      const faults = drawClaimRace(daemons, new RandomSource(seed));
      const simulation = new RestartScheduleSimulation(seed, {
        ...options,
        faults,
      });
      assert.equal(simulation.run().violations, [], JSON.stringify(faults));
    });
  }
}

test.run();
