/** Planned stops: no request in progress is cut off, and ownership is handed over. */
import { setTimeout as sleep } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { type CallerAnswer, NO_ANSWER_STATUS } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";

const TOKENS = 60;
/** Longer than a stop takes, so that only a handover lets the next owner evict at its end. */
const MAX_RUN_MS = 6_000;
const ENGINE = "engine-hobart-a-1";
/** Time for which a caller that was turned away waits. */
const BACKOFF_MS = 50;
const test = suite("shutdown");
let site: Site;

test.before.each(async () => {
  site = new Site({
    domains: [{ name: "hobart-a", daemons: 3, engines: 1, services: 1 }],
    tokens: TOKENS,
    maxRunMs: MAX_RUN_MS,
  });
  await site.start();
});

test.after.each(async () => await site.stop());

/** Returns how long an owner has to wait for leases of earlier owners. */
async function getEvictionWaitMs(id: string): Promise<number | undefined> {
  const { upstreams } = await site.fleet.getStatus(id);
  return upstreams.find(({ upstreamId }) => upstreamId === ENGINE)
    ?.evictionAllowedInMs;
}

test("SIGTERM under load cuts off nothing and hands over what is owned", async () => {
  const owner = await site.getOwner(ENGINE);
  await waitUntil(
    "the first owner may evict itself",
    async () => await getEvictionWaitMs(owner) === 0,
  );
  const [first = ""] = site.daemonIds.filter((id) => id !== owner);
  const streams = [
    ...await site.startStreams(owner, ["adapter-0"]),
    ...await site.startStreams(first, ["adapter-1"]),
  ];
  for (const service of site.services.values()) service.faults.runTimeMs = 500;
  const order = site.order(owner, 1);
  await waitUntil(
    "the order runs",
    () => Promise.resolve(site.countOrders(1) === 1),
  );
  const queued = site.startCall(first, "adapter-2");
  site.fleet.signal(owner, "SIGTERM");
  for (const [index, call] of [...streams, queued].entries()) {
    const answer = await call.answer;
    assert.ok(
      isExactAnswer(answer, `adapter-${index}@v1`, TOKENS),
      `adapter-${index}: ${describeAnswer(answer)}`,
    );
  }
  assert.is((await order).status, 200);
  assert.is(site.countOrders(1), 1);
  assert.is(await site.fleet.waitForExit(owner), 0);
  assert.is(site.countEvictionsInUse(), 0);
  const rest = site.daemonIds.filter((id) => id !== owner);
  const next = await site.findOwner(ENGINE, rest) ?? "";
  assert.is(await getEvictionWaitMs(next), 0, "it may evict at once");
  const answer = await site.call(first, "adapter-3");
  assert.ok(
    isExactAnswer(answer, "adapter-3@v1", TOKENS),
    describeAnswer(answer),
  );
});

test("a rolling restart under load cuts off nothing", async () => {
  let isLoaded = true;
  const answers: { adapter: string; name: string; answer: CallerAnswer }[] = [];
  const callers = Array.from({ length: 6 }, async (_, index) => {
    for (let turn = 0; isLoaded; turn += 1) {
      const adapter = `adapter-${(index + turn) % 3}`;
      const daemon = site.daemonIds[(index + turn) % 3] ?? "";
      const name = `call ${index}-${turn}.`;
      const answer = await site.call(daemon, adapter, name);
      answers.push({ adapter, name, answer });
      if (!answer.isWhole || answer.refusal) await sleep(BACKOFF_MS);
    }
  });
  for (const id of site.daemonIds) {
    site.fleet.signal(id, "SIGTERM");
    assert.is(await site.fleet.waitForExit(id), 0);
    await site.fleet.startDaemon(id);
    await site.fleet.waitUntilServing([id]);
  }
  isLoaded = false;
  await Promise.all(callers);
  const whole = answers.filter(({ adapter, answer }) =>
    isExactAnswer(answer, `${adapter}@v1`, TOKENS)
  );
  // A balancer turns away from a stopping daemon; these callers do not.
  const { history } = site.getEngine();
  const turnedAway = answers.filter(({ name, answer }) =>
    (answer.status === NO_ANSWER_STATUS ||
      answer.refusal?.outcome === "notRun") &&
    !history.some(({ body }) => body.includes(name))
  );
  const rest = answers.filter((entry) =>
    !whole.includes(entry) && !turnedAway.includes(entry)
  );
  assert.equal(rest.map(({ answer }) => describeAnswer(answer)), []);
  assert.ok(whole.length >= 6, `${whole.length} whole answers`);
  assert.is(site.countEvictionsInUse(), 0);
});

test.run();
