/**
 * Guards against a killed daemon that interrupts requests of other daemons, or
 * whose successor evicts adapters that are still in use.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";

const TOKENS = 100;
const test = suite("kill");
let site: Site;

test.before.each(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 3, engines: 1 }],
    tokens: TOKENS,
  });
  await site.start();
});

test.after.each(async () => await site.stop());

/** Returns the owner of the only engine and the other daemons. */
async function findRoles(): Promise<{ owner: string; others: string[] }> {
  const owner = await site.getOwner("engine-hobart-a-1");
  return { owner, others: site.daemonIds.filter((id) => id !== owner) };
}

test("a killed entry breaks only its own streams, and its leases expire", async () => {
  const { others } = await findRoles();
  const [killedEntry = "", other = ""] = others;
  const brokenStreams = await site.startStreams(killedEntry, [
    "adapter-0",
    "adapter-1",
  ]);
  const unaffectedStreams = await site.startStreams(other, [
    "adapter-0",
    "adapter-1",
  ]);
  site.fleet.signal(killedEntry, "SIGKILL");
  const coldCall = site.startCall(other, "adapter-2");
  for (const call of brokenStreams) {
    assert.not.ok(
      (await call.answer).isWhole,
      "the stream is reported as broken",
    );
  }
  for (const [index, call] of unaffectedStreams.entries()) {
    const answer = await call.answer;
    assert.ok(
      isExactAnswer(answer, `adapter-${index}@v1`, TOKENS),
      describeAnswer(answer),
    );
  }
  const answer = await coldCall.answer;
  assert.ok(
    isExactAnswer(answer, "adapter-2@v1", TOKENS),
    describeAnswer(answer),
  );
  const { history } = site.getEngine();
  assert.is(history.filter(({ ended }) => ended === "cancelled").length, 2);
  assert.is(site.countEvictionsInUse(), 0);
});

test("a killed owner breaks no stream, and its successor waits for its leases to expire", async () => {
  const { owner, others } = await findRoles();
  const [first = "", second = ""] = others;
  const streams = [
    ...await site.startStreams(first, ["adapter-0"]),
    ...await site.startStreams(second, ["adapter-1"]),
  ];
  const waitingCalls = ["adapter-2", "adapter-3"].map((model) =>
    site.startCall(first, model)
  );
  site.fleet.signal(owner, "SIGKILL");
  await site.waitUntilOwned(others);
  for (const [index, call] of [...streams, ...waitingCalls].entries()) {
    const answer = await call.answer;
    assert.ok(
      isExactAnswer(answer, `adapter-${index}@v1`, TOKENS),
      `adapter-${index}: ${describeAnswer(answer)}`,
    );
  }
  assert.is(site.countEvictionsInUse(), 0);
});

test("a load whose owner is killed is completed by the successor", async () => {
  const { owner, others } = await findRoles();
  const [first = ""] = others;
  const engine = site.getEngine();
  engine.options.loadTimeMs = 500;
  const calls = ["adapter-4", "adapter-5"].map((model) =>
    site.startCall(first, model)
  );
  await waitUntil("the owner has started both loads", async () => {
    const { upstreams } = await site.fleet.getStatus(owner);
    return upstreams.some(({ slots }) => slots.length === 2);
  });
  site.fleet.signal(owner, "SIGKILL");
  for (const [index, call] of calls.entries()) {
    const answer = await call.answer;
    assert.ok(
      isExactAnswer(answer, `adapter-${index + 4}@v1`, TOKENS),
      describeAnswer(answer),
    );
  }
  assert.is(engine.history.length, 2);
  assert.is(site.countEvictionsInUse(), 0);
});

test.run();
