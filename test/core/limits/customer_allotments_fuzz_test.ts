/**
 * Customers' allotments in a faulty fleet, over seeds: messages are lost,
 * duplicated and reordered, hosts restart and freeze, clocks differ and the
 * network is partitioned, while customers send up to many times their limits at
 * all hosts. The oracle is the platform's bound: what all hosts together admit
 * in each window of 8 s.
 */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { PublishedCustomer } from "../../../src/core/customers/customer_directory.ts";
import {
  AllotmentFleet,
  computeBound,
  createCustomer,
} from "./allotment_fleet_fixture.ts";

/** `ALLOTMENT_SEEDS` sets the number of seeds of a longer run by hand. */
const SEEDS = Number(process.env["ALLOTMENT_SEEDS"] ?? 6);
const FIRST_SEED = Number(process.env["ALLOTMENT_FIRST_SEED"] ?? 1);
const LENGTH_MS = 40_000;
const CUSTOMERS: PublishedCustomer[] = [
  createCustomer("large", 407_850, 407_850),
  createCustomer("medium", 30_000, 0),
  createCustomer("small", 2_000, 90_000),
];

function runSeed(seed: number): string[] {
  const hosts = [2, 3, 9, 24, 58][seed % 5] ?? 9;
  const fleet = new AllotmentFleet({
    hosts,
    customers: CUSTOMERS,
    seed: seed * 7_919,
    network: {
      lossRate: [0, 0.05, 0.3, 0.6][seed % 4] ?? 0,
      duplicateRate: 0.1,
      minDelayMs: 1,
      maxDelayMs: [20, 100, 900][seed % 3] ?? 20,
    },
  });
  const drawHost = () => Math.floor(fleet.draw() * hosts);
  const factor = [1, 3, 20][seed % 3] ?? 1;
  let partitionAt = 8_000;
  fleet.run(LENGTH_MS, (now) => {
    for (const { name, allotment } of CUSTOMERS) {
      if (!allotment) continue;
      let expected = Math.min(3, factor * allotment.ratePerS * 0.005 / 9_200);
      for (; fleet.draw() < expected; expected -= 1) {
        fleet.offer(drawHost(), name, fleet.drawCost());
      }
    }
    const stepS = 0.005;
    if (fleet.draw() < 0.1 * stepS) {
      fleet.restart(drawHost(), 200 + fleet.draw() * 3_000);
    }
    const frozen = fleet.hosts[drawHost()];
    if (frozen && fleet.draw() < 0.15 * stepS) {
      frozen.frozenUntil = now + fleet.draw() * 9_000;
    }
    if (now < partitionAt) return;
    partitionAt = now + 1_000 + fleet.draw() * 9_000;
    const groups = 1 + Math.floor(fleet.draw() * 3);
    for (const host of fleet.hosts) {
      host.group = Math.floor(fleet.draw() * groups);
    }
  });
  return CUSTOMERS.flatMap(({ name, allotment }) => {
    if (!allotment) return [];
    const peak = fleet.measurePeak(name);
    const bound = computeBound(allotment);
    if (process.env["ALLOTMENT_PRINT"]) {
      console.log(seed, hosts, name, (peak / bound).toFixed(3));
    }
    return peak <= bound ? [] : [`${name}: ${peak} of ${bound}`];
  });
}

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
  test(`no window of 8 s exceeds the bound with seed ${seed}`, () => {
    assert.equal(runSeed(seed), []);
  });
}

test.run();
