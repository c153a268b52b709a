/**
 * A fleet of gateways that run as separate processes on loopback. Fault proxies
 * connect them to fake replicas and to a fake platform store.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import {
  buildPlatformConfiguration,
  buildPlatformRoute,
} from "../../fakes/platform_configuration.ts";
import {
  FakePlatformStore,
  type StoreCopy,
} from "../../fakes/fake_platform_store.ts";
import { chooseProgram } from "../../scripts/program_choice.ts";
import { FaultProxy } from "./fault_proxy.ts";

/** Short, so that the owners of engines change often during a run. */
export const SOAK_TERM_MS = 1_000;
const ENGINES = 3;
const SERVICES = 2;
const GRACE_MS = 3_000;

export interface SoakGateway {
  ip: string;
  program: string;
  settingsFile: string;
  storeProxy: FaultProxy;
  child: ChildProcess;
  /** Number of processes that have been started for this gateway. */
  incarnation: number;
  /** When the present process was started, in Unix milliseconds. */
  startedAt: number;
  isPaused: boolean;
}

/** What a restore of the store goes back to. */
export interface FleetCopy {
  store: StoreCopy;
  version: number;
  takenAt: number;
}

export class SoakFleet {
  readonly store = new FakePlatformStore();
  readonly engines: FakePlatformReplica[] = [];
  readonly services: FakePlatformReplica[] = [];
  readonly proxies = new Map<FakePlatformReplica, FaultProxy>();
  readonly gateways: SoakGateway[] = [];
  readonly port: number;
  readonly #termMs: number;
  readonly #folder = mkdtempSync(join(tmpdir(), "pistachiohatch-soak-"));
  #isStopped = false;
  version = 1;
  /** Number of configurations that were written, whatever their versions. */
  configurationCount = 0;
  restoreCount = 0;
  /** States in which the replicas last registered. */
  readonly #states = new Map<FakePlatformReplica, string>();
  /** Customers of the next configurations; undefined for none. */
  tenants: object[] | undefined;

  constructor(port: number, termMs = SOAK_TERM_MS) {
    this.port = port;
    this.#termMs = termMs;
    process.once("exit", () => this.#killAll());
  }

  /** Port at which gateways give the published view to their peers. */
  get viewPort(): number {
    return this.port + 2;
  }

  async start(gateways: number): Promise<void> {
    await this.store.start();
    for (let index = 0; index < ENGINES + SERVICES; index += 1) {
      const isEngine = index < ENGINES;
      const replica = new FakePlatformReplica(`i-${index}`, isEngine);
      (isEngine ? this.engines : this.services).push(replica);
      await replica.start();
      const proxy = new FaultProxy(replica.address);
      await proxy.start();
      this.proxies.set(replica, proxy);
      this.register(replica, "ready");
    }
    this.publish();
    for (let index = 0; index < gateways; index += 1) {
      await this.#createGateway(index);
    }
  }

  register(replica: FakePlatformReplica, state: string): void {
    const service = replica.isEngine ? "briefs" : "orders";
    const address = this.proxies.get(replica)?.address;
    this.#states.set(replica, state);
    this.store.put(
      `servers/${replica.id}`,
      replica.describe(service, state, address),
    );
  }

  /**
   * Publishes the next version of the configuration. Its only route `only-` has
   * the number of the write, so that an answer tells which one was in force: a
   * restored store gives out versions again.
   */
  publish(): void {
    this.version += 1;
    this.configurationCount += 1;
    this.store.put(
      "op/config",
      buildPlatformConfiguration(this.version, [
        buildPlatformRoute("safe", "safe", "orders"),
        buildPlatformRoute("unsafe", "unsafe", "orders"),
        buildPlatformRoute("brief", "stream", "briefs"),
        buildPlatformRoute("resume", "stream", "briefs", { resumable: true }),
        buildPlatformRoute(
          `only-${this.configurationCount}`,
          "safe",
          "orders",
        ),
        buildPlatformRoute(`restored-${this.restoreCount}`, "safe", "orders"),
      ], { tenants: this.tenants }),
    );
  }

  createCopy(): FleetCopy {
    const { version } = this;
    return { store: this.store.createCopy(), version, takenAt: Date.now() };
  }

  /**
   * Restores the store from the copy; the replicas register again. The versions
   * of lost configurations are given out again unless they are kept.
   */
  restore(copy: FleetCopy, keepsVersion: boolean): void {
    this.store.returnTo(copy.store);
    this.restoreCount += 1;
    if (!keepsVersion) this.version = copy.version;
    for (const [replica, state] of this.#states) this.register(replica, state);
  }

  /** Sends a signal to a gateway's process, which is restarted if it exits. */
  signal(gateway: SoakGateway, signal: NodeJS.Signals): void {
    gateway.child.kill(signal);
    if (signal === "SIGSTOP") gateway.isPaused = true;
    if (signal === "SIGCONT") gateway.isPaused = false;
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#killAll();
    for (const gateway of this.gateways) gateway.storeProxy.stop();
    for (const proxy of this.proxies.values()) proxy.stop();
    for (const replica of [...this.engines, ...this.services]) replica.stop();
    this.store.stop();
    await Promise.all(
      this.gateways.map((gateway) =>
        gateway.child.exitCode === null && gateway.child.signalCode === null
          ? new Promise((resolve) => gateway.child.once("exit", resolve))
          : undefined
      ),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Kills the processes that this fleet started, including paused ones. */
  #killAll(): void {
    this.#isStopped = true;
    for (const { child } of this.gateways) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
  }

  async #createGateway(index: number): Promise<void> {
    const ip = `127.0.0.${index + 1}`;
    const storeProxy = new FaultProxy(this.store.address);
    await storeProxy.start();
    const settingsFile = join(this.#folder, `gateway-${index}.yaml`);
    writeFileSync(
      settingsFile,
      JSON.stringify({
        host: `host-${index}`,
        failureDomain: "zone-a",
        callers: { listen: `${ip}:${this.port}` },
        readiness: { listen: `${ip}:${this.port + 1}` },
        peers: {
          listen: `${ip}:${this.viewPort}`,
          port: this.port + 3,
          seeds: [`127.0.0.1:${this.viewPort}`, `127.0.0.2:${this.viewPort}`],
        },
        store: { address: storeProxy.address },
        orders: { termMs: this.#termMs },
        repeats: { ratio: 0.2, windowMs: 10_000, slack: 58 },
        stop: { graceMs: GRACE_MS },
        logLevel: "info",
      }),
    );
    const program = chooseProgram("platform/main.ts", index);
    const gateway: SoakGateway = {
      ip,
      program,
      settingsFile,
      storeProxy,
      child: this.#spawn(program, settingsFile),
      incarnation: 1,
      startedAt: Date.now(),
      isPaused: false,
    };
    this.gateways.push(gateway);
    this.#restartOnExit(gateway);
  }

  #restartOnExit(gateway: SoakGateway): void {
    gateway.child.once("exit", () => {
      if (this.#isStopped) return;
      gateway.incarnation += 1;
      gateway.startedAt = Date.now();
      gateway.isPaused = false;
      gateway.child = this.#spawn(gateway.program, gateway.settingsFile);
      this.#restartOnExit(gateway);
    });
  }

  #spawn(program: string, settingsFile: string): ChildProcess {
    return spawn(
      process.execPath,
      ["--import", "tsx", program, settingsFile],
      { stdio: ["ignore", "ignore", "inherit"] },
    );
  }
}
