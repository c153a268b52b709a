/** Runs drawn commands against a fresh fleet, heals it and checks that it serves again. */
import fc from "fast-check";
import { applyCommand, type Step, steps } from "./commands.ts";
import { DAEMON_IDS, type EngineTraits, ROUTE_COUNT } from "./fleet_layout.ts";
import { type BreachError, FuzzPromise } from "./oracle.ts";
import { World } from "./world.ts";

/** Everything that one run is made from. */
export interface RunInput {
  worldSeed: number;
  traits: EngineTraits;
  trafficIntervalMs: number;
  steps: Step[];
}

/** An idempotent route to an engine, whose requests are retried. */
const CRASHING_ROUTE = 0;
const CRASHING_SENDS = 2;
/** Longer than a strike takes to be known everywhere. */
const CRASHING_WAIT_MS = 3_500;

export interface FuzzOptions {
  seed: number;
  runs: number;
  path?: string;
  keepsUnfencedDomainsWhole: boolean;
  /** Bound of the runs spent on finding a smaller case. */
  maxShrinkRuns: number;
}

export interface FuzzFailure {
  breach: BreachError;
  /** Runs before the breach, itself included. */
  foundInRun: number;
  path: string;
  input: RunInput;
  trace: readonly string[];
}

export interface FuzzResult {
  runs: number;
  failure: FuzzFailure | undefined;
  /** What the daemons counted, over all runs. */
  counts: ReadonlyMap<string, number>;
}

/** Time in which a healed fleet settles: dead peers, old leases and the longest runs are over. */
const SETTLE_MS = 16_000;
/** Time in which a revision must be in force after the heal. */
const CONFIGURATION_BOUND_MS = 7_000;
const PROBE_TRIES = 4;
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

/** Draws inputs from the seed and runs them until one breaks a promise. */
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
    const world = runInput(input, options.keepsUnfencedDomainsWhole);
    if (!failure) addCounts(counts, world.counts);
    const { breach } = world.oracle;
    if (!breach) return;
    if (failure && failure.breach.promise !== breach.promise) return;
    const foundInRun = failure?.foundInRun ?? runs;
    failure = { breach, foundInRun, input, trace: world.trace.getLines() };
    throw breach;
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

/** Runs one input to its end or its first breach. */
export function runInput(
  input: RunInput,
  keepsUnfencedDomainsWhole = false,
): World {
  const world = new World({
    seed: input.worldSeed,
    traits: input.traits,
    trafficIntervalMs: input.trafficIntervalMs,
    keepsUnfencedDomainsWhole,
  });
  world.advance(2_000);
  for (const step of input.steps) {
    if (world.oracle.breach) return world;
    applyCommand(world, step.command);
    world.advance(step.afterMs);
  }
  world.trace.add("FUZZER", "heals everything");
  world.heal();
  checkConfiguration(world);
  checkAnswers(world);
  checkProbes(world);
  checkCrashBound(world);
  if (world.oracle.breach) describeDaemons(world);
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
      FuzzPromise.Configuration,
      `${daemon.id} has revision ${daemon.getRevision()}, not ${expected}, after the heal`,
    );
  }
}

function checkAnswers(world: World): void {
  world.advance(SETTLE_MS - CONFIGURATION_BOUND_MS);
  for (const call of world.oracle.getCalls()) {
    if (call.end !== undefined || call.isCallerGone) continue;
    world.oracle.fail(FuzzPromise.Liveness, `${call.id} has no answer`);
  }
  for (const daemon of world.getDaemons()) {
    if (daemon.isAlive && daemon.isStopping) {
      world.oracle.fail(FuzzPromise.GracefulStop, `${daemon.id} never stops`);
    }
    daemon.start();
  }
  world.advance(2_500);
}

/** Sends new work on every route, again when told that it did not run. */
function checkProbes(world: World): void {
  let open = Array.from({ length: ROUTE_COUNT }, (_, routeIndex) => ({
    routeIndex,
    work: undefined as ReturnType<World["createWork"]> | undefined,
  }));
  for (let attempt = 0; attempt < PROBE_TRIES; attempt += 1) {
    for (const probe of open) {
      probe.work = world.createWork({
        routeIndex: probe.routeIndex,
        durationMs: 50,
        isStream: false,
        isCrashing: false,
      });
      const index = (probe.routeIndex + attempt) % DAEMON_IDS.length;
      world.sendCall(probe.work, DAEMON_IDS[index]!);
    }
    world.advance(PROBE_WAIT_MS);
    open = open.filter((probe) => probe.work?.completedRuns === 0);
    if (open.length === 0 || world.oracle.breach) return;
  }
  for (const { work } of open) {
    world.oracle.fail(
      FuzzPromise.Liveness,
      `new work ${work?.id} on ${work?.route} is not served`,
    );
  }
}

/** Sends a crashing request, and again elsewhere, while nothing else is wrong; the oracle counts what it kills. */
function checkCrashBound(world: World): void {
  if (world.oracle.breach) return;
  const work = world.createWork({
    routeIndex: CRASHING_ROUTE,
    durationMs: 50,
    isStream: false,
    isCrashing: true,
  });
  for (const daemon of DAEMON_IDS.slice(0, CRASHING_SENDS)) {
    world.sendCall(work, daemon);
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
