/** Builds a daemon from its settings: the tasks, the bus between them and their order of start and stop. */
import { randomBytes, randomUUID } from "node:crypto";
import type { Server } from "node:http";
import { performance } from "node:perf_hooks";
import type { DaemonDescription } from "../core/daemon_core.ts";
import { MemoryBudget } from "../core/limits/memory_budget.ts";
import { HostRole, HostState } from "../core/structures.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import { type Bus, createBus } from "./bus.ts";
import { CallerTask } from "./caller_task.ts";
import { ConnectionGuard } from "./connection_guard.ts";
import { CoreTask } from "./core_task.ts";
import {
  computeMaxConnections,
  computeMaxPeerConnections,
  type LimitedPort,
  readDescriptorLimit,
} from "./descriptor_limit.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";
import { ExchangeRegistry } from "./exchange.ts";
import { type CutReport, CutReporter } from "./cut_reporter.ts";
import { createLogger, type Logger } from "./logger.ts";
import { Metrics } from "./metrics.ts";
import { type NetworkPartition, OperatorTask } from "./operator_task.ts";
import { PeerTask } from "./peer_task.ts";
import { PlatformTask } from "./platform_task.ts";
import { UpstreamTask } from "./upstream_task.ts";

/** Time between updates of the gauges. */
const GAUGE_INTERVAL_MS = 1_000;
const TICKET_SECRET_BYTES = 32;
/** Size up to which a body doesn't count against the shared budget. */
const UNCOUNTED_BODY_BYTES = 64 * 1024;
/**
 * Budget that all bodies share for the bytes beyond that size: a quarter of the
 * 256 MB that a daemon may take.
 */
const BODY_BUDGET_BYTES = 64 * 1024 * 1024;

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  callers: number;
  peers: number;
  operators: number;
}

export class Daemon {
  readonly #settings: DaemonSettings;
  readonly #bus: Bus = createBus();
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #eventLoop = new EventLoopMonitor(performance.now());
  readonly #core: CoreTask;
  readonly #callers: CallerTask;
  readonly #peers: PeerTask;
  readonly #upstreams: UpstreamTask;
  readonly #platform: PlatformTask;
  readonly #operators: OperatorTask;
  readonly #guard: ConnectionGuard;
  #gaugeTimer: NodeJS.Timeout | undefined;
  /** State and revisions that were last logged. */
  #lastReported = "";

  constructor(settings: DaemonSettings) {
    const bus = this.#bus;
    this.#settings = settings;
    this.#logger = createLogger(settings.id, settings.logLevel);
    const logger = this.#logger;
    this.#metrics = new Metrics(settings.metrics, settings.id);
    this.#metrics.listen(bus);
    const reportCut = ({ client, ...report }: CutReport): void =>
      logger.warn("Connection of a client was closed", {
        step: "limitClients",
        peer: client,
        ...report,
      });
    this.#guard = new ConnectionGuard({
      limits: settings.clients,
      turns: settings.turns,
      countCut: (reason) => this.#metrics.count("connections_cut", reason),
      logCut: reportCut,
    });
    const descriptorLimit = readDescriptorLimit();
    const limitClients = (server: Server, port: LimitedPort): void =>
      this.#guard.attach(
        server,
        port,
        computeMaxConnections(port, descriptorLimit),
      );
    const exchanges = new ExchangeRegistry();
    const memory = new MemoryBudget({
      exemptBytes: UNCOUNTED_BODY_BYTES,
      sharedBytes: BODY_BUDGET_BYTES,
    });
    this.#core = new CoreTask({
      selfId: settings.id,
      incarnation: randomUUID().slice(0, 8),
      failureDomain: settings.failureDomain,
      settings: settings.core,
      seedHosts: settings.peers.seed.map((peer) => ({
        ...peer,
        role: HostRole.Entry,
        service: "",
        state: HostState.Live,
      })),
      ticketSecret: randomBytes(TICKET_SECRET_BYTES),
      bus,
      logger,
      tickIntervalMs: settings.tickIntervalMs,
    });
    const { core } = this.#core;
    this.#peers = new PeerTask({
      settings,
      bus,
      logger,
      eventLoop: this.#eventLoop,
      maxConnections: computeMaxPeerConnections(
        settings.peers.maxConnections,
        descriptorLimit,
      ),
      cuts: new CutReporter({
        countCut: (reason) =>
          this.#metrics.count("peer_connections_cut", reason),
        logCut: reportCut,
      }),
      getAddress: (id) => core.getPeerAddress(id),
    });
    this.#upstreams = new UpstreamTask({
      bus,
      logger,
      exchanges,
      maxAnswerBytes: settings.callers.maxAnswerBytes,
      memory,
      turns: settings.turns,
    });
    this.#platform = new PlatformTask({
      settings,
      bus,
      logger,
      memory,
      getTables: () => core.getSnapshot(),
    });
    this.#callers = new CallerTask({
      settings: settings.callers,
      bus,
      logger,
      metrics: this.#metrics,
      exchanges,
      memory,
      eventLoop: this.#eventLoop,
      limitClients: (server) => limitClients(server, "callers"),
      getTables: () => core.getSnapshot(),
    });
    this.#operators = new OperatorTask({
      listenAddress: settings.operators.listen,
      core,
      metrics: this.#metrics,
      logger,
      limitClients: (server) => limitClients(server, "operators"),
      applyPartition: settings.operators.allowCuts
        ? (partition) => this.#applyPartition(partition)
        : undefined,
    });
  }

  async start(): Promise<DaemonPorts> {
    const ports = {
      peers: await this.#peers.start(),
      operators: await this.#operators.start(),
      callers: await this.#callers.start(),
    };
    this.#gaugeTimer = setInterval(
      () => this.#updateGauges(),
      GAUGE_INTERVAL_MS,
    );
    this.#logger.info("Daemon started", { step: "start", ports });
    return ports;
  }

  /**
   * Waits until requests in progress have finished, their answers are sent and
   * owned upstreams are handed over, at most for `stopTimeoutMs`; then refuses
   * the requests that are left and stops the tasks.
   */
  async stop(): Promise<void> {
    this.#logger.info("Daemon stops", { step: "stop" });
    const drained = this.#bus.once("stopCompleted");
    const { stopTimeoutMs } = this.#settings;
    const endsAt = performance.now() + stopTimeoutMs;
    this.#callers.beginStop();
    await this.#bus.emit("event", { kind: "stopRequested", endsAt });
    const isDrained = await Promise.race([
      drained.then(() => true),
      waitMs(stopTimeoutMs).then(() => false),
    ]);
    if (!isDrained) {
      this.#logger.error("Requests were still running at the stop timeout", {
        step: "stop",
      });
      await this.#bus.emit("event", { kind: "stopTimedOut" });
    }
    await this.#callers.waitUntilSent(endsAt - performance.now());
    clearInterval(this.#gaugeTimer);
    await waitMs(this.#settings.core.heartbeatIntervalMs);
    this.#core.stop();
    await this.#callers.stop();
    await this.#platform.stop();
    await this.#upstreams.stop();
    this.#peers.stop();
    this.#eventLoop.stop();
    await this.#operators.stop();
    this.#guard.stop();
    await this.#metrics.stop();
    this.#logger.info("Daemon stopped", { step: "stop", isDrained });
  }

  /** Logs an unhandled error; the daemon keeps running. */
  reportError(error: unknown): void {
    this.#logger.error("Error was not handled", {
      step: "unknown",
      peer: "",
      error: error instanceof Error ? error.stack : String(error),
    });
  }

  #applyPartition(partition: NetworkPartition): void {
    this.#peers.setBlockedPeers(partition.peers);
    this.#upstreams.setBlockedUpstreams(partition.upstreams);
    this.#platform.setBlocked(partition.platform);
  }

  /** Logs changes of the daemon's state and of the active revisions. */
  #reportChanges(description: DaemonDescription): void {
    const { state, tablesRevision, hostListRevision } = description;
    const current = JSON.stringify({ state, tablesRevision, hostListRevision });
    if (current === this.#lastReported) return;
    this.#lastReported = current;
    this.#logger.info(`Daemon is ${state}`, {
      step: "updateGauges",
      tablesRevision,
      hostListRevision,
    });
  }

  #updateGauges(): void {
    const description = this.#core.core.describe(performance.now());
    this.#reportChanges(description);
    const { upstreams } = description;
    const creditsInUse = sum(upstreams.map((entry) => entry.creditsInUse));
    const batchSizes = sum(upstreams.map((entry) => entry.batchSize));
    this.#metrics.setGauge("requests", description.execution.requests);
    this.#metrics.setGauge(
      "slots_resident",
      sum(upstreams.map((entry) => entry.slots.length)),
    );
    this.#metrics.setGauge(
      "leases",
      sum(upstreams.map((entry) => entry.leases.length)),
    );
    this.#metrics.setGauge(
      "queue",
      sum(upstreams.map((entry) => entry.waiting)),
    );
    this.#metrics.setGauge(
      "batch_fill",
      batchSizes === 0 ? 0 : creditsInUse / batchSizes,
    );
  }
}

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms).unref());
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
