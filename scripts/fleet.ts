/**
 * Starts daemons and fakes as separate processes on loopback, for the demo, the
 * process tests and benchmarks.
 */
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
/** Second byte of the lowest loopback address that fleets use. */
const FIRST_LOOPBACK_NETWORK = 64;
const FIRST_PORT = 10_001;
const FLEET_ADDRESS = computeFleetAddress();
let nextPort = FIRST_PORT;

/** A process of the fleet, with the lines it has printed. */
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

/** A fake of the fleet, with its address. */
export interface FleetFake extends FleetProcess {
  address: string;
}

export interface FleetOptions {
  /** Merged into the settings of every daemon. */
  settings?: Record<string, unknown>;
  core?: Record<string, number>;
  /**
   * Entry file of the daemons, to compare versions; `chooseProgram` selects the
   * default.
   */
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

  /**
   * Starts a fake as a process, for example `engine`, and waits until it prints
   * its address.
   */
  async startFake(
    program: string,
    id: string,
    flags: readonly string[] = [],
  ): Promise<FleetFake> {
    return await this.startProgram(id, [`fakes/${program}_main.ts`, ...flags]);
  }

  /** Adds a fake that runs in this process. */
  addFake(id: string, address: string): void {
    const child = undefined as unknown as ChildProcess;
    this.fakes.set(id, { id, address, child, lines: [] });
  }

  /**
   * Assigns the ports of a daemon, so that all daemons can have it as a seed
   * before it starts.
   */
  reserveDaemon(id: string, failureDomain: string): void {
    const [callers, peers, operators] = reservePorts(3);
    const address = `${FLEET_ADDRESS}:${peers}`;
    this.#seeds.push({ id, address, failureDomain });
    this.daemons.set(id, {
      id,
      failureDomain,
      callers: `${FLEET_ADDRESS}:${callers}`,
      peers: address,
      operators: `${FLEET_ADDRESS}:${operators}`,
      child: undefined as unknown as ChildProcess,
      lines: [],
    });
  }

  /** Starts a reserved daemon, or restarts it at its old addresses. */
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
    throw new Error(`Expected a fake ${id}, found none`);
  }

  /**
   * Writes a table to the configuration service, as an operator does, and
   * returns its revision.
   */
  async writeTable(key: string, text: string): Promise<number> {
    const { address } = this.getFake("configuration");
    const answer = await putJson(address, `/operator/keys/${key}`, {
      value: text,
    });
    return (answer as { revision: number }).revision;
  }

  /**
   * Publishes the reserved daemons and the given upstreams as the host list.
   */
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

  /**
   * Simulates a network partition: the daemon exchanges nothing with the given
   * parties until the next call.
   */
  async block(
    id: string,
    cut: { peers?: string[]; upstreams?: string[]; platform?: boolean },
  ): Promise<void> {
    await putJson(this.getDaemon(id).operators, "/cut", cut);
  }

  /** Waits until every given daemon reports that it is ready. */
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

  /** Returns a counter of a daemon; 0 if the counter does not exist yet. */
  async getCounter(id: string, counter: string): Promise<number> {
    const { metrics } = await this.getStatus(id);
    return metrics.counters[counter] ?? 0;
  }

  signal(id: string, signal: NodeJS.Signals): void {
    const target = this.daemons.get(id) ?? this.fakes.get(id);
    target?.child.kill(signal);
  }

  /**
   * Waits until a process exits and returns its exit code; null if a signal
   * ended it.
   */
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

  /** Kills all processes of the fleet and removes its settings files. */
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
    const firstLine = await this.#waitForLine(started, () => true);
    const { address } = JSON.parse(firstLine) as { address: string };
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
    let incompleteLine = "";
    child.stdout.on("data", (chunk) => {
      const parts = (incompleteLine + String(chunk)).split("\n");
      incompleteLine = parts.pop() ?? "";
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

/**
 * Polls until the condition is met. A TypeError, which fetch throws for network
 * errors, counts as not met. The first argument completes the error message.
 */
export async function waitUntil(
  condition: string,
  isMet: () => Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const deadlineAt = performance.now() + timeoutMs;
  while (performance.now() < deadlineAt) {
    const isMetNow = await isMet().catch((error: unknown) => {
      if (error instanceof TypeError) return false;
      throw error;
    });
    if (isMetNow) return;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error(`Expected within ${timeoutMs} ms that ${condition}`);
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
  throw new Error(
    `Expected ${path} to be accepted, found status ${response.status}`,
  );
}

/**
 * Derives a loopback address from the process id, so that fleets of concurrent
 * processes don't collide.
 */
function computeFleetAddress(): string {
  const [high, middle, low] = [16, 8, 0].map((shift) =>
    (process.pid >> shift) & 0xff
  );
  return `127.${FIRST_LOOPBACK_NETWORK + (high ?? 0) % 64}.${middle}.${low}`;
}

/**
 * Returns ports not used before by this process, below the range that the
 * kernel assigns to connections.
 */
function reservePorts(count: number): number[] {
  const firstPort = nextPort;
  nextPort += count;
  return Array.from({ length: count }, (_, index) => firstPort + index);
}
