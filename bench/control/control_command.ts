/**
 * `bench control`: measures the traffic and processor time that one daemon
 * spends on its peers and the tables, by the number of peers.
 */
import type { Subcommand } from "../subcommand.ts";
import { ControlFleet, type FleetNode } from "./control_fleet.ts";
import {
  createHosts,
  createTables,
  editTables,
  type FleetSizes,
  formatDomain,
} from "./fleet_tables.ts";
import { computeSlope } from "./slope.ts";

const SETTLE_MS = 8_000;
const MEASURE_MS = 20_000;
/** Configuration changes per second at the target scale. */
const CHANGES_PER_SECOND = 33_000 / 86_400;
/**
 * Changes of residency per second in one failure domain: an adapter that
 * becomes active anywhere is loaded by one upstream of each domain.
 */
const LOADS_PER_SECOND = 64_000 * 0.086 / 3_600;
const UPSTREAMS_PER_DAEMON = 11;
const RESIDENTS_PER_UPSTREAM = 16;
const DOMAINS = 11;

/** Load on the control plane: none, or that of the target scale. */
type Activity = "idle" | "target";

interface ControlRow {
  peers: number;
  activity: Activity;
  bytesPerSecond: number;
  mostBytesPerSecond: number;
  envelopesPerSecond: number;
  messagesPerSecond: number;
  transportBytesPerSecond: number;
  /** Processor time of one daemon's core and codec, as a fraction of a CPU. */
  busyShare: number;
}

export const controlCommand: Subcommand = {
  name: "control",
  description:
    "Bytes, messages and processor time a second of one daemon for control.",
  options: [
    { flags: "--peers", description: "Peers, several", value: "9,40,80" },
    {
      flags: "--envelope",
      description: "Bytes of transport around one envelope and its reply",
      value: 200,
    },
    { flags: "--kinds", description: "Print bytes by kind of message" },
    { flags: "--json", description: "Print JSON" },
  ],
  run(options) {
    const envelopeBytes = Number(options["envelope"]);
    const isKindCounted = Boolean(options["kinds"]);
    const rows: ControlRow[] = [];
    for (const peers of String(options["peers"]).split(",").map(Number)) {
      for (const activity of ["idle", "target"] as const) {
        rows.push(
          measureControl(peers, activity, { envelopeBytes, isKindCounted }),
        );
      }
    }
    const slopes = computeSlopes(rows);
    if (options["json"]) console.log(JSON.stringify({ rows, slopes }));
    else {
      console.table(rows);
      console.table(slopes);
    }
  },
};

/** Measures one failure domain of eleven, of which two are simulated. */
function measureControl(
  peers: number,
  activity: Activity,
  { envelopeBytes, isKindCounted }: {
    envelopeBytes: number;
    isKindCounted: boolean;
  },
): ControlRow {
  const sizes: FleetSizes = {
    domains: DOMAINS,
    daemonsPerDomain: peers + 1,
    upstreamsPerDomain: (peers + 1) * UPSTREAMS_PER_DAEMON,
    pools: 6,
    routes: 1_000,
  };
  const measured = formatDomain(0);
  const fleet = new ControlFleet({
    hosts: createHosts(sizes),
    isKindCounted,
    isRun: (host) =>
      host.failureDomain === measured ||
      host.failureDomain === formatDomain(1),
  });
  fleet.tables = createTables(sizes, 2);
  for (const [id, state] of fleet.upstreams) {
    fleet.upstreams.set(id, {
      ...state,
      residents: Array.from({ length: RESIDENTS_PER_UPSTREAM }, (_, slot) => ({
        adapterKey: `adapter-${(hashId(id) + slot * 977) % 64_000}@v1`,
        inFlight: 0,
      })),
    });
  }
  fleet.run(SETTLE_MS);
  fleet.clearCounts();
  const cpuBefore = process.cpuUsage();
  runActivity(fleet, sizes, activity);
  const { user, system } = process.cpuUsage(cpuBefore);
  const busyShare = (user + system) / 1_000 / MEASURE_MS /
    fleet.listNodes().length;
  const nodes = fleet.listNodes().filter((node) =>
    node.host.failureDomain === measured
  );
  if (isKindCounted) printBytesByKind(nodes);
  return {
    ...describeRow(nodes, peers, activity, envelopeBytes),
    busyShare: Number(busyShare.toFixed(5)),
  };
}

/** Prints the bytes per second and daemon, by kind of message. */
function printBytesByKind(nodes: readonly FleetNode[]): void {
  const kinds = new Map<string, number>();
  for (const { counts } of nodes) {
    for (const [kind, bytes] of counts.bytesByKind) {
      kinds.set(kind, (kinds.get(kind) ?? 0) + bytes);
    }
  }
  const seconds = MEASURE_MS / 1_000;
  for (const [kind, bytes] of kinds) {
    console.log(kind, Math.round(bytes / nodes.length / seconds));
  }
}

function runActivity(
  fleet: ControlFleet,
  sizes: FleetSizes,
  activity: Activity,
): void {
  let changes = 0;
  let loads = 0;
  for (let elapsedMs = 0; elapsedMs < MEASURE_MS; elapsedMs += 100) {
    fleet.run(100);
    if (activity === "idle") continue;
    const seconds = elapsedMs / 1_000;
    while (changes < seconds * CHANGES_PER_SECOND) {
      changes += 1;
      fleet.tables = editTables(fleet.tables!, changes);
    }
    while (loads < seconds * LOADS_PER_SECOND) {
      loads += 1;
      for (const domain of [0, 1]) changeResident(fleet, sizes, domain, loads);
    }
  }
}

/** Replaces the adapter in one slot of an upstream. */
function changeResident(
  fleet: ControlFleet,
  sizes: FleetSizes,
  domain: number,
  loads: number,
): void {
  const id = `upstream-${domain}-${(loads * 37) % sizes.upstreamsPerDomain}`;
  const state = fleet.upstreams.get(id);
  if (!state) return;
  const residents = [
    ...state.residents.slice(1),
    { adapterKey: `adapter-${loads}@v2`, inFlight: 0 },
  ];
  fleet.upstreams.set(id, { ...state, residents });
}

function describeRow(
  nodes: readonly FleetNode[],
  peers: number,
  activity: Activity,
  envelopeBytes: number,
): Omit<ControlRow, "busyShare"> {
  const seconds = MEASURE_MS / 1_000;
  const averagePerSecond = (readCount: (node: FleetNode) => number): number =>
    nodes.reduce((sum, node) => sum + readCount(node), 0) / nodes.length /
    seconds;
  const bytes = averagePerSecond((node) => node.counts.bytesSent);
  const envelopes = averagePerSecond((node) => node.counts.envelopesSent);
  return {
    peers,
    activity,
    bytesPerSecond: Math.round(bytes),
    mostBytesPerSecond: Math.round(
      Math.max(...nodes.map((node) => node.counts.bytesSent)) / seconds,
    ),
    envelopesPerSecond: Number(envelopes.toFixed(2)),
    messagesPerSecond: Number(
      averagePerSecond((node) => node.counts.messagesSent).toFixed(2),
    ),
    transportBytesPerSecond: Math.round(bytes + envelopes * envelopeBytes),
  };
}

function computeSlopes(
  rows: readonly ControlRow[],
): { activity: Activity; bytesPerPeer: number; busySharePerPeer: number }[] {
  return (["idle", "target"] as const).map((activity) => {
    const activityRows = rows.filter((row) => row.activity === activity);
    return {
      activity,
      bytesPerPeer: computeSlope(
        activityRows.map((row) => [row.peers, row.bytesPerSecond]),
      ),
      busySharePerPeer: computeSlope(
        activityRows.map((row) => [row.peers, row.busyShare]),
      ),
    };
  });
}

function hashId(id: string): number {
  let hash = 0;
  for (const char of id) hash = (hash * 31 + char.charCodeAt(0)) >>> 0;
  return hash;
}
