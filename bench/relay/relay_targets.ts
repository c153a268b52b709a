/**
 * The measured relays: a daemon, another version of it, and a bare pipe, each
 * in front of its own engine.
 */
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

/** Clock ticks per second in `/proc/<pid>/stat`. */
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

export interface EngineOptions {
  streams: number;
  tokenIntervalMs: number;
}

/**
 * Starts an engine whose streams send a token at the given interval and
 * practically never end.
 */
async function startEngine(
  fleet: Fleet,
  engineOptions: EngineOptions,
): Promise<string> {
  const { address } = await fleet.startFake("engine", "engine", [
    "--batch-size",
    String(engineOptions.streams + 1),
    "--token-interval-ms",
    String(engineOptions.tokenIntervalMs),
    "--tokens",
    "1000000",
    "--load-time-ms",
    "1",
  ]);
  return address;
}

/** Starts a daemon of this version, or the given program of another version. */
export async function startDaemonTarget(
  name: string,
  engineOptions: EngineOptions,
  fleets: Fleet[],
  daemonMain?: string,
): Promise<RelayTarget> {
  const fleet = new Fleet(daemonMain === undefined ? {} : { daemonMain });
  fleets.push(fleet);
  await Promise.all([
    fleet.startFake("configuration", "configuration"),
    fleet.startFake("host_list", "hostList"),
  ]);
  const address = await startEngine(fleet, engineOptions);
  await fleet.reserveDaemon(name, FAILURE_DOMAIN);
  const service = "brief-writer";
  await fleet.writeHosts([
    createUpstreamHost("engine", address, {
      failureDomain: FAILURE_DOMAIN,
      service,
    }),
  ]);
  const batchSize = engineOptions.streams + 1;
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
  engineOptions: EngineOptions,
  fleets: Fleet[],
): Promise<RelayTarget> {
  const fleet = new Fleet();
  fleets.push(fleet);
  const address = await startEngine(fleet, engineOptions);
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

/** Opens the streams of all targets and waits until all are open. */
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

/** Returns the processor time used by a process, in microseconds. */
export function readProcessorTimeUs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  return ticks * US_PER_TICK;
}
