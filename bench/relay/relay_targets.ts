/** The relays that are measured: a daemon, another version of it, and a bare pipe, each before an engine of its own. */
import { readFileSync } from "node:fs";
import {
  createUpstreamHost,
  DEMO_DOMAINS,
  DEMO_TOKENS,
  formatPools,
  formatRoutes,
} from "../../scripts/demo_tables.ts";
import { Fleet, waitUntil } from "../../scripts/fleet.ts";
import { StreamClient } from "./stream_client.ts";

/** Ticks of processor time a second in `/proc/<pid>/stat`. */
const TICKS_PER_SECOND = 100;
const US_PER_TICK = 1_000_000 / TICKS_PER_SECOND;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const [FAILURE_DOMAIN] = DEMO_DOMAINS;
const ENGINE_MODEL = "derwent-briefing@v1";

export interface RelayTarget {
  name: string;
  pid: number;
  client: StreamClient;
}

export interface EngineShape {
  streams: number;
  tokenIntervalMs: number;
}

/** Starts an engine that sends a token on each stream at the given interval, without end. */
async function startEngine(fleet: Fleet, shape: EngineShape): Promise<string> {
  const { address } = await fleet.startFake("engine", "engine", [
    "--batch-size",
    String(shape.streams + 1),
    "--token-interval-ms",
    String(shape.tokenIntervalMs),
    "--tokens",
    "1000000",
    "--load-time-ms",
    "1",
  ]);
  return address;
}

/** Starts a daemon, of this version or of another whose program is given. */
export async function startDaemonTarget(
  name: string,
  shape: EngineShape,
  fleets: Fleet[],
  daemonMain?: string,
): Promise<RelayTarget> {
  const fleet = new Fleet(daemonMain === undefined ? {} : { daemonMain });
  fleets.push(fleet);
  await Promise.all([
    fleet.startFake("configuration", "configuration"),
    fleet.startFake("host_list", "hostList"),
  ]);
  const address = await startEngine(fleet, shape);
  await fleet.reserveDaemon(name, FAILURE_DOMAIN);
  const service = "brief-writer";
  await fleet.writeHosts([
    createUpstreamHost("engine", address, {
      failureDomain: FAILURE_DOMAIN,
      service,
    }),
  ]);
  const batchSize = shape.streams + 1;
  await fleet.writeTable(
    "pools",
    formatPools().replace("batchSize: 8", `batchSize: ${batchSize}`),
  );
  await fleet.writeTable("routes", formatRoutes("v1"));
  const daemon = await fleet.startDaemon(name);
  await fleet.waitUntilServing([name]);
  const client = new StreamClient({
    address: daemon.callers,
    token: DEMO_TOKENS.derwent,
    models: ["briefing"],
  });
  return { name, pid: daemon.child.pid ?? 0, client };
}

/** Starts the bare pipe. */
export async function startPipeTarget(
  shape: EngineShape,
  fleets: Fleet[],
): Promise<RelayTarget> {
  const fleet = new Fleet();
  fleets.push(fleet);
  const address = await startEngine(fleet, shape);
  await fetch(`http://${address}/v1/load_lora_adapter`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ lora_name: ENGINE_MODEL }),
  });
  const pipe = await fleet.startProgram("pipe", [
    "bench/relay/pipe_main.ts",
    address,
  ]);
  const client = new StreamClient({
    address: pipe.address,
    token: "",
    models: [ENGINE_MODEL],
  });
  return { name: "pipe", pid: pipe.child.pid ?? 0, client };
}

/** Opens the streams of every target and waits until all of them run. */
export async function startStreams(
  targets: readonly RelayTarget[],
  streams: number,
): Promise<void> {
  for (const { client } of targets) client.start(streams);
  for (const { name, client } of targets) {
    await waitUntil(
      `${streams} streams run through ${name}`,
      () => Promise.resolve(client.openCount === streams),
      60_000,
    );
  }
}

/** Returns the processor time that a process has used, in microseconds. */
export function readProcessorTimeUs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  return ticks * US_PER_TICK;
}
