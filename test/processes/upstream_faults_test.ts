/**
 * Guards against callers receiving wrong, incomplete or no answers when
 * upstreams fail: engines restart and lose their adapters, loads fail, answers
 * are late, belong to another adapter or end early, and upstreams leave.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { readTokens } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import { HostState, type HostStructure } from "../../src/core/structures.ts";

const TOKENS = 30;
const LONG_TOKENS = 100;
/** Time after which a leaving upstream must get no new runs. */
const LEAVING_NOTICE_LIMIT_MS = 3_000;
const test = suite("upstream faults");
let site: Site;
let entry = "";

test.before(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 2, engines: 2 }],
    tokens: TOKENS,
  });
  await site.start();
  entry = site.daemonIds[0] ?? "";
});

test.after(async () => await site.stop());

function countCrashedRuns(): number {
  return [...site.engines.values()].flatMap(({ history }) => history)
    .filter(({ ended }) => ended === "crashed").length;
}

async function expectExact(adapter: string, daemon = entry): Promise<void> {
  const answer = await site.call(daemon, adapter);
  assert.ok(
    isExactAnswer(answer, `${adapter}@v1`, TOKENS),
    describeAnswer(answer),
  );
}

test("an engine that restarts without adapters breaks its streams and then serves again", async () => {
  const engines = [...site.engines.values()];
  for (const engine of engines) engine.options.tokens = LONG_TOKENS;
  const calls = await site.startStreams(entry, [
    "adapter-0",
    "adapter-1",
  ]);
  await Promise.all(engines.map((engine) => engine.crash()));
  for (const call of calls) {
    const answer = await call.answer;
    assert.not.ok(answer.isWhole, describeAnswer(answer));
    assert.is(answer.refusal?.reason, RefusalReason.UpstreamLost);
    assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
  }
  assert.is(countCrashedRuns(), calls.length);
  for (const engine of engines) engine.options.tokens = TOKENS;
  await site.waitUntilOwned(site.daemonIds);
  for (const adapter of ["adapter-0", "adapter-1"]) await expectExact(adapter);
});

test("a failed load is retried on another engine or refused with Retry-After", async () => {
  const [first, second] = [...site.engines.values()];
  if (!first || !second) throw new Error("Expected two engines");
  first.faults.failLoads = 1;
  second.faults.failLoads = 1;
  const [firstAnswer, secondAnswer] = await Promise.all([
    site.call(entry, "adapter-3"),
    site.call(entry, "adapter-4"),
  ]);
  const failures = 2 - first.faults.failLoads - second.faults.failLoads;
  assert.is.not(failures, 0);
  for (const [index, answer] of [firstAnswer, secondAnswer].entries()) {
    if (answer.refusal === undefined) {
      assert.ok(isExactAnswer(answer, `adapter-${index + 3}@v1`, TOKENS));
      continue;
    }
    assert.is(answer.refusal.reason, RefusalReason.LoadFailed);
    assert.is(answer.refusal.outcome, Outcome.NotRun);
    assert.ok(answer.headers.has("retry-after"));
  }
  first.faults.failLoads = 100;
  second.faults.failLoads = 100;
  const answer = await site.call(entry, "adapter-5");
  assert.is(answer.refusal?.reason, RefusalReason.LoadFailed);
  assert.is(answer.refusal?.outcome, Outcome.NotRun);
  assert.is(site.countRuns("adapter-5@v1"), 0);
  first.faults.failLoads = 0;
  second.faults.failLoads = 0;
  await waitUntil(
    "the adapter is served",
    async () => (await site.call(entry, "adapter-5")).isWhole,
  );
});

test("an answer of the wrong adapter is dropped and the request retried on another engine", async () => {
  for (const engine of site.engines.values()) engine.faults.crossAnswers = 1;
  const before = await site.fleet.getCounter(entry, "retried.wrongAdapter");
  const answers = await Promise.all(
    [1, 2, 3].map(() => site.call(entry, "adapter-0")),
  );
  for (const answer of answers) {
    const isExpected = isExactAnswer(answer, "adapter-0@v1", TOKENS) ||
      answer.refusal?.reason === RefusalReason.WrongAdapter ||
      answer.refusal?.reason === RefusalReason.NoUpstream;
    assert.ok(isExpected, describeAnswer(answer));
  }
  const after = await site.fleet.getCounter(entry, "retried.wrongAdapter");
  assert.ok(after > before);
  for (const engine of site.engines.values()) engine.faults.crossAnswers = 0;
  await expectExact("adapter-0");
});

test("a stream that breaks and cannot be resumed is never ended as if complete", async () => {
  for (const engine of site.engines.values()) {
    engine.faults.cutAfterTokens = 5;
  }
  const answer = await site.call(entry, "adapter-0");
  for (const engine of site.engines.values()) {
    engine.faults.cutAfterTokens = 0;
  }
  assert.not.ok(answer.isWhole);
  assert.is(answer.refusal?.reason, RefusalReason.UpstreamLost);
  assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
  const tokens = readTokens(answer.text);
  assert.ok(tokens.every((token, index) => token === `adapter-0@v1#${index}`));
  await expectExact("adapter-0");
});

test("a run that exceeds its maximum run time is cancelled and refused", async () => {
  const revision = await site.fleet.writeTable(
    "routes",
    site.formatRoutes("v1", { maxRunMs: 300 }),
  );
  await site.waitUntilInForce(revision);
  const answers = await Promise.all(
    Array.from({ length: 6 }, () => site.call(entry, "adapter-0")),
  );
  const restoredRevision = await site.fleet.writeTable(
    "routes",
    site.formatRoutes("v1"),
  );
  await site.waitUntilInForce(restoredRevision);
  for (const { refusal } of answers) {
    assert.is(refusal?.reason, RefusalReason.RunTimeExceeded);
    assert.is(refusal?.outcome, Outcome.MayHaveRun);
  }
  await expectExact("adapter-0");
});

test("an engine that reports that it is leaving gets no new runs", async () => {
  const [[id = "", engine], [, other]] = [...site.engines] as [
    [string, ReturnType<Site["getEngine"]>],
    [string, ReturnType<Site["getEngine"]>],
  ];
  const running = await site.startStreams(entry, ["adapter-0", "adapter-1"]);
  engine.faults.leaving = true;
  await expectNoNewRuns(id, other.history.length);
  for (const call of running) assert.ok((await call.answer).isWhole);
  engine.faults.leaving = false;
});

test("an engine that a delayed host list marks as leaving gets no new runs", async () => {
  const [[id = ""], [, other]] = [...site.engines] as [
    [string, unknown],
    [string, ReturnType<Site["getEngine"]>],
  ];
  site.hostList.faults.lagMs = 500;
  await site.fleet.writeHosts(
    site.upstreams.map((host): HostStructure =>
      host.id === id ? { ...host, state: HostState.Leaving } : host
    ),
  );
  await expectNoNewRuns(id, other.history.length);
  site.hostList.faults.lagMs = 0;
  await site.fleet.writeHosts(site.upstreams);
});

/**
 * Sends calls until the time limit and some after it; checks that the leaving
 * engine gets no run after the limit.
 */
async function expectNoNewRuns(
  id: string,
  otherEngineRuns: number,
): Promise<void> {
  const engine = site.getEngine(id);
  const startedAt = performance.now();
  let runsAtLimit: number | undefined;
  for (let round = 0; runsAtLimit === undefined || round < 8; round += 1) {
    const isPastLimit =
      performance.now() - startedAt >= LEAVING_NOTICE_LIMIT_MS;
    if (isPastLimit) runsAtLimit ??= engine.history.length;
    const daemon = site.daemonIds[round % 2] ?? "";
    const answer = await site.call(daemon, `adapter-${round % 4}`);
    assert.ok(answer.isWhole, describeAnswer(answer));
  }
  assert.is(engine.history.length, runsAtLimit);
  const runs = [...site.engines.values()]
    .reduce((total, { history }) => total + history.length, 0);
  assert.ok(runs - engine.history.length > otherEngineRuns);
}

test.run();
