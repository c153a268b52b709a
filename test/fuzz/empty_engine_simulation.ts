/**
 * Several daemons with the roles of the product compete for the ownership of an
 * engine that starts without its base model, whose load it confirms to every
 * daemon. The engine crashes and is replaced by new ones; the daemons are cut
 * off from each other or from the engine, hold each other for dead after a lost
 * message, stall, and are killed; the engine's store entry lapses and returns.
 * Each daemon's majority, and whether it should own the engine, follow from the
 * heartbeats that it receives.
 */
import {
  buildEngineLimits,
  buildPermitRequest,
  FETCH_SHARE,
} from "../core/ordering/engine_owner_builder.ts";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import {
  EngineOwner,
  type EngineOwnerEffect,
} from "../../src/core/ordering/engine_owner.ts";
import { FleetView } from "../../src/core/fleet/fleet_view.ts";
import type { FleetMember } from "../../src/core/fleet/heartbeat.ts";
import { OwnerRoles } from "../../src/core/ordering/owner_roles.ts";
import type { OrderAnswer } from "../../src/core/ordering/ownership_state.ts";
import { buildHeartbeat } from "../core/fleet/heartbeat_builder.ts";
import { CountingEngine } from "./counting_engine.ts";
import { OrderOracle } from "./order_oracle.ts";

const TERM_MS = 3_000;
const RUN_MS = 60_000;
const STEP_MS = 20;
/**
 * Number of adapters that are requested: few, so that two daemons often want
 * the same.
 */
const ADAPTERS = 5;
const HEARTBEAT_MS = 400;
const STARTUP_HEARTBEAT_MS = 150;
const STARTUP_MS = 3_000;
/** Addresses at which there is no daemon. */
const STALE_SEEDS = ["10.0.9.1", "10.0.9.2", "10.0.9.3"];

export interface EmptyEngineRunOptions {
  daemons: number;
  modelLoadMs: number;
  /** Mean number of steps between two disturbances of a kind; 0 for none. */
  disturbanceSteps: number;
  /** Times at which the engine crashes, besides the random ones. */
  crashesAt?: readonly number[];
  isolation?: Isolation;
  runMs?: number;
  /** Whether the engine refuses the load of a base model that it is loading. */
  refusesRepeatedLoads?: boolean;
}

/** The first `daemons` daemons hear no other one, and are not heard. */
export interface Isolation {
  daemons: number;
  from?: number;
  until: number;
  /** Whether they hear each other. */
  isGroup?: boolean;
}

/** What was seen in a run. */
export interface EmptyEngineRun {
  violations: string[];
  /**
   * For each start of an engine, when it was up and when it first accepted the
   * loads of a base model and of an adapter; infinity if it did not.
   */
  starts: { upAt: number; firstModelAt: number; firstAdapterAt: number }[];
}

interface Daemon {
  member: FleetMember;
  view: FleetView;
  roles: OwnerRoles;
  /** Undefined while the engine's store entry is not known. */
  owner: EngineOwner | undefined;
  /** When the engine's store entry becomes known. */
  entryKnownAt: number;
  startedAt: number;
  stalledUntil: number;
  cutFromEngineUntil: number;
  nextHeartbeatAt: number;
  incarnation: number;
}

export class EmptyEngineSimulation {
  readonly #options: EmptyEngineRunOptions;
  readonly #draw: (from: number, to: number) => number;
  readonly #members: FleetMember[];
  readonly #daemons: Daemon[] = [];
  /** Until when two daemons do not hear each other, by their indexes. */
  readonly #cutUntil = new Map<string, number>();
  readonly #run: EmptyEngineRun = { violations: [], starts: [] };
  #oracle = new OrderOracle(TERM_MS);
  #engine: CountingEngine;
  #engineNumber = 0;
  #deliveries: { at: number; run: (at: number) => void }[] = [];
  #permits = 0;
  #now = 0;

  constructor(seed: number, options: EmptyEngineRunOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(seed);
    this.#draw = (from, to) => uniformInt(generator, from, to);
    this.#members = Array.from({ length: options.daemons }, (_, index) => ({
      id: `daemon ${index}`,
      ip: `10.0.0.${index + 1}`,
      failureDomain: "a",
    }));
    this.#engine = this.#createEngine(0);
    for (let index = 0; index < options.daemons; index += 1) {
      this.#startDaemon(index, 0);
    }
  }

  run(): EmptyEngineRun {
    const { runMs = RUN_MS } = this.#options;
    for (; this.#now < runMs; this.#now += STEP_MS) {
      const now = this.#now;
      this.#engine.record(now);
      const due = this.#deliveries.filter((each) => each.at <= now);
      this.#deliveries = this.#deliveries.filter((each) => each.at > now);
      for (const delivery of due) delivery.run(now);
      this.#disturb(now);
      for (let index = 0; index < this.#daemons.length; index += 1) {
        this.#tick(index, now);
      }
    }
    return this.#run;
  }

  get #engineId(): string {
    return `engine ${this.#engineNumber}`;
  }

  #createEngine(startedAt: number): CountingEngine {
    this.#oracle = new OrderOracle(TERM_MS);
    this.#run.starts.push({
      upAt: startedAt,
      firstModelAt: Number.POSITIVE_INFINITY,
      firstAdapterAt: Number.POSITIVE_INFINITY,
    });
    const { modelLoadMs, refusesRepeatedLoads } = this.#options;
    return new CountingEngine(this.#oracle, true, {
      modelLoadMs,
      startedAt,
      refusesRepeatedLoads,
    });
  }

  #startDaemon(index: number, at: number): void {
    const member = this.#members[index];
    if (!member) return;
    const { isolation } = this.#options;
    const seedIps = isolation && isolation.daemons === this.#options.daemons &&
        isolation.until === Number.POSITIVE_INFINITY
      ? STALE_SEEDS
      : this.#members.map(({ ip }) => ip);
    const view = new FleetView(member, 0, seedIps);
    this.#daemons[index] = {
      member,
      view,
      roles: new OwnerRoles({
        fleet: view,
        seedIps,
        startedAt: at,
      }),
      owner: undefined,
      entryKnownAt: at,
      startedAt: at,
      stalledUntil: at,
      cutFromEngineUntil: 0,
      nextHeartbeatAt: at,
      incarnation: (this.#daemons[index]?.incarnation ?? 0) + 1,
    };
  }

  #createOwner(index: number, daemon: Daemon): EngineOwner {
    const engine = { id: this.#engineId, failureDomain: "a" };
    return new EngineOwner({
      selfId: daemon.member.id,
      hostOrdinal: index,
      listClaimants: () => daemon.view.listClaimants(engine, this.#now),
      engineId: engine.id,
      limits: buildEngineLimits(this.#options.modelLoadMs),
      termMs: TERM_MS,
      selectOwnAdapter: () => `own${index}`,
      isClockSteady: () => true,
    });
  }

  #occurs(factor: number): boolean {
    const { disturbanceSteps } = this.#options;
    return disturbanceSteps > 0 &&
      this.#draw(1, disturbanceSteps * factor) === 1;
  }

  #disturb(now: number): void {
    const isDue = this.#options.crashesAt?.includes(now) ?? false;
    if (isDue || this.#occurs(1)) {
      this.#engine.restart(now);
      const upAt = now + 1_500;
      this.#run.starts.push({
        upAt,
        firstModelAt: Number.POSITIVE_INFINITY,
        firstAdapterAt: Number.POSITIVE_INFINITY,
      });
    }
    if (this.#occurs(3)) this.#replaceEngine(now);
    if (this.#occurs(4)) {
      for (const daemon of this.#daemons) this.#lapseEntry(daemon, now);
    }
    for (let index = 0; index < this.#daemons.length; index += 1) {
      const daemon = this.#daemons[index];
      if (!daemon) continue;
      if (this.#occurs(4)) this.#lapseEntry(daemon, now);
      if (this.#occurs(1)) {
        daemon.cutFromEngineUntil = now + this.#draw(100, 6_000);
      }
      if (this.#occurs(1)) daemon.stalledUntil = now + this.#draw(100, 5_000);
      if (this.#occurs(2)) {
        this.#startDaemon(index, now + this.#draw(50, 1_500));
      }
      for (let other = 0; other < this.#daemons.length; other += 1) {
        if (other === index) continue;
        if (this.#occurs(2)) {
          this.#cutUntil.set(`${index} ${other}`, now + this.#draw(100, 6_000));
        }
        const otherId = this.#members[other]?.id ?? "";
        if (this.#occurs(1)) daemon.view.markUnreachable(otherId, now);
      }
    }
  }

  /** Replaces the engine by one that no daemon has known before. */
  #replaceEngine(now: number): void {
    this.#engineNumber += 1;
    this.#engine = this.#createEngine(now);
    for (const daemon of this.#daemons) this.#lapseEntry(daemon, now);
  }

  #lapseEntry(daemon: Daemon, now: number): void {
    daemon.owner = undefined;
    daemon.entryKnownAt = now + this.#draw(0, 600);
  }

  #tick(index: number, now: number): void {
    const daemon = this.#daemons[index];
    if (!daemon || daemon.stalledUntil > now) return;
    if (now >= daemon.nextHeartbeatAt) {
      const isStarting = now - daemon.startedAt < STARTUP_MS;
      daemon.nextHeartbeatAt = now +
        (isStarting ? STARTUP_HEARTBEAT_MS : HEARTBEAT_MS);
      this.#sendHeartbeat(index, daemon, now);
    }
    if (now < daemon.entryKnownAt) return;
    daemon.owner ??= this.#createOwner(index, daemon);
    const { owner } = daemon;
    if (!this.#engine.isDown(now) && this.#draw(0, 29) === 0) {
      owner.recordRegistration(this.#engine.bornAtUnixMs);
    }
    // As in the gateway, only an owner is asked for permits.
    if (owner.isOwner() && this.#draw(0, 9) === 0) {
      const effects = owner.requestPermit(this.#createRequest(), now);
      this.#carryOut(index, daemon, effects);
    }
    const context = daemon.roles.describeContext({
      engine: { id: owner.engineId, failureDomain: "a" },
      owner,
      fetchShare: FETCH_SHARE,
      isStopping: false,
    }, now);
    const isActive = context.isDesiredOwner || context.isCandidate ||
      owner.isOwner();
    if (!isActive) return;
    this.#carryOut(index, daemon, owner.tick(context, now));
    daemon.roles.recordOwned(owner, now);
  }

  #createRequest() {
    this.#permits += 1;
    const adapter = `a${this.#draw(1, ADAPTERS)}`;
    return buildPermitRequest(
      `p${this.#permits}`,
      adapter,
      this.#draw(50, 1_500),
    );
  }

  /** Sends a heartbeat to the daemons that are not cut off; it may be late. */
  #sendHeartbeat(index: number, daemon: Daemon, now: number): void {
    const { owner, roles } = daemon;
    const heartbeat = buildHeartbeat(daemon.member, {
      incarnation: String(daemon.incarnation),
      heldEngines: owner?.isOwner() ? [owner.engineId] : [],
      newcomerHeld: roles.listOwnedSinceStart(now),
      contestedEngines: roles.listContested(now),
      sample: daemon.view.selectSample(true, now),
    });
    for (let other = 0; other < this.#daemons.length; other += 1) {
      if (other === index) continue;
      const cutUntil = this.#cutUntil.get(`${index} ${other}`) ?? 0;
      const isLost = this.#draw(0, 99) < 3 || cutUntil > now ||
        this.#isIsolated(index, other, now);
      if (isLost) continue;
      this.#deliveries.push({
        at: now + this.#draw(1, this.#draw(0, 9) === 0 ? 280 : 30),
        run: (at) => {
          const receiver = this.#daemons[other];
          if (!receiver || receiver.startedAt > at) return;
          receiver.view.recordHeartbeat(heartbeat, at);
        },
      });
    }
  }

  #isIsolated(sender: number, receiver: number, now: number): boolean {
    const { isolation } = this.#options;
    if (!isolation) return false;
    const { daemons, from = 0, until, isGroup = false } = isolation;
    const isSenderApart = sender < daemons;
    const isReceiverApart = receiver < daemons;
    const isCut = isSenderApart !== isReceiverApart ||
      (isSenderApart && !isGroup);
    return isCut && now >= from && now < until;
  }

  #carryOut(
    index: number,
    daemon: Daemon,
    effects: readonly EngineOwnerEffect[],
  ): void {
    const { owner } = daemon;
    const engine = this.#engine;
    const now = this.#now;
    const { disturbanceSteps } = this.#options;
    // A new process, or a new EngineOwner, does not receive the answers.
    const isSameOwner = () => this.#daemons[index]?.owner === owner;
    for (const effect of effects) {
      const isLost = (disturbanceSteps > 0 && this.#draw(0, 99) < 4) ||
        daemon.cutFromEngineUntil > now;
      const arrivesAt = now + this.#draw(1, 30);
      const answersAt = arrivesAt + this.#draw(1, 30);
      if (effect.kind === "readReport") {
        const report = engine.report(arrivesAt, this.#draw(0, 400));
        const isUnread = isLost || engine.isDown(arrivesAt);
        this.#deliveries.push({
          at: answersAt,
          run: (at) => {
            if (!owner || !isSameOwner()) return;
            if (isUnread) owner.recordReportFailure();
            else {
              const answer = { ...report, readAt: now };
              this.#carryOut(index, daemon, owner.recordReport(answer, at));
            }
          },
        });
      } else if (effect.kind === "giveOrder") {
        const isNeverSent = isLost && this.#draw(0, 1) === 0;
        this.#deliveries.push({
          at: arrivesAt,
          run: (at) => {
            const answer: OrderAnswer = isNeverSent
              ? { kind: "unanswered", detail: "cut" }
              : engine.order(index, effect, at);
            if (engine === this.#engine) {
              this.#recordAnswer(effect, answer, at);
            }
            const received: OrderAnswer = isLost
              ? { kind: "unanswered", detail: "lost" }
              : answer;
            this.#deliveries.push({
              at: answersAt,
              run: (later) => {
                if (!owner || !isSameOwner()) return;
                const next = owner.recordOrderAnswer(received, later);
                this.#carryOut(index, daemon, next);
              },
            });
          },
        });
      } else if (effect.kind === "belief" && effect.isTakeover) {
        this.#sendHeartbeat(index, daemon, now);
      }
    }
  }

  /** Takes over the oracle's findings and notes an engine's first loads. */
  #recordAnswer(
    effect: Extract<EngineOwnerEffect, { kind: "giveOrder" }>,
    answer: OrderAnswer,
    at: number,
  ): void {
    const found = this.#oracle.violations.splice(0);
    this.#run.violations.push(...found);
    const start = this.#run.starts.at(-1);
    const isLoad = effect.order.kind === "load" && answer.kind === "accepted";
    if (!start || !isLoad) return;
    if (effect.order.adapter === "") {
      start.firstModelAt = Math.min(start.firstModelAt, at);
    } else start.firstAdapterAt = Math.min(start.firstAdapterAt, at);
  }
}
