/** Starts daemons and fakes as separate processes on free loopback ports, for the demo and the process tests. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "yaml";
import type { DaemonDescription } from "../src/core/daemon_core.ts";
import type { MetricsSnapshot } from "../src/daemon/metrics.ts";
import type { HostStructure } from "../src/core/structures.ts";
import { chooseProgram } from "./program_choice.ts";

const ROOT = new URL("..", import.meta.url).pathname;
const START_TIMEOUT_MS = 15_000;
/** Second byte of the first loopback network that fleets use. */
const FIRST_OWN_NETWORK = 64;
const FIRST_PORT = 10_001;
const OWN_ADDRESS = computeOwnAddress();
let nextPort = FIRST_PORT;

/** A process of the fleet. */
export interface FleetProcess {
  id: string;
  child: ChildProcess;
  lines: string[];
}

/** A daemon of the fleet, with its addresses. */
export interface FleetDaemon extends FleetProcess {
  failureDomain: string;
  callers: string;
  peers: string;
  operators: string;
}

/** A stand-in of the fleet, with its address. */
export interface FleetFake extends FleetProcess {
  address: string;
}

export interface FleetOptions {
  /** Merged into the settings of every daemon. */
  settings?: Record<string, unknown>;
  core?: Record<string, number>;
  /** Program of the daemons, for comparisons of versions. */
  daemonMain?: string;
}

/** Answer of a daemon's `GET /status`. */
export type FleetStatus = DaemonDescription & { metrics: MetricsSnapshot };

export class Fleet {
  readonly daemons = new Map<string, FleetDaemon>();
  readonly fakes = new Map<string, FleetFake>();
  readonly #options: FleetOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "pistachiohatch-"));
  readonly #processes = new Set<ChildProcess>();
  readonly #seeds: { id: string; address: string; failureDomain: string }[] =
    [];

  constructor(options: FleetOptions = {}) {
    this.#options = options;
    process.on("exit", () => this.#killAll());
  }

  /** Starts a stand-in, for example `engine`, and waits for its address. */
  async startFake(
    program: string,
    id: string,
    flags: readonly string[] = [],
  ): Promise<FleetFake> {
    return await this.startProgram(id, [`fakes/${program}_main.ts`, ...flags]);
  }

  /** Adds a stand-in that runs in this process. */
  addFake(id: string, address: string): void {
    const child = undefined as unknown as ChildProcess;
    this.fakes.set(id, { id, address, child, lines: [] });
  }

  /** Chooses the ports of a daemon, so that its peers can be told of it before it starts. */
  reserveDaemon(id: string, failureDomain: string): void {
    const [callers, peers, operators] = reservePorts(3);
    const address = `${OWN_ADDRESS}:${peers}`;
    this.#seeds.push({ id, address, failureDomain });
    this.daemons.set(id, {
      id,
      failureDomain,
      callers: `${OWN_ADDRESS}:${callers}`,
      peers: address,
      operators: `${OWN_ADDRESS}:${operators}`,
      child: undefined as unknown as ChildProcess,
      lines: [],
    });
  }

  /** Starts a reserved daemon, anew if it has run before. */
  async startDaemon(id: string): Promise<FleetDaemon> {
    const daemon = this.getDaemon(id);
    const file = join(this.#folder, `${id}.yaml`);
    const { core, settings } = this.#options;
    writeFileSync(
      file,
      stringify({
        id,
        failureDomain: daemon.failureDomain,
        callers: { listen: daemon.callers },
        peers: { listen: daemon.peers, seed: this.#seeds },
        operators: { listen: daemon.operators, allowCuts: true },
        platform: {
          configuration: this.getFake("configuration").address,
          hostList: this.getFake("hostList").address,
          pollIntervalMs: 300,
        },
        core: core ?? {},
        ...settings,
      }),
    );
    const hostIndex = [...this.daemons.keys()].indexOf(id);
    const started = this.#spawn(id, [
      this.#options.daemonMain ??
        chooseProgram("src/daemon/main.ts", hostIndex),
      "-s",
      file,
    ]);
    await this.#waitForLine(started, (line) => line.includes("Daemon started"));
    daemon.child = started.child;
    daemon.lines = started.lines;
    return daemon;
  }

  getDaemon(id: string): FleetDaemon {
    const daemon = this.daemons.get(id);
    if (daemon) return daemon;
    throw new Error(`Expected a daemon ${id}, found none`);
  }

  getFake(id: string): FleetFake {
    const fake = this.fakes.get(id);
    if (fake) return fake;
    throw new Error(`Expected a stand-in ${id}, found none`);
  }

  /** Writes a table to the configuration service, as an operator does. */
  async writeTable(key: string, text: string): Promise<number> {
    const { address } = this.getFake("configuration");
    const answer = await putJson(address, `/operator/keys/${key}`, {
      value: text,
    });
    return (answer as { revision: number }).revision;
  }

  /** Publishes the reserved daemons and the given upstreams as the host list. */
  async writeHosts(upstreams: readonly HostStructure[]): Promise<void> {
    const entries: HostStructure[] = this.#seeds.map((seed) => ({
      ...seed,
      role: "entry",
      service: "",
      state: "live",
    }));
    await putJson(this.getFake("hostList").address, "/operator/hosts", {
      hosts: [...entries, ...upstreams],
    });
  }

  async setFaults(id: string, faults: Record<string, unknown>): Promise<void> {
    await putJson(this.getFake(id).address, "/faults", faults);
  }

  /** Makes a daemon refuse to talk to peers, upstreams or the platform. */
  async cut(
    id: string,
    cut: { peers?: string[]; upstreams?: string[]; platform?: boolean },
  ): Promise<void> {
    await putJson(this.getDaemon(id).operators, "/cut", cut);
  }

  /** Waits until every named daemon serves. */
  async waitUntilServing(ids: readonly string[]): Promise<void> {
    for (const id of ids) {
      await waitUntil(`daemon ${id} serves`, async () => {
        const response = await fetch(
          `http://${this.getDaemon(id).operators}/readyz`,
        );
        return response.status === 200;
      });
    }
  }

  async getStatus(id: string): Promise<FleetStatus> {
    const { operators } = this.getDaemon(id);
    const response = await fetch(`http://${operators}/status`);
    return await response.json() as FleetStatus;
  }

  /** Returns a counter of a daemon, 0 where it has not counted yet. */
  async getCounter(id: string, counter: string): Promise<number> {
    const { metrics } = await this.getStatus(id);
    return metrics.counters[counter] ?? 0;
  }

  signal(id: string, signal: NodeJS.Signals): void {
    const target = this.daemons.get(id) ?? this.fakes.get(id);
    target?.child.kill(signal);
  }

  /** Waits for a process to end and returns its exit code. */
  async waitForExit(id: string, timeoutMs = 30_000): Promise<number | null> {
    const { child } = this.daemons.get(id) ?? this.getFake(id);
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    return await new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`Expected ${id} to exit, found it running`)),
        timeoutMs,
      );
      child.once("exit", (code) => {
        clearTimeout(timer);
        resolve(code);
      });
    });
  }

  /** Ends every process of the fleet. */
  async stop(): Promise<void> {
    const children = [...this.#processes];
    this.#killAll();
    await Promise.all(
      children.map((child) =>
        child.exitCode !== null || child.signalCode !== null
          ? undefined
          : new Promise((resolve) => child.once("exit", resolve))
      ),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Starts a program that prints its address as JSON in its first line. */
  async startProgram(
    id: string,
    args: readonly string[],
  ): Promise<FleetFake> {
    const started = this.#spawn(id, args);
    const first = await this.#waitForLine(started, () => true);
    const { address } = JSON.parse(first) as { address: string };
    const fake = { ...started, address };
    this.fakes.set(id, fake);
    return fake;
  }

  #spawn(id: string, args: readonly string[]): FleetProcess {
    const child = spawn(process.execPath, ["--import", "tsx", ...args], {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#processes.add(child);
    const lines: string[] = [];
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const parts = (rest + String(chunk)).split("\n");
      rest = parts.pop() ?? "";
      lines.push(...parts);
    });
    child.stderr.on("data", (chunk) => lines.push(String(chunk)));
    child.once("exit", () => this.#processes.delete(child));
    return { id, child, lines };
  }

  async #waitForLine(
    started: FleetProcess,
    isWanted: (line: string) => boolean,
  ): Promise<string> {
    let found: string | undefined;
    await waitUntil(`${started.id} starts`, () => {
      if (started.child.exitCode !== null) {
        throw new Error(
          `Expected ${started.id} to start, found: ${started.lines.join("\n")}`,
        );
      }
      found = started.lines.find(isWanted);
      return Promise.resolve(found !== undefined);
    }, START_TIMEOUT_MS);
    return found ?? "";
  }

  #killAll(): void {
    for (const child of this.#processes) child.kill("SIGKILL");
  }
}

/** Waits until the condition holds; a condition that throws a network error counts as not held. */
export async function waitUntil(
  what: string,
  isHeld: () => Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const endsAt = performance.now() + timeoutMs;
  while (performance.now() < endsAt) {
    const held = await isHeld().catch((error: unknown) => {
      if (error instanceof TypeError) return false;
      throw error;
    });
    if (held) return;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error(`Expected within ${timeoutMs} ms that ${what}`);
}

async function putJson(
  address: string,
  path: string,
  body: unknown,
): Promise<unknown> {
  const response = await fetch(`http://${address}${path}`, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  if (response.ok) return await response.json();
  throw new Error(`Expected ${path} to be taken, found ${response.status}`);
}

/** Returns a loopback address that no other process of this machine uses. */
function computeOwnAddress(): string {
  const [high, middle, low] = [16, 8, 0].map((shift) =>
    (process.pid >> shift) & 0xff
  );
  return `127.${FIRST_OWN_NETWORK + (high ?? 0) % 64}.${middle}.${low}`;
}

/** Returns ports that this process has not used and that the system gives to no connection. */
function reservePorts(count: number): number[] {
  const first = nextPort;
  nextPort += count;
  return Array.from({ length: count }, (_, index) => first + index);
}
