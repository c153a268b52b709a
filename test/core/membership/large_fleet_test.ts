/**
 * Guards against a fleet of 902 daemons overloading the configuration service
 * when all start or resume at once, or when the platform comes back after an
 * outage. Two of the eleven failure domains run here and may make their share
 * of the calls; `npm run bench -- wake` runs all.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ControlFleet } from "../../../bench/control/control_fleet.ts";
import {
  createHosts,
  createTables,
  formatDomain,
} from "../../../bench/control/fleet_tables.ts";

const SIZES = {
  domains: 11,
  daemonsPerDomain: 82,
  upstreamsPerDomain: 2,
  pools: 1,
  routes: 10,
};
const SIMULATED_DOMAINS = 2;
const SIMULATED_DAEMONS = SIMULATED_DOMAINS * SIZES.daemonsPerDomain;
/** Share of the calls per second that the configuration service can serve. */
const MAX_CALLS_PER_SECOND = 2_000 * SIMULATED_DOMAINS / SIZES.domains;

function getPeakCallsPerSecond(fleet: ControlFleet): number {
  return Math.max(0, ...fleet.callsBySecond.values());
}

function countServing(fleet: ControlFleet): number {
  return fleet.listNodes()
    .filter((node) => node.core.state === "serving").length;
}

const fleet = new ControlFleet({
  hosts: createHosts(SIZES),
  tickMs: 100,
  callsPerRead: 32,
  isRun: (host) =>
    host.failureDomain === formatDomain(0) ||
    host.failureDomain === formatDomain(1),
});
fleet.tables = createTables(SIZES, 2);

test("daemons that start at once all serve and stay within the call limit", () => {
  fleet.run(8_000);
  assert.is(countServing(fleet), SIMULATED_DAEMONS);
  const peak = getPeakCallsPerSecond(fleet);
  assert.ok(peak <= MAX_CALLS_PER_SECOND, `${peak} calls in a second`);
});

test("daemons that resume at once stay within the call limit", () => {
  for (const node of fleet.listNodes()) node.isPaused = true;
  fleet.run(20_000);
  fleet.clearCounts();
  for (const node of fleet.listNodes()) node.isPaused = false;
  fleet.run(8_000);
  const peak = getPeakCallsPerSecond(fleet);
  assert.ok(peak <= MAX_CALLS_PER_SECOND, `${peak} calls in a second`);
  const readers = fleet.listNodes().filter((node) => node.isReading).length;
  assert.is(readers, SIMULATED_DOMAINS * 2);
});

test("daemons stay within the call limit while the platform is down and when it comes back", () => {
  fleet.isPlatformUp = false;
  fleet.clearCounts();
  fleet.run(15_000);
  fleet.isPlatformUp = true;
  fleet.run(5_000);
  const peak = getPeakCallsPerSecond(fleet);
  assert.ok(peak <= MAX_CALLS_PER_SECOND, `${peak} calls in a second`);
});

test.run();
