/**
 * Commands that the fuzzer applies to a simulated fleet: requests, edits of the
 * tables, and faults. fast-check draws and shrinks them.
 */
import fc from "fast-check";
import type { PlatformMode } from "./model_platform.ts";
import {
  DAEMON_IDS,
  ENGINE_IDS,
  NODE_IDS,
  ROUTE_COUNT,
  UPSTREAM_IDS,
} from "./fleet_layout.ts";
import { moveWallClock } from "./wall_clock.ts";
import type { World } from "./world.ts";

export type Command =
  | {
    kind: "send";
    daemon: string;
    routeIndex: number;
    durationMs: number;
    isStream: boolean;
    isCrashing: boolean;
    copies: number;
  }
  | { kind: "resend"; daemon: string; workItemIndex: number }
  | { kind: "resendCrashing"; daemon: string }
  | { kind: "callerGone"; callIndex: number }
  | { kind: "edit"; routeIndex: number; choice: number; isInvalid: boolean }
  | { kind: "wait"; ms: number }
  | { kind: "kill" | "start" | "stop"; daemon: string }
  | { kind: "pause"; daemon: string; ms: number }
  | {
    kind: "pauseAtNext";
    daemon: string;
    what: "dispatch" | "order";
    ms: number;
  }
  | { kind: "cutUpstream"; daemon: string; upstream: string }
  | { kind: "cut"; fromMask: number; toMask: number; isOneWay: boolean }
  | { kind: "cutDomains" | "reconnect" }
  | { kind: "restartEngine"; engine: string }
  | {
    kind: "engineFaults";
    engine: string;
    failLoads: number;
    refuseRuns: number;
    wrongModelAnswers: number;
    reportLagMs: number;
  }
  | { kind: "slowStore"; loadTimeMs: number }
  | { kind: "configuration"; mode: PlatformMode }
  | { kind: "hostLag"; ms: number }
  | { kind: "leave" | "comeBack"; upstream: string }
  | { kind: "noise"; percent: number }
  | { kind: "wallClock"; ms: number };

/** A command and the simulated time that passes after it. */
export interface Step {
  command: Command;
  afterMs: number;
}

const daemon = fc.constantFrom<string>(...DAEMON_IDS);
const engine = fc.constantFrom<string>(...ENGINE_IDS);
const upstream = fc.constantFrom<string>(...UPSTREAM_IDS);
const routeIndex = fc.nat({ max: ROUTE_COUNT - 1 });
/**
 * Duration of a daemon's pause. Durations close to the peers' detection time
 * are drawn more often: the peers may declare the daemon dead just before it
 * resumes.
 */
const pauseMs = fc.oneof(
  fc.integer({ min: 50, max: 8_000 }),
  fc.integer({ min: 1_200, max: 3_500 }),
);
const mask = fc.nat({ max: 2 ** NODE_IDS.length - 1 });

function kind<Kind extends Command["kind"]>(name: Kind): fc.Arbitrary<Kind> {
  return fc.constant(name);
}

const commands: fc.Arbitrary<Command> = fc.oneof(
  { withCrossShrink: true },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("wait"), ms: fc.nat(4_000) }),
  },
  {
    weight: 14,
    arbitrary: fc.record({
      kind: kind("send"),
      daemon,
      routeIndex,
      durationMs: fc.integer({ min: 5, max: 4_000 }),
      isStream: fc.boolean(),
      isCrashing: fc.integer({ min: 0, max: 7 }).map((value) => value === 7),
      copies: fc.integer({ min: 1, max: 6 }),
    }),
  },
  {
    weight: 7,
    arbitrary: fc.record({
      kind: kind("resend"),
      daemon,
      workItemIndex: fc.nat(10),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: kind("resendCrashing"), daemon }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: kind("callerGone"), callIndex: fc.nat(200) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: kind("edit"),
      routeIndex,
      choice: fc.nat(20),
      isInvalid: fc.integer({ min: 0, max: 5 }).map((value) => value === 5),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom("kill" as const, "start" as const, "stop" as const),
      daemon,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: kind("pause"),
      daemon,
      ms: pauseMs,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: kind("pauseAtNext"),
      daemon,
      what: fc.constantFrom("dispatch" as const, "order" as const),
      ms: pauseMs,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: kind("cutUpstream"), daemon, upstream }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("cut"),
      fromMask: mask,
      toMask: mask,
      isOneWay: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom("cutDomains" as const, "reconnect" as const),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("restartEngine"), engine }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("engineFaults"),
      engine,
      failLoads: fc.nat(3),
      refuseRuns: fc.nat(3),
      wrongModelAnswers: fc.nat(2),
      reportLagMs: fc.nat(490),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: kind("slowStore"),
      loadTimeMs: fc.integer({ min: 50, max: 3_000 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("configuration"),
      mode: fc.constantFrom<PlatformMode>("up", "down", "stale"),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: kind("hostLag"), ms: fc.nat(5_000) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom("leave" as const, "comeBack" as const),
      upstream,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: kind("noise"), percent: fc.nat(40) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: kind("wallClock"),
      ms: fc.integer({ min: -1e9, max: 1e9 }),
    }),
  },
);

/** Draws a sequence of commands, each followed by a drawn delay. */
export const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    command: commands,
    afterMs: fc.oneof(fc.nat(30), fc.nat(300), fc.nat(2_000)),
  }),
  { minLength: 1, maxLength: 50, size: "max" },
);

export function applyCommand(world: World, command: Command): void {
  world.trace.add("FUZZER", JSON.stringify(command));
  switch (command.kind) {
    case "send":
      for (let copy = 0; copy < command.copies; copy += 1) {
        world.sendCall(world.createWorkItem(command), command.daemon);
      }
      break;
    case "resend": {
      const workItem = world.workItems.at(
        -1 - command.workItemIndex % (world.workItems.length || 1),
      );
      if (workItem) world.sendCall(workItem, command.daemon);
      break;
    }
    case "resendCrashing": {
      const workItem = world.workItems.findLast(({ isCrashing }) => isCrashing);
      if (workItem) world.sendCall(workItem, command.daemon);
      break;
    }
    case "callerGone": {
      const calls = [...world.oracle.getCalls()];
      const call = calls[command.callIndex % (calls.length || 1)];
      if (call) world.abandonCall(call);
      break;
    }
    case "edit":
      world.editRoute(command.routeIndex, command.choice, command.isInvalid);
      break;
    case "wait":
      world.advance(command.ms);
      break;
    case "kill":
      world.getDaemonOrThrow(command.daemon).kill();
      break;
    case "start":
      world.getDaemonOrThrow(command.daemon).start();
      break;
    case "stop":
      world.getDaemonOrThrow(command.daemon).requestStop();
      break;
    case "pause":
      world.getDaemonOrThrow(command.daemon).pause(command.ms);
      break;
    case "pauseAtNext":
      world.getDaemonOrThrow(command.daemon).pauseAtNext = command;
      break;
    case "cutUpstream":
      world.addCut([command.daemon], [command.upstream]);
      break;
    case "cut":
      applyCut(world, command);
      break;
    case "cutDomains":
      cutDomains(world);
      break;
    case "reconnect":
      world.network.clearCuts();
      break;
    case "restartEngine":
      world.getUpstreamOrThrow(command.engine).restart();
      break;
    case "engineFaults": {
      const { faults } = world.getUpstreamOrThrow(command.engine);
      const { failLoads, refuseRuns, wrongModelAnswers, reportLagMs } = command;
      Object.assign(faults, {
        failLoads,
        refuseRuns,
        wrongModelAnswers,
        reportLagMs,
      });
      break;
    }
    case "slowStore":
      for (const id of ENGINE_IDS) {
        world.getUpstreamOrThrow(id).faults.loadTimeMs = command.loadTimeMs;
      }
      break;
    case "configuration":
      world.platform.mode = command.mode;
      break;
    case "hostLag":
      world.platform.hostLagMs = command.ms;
      break;
    case "leave":
      world.setLeaving(command.upstream, true);
      break;
    case "comeBack":
      world.setLeaving(command.upstream, false);
      break;
    case "noise":
      world.network.noisePercent = command.percent;
      break;
    case "wallClock":
      moveWallClock(command.ms);
      break;
  }
}

function applyCut(
  world: World,
  cut: Extract<Command, { kind: "cut" }>,
): void {
  const from = selectNodes(cut.fromMask);
  const to = selectNodes(cut.toMask);
  world.addCut(from, to);
  if (!cut.isOneWay) world.addCut(to, from);
}

function cutDomains(world: World): void {
  const inDomain = (mark: string) => NODE_IDS.filter((id) => id.includes(mark));
  world.addCut(inDomain("-a"), inDomain("-b"));
  world.addCut(inDomain("-b"), inDomain("-a"));
}

function selectNodes(nodeMask: number): string[] {
  return NODE_IDS.filter((_, index) => (nodeMask >> index) % 2 === 1);
}
