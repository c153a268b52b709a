/**
 * `bench wake`: measures the calls to the platform when all daemons of the
 * target scale start, resume after a pause, or lose and regain the platform at
 * the same time.
 */
import type { Subcommand } from "../subcommand.ts";
import { ControlFleet } from "./control_fleet.ts";
import { createHosts, createTables, type FleetSizes } from "./fleet_tables.ts";

const CALLS_PER_READING = 32;
const START_MS = 8_000;
const PAUSE_MS = 20_000;
const OUTAGE_MS = 15_000;

interface WakeRow {
  event: string;
  mostCallsInASecond: number;
  readers: number;
  serving: number;
  servingAfterMs: number | null;
}

export const wakeCommand: Subcommand = {
  name: "wake",
  description:
    "Calls on the configuration service when every daemon starts or wakes at once.",
  options: [
    { flags: "--domains", description: "Failure domains", value: 11 },
    { flags: "--daemons", description: "Daemons of each", value: 82 },
    { flags: "--json", description: "Print JSON" },
  ],
  run(options) {
    const rows = measureWakes({
      domains: Number(options["domains"]),
      daemonsPerDomain: Number(options["daemons"]),
      upstreamsPerDomain: 2,
      pools: 1,
      routes: 10,
    });
    if (options["json"]) console.log(JSON.stringify({ rows }));
    else console.table(rows);
  },
};

function measureWakes(sizes: FleetSizes): WakeRow[] {
  const fleet = new ControlFleet({
    hosts: createHosts(sizes),
    tickMs: 100,
    callsPerRead: CALLS_PER_READING,
  });
  fleet.tables = createTables(sizes, 2);
  const nodes = fleet.listNodes();
  const isServing = (): boolean =>
    nodes.every((node) => node.core.state === "serving");
  const servingAfterMs = fleet.runUntil(isServing, START_MS);
  fleet.run(START_MS - fleet.now);
  const rows = [describeRow(fleet, "all start", servingAfterMs)];
  for (const node of nodes) node.isPaused = true;
  fleet.run(PAUSE_MS);
  fleet.clearCounts();
  for (const node of nodes) node.isPaused = false;
  fleet.run(START_MS);
  rows.push(describeRow(fleet, "all wake", null));
  fleet.isPlatformUp = false;
  fleet.clearCounts();
  fleet.run(OUTAGE_MS);
  rows.push(describeRow(fleet, "platform down", null));
  fleet.isPlatformUp = true;
  fleet.clearCounts();
  fleet.run(START_MS);
  rows.push(describeRow(fleet, "platform back", null));
  return rows;
}

function describeRow(
  fleet: ControlFleet,
  event: string,
  servingAfterMs: number | null,
): WakeRow {
  const nodes = fleet.listNodes();
  return {
    event,
    mostCallsInASecond: Math.max(0, ...fleet.callsBySecond.values()),
    readers: nodes.filter((node) => node.isReading).length,
    serving: nodes.filter((node) => node.core.state === "serving").length,
    servingAfterMs,
  };
}
