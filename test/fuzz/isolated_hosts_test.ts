/**
 * Hosts that know no other host, as all their seeds are stale, compete for
 * engines that start without their base model (empty_engine_simulation.ts). CI
 * plays a part; by hand, `ISOLATED_RUNS=300` with `ISOLATED_SEED=…` plays more.
 */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EmptyEngineSimulation } from "./empty_engine_simulation.ts";

const RUNS = Number(process.env.ISOLATED_RUNS ?? 8);
const FIRST_SEED = Number(process.env.ISOLATED_SEED ?? 1);
const SEEDS = Array.from({ length: RUNS }, (_, run) => FIRST_SEED + run);
/** Load times of the users' data sheets. */
const FLEETS = [
  { daemons: 2, modelLoadMs: 600 },
  { daemons: 9, modelLoadMs: 600 },
  { daemons: 9, modelLoadMs: 5_100 },
  { daemons: 24, modelLoadMs: 2_900 },
];
const CRASHES_AT = [15_000, 30_000, 45_000];
/** Time in which a base model is loaded by a host that has no majority. */
const MAX_MODEL_DELAY_MS = 10_000;

for (const { daemons, modelLoadMs } of FLEETS) {
  const isolation = { daemons, until: Number.POSITIVE_INFINITY };
  const options = { daemons, modelLoadMs, isolation };
  for (const refusesRepeatedLoads of [false, true]) {
    const answer = refusesRepeatedLoads ? "refuse" : "confirm";
    // Guards against hosts that each take themselves for a majority, and load a
    // base model at once with fencing numbers that repeat or fall (review/11).
    test(`${daemons} hosts that know nobody keep the rules at engines that ${answer} a load in progress`, () => {
      for (const seed of SEEDS) {
        const { starts, violations } = new EmptyEngineSimulation(seed, {
          ...options,
          refusesRepeatedLoads,
          disturbanceSteps: 0,
          crashesAt: CRASHES_AT,
        }).run();
        assert.equal(violations, [], `seed ${seed}`);
        for (const { upAt, firstModelAt } of starts) {
          const delayMs = firstModelAt - upAt;
          assert.ok(
            delayMs < MAX_MODEL_DELAY_MS,
            `seed ${seed}: ${delayMs} ms`,
          );
        }
      }
    });
    test(`${daemons} hosts that know nobody keep them under faults at engines that ${answer} a load in progress`, () => {
      for (const seed of SEEDS) {
        const { violations } = new EmptyEngineSimulation(seed, {
          ...options,
          refusesRepeatedLoads,
          disturbanceSteps: 500,
        }).run();
        assert.equal(violations, [], `seed ${seed}`);
      }
    });
  }
}

/**
 * Seed with which an isolated host and one that hears a majority loaded a base
 * model within 20 ms.
 */
const MIXED_LOAD_SEED = 3_012;

for (const isolated of [1, 4, 9]) {
  const isolation = { daemons: isolated, until: 24_000 };
  test(`${isolated} of 9 hosts that know nobody until their seeds return keep the rules under faults`, () => {
    for (const seed of [MIXED_LOAD_SEED, ...SEEDS]) {
      const { violations } = new EmptyEngineSimulation(seed, {
        daemons: 9,
        modelLoadMs: 2_900,
        isolation,
        disturbanceSteps: 500,
      }).run();
      assert.equal(violations, [], `seed ${seed}`);
    }
  });
}

for (const daemons of [1, 4]) {
  test(`${daemons} of 9 hosts that are cut off from the others for over a minute, and forget them, keep the rules`, () => {
    const { violations } = new EmptyEngineSimulation(FIRST_SEED, {
      daemons: 9,
      modelLoadMs: 2_900,
      runMs: 100_000,
      isolation: {
        daemons,
        from: 8_000,
        until: Number.POSITIVE_INFINITY,
        isGroup: true,
      },
      disturbanceSteps: 0,
      crashesAt: [70_000, 85_000],
    }).run();
    assert.equal(violations, []);
  });
}

test.run();
