/**
 * Attribution of crashes in a simulated fleet, over seeds: requests with a
 * crashing part arrive at all hosts beside sound ones, while digests are lost,
 * response heads are lost, engines crash for other reasons and hosts restart.
 * The oracle is the users' rule: few requests with the part reach engines after
 * the fifth crash, and sound ones are served.
 */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CrashAttribution } from "../../../src/core/limits/crash_attribution.ts";

const HOSTS = 9;
const ENGINES = 13;
const LENGTH_MS = 45_000;
/** `contact_ms`, from which on the rules count. */
const CONTACT_MS = 3_000;
const COUNTED_CRASHES = 5;
const ALLOWED_AFTER = 3;
const MIN_SERVED_SHARE = 0.5;
/** `ATTRIBUTION_SEEDS` sets the number of seeds of a longer run by hand. */
const SEEDS = Number(process.env["ATTRIBUTION_SEEDS"] ?? 4);

interface Scenario {
  name: string;
  /** Share of the requests that have the crashing part, and from when on. */
  deadlyShare: number;
  deadlyFromMs: number;
  /** Whether the crashing part was sound until then. */
  wasSound?: boolean;
  lostHeads?: number;
  lostDigests?: number;
  ordinaryCrashesPerS?: number;
  restartsPerS?: number;
}

const SCENARIOS: Scenario[] = [
  { name: "as reported", deadlyShare: 0.02, deadlyFromMs: 4_000 },
  { name: "many", deadlyShare: 0.15, deadlyFromMs: 4_000 },
  {
    name: "a part that was sound before",
    deadlyShare: 0.05,
    deadlyFromMs: 8_000,
    wasSound: true,
  },
  {
    name: "heads are lost",
    deadlyShare: 0.03,
    deadlyFromMs: 4_000,
    lostHeads: 1,
  },
  {
    name: "digests and heads are lost",
    deadlyShare: 0.03,
    deadlyFromMs: 4_000,
    lostHeads: 0.3,
    lostDigests: 0.3,
  },
  {
    name: "engines crash for other reasons",
    deadlyShare: 0.03,
    deadlyFromMs: 4_000,
    ordinaryCrashesPerS: 0.7,
  },
  {
    name: "hosts restart",
    deadlyShare: 0.03,
    deadlyFromMs: 4_000,
    restartsPerS: 0.5,
  },
  {
    name: "only other crashes",
    deadlyShare: 0,
    deadlyFromMs: 0,
    ordinaryCrashesPerS: 1.5,
  },
];

interface Run {
  host: number;
  traits: string[];
  isDeadly: boolean;
  sentAt: number;
  headAt: number;
  outputAt: number;
  hasOutput: boolean;
  losesHead: boolean;
}

interface Outcome {
  deadlyAfter: number;
  crashes: number;
  soundAdmitted: number;
  soundRefused: number;
}

function simulate(scenario: Scenario, seed: number): Outcome {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  const drawIndex = (count: number) => Math.floor(draw() * count);
  const createHost = (index: number) =>
    new CrashAttribution({ getTrialDelayMs: () => 2_000 * index });
  const hosts = Array.from({ length: HOSTS }, (_, index) => createHost(index));
  const engines = Array.from({ length: ENGINES }, () => ({
    upAt: 0,
    starts: 0,
    runs: [] as Run[],
  }));
  const crashTimes: number[] = [];
  const outcome: Outcome = {
    deadlyAfter: 0,
    crashes: 0,
    soundAdmitted: 0,
    soundRefused: 0,
  };
  /** When a host sends its next digest. */
  const digestAt = hosts.map(() => draw() * 400);
  const toldAt = hosts.map(() => Number.NEGATIVE_INFINITY);

  const crash = (index: number, isByRequest: boolean, now: number): void => {
    const engine = engines[index];
    if (!engine) return;
    for (const run of engine.runs) {
      if (run.hasOutput) continue;
      hosts[run.host]?.recordCrash(`e${index}.${engine.starts}`, {
        traits: run.traits,
        hasResponseHead: run.headAt <= now && !run.losesHead,
        runMs: now - run.sentAt,
      }, now);
      digestAt[run.host] = Math.min(digestAt[run.host] ?? now, now + 30);
    }
    engine.runs = [];
    engine.starts += 1;
    engine.upAt = now + 3_000;
    if (isByRequest) crashTimes.push(now);
  };

  const arrive = (now: number): void => {
    const session = `session-${drawIndex(41)}`;
    const isTurned = now >= scenario.deadlyFromMs;
    const isDeadly = isTurned && draw() < scenario.deadlyShare;
    const hasPart = isDeadly ||
      (scenario.wasSound === true && !isTurned && draw() < 0.05);
    const host = drawIndex(HOSTS);
    const up = engines.filter((engine) => engine.upAt <= now);
    const engine = up[drawIndex(up.length)];
    const attribution = hosts[host];
    if (!engine || !attribution) return;
    const traits = [
      `first-${drawIndex(3)}`,
      ...(hasPart ? ["deadly"] : []),
      session,
      `request-${now}-${host}`,
    ];
    const admission = attribution.decideAdmission(traits, now);
    const countedAt = crashTimes[COUNTED_CRASHES - 1] ?? Number.NaN;
    const soundFrom = (crashTimes.slice(0, COUNTED_CRASHES).at(-1) ?? 0) +
      2 * CONTACT_MS;
    if (!isDeadly && now > soundFrom) {
      if (admission.kind === "refused") outcome.soundRefused += 1;
      else outcome.soundAdmitted += 1;
    }
    if (admission.kind === "refused") return;
    if (isDeadly && now > countedAt + CONTACT_MS) outcome.deadlyAfter += 1;
    const headAt = now + 60 + 340 * draw();
    engine.runs.push({
      host,
      traits,
      isDeadly,
      sentAt: now,
      headAt,
      outputAt: headAt + (isDeadly ? 5 : 20),
      hasOutput: false,
      losesHead: draw() < (scenario.lostHeads ?? 0),
    });
  };

  const advanceEngine = (index: number, now: number): void => {
    const engine = engines[index];
    if (!engine) return;
    for (const run of engine.runs) {
      if (run.hasOutput || run.outputAt > now) continue;
      if (run.isDeadly) return crash(index, true, now);
      run.hasOutput = true;
      hosts[run.host]?.recordOutput(run.traits, now);
      hosts[run.host]?.endTrial(run.traits);
    }
    engine.runs = engine.runs.filter((run) => run.outputAt > now - 400);
  };

  const exchange = (now: number): void => {
    for (const [index, at] of digestAt.entries()) {
      if (at > now) continue;
      digestAt[index] = now + 400;
      const sender = hosts[index];
      if (!sender?.needsDigest(toldAt[index] ?? now, now)) continue;
      const digest = sender.getDigest(now);
      if (!digest) continue;
      toldAt[index] = now;
      for (const [other, host] of hosts.entries()) {
        if (other === index || draw() < (scenario.lostDigests ?? 0)) continue;
        const hasNews = host.mergeDigest(digest, now + 2);
        if (hasNews) {
          digestAt[other] = Math.min(digestAt[other] ?? now, now + 30);
        }
      }
    }
  };

  for (let now = 0; now < LENGTH_MS; now += 5) {
    if (draw() < 0.25) arrive(now);
    if (draw() < 0.005 * (scenario.ordinaryCrashesPerS ?? 0)) {
      crash(drawIndex(ENGINES), false, now);
    }
    if (draw() < 0.005 * (scenario.restartsPerS ?? 0)) {
      const index = drawIndex(HOSTS);
      const started = createHost(index);
      hosts[index] = started;
      toldAt[index] = Number.NEGATIVE_INFINITY;
      // Peers answer the first heartbeat of a host that has just started.
      for (const host of hosts) {
        const digest = host === started ? undefined : host.getDigest(now);
        if (digest) started.mergeDigest(digest, now + 10);
      }
      for (const engine of engines) {
        engine.runs = engine.runs.filter((run) => run.host !== index);
      }
    }
    for (let index = 0; index < ENGINES; index += 1) advanceEngine(index, now);
    exchange(now);
  }
  return { ...outcome, crashes: crashTimes.length };
}

for (const scenario of SCENARIOS) {
  test(`simulated fleet, ${scenario.name}: few requests with the crashing part are sent, sound ones are`, () => {
    const outcomes: Outcome[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const outcome = simulate(scenario, seed);
      outcomes.push(outcome);
      const { deadlyAfter, soundAdmitted, soundRefused } = outcome;
      assert.ok(
        deadlyAfter <= ALLOWED_AFTER,
        `seed ${seed}: ${deadlyAfter} sent, ${outcome.crashes} crashes`,
      );
      const served = soundAdmitted / (soundAdmitted + soundRefused);
      assert.ok(served >= MIN_SERVED_SHARE, `seed ${seed}: ${served}`);
    }
    const max = (list: number[]) => Math.max(...list);
    console.log(
      `${scenario.name}: at most ${max(outcomes.map((o) => o.crashes))} ` +
        `crashes, ${max(outcomes.map((o) => o.deadlyAfter))} sent after, ` +
        `${max(outcomes.map((o) => o.soundRefused))} sound ones refused of ` +
        `${max(outcomes.map((o) => o.soundAdmitted + o.soundRefused))}`,
    );
  });
}

test.run();
