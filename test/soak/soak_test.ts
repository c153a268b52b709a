/**
 * Short soak test with fixed seeds, including each seed that has failed before,
 * against gateways that run as separate processes.
 */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { reservePorts } from "../port_reservation.ts";
import { runSoak } from "./soak_run.ts";

const FAULT_MS = 8_000;

/** Seeds, each with the fault that it revealed. */
const SEEDS: [seed: number, cause: string][] = [
  [1, "none yet"],
  [2, "gateways that had just started passed a lowered quota, in 20 s"],
  [4, "the same"],
  [100, "the proxy passed a reset on as a close, so a cut answer looked whole"],
];

for (const [seed, cause] of SEEDS) {
  test(`promises hold under drawn faults, seed ${seed} (${cause})`, async () => {
    const ports = await reservePorts(process.pid);
    const report = await runSoak(seed, FAULT_MS, ports.port);
    ports.release();
    assert.equal(report.violations, [], report.trace.join("\n"));
  });
}

test.run();
