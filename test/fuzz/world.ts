/**
 * Simulation of a whole fleet in one process: daemons, upstreams, platform,
 * network and callers, all driven by one event queue.
 */
import type {
  PeerMessage,
  StoredAnswerStructure,
} from "../../src/core/messages.ts";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import type { TablesStructure } from "../../src/core/structures.ts";
import type { Call, CallEnd, WorkItem } from "./calls.ts";
import { DaemonProcess } from "./daemon_process.ts";
import { EventQueue } from "./event_queue.ts";
import {
  createTables,
  DAEMON_IDS,
  editTables,
  type EngineTraits,
  getFailureDomain,
  ROUTE_COUNT,
  UPSTREAM_IDS,
} from "./fleet_layout.ts";
import { ModelNetwork } from "./model_network.ts";
import { ModelPlatform } from "./model_platform.ts";
import { DEFAULT_FAULTS, ModelUpstream } from "./model_upstream.ts";
import { Oracle } from "./oracle.ts";
import { RandomSource } from "./random_source.ts";
import { Trace } from "./trace.ts";

export interface WorldOptions {
  seed: number;
  traits: EngineTraits;
  /** Interval of the background requests; 0 for none. */
  trafficIntervalMs: number;
  /**
   * Whether daemons of the same failure domain are never disconnected from each
   * other if the engines ignore fencing. Otherwise, two daemons can own the
   * same engine without noticing each other.
   */
  keepsUnfencedDomainsConnected: boolean;
}

export interface WorkItemOptions {
  routeIndex: number;
  durationMs: number;
  isStream: boolean;
  isCrashing: boolean;
}

const STREAM_PARTS = 3;
const MAX_CALLER_DELAY_MS = 5;
const MAX_TRAFFIC_RUN_MS = 3_000;

export class World {
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly trace = new Trace(() => this.queue.now);
  readonly oracle = new Oracle(() => this.queue.now, this.trace);
  readonly network: ModelNetwork;
  readonly platform: ModelPlatform;
  readonly workItems: WorkItem[] = [];
  readonly counts = new Map<string, number>();
  readonly #daemons = new Map<string, DaemonProcess>();
  readonly #upstreams = new Map<string, ModelUpstream>();
  readonly #options: WorldOptions;
  #lastCall = 0;
  #isTrafficOn = false;
  #validTables: TablesStructure;

  constructor(options: WorldOptions) {
    this.#options = options;
    this.random = new RandomSource(options.seed);
    this.network = new ModelNetwork(this.queue, this.random);
    this.#validTables = createTables(options.traits);
    this.platform = new ModelPlatform(this, this.#validTables);
    for (const id of UPSTREAM_IDS) {
      const isEngine = id.startsWith("e-");
      this.#upstreams.set(
        id,
        new ModelUpstream({ ...this, id, isEngine, traits: options.traits }),
      );
    }
    for (const id of DAEMON_IDS) {
      this.#daemons.set(id, new DaemonProcess(id, this));
    }
    this.#isTrafficOn = options.trafficIntervalMs > 0;
    this.#sendTraffic(options.trafficIntervalMs);
  }

  getDaemonOrThrow(id: string): DaemonProcess {
    const daemon = this.#daemons.get(id);
    if (daemon) return daemon;
    throw new Error(`Expected a daemon named ${id}`);
  }

  getDaemons(): DaemonProcess[] {
    return [...this.#daemons.values()];
  }

  getUpstreamOrThrow(id: string): ModelUpstream {
    const upstream = this.#upstreams.get(id);
    if (upstream) return upstream;
    throw new Error(`Expected an upstream named ${id}`);
  }

  sendMessage(from: string, to: string, message: PeerMessage): void {
    this.network.sendBetweenDaemons(from, to, () => {
      const daemon = this.#daemons.get(to);
      daemon?.runLocal(
        0,
        () => daemon.handle({ kind: "peerMessage", from, message }),
      );
    });
  }

  createWorkItem(options: WorkItemOptions): WorkItem {
    const route = this.#validTables.routes[options.routeIndex]!;
    const workItem: WorkItem = {
      id: `w${this.workItems.length + 1}`,
      route: route.name,
      customer: route.customer,
      isIdempotent: route.idempotent,
      isCrashing: options.isCrashing,
      durationMs: options.durationMs,
      parts: options.isStream ? STREAM_PARTS : 1,
      ticket: undefined,
      runs: 0,
      completedRuns: 0,
      unrelatedCrashes: 0,
      causedCrashes: [],
    };
    this.workItems.push(workItem);
    return workItem;
  }

  /**
   * Sends a call for the work to a daemon. If the daemon requires a ticket, the
   * caller sends the work again with the ticket from the refusal.
   */
  sendCall(workItem: WorkItem, daemonId: string): Call {
    this.#lastCall += 1;
    const call: Call = {
      id: `${workItem.id}.c${this.#lastCall}`,
      workItem,
      daemonId,
      ticket: workItem.ticket,
      sentAt: this.queue.now,
      pinnedModel: undefined,
      runs: 0,
      parts: [],
      isCallerGone: false,
      end: undefined,
    };
    this.oracle.recordCall(call);
    const daemon = this.getDaemonOrThrow(daemonId);
    this.trace.add(
      "caller",
      `sends ${call.id} (${workItem.route}) to ${daemonId}${
        call.ticket ? " with ticket" : ""
      }`,
    );
    const isCurrentIncarnation = daemon.createIncarnationCheck();
    this.queue.schedule(this.#drawCallerDelayMs(), () => {
      if (call.end !== undefined) return;
      if (!isCurrentIncarnation()) this.endCall(call.id, { kind: "broken" });
      else daemon.runLocal(0, () => daemon.accept(call));
    });
    return call;
  }

  /** Closes the connection of the call on the caller's side. */
  abandonCall(call: Call): void {
    if (call.end !== undefined || call.isCallerGone) return;
    call.isCallerGone = true;
    this.trace.add("caller", `of ${call.id} closes its connection`);
    const daemon = this.getDaemonOrThrow(call.daemonId);
    const isCurrentIncarnation = daemon.createIncarnationCheck();
    this.queue.schedule(this.#drawCallerDelayMs(), () => {
      if (!isCurrentIncarnation()) return;
      daemon.runLocal(
        0,
        () => daemon.handle({ kind: "callerGone", requestId: call.id }),
      );
    });
  }

  endCall(callId: string, end: CallEnd, ticket?: string): void {
    const call = this.oracle.getCall(callId);
    if (!call) throw new Error(`Expected a call named ${callId}`);
    const detail = end.kind === "refused"
      ? `${end.reason}, ${end.outcome}`
      : end.kind;
    this.trace.add("caller", `of ${callId} receives: ${detail}`);
    this.oracle.recordEnd(call, end);
    const isTicketGiven = end.kind === "refused" &&
      end.reason === RefusalReason.TicketRequired;
    if (!isTicketGiven || ticket === undefined) return;
    call.workItem.ticket ??= ticket;
    this.sendCall(call.workItem, call.daemonId);
  }

  replayCall(callId: string, answer: StoredAnswerStructure): void {
    this.endCall(callId, { kind: "replayed" });
    const call = this.oracle.getCall(callId);
    if (!call || answer.outcome !== Outcome.Completed) return;
    this.oracle.recordReplayedBody(call, new TextDecoder().decode(answer.body));
  }

  /**
   * Breaks the connections of a daemon that has exited: those of its callers
   * and those to the upstreams.
   */
  breakCalls(daemonId: string): void {
    for (const call of this.oracle.getCalls()) {
      if (call.daemonId !== daemonId || call.end !== undefined) continue;
      this.oracle.recordEnd(call, { kind: "broken" });
    }
    for (const upstream of this.#upstreams.values()) {
      upstream.handleDaemonExit(daemonId);
    }
  }

  editRoute(routeIndex: number, choice: number, isInvalid: boolean): void {
    const { revision } = this.platform.getTables();
    const tables = editTables(
      { ...this.#validTables, revision },
      { routeIndex, choice, isInvalid },
    );
    this.trace.add(
      "operator",
      `edits ${tables.routes[routeIndex]?.name}, revision ${tables.revision}${
        isInvalid ? " (invalid)" : ""
      }`,
    );
    if (!isInvalid) this.#validTables = tables;
    this.platform.publishTables(tables);
  }

  setLeaving(upstreamId: string, isLeaving: boolean): void {
    const upstream = this.getUpstreamOrThrow(upstreamId);
    if (upstream.isLeaving === isLeaving) return;
    upstream.isLeaving = isLeaving;
    this.oracle.recordLeaving(upstreamId, isLeaving);
    this.platform.setLeaving(upstreamId, isLeaving);
  }

  /**
   * Blocks messages between nodes, except between daemons that the options keep
   * connected.
   */
  addCut(from: readonly string[], to: readonly string[]): void {
    const { keepsUnfencedDomainsConnected, traits } = this.#options;
    const isKept = (source: string, target: string): boolean =>
      keepsUnfencedDomainsConnected && !traits.checksFencing &&
      this.#daemons.has(source) && this.#daemons.has(target) &&
      getFailureDomain(source) === getFailureDomain(target);
    for (const source of from) {
      const targets = to.filter((target) => !isKept(source, target));
      this.network.addCut([source], targets);
    }
  }

  /**
   * Removes all faults, including an invalid revision of the tables, and ends
   * the background requests.
   */
  clearFaults(): void {
    this.#isTrafficOn = false;
    const isInvalid = this.platform.getTables() !== this.#validTables;
    if (isInvalid) this.editRoute(0, 0, false);
    this.network.clearCuts();
    this.network.noisePercent = 0;
    this.platform.mode = "up";
    this.platform.hostLagMs = 100;
    for (const upstream of this.#upstreams.values()) {
      upstream.faults = { ...DEFAULT_FAULTS };
      this.setLeaving(upstream.id, false);
    }
    for (const daemon of this.#daemons.values()) {
      daemon.pauseAtNext = undefined;
      daemon.resume();
      daemon.start();
    }
    this.oracle.recordDisturbance();
  }

  count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /**
   * Advances the simulated time in steps of at most 100 ms; ongoing
   * disturbances are recorded at each step.
   */
  advance(spanMs: number): void {
    const end = this.queue.now + spanMs;
    while (this.queue.now < end && this.oracle.violation === undefined) {
      if (this.#isDisturbed()) this.oracle.recordDisturbance();
      this.queue.advance(Math.min(100, end - this.queue.now));
    }
  }

  #sendTraffic(intervalMs: number): void {
    if (!this.#isTrafficOn) return;
    const { random } = this;
    const workItem = this.createWorkItem({
      routeIndex: random.drawInteger(0, ROUTE_COUNT - 1),
      durationMs: random.drawInteger(5, MAX_TRAFFIC_RUN_MS),
      isStream: random.drawBoolean(50),
      isCrashing: false,
    });
    const index = random.drawInteger(0, DAEMON_IDS.length - 1);
    this.sendCall(workItem, DAEMON_IDS[index]!);
    this.queue.schedule(intervalMs, () => this.#sendTraffic(intervalMs));
  }

  #isDisturbed(): boolean {
    return this.network.hasCuts() || this.network.noisePercent > 0 ||
      this.getDaemons().some((daemon) => daemon.isPaused || !daemon.isAlive);
  }

  #drawCallerDelayMs(): number {
    return this.random.drawInteger(1, MAX_CALLER_DELAY_MS);
  }
}
