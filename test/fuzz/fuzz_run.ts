/**
 * Applies drawn commands to a new simulated fleet, then removes all faults and
 * checks that the fleet serves every route again.
 */
import fc from "fast-check";
import { applyCommand, type Step, steps } from "./commands.ts";
import { DAEMON_IDS, type EngineTraits, ROUTE_COUNT } from "./fleet_layout.ts";
import { Invariant, type InvariantError } from "./oracle.ts";
import { World } from "./world.ts";

/** Input that determines a run completely. */
export interface RunInput {
  worldSeed: number;
  traits: EngineTraits;
  trafficIntervalMs: number;
  steps: Step[];
}

/** Index of an idempotent route to an engine, whose requests are retried. */
const CRASHING_ROUTE = 0;
const CRASHING_SENDS = 2;
/** Longer than the dissemination of a strike to all daemons takes. */
const CRASHING_WAIT_MS = 3_500;

export interface FuzzOptions {
  seed: number;
  runs: number;
  path?: string;
  keepsUnfencedDomainsConnected: boolean;
  /** Maximum number of runs that are spent on shrinking a failing case. */
  maxShrinkRuns: number;
}

export interface FuzzFailure {
  violation: InvariantError;
  /** Number of the run in which the violation was found, counted from 1. */
  foundInRun: number;
  path: string;
  input: RunInput;
  trace: readonly string[];
}

export interface FuzzResult {
  runs: number;
  failure: FuzzFailure | undefined;
  /** Sums of the counters of all daemons over all runs. */
  counts: ReadonlyMap<string, number>;
}

/**
 * Time after which a fleet without faults has recovered: dead peers are
 * detected, old leases have expired and the longest runs have ended.
 */
const RECOVERY_MS = 16_000;
/**
 * Maximum time after the removal of all faults until every daemon uses the
 * newest revision.
 */
const CONFIGURATION_BOUND_MS = 7_000;
const MAX_PROBE_ATTEMPTS = 4;
const PROBE_WAIT_MS = 4_500;

const inputs: fc.Arbitrary<RunInput> = fc.record({
  worldSeed: fc.nat(),
  traits: fc.record({
    slots: fc.integer({ min: 1, max: 2 }),
    checksFencing: fc.boolean(),
  }),
  trafficIntervalMs: fc.constantFrom(0, 150, 400),
  steps,
});

/** Draws inputs from the seed and runs them until one violates an invariant. */
export function runFuzz(options: FuzzOptions): FuzzResult {
  const counts = new Map<string, number>();
  let failure: Omit<FuzzFailure, "path"> | undefined;
  let runs = 0;
  let shrinkRuns = 0;
  const property = fc.property(inputs, (input) => {
    if (failure && shrinkRuns >= options.maxShrinkRuns) return;
    if (options.path !== undefined && runs >= 1) return;
    if (failure) shrinkRuns += 1;
    else runs += 1;
    const world = runInput(input, options.keepsUnfencedDomainsConnected);
    if (!failure) addCounts(counts, world.counts);
    const { violation } = world.oracle;
    if (!violation) return;
    if (failure && failure.violation.invariant !== violation.invariant) return;
    const foundInRun = failure?.foundInRun ?? runs;
    failure = { violation, foundInRun, input, trace: world.trace.getLines() };
    throw violation;
  });
  const details = fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    ...(options.path === undefined
      ? {}
      : { path: options.path, endOnFailure: true }),
  });
  return {
    runs,
    counts,
    failure: failure && {
      ...failure,
      path: details.counterexamplePath ?? "",
    },
  };
}

/** Runs one input to its end or to the first violation. */
export function runInput(
  input: RunInput,
  keepsUnfencedDomainsConnected = false,
): World {
  const world = new World({
    seed: input.worldSeed,
    traits: input.traits,
    trafficIntervalMs: input.trafficIntervalMs,
    keepsUnfencedDomainsConnected,
  });
  world.advance(2_000);
  for (const step of input.steps) {
    if (world.oracle.violation) return world;
    applyCommand(world, step.command);
    world.advance(step.afterMs);
  }
  world.trace.add("FUZZER", "removes all faults");
  world.clearFaults();
  checkConfiguration(world);
  checkCallsAnswered(world);
  checkServing(world);
  checkCrashLimit(world);
  if (world.oracle.violation) describeDaemons(world);
  return world;
}

function describeDaemons(world: World): void {
  for (const daemon of world.getDaemons()) {
    world.trace.add(daemon.id, daemon.describe());
  }
}

function checkConfiguration(world: World): void {
  world.advance(CONFIGURATION_BOUND_MS);
  const expected = world.platform.getTables().revision;
  for (const daemon of world.getDaemons()) {
    if (!daemon.isAlive || daemon.getRevision() === expected) continue;
    world.oracle.fail(
      Invariant.Configuration,
      `${daemon.id} has revision ${daemon.getRevision()}, not ${expected}, after the removal of all faults`,
    );
  }
}

function checkCallsAnswered(world: World): void {
  world.advance(RECOVERY_MS - CONFIGURATION_BOUND_MS);
  for (const call of world.oracle.getCalls()) {
    if (call.end !== undefined || call.isCallerGone) continue;
    world.oracle.fail(Invariant.Liveness, `${call.id} is not answered`);
  }
  for (const daemon of world.getDaemons()) {
    if (daemon.isAlive && daemon.isStopping) {
      world.oracle.fail(
        Invariant.GracefulStop,
        `${daemon.id} does not complete its stop`,
      );
    }
    daemon.start();
  }
  world.advance(2_500);
}

/**
 * Sends new work on every route and checks that it completes. Where it does
 * not, new work is sent to another daemon, in up to MAX_PROBE_ATTEMPTS
 * attempts.
 */
function checkServing(world: World): void {
  let open = Array.from({ length: ROUTE_COUNT }, (_, routeIndex) => ({
    routeIndex,
    workItem: undefined as ReturnType<World["createWorkItem"]> | undefined,
  }));
  for (let attempt = 0; attempt < MAX_PROBE_ATTEMPTS; attempt += 1) {
    for (const probe of open) {
      probe.workItem = world.createWorkItem({
        routeIndex: probe.routeIndex,
        durationMs: 50,
        isStream: false,
        isCrashing: false,
      });
      const index = (probe.routeIndex + attempt) % DAEMON_IDS.length;
      world.sendCall(probe.workItem, DAEMON_IDS[index]!);
    }
    world.advance(PROBE_WAIT_MS);
    open = open.filter((probe) => probe.workItem?.completedRuns === 0);
    if (open.length === 0 || world.oracle.violation) return;
  }
  for (const { workItem } of open) {
    world.oracle.fail(
      Invariant.Liveness,
      `new work ${workItem?.id} on ${workItem?.route} is not served`,
    );
  }
}

/**
 * Sends a crashing request to one daemon and then to another, while the fleet
 * has no other faults; the oracle limits the number of upstreams that crash.
 */
function checkCrashLimit(world: World): void {
  if (world.oracle.violation) return;
  const workItem = world.createWorkItem({
    routeIndex: CRASHING_ROUTE,
    durationMs: 50,
    isStream: false,
    isCrashing: true,
  });
  for (const daemon of DAEMON_IDS.slice(0, CRASHING_SENDS)) {
    world.sendCall(workItem, daemon);
    world.advance(CRASHING_WAIT_MS);
  }
}

function addCounts(
  total: Map<string, number>,
  counts: ReadonlyMap<string, number>,
): void {
  for (const [name, count] of counts) {
    total.set(name, (total.get(name) ?? 0) + count);
  }
}
