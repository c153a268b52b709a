/** A whole fleet in one process: daemons, upstreams, platform, network and callers over one queue. */
import type {
  PeerMessage,
  StoredAnswerStructure,
} from "../../src/core/messages.ts";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import type { TablesStructure } from "../../src/core/structures.ts";
import type { Call, CallEnd, Work } from "./calls.ts";
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
import { CALM_FAULTS, ModelUpstream } from "./model_upstream.ts";
import { Oracle } from "./oracle.ts";
import { RandomSource } from "./random_source.ts";
import { Trace } from "./trace.ts";

export interface WorldOptions {
  seed: number;
  traits: EngineTraits;
  /** Time between the requests of callers that go on all the time; 0 for none. */
  trafficIntervalMs: number;
  /**
   * Whether the daemons of a failure domain stay together while its engines
   * ignore fencing. Where they do not, two owners may go on unseen.
   */
  keepsUnfencedDomainsWhole: boolean;
}

export interface WorkOptions {
  routeIndex: number;
  durationMs: number;
  isStream: boolean;
  isCrashing: boolean;
}

const STREAM_PARTS = 3;
const MAX_CALLER_TRAVEL_MS = 5;
const MAX_TRAFFIC_RUN_MS = 3_000;

export class World {
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly trace = new Trace(() => this.queue.now);
  readonly oracle = new Oracle(() => this.queue.now, this.trace);
  readonly network: ModelNetwork;
  readonly platform: ModelPlatform;
  readonly works: Work[] = [];
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

  createWork(options: WorkOptions): Work {
    const route = this.#validTables.routes[options.routeIndex]!;
    const work: Work = {
      id: `w${this.works.length + 1}`,
      route: route.name,
      customer: route.customer,
      isIdempotent: route.idempotent,
      isCrashing: options.isCrashing,
      durationMs: options.durationMs,
      parts: options.isStream ? STREAM_PARTS : 1,
      ticket: undefined,
      runs: 0,
      completedRuns: 0,
      chanceDeaths: 0,
      kills: [],
    };
    this.works.push(work);
    return work;
  }

  /** Calls a daemon to have the work done; a ticket that is asked for is fetched first. */
  sendCall(work: Work, daemonId: string): Call {
    this.#lastCall += 1;
    const call: Call = {
      id: `${work.id}.c${this.#lastCall}`,
      work,
      daemonId,
      ticket: work.ticket,
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
      `sends ${call.id} (${work.route}) to ${daemonId}${
        call.ticket ? " with ticket" : ""
      }`,
    );
    const isIncarnation = daemon.createIncarnationCheck();
    this.queue.schedule(this.#getCallerTravelMs(), () => {
      if (call.end !== undefined) return;
      if (!isIncarnation()) this.endCall(call.id, { kind: "broken" });
      else daemon.runLocal(0, () => daemon.accept(call));
    });
    return call;
  }

  /** The caller of a call closes its connection. */
  leaveCall(call: Call): void {
    if (call.end !== undefined || call.isCallerGone) return;
    call.isCallerGone = true;
    this.trace.add("caller", `of ${call.id} goes away`);
    const daemon = this.getDaemonOrThrow(call.daemonId);
    const isIncarnation = daemon.createIncarnationCheck();
    this.queue.schedule(this.#getCallerTravelMs(), () => {
      if (!isIncarnation()) return;
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
    this.trace.add("caller", `of ${callId} is told: ${detail}`);
    this.oracle.recordEnd(call, end);
    const isTicketGiven = end.kind === "refused" &&
      end.reason === RefusalReason.TicketRequired;
    if (!isTicketGiven || ticket === undefined) return;
    call.work.ticket ??= ticket;
    this.sendCall(call.work, call.daemonId);
  }

  replayCall(callId: string, answer: StoredAnswerStructure): void {
    this.endCall(callId, { kind: "replayed" });
    const call = this.oracle.getCall(callId);
    if (!call || answer.outcome !== Outcome.Completed) return;
    this.oracle.recordReplayedBody(call, new TextDecoder().decode(answer.body));
  }

  /** Breaks the connections of the callers of a daemon that is gone. */
  breakCalls(daemonId: string): void {
    for (const call of this.oracle.getCalls()) {
      if (call.daemonId !== daemonId || call.end !== undefined) continue;
      this.oracle.recordEnd(call, { kind: "broken" });
    }
    for (const upstream of this.#upstreams.values()) {
      upstream.handleDaemonGone(daemonId);
    }
  }

  edit(routeIndex: number, choice: number, isInvalid: boolean): void {
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

  /** Cuts the ways between nodes, but for those that a run leaves whole. */
  addCut(from: readonly string[], to: readonly string[]): void {
    const { keepsUnfencedDomainsWhole, traits } = this.#options;
    const isKept = (source: string, target: string): boolean =>
      keepsUnfencedDomainsWhole && !traits.checksFencing &&
      this.#daemons.has(source) && this.#daemons.has(target) &&
      getFailureDomain(source) === getFailureDomain(target);
    for (const source of from) {
      const targets = to.filter((target) => !isKept(source, target));
      this.network.addCut([source], targets);
    }
  }

  /** Ends every fault that is set, an invalid revision of the tables included, and the traffic. */
  heal(): void {
    this.#isTrafficOn = false;
    const isInvalid = this.platform.getTables() !== this.#validTables;
    if (isInvalid) this.edit(0, 0, false);
    this.network.clearCuts();
    this.network.noisePercent = 0;
    this.platform.mode = "up";
    this.platform.hostLagMs = 100;
    for (const upstream of this.#upstreams.values()) {
      upstream.faults = { ...CALM_FAULTS };
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

  /** Lets time pass, in steps at which disturbances that last are noted. */
  advance(spanMs: number): void {
    const end = this.queue.now + spanMs;
    while (this.queue.now < end && this.oracle.breach === undefined) {
      if (this.#isDisturbed()) this.oracle.recordDisturbance();
      this.queue.advance(Math.min(100, end - this.queue.now));
    }
  }

  #sendTraffic(intervalMs: number): void {
    if (!this.#isTrafficOn) return;
    const { random } = this;
    const work = this.createWork({
      routeIndex: random.getInteger(0, ROUTE_COUNT - 1),
      durationMs: random.getInteger(5, MAX_TRAFFIC_RUN_MS),
      isStream: random.hasChance(50),
      isCrashing: false,
    });
    const index = random.getInteger(0, DAEMON_IDS.length - 1);
    this.sendCall(work, DAEMON_IDS[index]!);
    this.queue.schedule(intervalMs, () => this.#sendTraffic(intervalMs));
  }

  #isDisturbed(): boolean {
    return this.network.hasCuts() || this.network.noisePercent > 0 ||
      this.getDaemons().some((daemon) => daemon.isPaused || !daemon.isAlive);
  }

  #getCallerTravelMs(): number {
    return this.random.getInteger(1, MAX_CALLER_TRAVEL_MS);
  }
}
