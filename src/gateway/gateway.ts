/**
 * The gateway daemon: runs in front of the replicas of a platform whose store
 * it may only read. Wires the tasks together, sends heartbeats to peers, and
 * handles start, readiness and graceful stop.
 */
import { randomBytes } from "node:crypto";
import process from "node:process";
import { createServer, type Server } from "node:http";
import { FleetView } from "../core/fleet/fleet_view.ts";
import { computeHostOrdinal } from "../core/ordering/isolated_turns.ts";
import { rankByRendezvous } from "../core/hashing.ts";
import type { Heartbeat } from "../core/fleet/heartbeat.ts";
import { MemoryBudget } from "../core/limits/memory_budget.ts";
import {
  CrashAttribution,
  type CrashDigest,
} from "../core/limits/crash_attribution.ts";
import {
  type RequestCrashEntry,
  RequestCrashHistory,
} from "../core/limits/request_crash_history.ts";
import { UnconfirmedCrashes } from "../core/limits/unconfirmed_crashes.ts";
import { FleetRetryBudget } from "../core/limits/fleet_retry_budget.ts";
import { AdapterDemand } from "../core/placement/adapter_demand.ts";
import { DomainReachability } from "../core/placement/domain_reachability.ts";
import { canRelay } from "../core/placement/relay_selector.ts";
import { UpstreamBackoff } from "../core/placement/upstream_backoff.ts";
import { ServiceLoads } from "../core/placement/service_loads.ts";
import { UpstreamHealth } from "../core/placement/upstream_health.ts";
import {
  type PublishedUpstream,
  PublishedView,
} from "../core/view/published_view.ts";
import { parseSocketAddress } from "../core/socket_address.ts";
import type { GatewaySettings } from "../settings/gateway_settings.ts";
import { AllotmentTask } from "./allotment_task.ts";
import { CallerTask } from "./caller_task.ts";
import { CrashProbe, formatCrashId } from "./crash_probe.ts";
import { DecisionLog } from "./decision_log.ts";
import { EngineTask } from "./engine_task.ts";
import { ConnectionGuard } from "../daemon/connection_guard.ts";
import {
  computeMaxCallerSetting,
  computeMaxConnections,
  computeMaxUpstreamConnections,
  type LimitedPort,
  readDescriptorLimit,
} from "../daemon/descriptor_limit.ts";
import { listen } from "../daemon/http_server.ts";
import { StepError } from "../daemon/step_error.ts";
import { EventLoopMonitor } from "../daemon/event_loop_monitor.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { PeerTask } from "./peer_task.ts";
import type { GatewayMessage } from "./peer_messages.ts";
import {
  listenOnOptionalPort,
  listenOnPort,
  type PortBinding,
} from "./port_binding.ts";
import { ProcessUsage } from "./process_usage.ts";
import type {
  ChangeDecoder,
  EngineControl,
  HeaderCodec,
  PublishedStore,
} from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import { UpstreamPath } from "./upstream_path.ts";
import { UpstreamClient } from "./upstream_client.ts";
import { waitMs } from "./wait.ts";
import { ViewSynchronizer } from "./view_synchronizer.ts";

/**
 * Time between the trials of a convicted trait by two hosts: long enough for
 * the first trial to end and its outcome to spread.
 */
const TRIAL_STAGGER_MS = 2_000;
/** Longest time by which a host's trial comes after the first host's. */
const MAX_TRIAL_DELAY_MS = 60_000;
/**
 * Most failing upstreams in one heartbeat, which has to fit into one datagram.
 */
const MAX_HEARTBEAT_FAILING = 12;
/** Most services that a heartbeat names as cut off, for the same reason. */
const MAX_HEARTBEAT_CUT_OFF = 12;
/**
 * Delay of an early heartbeat, so that changes in quick succession are sent in
 * one.
 */
const HEARTBEAT_COALESCE_MS = 30;
/**
 * Time between two heartbeats beyond which this process is considered to have
 * been paused.
 */
const PAUSE_THRESHOLD_MS = 2_500;
/**
 * Time from the start of a graceful stop until the load balancer has noticed
 * that this gateway isn't ready: two readiness probes, one second apart.
 */
const READINESS_PROPAGATION_MS = 2_500;
/**
 * Size up to which a body or an incomplete event doesn't count against the
 * shared budget. The users' bodies are a few KB long.
 */
const UNCOUNTED_BODY_BYTES = 64 * 1024;
/**
 * Budget that all bodies and incomplete events share for the bytes beyond that
 * size: a tenth of the 250 MB that the smallest hosts have.
 */
const BODY_BUDGET_BYTES = 24 * 1024 * 1024;
/**
 * Share of the time reserved for the exit in which callers read the last
 * responses.
 */
const CLOSE_SHARE = 0.5;
/** Interval at which a stopping gateway checks whether it is idle. */
const DRAIN_POLL_INTERVAL_MS = 50;

/** The implementations of ports.ts for one platform. */
export interface GatewayPlatform {
  headerCodec: HeaderCodec;
  decoder: ChangeDecoder;
  createStore: (address: string, memory: MemoryBudget) => PublishedStore;
  createEngineControl: (memory: MemoryBudget) => EngineControl;
}

/** What one heartbeat tells of crashes. */
interface CrashNews {
  crashes?: CrashDigest | undefined;
  requestCrashes?: RequestCrashEntry[] | undefined;
}

export class Gateway {
  readonly #settings: GatewaySettings;
  readonly #log: DecisionLog;
  readonly #metrics = new GatewayMetrics();
  readonly #eventLoop = new EventLoopMonitor(performance.now());
  readonly #view = new PublishedView();
  readonly #fleet: FleetView;
  readonly #health = new UpstreamHealth();
  readonly #crashAttribution = new CrashAttribution({
    getTrialDelayMs: (trait, now) => this.#computeTrialDelayMs(trait, now),
  });
  readonly #crashHistory = new RequestCrashHistory({
    getTrialDelayMs: (fingerprint, now) =>
      this.#computeTrialDelayMs(fingerprint, now),
  });
  readonly #unconfirmedCrashes = new UnconfirmedCrashes<PublishedUpstream>();
  readonly #path: UpstreamPath;
  readonly #convictionListeners = new Set<() => void>();
  readonly #peers: PeerTask;
  readonly #viewSynchronizer: ViewSynchronizer;
  readonly #engines: EngineTask;
  readonly #allotments: AllotmentTask;
  readonly #serviceLoads = new ServiceLoads();
  readonly #descriptorLimit: number;
  readonly #upstreamClient: UpstreamClient;
  readonly #memory = new MemoryBudget({
    exemptBytes: UNCOUNTED_BODY_BYTES,
    sharedBytes: BODY_BUDGET_BYTES,
  });
  readonly #guard: ConnectionGuard;
  readonly #callers: CallerTask;
  readonly #incarnation = randomBytes(6).toString("hex");
  readonly #headerCodec: HeaderCodec;
  #readinessServer: Server | undefined;
  #timer: ReturnType<typeof setTimeout> | undefined;
  readonly #startedAt = performance.now();
  readonly #usage = new ProcessUsage(() => {
    const { user, system } = process.cpuUsage();
    return {
      processorMicroseconds: user + system,
      counts: this.#metrics.describeWork(),
    };
  }, this.#startedAt);
  #lastHeartbeatAt = performance.now();
  /** When peers were last told of crashes. */
  #crashesToldAt = Number.NEGATIVE_INFINITY;
  #isReady = false;
  /** Whether the port for relayed requests could be opened. */
  #acceptsRelays = false;
  #isHeartbeatScheduled = false;
  #isStopping = false;
  #stopped: Promise<void> | undefined;

  constructor(settings: GatewaySettings, platform: GatewayPlatform) {
    const { host, failureDomain, peers } = settings;
    this.#settings = settings;
    this.#descriptorLimit = settings.descriptors ?? readDescriptorLimit();
    this.#upstreamClient = new UpstreamClient(
      this.#metrics,
      {
        maxConnections: computeMaxUpstreamConnections(this.#descriptorLimit),
        turns: settings.turns,
        memory: this.#memory,
      },
    );
    this.#headerCodec = platform.headerCodec;
    this.#log = new DecisionLog(host, settings.logLevel);
    this.#guard = new ConnectionGuard({
      limits: settings.clients,
      turns: settings.turns,
      countCut: (reason) => this.#metrics.count("connections_cut", reason),
      logCut: (report) => this.#log.warn("connectionCut", report),
    });
    const { host: ip, port } = parseSocketAddress(peers.listen);
    const seedIps = peers.seeds.map((seed) => parseSocketAddress(seed).host);
    this.#fleet = new FleetView(
      { id: host, ip, failureDomain },
      Date.now(),
      seedIps,
    );
    this.#peers = new PeerTask({
      selfId: host,
      incarnation: this.#incarnation,
      ip,
      port: peers.port,
      log: this.#log,
      metrics: this.#metrics,
      eventLoop: this.#eventLoop,
      handle: (from, message) => this.#handleMessage(from, message),
    });
    this.#viewSynchronizer = new ViewSynchronizer({
      store: platform.createStore(settings.store.address, this.#memory),
      decoder: platform.decoder,
      view: this.#view,
      fleet: this.#fleet,
      log: this.#log,
      metrics: this.#metrics,
      leavingMs: settings.store.leavingMs,
      listen: { ip, port },
      limitClients: (server) => this.#limitPort(server, "peers"),
      memory: this.#memory,
      handleChange: () => {
        this.#callers.applyLimits();
        this.#allotments.applyConfiguration();
        this.#confirmCrashes();
        this.#scheduleEarlyHeartbeats();
      },
    });
    this.#path = new UpstreamPath({
      view: this.#view,
      log: this.#log,
      handleChange: () => this.#scheduleEarlyHeartbeats(),
    });
    const control = platform.createEngineControl(this.#memory);
    this.#engines = new EngineTask({
      selfId: host,
      hostOrdinal: computeHostOrdinal({
        host,
        failureDomain,
        failureDomains: Object.keys(settings.failureDomains ?? {}).sort(),
      }),
      termMs: settings.orders.termMs,
      view: this.#view,
      fleet: this.#fleet,
      seedIps,
      control,
      path: this.#path,
      log: this.#log,
      metrics: this.#metrics,
      announceOwnership: () => this.#scheduleEarlyHeartbeats(),
      deliver: (peerId, message) => this.#deliver(peerId, message),
      sendOnce: (peerId, message) => this.#sendOnce(peerId, message),
    });
    this.#allotments = new AllotmentTask({
      selfId: host,
      seedIps: seedIps.filter((seedIp) => seedIp !== ip),
      tolerance: settings.quotas,
      view: this.#view,
      fleet: this.#fleet,
      log: this.#log,
      metrics: this.#metrics,
      sendOnce: (peerId, message) => this.#sendOnce(peerId, message),
    });
    const context: RequestContext = {
      selfId: host,
      failureDomain,
      headerCodec: platform.headerCodec,
      view: this.#view,
      fleet: this.#fleet,
      health: this.#health,
      backoff: new UpstreamBackoff(),
      reachability: new DomainReachability(),
      path: this.#path,
      relayPort: peers.port,
      demand: new AdapterDemand(),
      memory: this.#memory,
      retryBudget: new FleetRetryBudget(settings.repeats),
      allotments: this.#allotments,
      crashAttribution: this.#crashAttribution,
      crashHistory: this.#crashHistory,
      unconfirmedCrashes: this.#unconfirmedCrashes,
      crashProbe: new CrashProbe({
        control,
        isEngine: ({ service }) =>
          this.#view.getService(service)?.engine !== undefined,
        log: this.#log,
      }),
      notifyCrashes: () => this.#notifyCrashes(),
      convictionListeners: this.#convictionListeners,
      serviceLoads: this.#serviceLoads,
      upstreams: this.#upstreamClient,
      engines: this.#engines,
      eventLoop: this.#eventLoop,
      log: this.#log,
      metrics: this.#metrics,
    };
    this.#callers = new CallerTask(
      context,
      (server, port) => this.#limitPort(server, port),
    );
  }

  async start(): Promise<void> {
    const { callers, readiness, peers, failureDomain } = this.#settings;
    this.#checkConnectionLimit();
    const peerIp = parseSocketAddress(peers.listen).host;
    // First of all: a process before this one may still take part in the fleet.
    await this.#listenOn(
      "bind the peers' datagram port",
      `${peerIp}:${peers.port}`,
      () => this.#peers.listen(),
    );
    await this.#listenOn(
      "bind the peers' port",
      peers.listen,
      () => this.#viewSynchronizer.listen(),
    );
    this.#viewSynchronizer.start();
    this.#engines.start();
    await this.#listenOn(
      "bind the callers' port",
      callers.listen,
      () => this.#callers.listen(callers.listen),
    );
    await this.#listenOn(
      "bind the readiness port",
      readiness.listen,
      () => this.#listenForReadiness(readiness.listen),
    );
    this.#listenOnOptionalPorts(peerIp);
    this.#scheduleNextHeartbeats();
    this.#sendHeartbeats();
    this.#log.info("started", {
      descriptorLimit: this.#descriptorLimit,
      failureDomain,
      incarnation: this.#incarnation,
      callers: callers.listen,
    });
  }

  /**
   * Stops gracefully: hands the engines over, finishes the requests already
   * read, and resolves when the process may exit. Further calls wait for the
   * same stop.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stopOnce();
    return this.#stopped;
  }

  async #stopOnce(): Promise<void> {
    this.#isStopping = true;
    const beganAt = performance.now();
    const { graceMs, exitReserveMs } = this.#settings.stop;
    const endsAt = beganAt + Math.max(0, graceMs - exitReserveMs);
    this.#log.info("stopping", { inFlight: this.#callers.inFlight, graceMs });
    this.#callers.beginStop({ beganAt, endsAt });
    this.#sendHeartbeats();
    await this.#engines.stop();
    await waitMs(
      Math.min(
        READINESS_PROPAGATION_MS,
        graceMs / 2,
        endsAt - performance.now(),
      ),
    );
    for (
      let now = performance.now();
      now < endsAt && this.#callers.inFlight > 0;
      now = performance.now()
    ) {
      this.#callers.closeIdleConnections(now);
      await waitMs(Math.min(DRAIN_POLL_INTERVAL_MS, endsAt - now));
    }
    await this.#callers.finish(
      performance.now() + CLOSE_SHARE * exitReserveMs,
    );
    this.#log.info("stopped", { inFlight: this.#callers.inFlight });
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#callers.close();
    this.#viewSynchronizer.stop();
    this.#allotments.stop();
    this.#peers.close();
    this.#metrics.close();
    this.#path.stop();
    this.#upstreamClient.close();
    this.#guard.stop();
    this.#eventLoop.stop();
    this.#log.flush();
  }

  /** Applies the settings that may change without a restart. */
  reload(settings: GatewaySettings): void {
    this.#log.setLevel(settings.logLevel);
    this.#log.info("reloaded", { logLevel: settings.logLevel });
  }

  reportError(step: string, error: unknown): void {
    const detail = error instanceof Error ? error.stack : String(error);
    this.#metrics.count("internal_errors", step);
    this.#log.warn("internalError", { step, detail });
  }

  /** Writes the buffered log lines before the process exits. */
  flushLog(): void {
    this.#log.flush();
  }

  /** Throws a StepError if the settings allow too many connections. */
  #checkConnectionLimit(): void {
    const { listen: address, maxConnections = 0 } = this.#settings.callers;
    const most = computeMaxCallerSetting(this.#descriptorLimit);
    if (maxConnections <= most) return;
    throw new StepError(
      `callers.maxConnections: expected at most ${most}, half of the process's ${this.#descriptorLimit} descriptors, found ${maxConnections}`,
      { step: "check the limit of connections", peer: address },
    );
  }

  #limitPort(server: Server, port: LimitedPort): void {
    const { maxConnections } = this.#settings.callers;
    const setting = port === "callers" ? maxConnections : undefined;
    this.#guard.attach(
      server,
      port,
      setting ?? computeMaxConnections(port, this.#descriptorLimit),
    );
  }

  #listenOn(
    step: string,
    address: string,
    bind: () => Promise<unknown>,
  ): Promise<void> {
    return listenOnPort(this.#createBinding(step, address, bind));
  }

  /**
   * Binds the ports without which callers are served: that for relayed requests,
   * and that of the metrics, whose number is the same for all gateways at an
   * address.
   */
  #listenOnOptionalPorts(peerIp: string): void {
    const { callers, metrics, peers } = this.#settings;
    const relayAddress = `${peerIp}:${peers.port}`;
    void listenOnOptionalPort(
      this.#createBinding(
        "bind the port for relayed requests",
        relayAddress,
        () => this.#callers.listenForRelays(relayAddress),
      ),
      () => this.#acceptsRelays = true,
    );
    if (!metrics) return;
    const { host } = parseSocketAddress(callers.listen);
    const metricsAddress = `${host}:${metrics.port}`;
    void listenOnOptionalPort(
      this.#createBinding(
        "bind the metrics port",
        metricsAddress,
        () =>
          this.#metrics.listen(
            metricsAddress,
            (server) => this.#limitPort(server, "metrics"),
          ),
      ),
    );
  }

  #createBinding(
    step: string,
    address: string,
    bind: () => Promise<unknown>,
  ): PortBinding {
    const isStopped = () => this.#isStopping;
    return { step, address, bind, isStopped, log: this.#log };
  }

  #listenForReadiness(address: string): Promise<unknown> {
    const server = createServer((request, response) => {
      const isReadyPath = request.url === this.#headerCodec.readyPath;
      const status = !isReadyPath ? 404 : this.#updateReadiness() ? 200 : 503;
      response.writeHead(status, { "Content-Length": 0 }).end();
    });
    this.#limitPort(server, "readiness");
    this.#readinessServer = server;
    server.unref();
    return listen(server, address);
  }

  #updateReadiness(): boolean {
    const isReady = !this.#isStopping &&
      this.#view.configuration !== undefined && this.#canServe();
    if (isReady !== this.#isReady) {
      this.#isReady = isReady;
      this.#log.info("readinessChanged", {
        isReady,
        configurationVersion: this.#view.configuration?.version,
        upstreams: this.#view.countUpstreams(),
      });
    }
    return isReady;
  }

  /** Returns whether any service can be reached, from here or over a peer. */
  #canServe(): boolean {
    const cutOff = this.#path.listCutOff();
    if (cutOff.length === 0) return true;
    const peers = this.#fleet.listAlive(performance.now());
    const services = this.#view.configuration?.services ?? [];
    return services.some(({ name }) =>
      !cutOff.includes(name) || peers.some((peer) => canRelay(peer, name))
    );
  }

  #scheduleNextHeartbeats(): void {
    this.#timer = setTimeout(() => {
      this.#sendHeartbeats();
      this.#scheduleNextHeartbeats();
    }, this.#getHeartbeatIntervalMs());
  }

  #getHeartbeatIntervalMs(): number {
    const now = performance.now();
    return this.#fleet.getIntervalMs(now - this.#startedAt, now);
  }

  /**
   * Sends a heartbeat to the targets of this period, and to all seeds while
   * there are fewer targets than seeds. A heartbeat with a promise says within
   * which time the next one follows.
   */
  #sendHeartbeats(): void {
    const now = performance.now();
    const sinceLastMs = now - this.#lastHeartbeatAt;
    this.#lastHeartbeatAt = now;
    if (sinceLastMs > PAUSE_THRESHOLD_MS) {
      this.#log.warn("pauseDetected", { sinceLastMs: Math.round(sinceLastMs) });
      this.#metrics.count("pauses", "process");
      this.#fleet.markAllUnreachable();
    }
    const targets = this.#fleet.selectTargets(now);
    const seeds = this.#settings.peers.seeds
      .map((seed) => parseSocketAddress(seed).host);
    const promisedByIp = new Map(
      targets.map((target) => [target.member.ip, target.isPromised]),
    );
    if (promisedByIp.size < seeds.length) {
      for (const ip of seeds) {
        if (!promisedByIp.has(ip)) promisedByIp.set(ip, false);
      }
    }
    promisedByIp.delete(this.#fleet.self.ip);
    const needsCrashes = this.#crashHistory.hasNews(now) ||
      this.#crashAttribution.needsDigest(this.#crashesToldAt, now);
    const crashes = needsCrashes ? this.#describeCrashes(now) : {};
    if (needsCrashes) this.#crashesToldAt = now;
    const heartbeats = new Map<boolean, GatewayMessage>();
    for (const [ip, isPromised] of promisedByIp) {
      const heartbeat = heartbeats.get(isPromised) ??
        this.#buildHeartbeat(isPromised, crashes, now);
      heartbeats.set(isPromised, heartbeat);
      this.#peers.send(ip, heartbeat);
    }
    this.#confirmCrashes();
    this.#updateGauges(now);
    const usage = this.#usage.takeSummary(now);
    if (usage) {
      this.#log.info("processUsage", {
        ...usage,
        longestReadDelayMs: Math.round(this.#eventLoop.takeLongestDelayMs()),
      });
    }
  }

  /**
   * Schedules a heartbeat before the next periodic one, so that peers learn of
   * a change early.
   */
  #scheduleEarlyHeartbeats(): void {
    if (this.#isHeartbeatScheduled) return;
    this.#isHeartbeatScheduled = true;
    setTimeout(() => {
      this.#isHeartbeatScheduled = false;
      if (this.#timer) this.#sendHeartbeats();
    }, HEARTBEAT_COALESCE_MS);
  }

  #buildHeartbeat(
    isPromised: boolean,
    crashes: CrashNews,
    now: number,
  ): GatewayMessage {
    return {
      kind: "heartbeat",
      heartbeat: { ...this.#describeSelf(isPromised, now), ...crashes },
    };
  }

  #describeCrashes(now: number): CrashNews {
    const requestCrashes = this.#crashHistory.getDigest(now);
    return {
      crashes: this.#crashAttribution.getDigest(now),
      requestCrashes: requestCrashes.length > 0 ? requestCrashes : undefined,
    };
  }

  #describeSelf(isPromised: boolean, now: number): Heartbeat {
    const cutOff = this.#path.listCutOff();
    // Failures that the path from here explains say nothing about an upstream.
    const failing = this.#health.listFailing(now)
      .filter(([id]) =>
        !cutOff.includes(this.#view.getUpstream(id)?.service ?? "")
      )
      .slice(0, MAX_HEARTBEAT_FAILING);
    return {
      sender: this.#fleet.self,
      incarnation: this.#incarnation,
      beat: this.#fleet.beat,
      isLeaving: this.#isStopping,
      promisedMs: this.#fleet.getPromisedMs(isPromised),
      hasStore: this.#viewSynchronizer.isStoreReachable(),
      ...this.#viewSynchronizer.describePositions(),
      heldEngines: this.#engines.listOwnedEngines(),
      newcomerHeld: this.#engines.listOwnedSinceStart(now),
      contestedEngines: this.#engines.listContested(now),
      fetchesInFlight: this.#engines.countFetches(),
      fullSpeedFetches: this.#engines.getFullSpeedFetches(),
      failing: failing.length > 0 ? failing : undefined,
      acceptsRelays: this.#acceptsRelays,
      cutOffServices: cutOff.length > 0
        ? cutOff.slice(0, MAX_HEARTBEAT_CUT_OFF)
        : undefined,
      sharesAllotments: true,
      fenceUnixMs: 0,
      sample: this.#fleet.selectSample(isPromised, now),
      strikes: [],
    };
  }

  /**
   * Returns by how much this host's trial of a convicted trait comes after the
   * first one in the fleet, from its rank among the hosts that are alive.
   */
  #computeTrialDelayMs(trait: string, now: number): number {
    const hosts = [
      this.#fleet.self,
      ...this.#fleet.listAlive(now).map(({ sender }) => sender),
    ];
    const rank = rankByRendezvous(trait, hosts).indexOf(this.#fleet.self);
    return Math.min(MAX_TRIAL_DELAY_MS, rank * TRIAL_STAGGER_MS);
  }

  #updateGauges(now: number): void {
    this.#metrics.setGauge("living_daemons", this.#fleet.countAlive(now));
    this.#metrics.setGauge(
      "convicted_traits",
      this.#crashAttribution.listConvictions(now).length,
    );
    this.#metrics.setGauge(
      "held_back_requests",
      this.#crashHistory.countHeldBack(),
    );
    this.#metrics.setGauge(
      "slowest_pace_percent",
      Math.round((this.#serviceLoads.estimateHighestPace(now) ?? 0) * 100),
    );
    this.#metrics.setGauge("upstreams", this.#view.countUpstreams());
    this.#metrics.setGauge("requests_in_flight", this.#callers.inFlight);
    this.#metrics.setGauge(
      "held_engines",
      this.#engines.listOwnedEngines().length,
    );
    this.#metrics.setGauge(
      "configuration_version",
      this.#view.configuration?.version ?? 0,
    );
  }

  #handleMessage(from: string, message: GatewayMessage): void {
    if (
      message.kind === "allotmentReport" || message.kind === "allotmentTotals"
    ) {
      this.#allotments.handleMessage(from, message);
      return;
    }
    if (message.kind !== "heartbeat") {
      this.#engines.handleMessage(from, message);
      return;
    }
    const now = performance.now();
    const { heartbeat } = message;
    this.#mergeCrashes(from, heartbeat, now);
    const isNew = this.#fleet.recordHeartbeat(heartbeat, now);
    this.#engines.notifyNewOwners(now);
    this.#health.recordReports(this.#fleet.listFailing(now));
    if (!isNew) return;
    this.#log.info("peerHeard", {
      peer: from,
      incarnation: heartbeat.incarnation,
      isLeaving: heartbeat.isLeaving,
    });
    // A recently started peer knows few members and no crashes, so it gets a
    // heartbeat at once.
    if (heartbeat.isLeaving || this.#isStopping) return;
    this.#peers.send(
      heartbeat.sender.ip,
      this.#buildHeartbeat(false, this.#describeCrashes(now), now),
    );
  }

  #mergeCrashes(
    from: string,
    { crashes, requestCrashes = [] }: Heartbeat,
    now: number,
  ): void {
    const crashIds = [
      ...(crashes?.crashes ?? []).map(([incarnation]) =>
        formatCrashId(incarnation)
      ),
      ...requestCrashes.flatMap(([, , runs]) =>
        runs.map(([crashId]) => crashId)
      ),
    ];
    this.#unconfirmedCrashes.confirmCrashes(new Set(crashIds), now);
    if (this.#crashHistory.mergeDigest(requestCrashes, now)) {
      this.#log.info("requestsHeldBack", {
        peer: from,
        fingerprints: requestCrashes.map(([fingerprint]) => fingerprint)
          .filter((each) => this.#crashHistory.isHeldBack(each, now)),
      });
      this.#notifyCrashes();
    }
    if (!crashes) return;
    if (!this.#crashAttribution.mergeDigest(crashes, now)) return;
    this.#log.info("crashTraitsConvicted", {
      peer: from,
      convictions: this.#crashAttribution.listConvictions(now)
        .map(({ traits, crashes }) => ({ traits, crashes })),
    });
    this.#notifyCrashes();
  }

  #confirmCrashes(): void {
    this.#unconfirmedCrashes.confirmEnded(
      (upstream) => this.#view.hasEnded(upstream),
      performance.now(),
    );
  }

  #notifyCrashes(): void {
    this.#scheduleEarlyHeartbeats();
    for (const listener of this.#convictionListeners) listener();
  }

  #sendOnce(peerId: string, message: GatewayMessage): void {
    const member = this.#fleet.getMember(peerId);
    if (member) this.#peers.send(member.ip, message);
  }

  async #deliver(peerId: string, message: GatewayMessage): Promise<boolean> {
    const member = this.#fleet.getMember(peerId);
    if (!member) return false;
    const isDelivered = await this.#peers.deliver(member.ip, message);
    if (!isDelivered && !this.#isStopping) {
      this.#fleet.markUnreachable(peerId, performance.now());
      this.#log.info("peerSilent", { peer: peerId, message: message.kind });
    }
    return isDelivered;
  }
}
