/**
 * Plays faults at given times round an engine's restart: the engine crashes at
 * CRASH_AT and starts again without its base model, while its owner or the
 * daemons that rank next are killed, suspended, slowed down, cut off, stopped,
 * or lose messages. Daemons act at the intervals of the gateway; a suspended
 * one first runs its due timers and then reads what waits in its sockets. An
 * oracle checks each accepted order, except those that arrive so soon after
 * their sender was resumed or reconnected that the rules leave them out.
 */
import {
  buildEngineLimits,
  buildPermitRequest,
  FETCH_SHARE,
} from "../core/ordering/engine_owner_builder.ts";
import {
  EngineOwner,
  type EngineOwnerEffect,
} from "../../src/core/ordering/engine_owner.ts";
import { FleetView } from "../../src/core/fleet/fleet_view.ts";
import type { FleetMember } from "../../src/core/fleet/heartbeat.ts";
import { PauseDetector } from "../../src/core/fleet/pause_detector.ts";
import { rankByRendezvous } from "../../src/core/hashing.ts";
import { OwnerRoles } from "../../src/core/ordering/owner_roles.ts";
import type { OrderAnswer } from "../../src/core/ordering/ownership_state.ts";
import { buildHeartbeat } from "../core/fleet/heartbeat_builder.ts";
import { CountingEngine, RUN_START_UNIX_MS } from "./counting_engine.ts";
import { type AcceptedOrder, OrderOracle } from "./order_oracle.ts";
import { RandomSource } from "./random_source.ts";

const TERM_MS = 3_000;
const STEP_MS = 10;
const RUN_MS = 26_000;
/** When the engine crashes; its owner has long proven its ownership by then. */
export const CRASH_AT = 11_000;
/** When it is up again. */
export const UP_AT = CRASH_AT + 1_500;
/** Number of adapters that are requested. */
const ADAPTERS = 5;
/** Intervals of the gateway. */
const TICK_MS = 150;
const PAUSE_THRESHOLD_MS = 2_500;
/** Messages that a process reads before it runs its timers again. */
const READS_PER_STEP = 4;
/** Time after which the rules judge a sender's orders again. */
const THAW_MS = 300;

/** A fault that begins at `at`; daemons are named by their rank for the engine. */
export type ScheduledFault =
  & { at: number }
  & (
    | { kind: "crash" }
    | { kind: "kill"; rank: number; forMs: number }
    | { kind: "killFleet"; forMs: number }
    | { kind: "suspend"; rank: number; forMs: number }
    /** What arrives is read this late. */
    | { kind: "slow"; rank: number; forMs: number; delayMs: number }
    | {
      kind: "cutFromPeers";
      rank: number;
      forMs: number;
      direction: "in" | "out" | "both";
    }
    | { kind: "cutFromEngine"; rank: number; forMs: number }
    /** The engine carries out what it is ordered, and no answer arrives. */
    | { kind: "loseAnswers"; rank: number; forMs: number }
    /** A daemon holds another for dead that did not acknowledge a message. */
    | { kind: "missAcknowledgement"; rank: number; peerRank: number }
    /** The daemon hands its engines over, and starts again. */
    | { kind: "stop"; rank: number; forMs: number }
    | { kind: "stepClock"; rank: number; forMs: number; stepMs: number }
    | { kind: "lapseEntry"; rank: number; forMs: number }
  );

export interface RestartScheduleOptions {
  daemons: number;
  modelLoadMs: number;
  faults: readonly ScheduledFault[];
  /** Percentage of messages, orders and reports that are lost. */
  lossPercent: number;
}

export interface RestartScheduleRun {
  violations: string[];
  /** When the restarted engine first accepted the load of an adapter. */
  firstAdapterAt: number;
  orders: AcceptedOrder[];
}

interface Daemon {
  member: FleetMember;
  view: FleetView;
  roles: OwnerRoles;
  owner: EngineOwner | undefined;
  pauseDetector: PauseDetector;
  incarnation: number;
  startedAt: number;
  entryKnownAt: number;
  nextTickAt: number;
  nextHeartbeatAt: number;
  lastHeartbeatAt: number;
  isStopping: boolean;
  /** What waits in the sockets of a suspended or slow daemon. */
  inbox: { at: number; run: (at: number) => void }[];
}

/** The time until which each kind of fault acts on a daemon. */
interface DaemonFaults {
  suspendedUntil: number;
  slowUntil: number;
  slowMs: number;
  deafUntil: number;
  muteUntil: number;
  cutFromEngineUntil: number;
  losesAnswersUntil: number;
  clockUntil: number;
  clockMs: number;
}

/** Leaves out the orders that the rules do not judge. */
class ThawingOracle extends OrderOracle {
  readonly accepted: AcceptedOrder[] = [];
  readonly #isJudged: (order: AcceptedOrder) => boolean;

  constructor(isJudged: (order: AcceptedOrder) => boolean) {
    super(TERM_MS);
    this.#isJudged = isJudged;
  }

  override check(order: AcceptedOrder): void {
    this.accepted.push(order);
    if (this.#isJudged(order)) super.check(order);
  }
}

export class RestartScheduleSimulation {
  readonly #options: RestartScheduleOptions;
  readonly #random: RandomSource;
  /** Most preferred owner first. */
  readonly #members: FleetMember[];
  readonly #daemons: Daemon[] = [];
  readonly #faults: DaemonFaults[];
  readonly #oracle: ThawingOracle;
  readonly #engine: CountingEngine;
  #deliveries: { at: number; run: (at: number) => void }[] = [];
  #firstAdapterAt = Number.POSITIVE_INFINITY;
  #permits = 0;
  #now = 0;

  constructor(seed: number, options: RestartScheduleOptions) {
    this.#options = options;
    this.#random = new RandomSource(seed);
    this.#members = rankByRendezvous(
      "engine",
      Array.from({ length: options.daemons }, (_, index) => ({
        id: `host ${index}`,
        ip: `10.0.0.${index + 1}`,
        failureDomain: "a",
      })),
    );
    this.#faults = this.#members.map(() => ({
      suspendedUntil: 0,
      slowUntil: 0,
      slowMs: 0,
      deafUntil: 0,
      muteUntil: 0,
      cutFromEngineUntil: 0,
      losesAnswersUntil: 0,
      clockUntil: 0,
      clockMs: 0,
    }));
    this.#oracle = new ThawingOracle(({ daemon, at }) => {
      const faults = this.#faults[Number(daemon)];
      if (!faults) return true;
      return [faults.suspendedUntil, faults.cutFromEngineUntil]
        .every((until) => at < until || at >= until + THAW_MS);
    });
    const { modelLoadMs } = options;
    this.#engine = new CountingEngine(this.#oracle, true, { modelLoadMs });
    for (let rank = 0; rank < options.daemons; rank += 1) {
      this.#startDaemon(rank, 0);
    }
  }

  run(): RestartScheduleRun {
    const crash: ScheduledFault = { kind: "crash", at: CRASH_AT };
    const faults = [crash, ...this.#options.faults]
      .sort((a, b) => a.at - b.at);
    for (; this.#now < RUN_MS; this.#now += STEP_MS) {
      const now = this.#now;
      this.#engine.record(now);
      for (let next = faults[0]; next && next.at <= now; next = faults[0]) {
        faults.shift();
        this.#begin(next, now);
      }
      const due = this.#deliveries.filter((each) => each.at <= now);
      this.#deliveries = this.#deliveries.filter((each) => each.at > now);
      for (const delivery of due) delivery.run(now);
      for (let rank = 0; rank < this.#daemons.length; rank += 1) {
        this.#runDaemon(rank, now);
      }
    }
    return {
      violations: this.#oracle.violations,
      firstAdapterAt: this.#firstAdapterAt,
      orders: this.#oracle.accepted,
    };
  }

  #begin(fault: ScheduledFault, now: number): void {
    if (fault.kind === "crash") return this.#engine.restart(now);
    if (fault.kind === "killFleet") {
      for (let rank = 0; rank < this.#daemons.length; rank += 1) {
        this.#startDaemon(rank, now + fault.forMs);
      }
      return;
    }
    const daemon = this.#daemons[fault.rank];
    const faults = this.#faults[fault.rank];
    if (!daemon || !faults) return;
    switch (fault.kind) {
      case "kill":
        return this.#startDaemon(fault.rank, now + fault.forMs);
      case "suspend":
        faults.suspendedUntil = now + fault.forMs;
        break;
      case "slow":
        faults.slowUntil = now + fault.forMs;
        faults.slowMs = fault.delayMs;
        break;
      case "cutFromPeers":
        if (fault.direction !== "out") faults.deafUntil = now + fault.forMs;
        if (fault.direction !== "in") faults.muteUntil = now + fault.forMs;
        break;
      case "cutFromEngine":
        faults.cutFromEngineUntil = now + fault.forMs;
        break;
      case "loseAnswers":
        faults.losesAnswersUntil = now + fault.forMs;
        break;
      case "missAcknowledgement": {
        const peer = this.#members[fault.peerRank];
        if (peer) daemon.view.markUnreachable(peer.id, now);
        break;
      }
      case "stop":
        this.#stopDaemon(fault.rank, daemon, fault.forMs, now);
        break;
      case "stepClock":
        faults.clockUntil = now + fault.forMs;
        faults.clockMs = fault.stepMs;
        break;
      case "lapseEntry":
        daemon.owner = undefined;
        daemon.entryKnownAt = now + fault.forMs;
        break;
    }
  }

  #startDaemon(rank: number, at: number): void {
    const member = this.#members[rank];
    if (!member) return;
    const seedIps = this.#members.slice(0, 3).map(({ ip }) => ip);
    const view = new FleetView(member, RUN_START_UNIX_MS + at, seedIps);
    this.#daemons[rank] = {
      member,
      view,
      roles: new OwnerRoles({
        fleet: view,
        seedIps,
        startedAt: at,
      }),
      owner: undefined,
      pauseDetector: new PauseDetector(at, at + this.#getClockStep(rank)),
      incarnation: (this.#daemons[rank]?.incarnation ?? 0) + 1,
      startedAt: at,
      entryKnownAt: at,
      nextTickAt: at + this.#random.drawInteger(0, TICK_MS),
      nextHeartbeatAt: at,
      lastHeartbeatAt: at,
      isStopping: false,
      inbox: [],
    };
  }

  #stopDaemon(rank: number, daemon: Daemon, forMs: number, now: number): void {
    const { owner } = daemon;
    daemon.isStopping = true;
    this.#sendHeartbeats(rank, daemon, now);
    if (!owner?.isOwner()) return this.#startDaemon(rank, now + forMs);
    const endsAt = now + 400;
    const tryStop = (at: number): void => {
      if (this.#daemons[rank] !== daemon) return;
      if (owner.stopOrders() && at < endsAt) {
        this.#deliveries.push({ at: at + STEP_MS, run: tryStop });
        return;
      }
      const { handover } = owner.handOver(at);
      const engine = { id: owner.engineId, failureDomain: "a" };
      const successor = daemon.view.rankOwners(engine, true, at)[0];
      const to = this.#members.findIndex(({ id }) => id === successor?.id);
      if (handover && to >= 0 && !this.#isCut(rank, to, at)) {
        this.#deliver(to, this.#drawDelay(), (later) => {
          const receiver = this.#daemons[to];
          const effects = receiver?.owner?.acceptHandover(handover, later);
          if (receiver) this.#carryOut(to, receiver, effects ?? []);
        });
      }
      this.#startDaemon(rank, at + forMs);
    };
    tryStop(now);
  }

  #getClockStep(rank: number): number {
    const faults = this.#faults[rank];
    return faults && this.#now < faults.clockUntil ? faults.clockMs : 0;
  }

  #isSuspended(rank: number, now: number): boolean {
    return (this.#faults[rank]?.suspendedUntil ?? 0) > now;
  }

  #isCut(from: number, to: number, now: number): boolean {
    return (this.#faults[from]?.muteUntil ?? 0) > now ||
      (this.#faults[to]?.deafUntil ?? 0) > now;
  }

  #isLost(): boolean {
    return this.#random.drawBoolean(this.#options.lossPercent);
  }

  #drawDelay(): number {
    return this.#random.drawInteger(1, this.#random.drawBoolean(10) ? 280 : 30);
  }

  /** Delivers to a process, which reads it when it runs. */
  #deliver(rank: number, delayMs: number, run: (at: number) => void): void {
    const daemon = this.#daemons[rank];
    this.#deliveries.push({
      at: this.#now + delayMs,
      run: (at) => {
        if (!daemon || this.#daemons[rank] !== daemon) return;
        if (daemon.startedAt > at) return;
        const faults = this.#faults[rank];
        const isSlow = faults !== undefined && faults.slowUntil > at;
        const readAt = at + (isSlow ? faults.slowMs : 0);
        daemon.inbox.push({ at: readAt, run });
      },
    });
  }

  #readInbox(rank: number, daemon: Daemon, now: number): void {
    if (this.#isSuspended(rank, now)) return;
    for (let reads = 0; reads < READS_PER_STEP; reads += 1) {
      const [next] = daemon.inbox;
      if (!next || next.at > now) return;
      daemon.inbox.shift();
      next.run(now);
    }
  }

  #runDaemon(rank: number, now: number): void {
    const daemon = this.#daemons[rank];
    const isRunning = daemon && daemon.startedAt <= now &&
      !this.#isSuspended(rank, now);
    if (!isRunning) return;
    const { view } = daemon;
    if (now >= daemon.nextHeartbeatAt) {
      if (now - daemon.lastHeartbeatAt > PAUSE_THRESHOLD_MS) {
        view.markAllUnreachable();
      }
      daemon.lastHeartbeatAt = now;
      daemon.nextHeartbeatAt = now +
        view.getIntervalMs(now - daemon.startedAt, now);
      this.#sendHeartbeats(rank, daemon, now);
    }
    if (now >= daemon.nextTickAt && now >= daemon.entryKnownAt) {
      this.#tick(rank, daemon, now);
    }
    this.#readInbox(rank, daemon, now);
  }

  #tick(rank: number, daemon: Daemon, now: number): void {
    const { view, roles, pauseDetector } = daemon;
    const isNew = daemon.owner === undefined;
    const owner = daemon.owner ?? this.#createOwner(rank, daemon);
    daemon.owner = owner;
    if (pauseDetector.hasPaused(now, now + this.#getClockStep(rank))) {
      view.recordPause(now);
      owner.recordPause(now);
    }
    if (!this.#engine.isDown(now) && this.#random.drawBoolean(20)) {
      owner.recordRegistration(this.#engine.bornAtUnixMs);
    }
    const context = this.#describeContext(daemon, owner, now);
    const isActive = context.isDesiredOwner || context.isCandidate ||
      owner.isOwner();
    daemon.nextTickAt = now + TICK_MS;
    if (!isActive) return;
    this.#carryOut(rank, daemon, owner.tick(context, now));
    roles.recordOwned(owner, now);
    if (owner.isOwner() && !daemon.isStopping && !isNew) {
      this.#carryOut(
        rank,
        daemon,
        owner.requestPermit(this.#createRequest(), now),
      );
    }
    daemon.nextTickAt = Math.min(
      daemon.nextTickAt,
      Math.max(now + STEP_MS, owner.getNextDueAt()),
    );
  }

  #describeContext(daemon: Daemon, owner: EngineOwner, now: number) {
    return daemon.roles.describeContext({
      engine: { id: owner.engineId, failureDomain: "a" },
      owner,
      fetchShare: FETCH_SHARE,
      isStopping: daemon.isStopping,
    }, now);
  }

  #createOwner(rank: number, daemon: Daemon): EngineOwner {
    const engine = { id: "engine", failureDomain: "a" };
    return new EngineOwner({
      selfId: daemon.member.id,
      hostOrdinal: rank,
      listClaimants: () => daemon.view.listClaimants(engine, this.#now),
      engineId: engine.id,
      limits: buildEngineLimits(this.#options.modelLoadMs),
      termMs: TERM_MS,
      selectOwnAdapter: () => `own${rank}`,
      isClockSteady: (now) => daemon.pauseDetector.isClockSteady(now),
    });
  }

  #createRequest() {
    this.#permits += 1;
    const adapter = `a${this.#random.drawInteger(1, ADAPTERS)}`;
    return buildPermitRequest(
      `p${this.#permits}`,
      adapter,
      this.#random.drawInteger(50, 1_500),
    );
  }

  #sendHeartbeats(rank: number, daemon: Daemon, now: number): void {
    const { view, owner, roles } = daemon;
    const targets = new Map(
      view.selectTargets(now).map(({ member, isPromised }) => [
        member.id,
        isPromised,
      ]),
    );
    if (targets.size < 3) {
      for (const { id } of this.#members.slice(0, 3)) {
        if (!targets.has(id)) targets.set(id, false);
      }
    }
    targets.delete(daemon.member.id);
    for (const [id, isPromised] of targets) {
      const to = this.#members.findIndex((member) => member.id === id);
      if (this.#isCut(rank, to, now) || this.#isLost()) continue;
      const heartbeat = buildHeartbeat(daemon.member, {
        incarnation: String(daemon.incarnation),
        beat: view.beat,
        isLeaving: daemon.isStopping,
        promisedMs: view.getPromisedMs(isPromised),
        heldEngines: owner?.isOwner() ? [owner.engineId] : [],
        newcomerHeld: roles.listOwnedSinceStart(now),
        contestedEngines: roles.listContested(now),
        sample: view.selectSample(isPromised, now),
      });
      this.#deliver(to, this.#drawDelay(), (at) => {
        this.#daemons[to]?.view.recordHeartbeat(heartbeat, at);
      });
    }
  }

  #carryOut(
    rank: number,
    daemon: Daemon,
    effects: readonly EngineOwnerEffect[],
  ): void {
    const { owner } = daemon;
    const engine = this.#engine;
    const now = this.#now;
    const faults = this.#faults[rank];
    if (!owner || !faults) return;
    const receive = (
      delayMs: number,
      run: (at: number) => readonly EngineOwnerEffect[],
    ): void =>
      this.#deliver(rank, delayMs, (at) => {
        if (daemon.owner === owner) this.#carryOut(rank, daemon, run(at));
      });
    for (const effect of effects) {
      const isCut = faults.cutFromEngineUntil > now || this.#isLost();
      const toMs = this.#random.drawInteger(1, 30);
      const answeredMs = toMs + this.#random.drawInteger(1, 30);
      if (effect.kind === "readReport") {
        const report = engine.report(
          now + toMs,
          this.#random.drawInteger(0, 400),
        );
        report.ageMs += this.#getClockStep(rank) - toMs;
        const isUnread = isCut || engine.isDown(now + toMs);
        receive(isUnread ? 300 : answeredMs, (at) => {
          if (!isUnread) {
            return owner.recordReport({ ...report, readAt: now }, at);
          }
          owner.recordReportFailure();
          return [];
        });
      } else if (effect.kind === "giveOrder") {
        const isAnswerLost = isCut || faults.losesAnswersUntil > now;
        this.#deliveries.push({
          at: now + toMs,
          run: (at) => {
            const answer: OrderAnswer = isCut
              ? { kind: "unanswered", detail: "cut" }
              : engine.order(rank, effect, at);
            this.#recordAnswer(effect, answer, at);
            const received: OrderAnswer = isAnswerLost
              ? { kind: "unanswered", detail: "lost" }
              : answer;
            receive(
              isAnswerLost ? 400 : answeredMs - toMs,
              (later) => owner.recordOrderAnswer(received, later),
            );
          },
        });
      } else if (effect.kind === "belief" && effect.isTakeover) {
        this.#sendHeartbeats(rank, daemon, now);
      }
    }
  }

  #recordAnswer(
    effect: Extract<EngineOwnerEffect, { kind: "giveOrder" }>,
    answer: OrderAnswer,
    at: number,
  ): void {
    const isAdapterLoad = effect.order.kind === "load" &&
      effect.order.adapter !== "" && answer.kind === "accepted";
    if (isAdapterLoad && at >= UP_AT && at < this.#firstAdapterAt) {
      this.#firstAdapterAt = at;
    }
  }
}
