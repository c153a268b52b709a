/**
 * Several daemons compete for the ownership of one engine while they are
 * partitioned, paused, killed and restarted, the engine restarts, and orders,
 * answers and reports are late or lost. On request their wall clocks step. An
 * oracle checks every accepted order:
 * owners must not alternate within a term, fencing numbers must increase, and
 * the adapter slots must not be exceeded.
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
import {
  FleetView,
  RECENTLY_STARTED_MS,
} from "../../src/core/fleet/fleet_view.ts";
import { PauseDetector } from "../../src/core/fleet/pause_detector.ts";
import type { FleetMember } from "../../src/core/fleet/heartbeat.ts";
import type { OrderAnswer } from "../../src/core/ordering/ownership_state.ts";
import { buildHeartbeat } from "../core/fleet/heartbeat_builder.ts";
import {
  CountingEngine,
  MODEL_LOAD_MS,
  RUN_START_UNIX_MS,
} from "./counting_engine.ts";
import { OrderOracle } from "./order_oracle.ts";

export const TERM_MS = 3_000;
const DAEMONS = 3;
const RUN_MS = 60_000;
const STEP_MS = 20;
/**
 * Number of adapters that are requested: few, so that two daemons often want
 * the same.
 */
const ADAPTERS = 5;

const MEMBERS = Array.from(
  { length: DAEMONS },
  (_, index) => createMember(index),
);
const CLAIMANTS = MEMBERS.map(({ id }) => id);
const SEED_IPS = MEMBERS.map(({ ip }) => ip);

/** Heartbeat period. */
const HEARTBEAT_MS = 400;
const ENGINE_ID = "engine";
const ENGINE = { id: ENGINE_ID, failureDomain: "a" };

/** Largest step of a wall clock in most cases, and in some. */
const CLOCK_STEP_MS = 2_900;
const LARGE_CLOCK_STEP_MS = 20_000;

interface Delivery {
  at: number;
  run: (at: number) => void;
}

export interface OwnershipRunOptions {
  /**
   * Whether the fleet is too large for a quorum, and the engine starts without
   * its base model.
   */
  isLarge: boolean;
  /** Whether all daemons occasionally start at once. */
  restartsFleet: boolean;
  /**
   * Whether the daemons' wall clocks step, all daemons are occasionally killed
   * at once, and owners that stop hand the engine over.
   */
  stepsClocks?: boolean;
}

function createMember(index: number): FleetMember {
  return {
    id: `daemon ${index}`,
    ip: `10.0.0.${index + 1}`,
    failureDomain: "a",
  };
}

/** Result of a run. */
export interface OwnershipRunResult {
  /** Violations of the rules. */
  violations: string[];
  /**
   * Time from each claim to the first accepted load of a requested adapter;
   * claims that end without one are left out.
   */
  firstLoadMs: number[];
  /** Number of accepted loads of requested adapters. */
  loads: number;
}

/**
 * Simulates one minute, in which `Date.now` is the wall clock of the daemon
 * that runs.
 */
export function simulateRun(
  seed: number,
  options: OwnershipRunOptions,
): OwnershipRunResult {
  const dateNow = Date.now;
  try {
    return simulateMinute(seed, options);
  } finally {
    Date.now = dateNow;
  }
}

function simulateMinute(
  seed: number,
  { isLarge, restartsFleet, stepsClocks = false }: OwnershipRunOptions,
): OwnershipRunResult {
  const generator = xoroshiro128plus(seed);
  const draw = (from: number, to: number) => uniformInt(generator, from, to);
  const fleetGenerator = xoroshiro128plus(seed + 1);
  const drawFleet = (from: number, to: number) =>
    uniformInt(fleetGenerator, from, to);
  const clockGenerator = xoroshiro128plus(seed + 2);
  const drawClock = (from: number, to: number) =>
    uniformInt(clockGenerator, from, to);
  const oracle = new OrderOracle(TERM_MS);
  const engine = new CountingEngine(oracle, isLarge);
  let deliveries: Delivery[] = [];
  const owners: EngineOwner[] = [];
  const incarnations: number[] = [];
  const downUntil: number[] = [];
  const partitionedUntil: number[] = [];
  const desired: boolean[] = [];
  const clockSkews = Array.from({ length: DAEMONS }, () => draw(-400, 400));
  const clockSteps: { ms: number; until: number }[] = [];
  const pauseDetectors: PauseDetector[] = [];
  const isStopping: boolean[] = [];
  const startedAt: number[] = [];
  const hasOwned: boolean[] = [];
  const views: FleetView[] = [];
  const firstLoadMs: number[] = [];
  let loads = 0;
  /** When each owner claimed the engine; undefined after its first load. */
  const claimedAt: (number | undefined)[] = [];
  /** Returns by what a step of a daemon's wall clock sets it off now. */
  const getClockStep = (index: number): number => {
    const step = clockSteps[index];
    return step && now < step.until ? step.ms : 0;
  };
  const startDaemon = (index: number, at: number): void => {
    startedAt[index] = at;
    pauseDetectors[index] = new PauseDetector(at, at + getClockStep(index));
    hasOwned[index] = false;
    isStopping[index] = false;
    claimedAt[index] = undefined;
    views[index] = new FleetView(createMember(index));
    incarnations[index] = (incarnations[index] ?? 0) + 1;
    owners[index] = new EngineOwner({
      selfId: `daemon ${index}`,
      hostOrdinal: index,
      listClaimants: () => CLAIMANTS,
      engineId: ENGINE_ID,
      limits: buildEngineLimits(MODEL_LOAD_MS),
      termMs: TERM_MS,
      selectOwnAdapter: () => `own${index}`,
      isClockSteady: (at) => pauseDetectors[index]?.isClockSteady(at) ?? false,
    });
    downUntil[index] = at;
  };
  let now = 0;
  let runningDaemon = 0;
  Date.now = () =>
    RUN_START_UNIX_MS + now + (clockSkews[runningDaemon] ?? 0) +
    getClockStep(runningDaemon);
  const getOwner = (index: number): EngineOwner | undefined => {
    runningDaemon = index;
    return owners[index];
  };
  for (let index = 0; index < DAEMONS; index += 1) {
    startDaemon(index, 0);
    desired[index] = true;
    partitionedUntil[index] = 0;
  }
  const recordLoad = (index: number, at: number): void => {
    loads += 1;
    const since = claimedAt[index];
    if (since !== undefined) firstLoadMs.push(at - since);
    claimedAt[index] = undefined;
  };
  const carryOut = (index: number, effects: EngineOwnerEffect[]): void => {
    const incarnation = incarnations[index];
    const isSameIncarnation = () => incarnations[index] === incarnation;
    for (const effect of effects) {
      const isLost = draw(0, 99) < 6 || (partitionedUntil[index] ?? 0) > now;
      const arrivesAt = now + draw(1, 30);
      const answersAt = arrivesAt + draw(1, 30);
      if (effect.kind === "belief" && effect.isTakeover) claimedAt[index] = now;
      if (effect.kind === "readReport") {
        const readAt = now;
        const report = engine.report(arrivesAt, draw(0, 400));
        report.ageMs += getClockStep(index);
        const isUnread = isLost || engine.isDown(arrivesAt);
        deliveries.push({
          at: answersAt,
          run: (at) => {
            if (!isSameIncarnation()) return;
            if (isUnread) getOwner(index)?.recordReportFailure();
            else {
              carryOut(
                index,
                getOwner(index)?.recordReport({ ...report, readAt }, at) ?? [],
              );
            }
          },
        });
      } else if (effect.kind === "giveOrder") {
        deliveries.push({
          at: arrivesAt,
          run: (at) => {
            const isNeverSent = isLost && draw(0, 1) === 0;
            const answer: OrderAnswer = isNeverSent
              ? { kind: "unanswered", detail: "cut" }
              : engine.order(index, effect, at);
            const { kind, adapter } = effect.order;
            const isRequested = kind === "load" && adapter.startsWith("a");
            if (isRequested && answer.kind === "accepted") {
              recordLoad(index, at);
            }
            const received: OrderAnswer = isLost
              ? { kind: "unanswered", detail: "lost" }
              : answer;
            deliveries.push({
              at: answersAt,
              run: (later) => {
                if (!isSameIncarnation()) return;
                carryOut(
                  index,
                  getOwner(index)?.recordOrderAnswer(received, later) ?? [],
                );
              },
            });
          },
        });
      }
    }
  };
  const isRecentlyStarted = (index: number): boolean =>
    now - (startedAt[index] ?? 0) < RECENTLY_STARTED_MS;
  const listOwnedBefore = (index: number): string[] =>
    hasOwned[index] ? [ENGINE_ID] : [];
  /**
   * Sends a heartbeat to the other daemons, late, or not at all where the
   * network is partitioned.
   */
  const sendHeartbeat = (index: number): void => {
    const heartbeat = buildHeartbeat(createMember(index), {
      newcomerHeld: isRecentlyStarted(index)
        ? listOwnedBefore(index)
        : undefined,
    });
    for (let other = 0; other < DAEMONS; other += 1) {
      const isLost = drawFleet(0, 99) < 6 ||
        (partitionedUntil[index] ?? 0) > now ||
        (partitionedUntil[other] ?? 0) > now;
      if (other === index || isLost) continue;
      const view = views[other];
      deliveries.push({
        at: now + drawFleet(1, drawFleet(0, 9) === 0 ? 280 : 30),
        run: (at) => void view?.recordHeartbeat(heartbeat, at),
      });
    }
  };
  const isUnowned = (index: number): boolean => {
    const since = owners[index]?.observedAt;
    const mayAsk = since !== undefined && isRecentlyStarted(index) &&
      !hasOwned[index];
    return mayAsk &&
      views[index]?.isUnowned(ENGINE, { since, seedIps: SEED_IPS }, now) ===
        true;
  };
  const stepClocks = (): void => {
    for (let index = 0; index < DAEMONS; index += 1) {
      if (drawClock(0, 399) > 0) continue;
      const limitMs = drawClock(0, 4) === 0
        ? LARGE_CLOCK_STEP_MS
        : CLOCK_STEP_MS;
      clockSteps[index] = {
        ms: drawClock(-limitMs, limitMs),
        until: now + drawClock(1_000, 8_000),
      };
    }
  };
  /** Kills all daemons, after which most wall clocks are right again. */
  const killFleet = (): void => {
    for (let index = 0; index < DAEMONS; index += 1) {
      startDaemon(index, now + drawClock(700, 2_000));
      if (drawClock(0, 3) > 0) delete clockSteps[index];
    }
  };
  /**
   * Stops a daemon once its last order is answered. It hands the engine over to
   * another daemon, unless the message is lost, and starts again.
   */
  const stopDaemon = (index: number): void => {
    const owner = getOwner(index);
    if (!owner || owner.stopOrders()) return;
    const { handover } = owner.handOver(now);
    const successor = (index + drawClock(1, DAEMONS - 1)) % DAEMONS;
    const isCut = Math.max(
      partitionedUntil[index] ?? 0,
      partitionedUntil[successor] ?? 0,
      downUntil[successor] ?? 0,
    ) > now;
    const delayMs = drawClock(1, 200);
    if (handover && !isCut && drawClock(0, 9) > 0) {
      const incarnation = incarnations[successor];
      deliveries.push({
        at: now + delayMs,
        run: (at) => {
          if (incarnations[successor] !== incarnation) return;
          const effects = getOwner(successor)?.acceptHandover(handover, at);
          carryOut(successor, effects ?? []);
        },
      });
    }
    startDaemon(index, now + drawClock(700, 2_000));
  };
  let permits = 0;
  for (; now < RUN_MS; now += STEP_MS) {
    engine.record(now);
    const due = deliveries.filter((each) => each.at <= now);
    deliveries = deliveries.filter((each) => each.at > now);
    for (const delivery of due) delivery.run(now);
    if (draw(0, 799) === 0) engine.restart(now);
    if (restartsFleet && drawFleet(0, 599) === 0) {
      for (let index = 0; index < DAEMONS; index += 1) {
        startDaemon(index, now + drawFleet(1_000, 2_000));
      }
    }
    if (stepsClocks) {
      stepClocks();
      if (drawClock(0, 599) === 0) killFleet();
    }
    for (let index = 0; index < DAEMONS; index += 1) {
      if (draw(0, 399) === 0) desired[index] = !desired[index];
      if (draw(0, 599) === 0) partitionedUntil[index] = now + draw(100, 6_000);
      if (draw(0, 599) === 0) downUntil[index] = now + draw(100, 5_000);
      if (draw(0, 799) === 0) startDaemon(index, now + draw(50, 1_500));
      if ((downUntil[index] ?? 0) > now) continue;
      const owner = getOwner(index);
      if (!owner) continue;
      if (stepsClocks && owner.isOwner() && drawClock(0, 299) === 0) {
        isStopping[index] = true;
      }
      if (isStopping[index]) {
        stopDaemon(index);
        continue;
      }
      const hasPaused = pauseDetectors[index]
        ?.hasPaused(now, now + getClockStep(index));
      if (hasPaused) owner.recordPause(now);
      if ((now + index * 100) % HEARTBEAT_MS === 0) sendHeartbeat(index);
      if (draw(0, 9) === 0) {
        permits += 1;
        const adapter = `a${draw(1, ADAPTERS)}`;
        const request = buildPermitRequest(
          `p${permits}`,
          adapter,
          draw(50, 1_500),
        );
        // As in the gateway, only an owner is asked for permits.
        if (owner.isOwner()) {
          carryOut(index, owner.requestPermit(request, now));
        }
      }
      const context = {
        isDesiredOwner: desired[index] ?? false,
        isCandidate: true,
        hasQuorum: !isLarge,
        isIsolated: false,
        isUnowned: !isLarge && isUnowned(index),
        isDisclaimed: false,
        peers: undefined,
        fetchShare: FETCH_SHARE,
      };
      carryOut(index, owner.tick(context, now));
      if (owner.isOwner()) hasOwned[index] = true;
    }
  }
  return { violations: oracle.violations, firstLoadMs, loads };
}
