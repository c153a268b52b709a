/**
 * Guards against planned stops that interrupt requests in progress or leave
 * upstreams without an owner that may evict.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { type CallerAnswer, NO_ANSWER_STATUS } from "../../scripts/caller.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";

const TOKENS = 60;
/**
 * Longer than a stop takes: without a handover the successor would still have
 * to wait for leases of the earlier owner before it may evict.
 */
const MAX_RUN_MS = 6_000;
const ENGINE = "engine-hobart-a-1";
/** Delay before a caller sends the next call after a refusal or a failure. */
const RETRY_DELAY_MS = 50;
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

/**
 * Returns how long an owner still has to wait for leases of earlier owners
 * before it may evict.
 */
async function getEvictionWaitMs(id: string): Promise<number | undefined> {
  const { upstreams } = await site.fleet.getStatus(id);
  return upstreams.find(({ upstreamId }) => upstreamId === ENGINE)
    ?.evictionAllowedInMs;
}

test("SIGTERM under load interrupts no request and hands over ownership", async () => {
  const owner = await site.getOwner(ENGINE);
  await waitUntil(
    "the first owner may evict",
    async () => await getEvictionWaitMs(owner) === 0,
  );
  const [first = ""] = site.daemonIds.filter((id) => id !== owner);
  const streams = [
    ...await site.startStreams(owner, ["adapter-0"]),
    ...await site.startStreams(first, ["adapter-1"]),
  ];
  for (const service of site.services.values()) service.faults.runTimeMs = 500;
  const order = site.sendFeedOrder(owner, 1);
  await waitUntil(
    "the order runs",
    () => Promise.resolve(site.countFeedOrders(1) === 1),
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
  assert.is(site.countFeedOrders(1), 1);
  assert.is(await site.fleet.waitForExit(owner), 0);
  assert.is(site.countEvictionsInUse(), 0);
  const remaining = site.daemonIds.filter((id) => id !== owner);
  const successor = await site.findOwner(ENGINE, remaining) ?? "";
  assert.is(
    await getEvictionWaitMs(successor),
    0,
    "the successor may evict immediately",
  );
  const answer = await site.call(first, "adapter-3");
  assert.ok(
    isExactAnswer(answer, "adapter-3@v1", TOKENS),
    describeAnswer(answer),
  );
});

test("a rolling restart under load interrupts no request", async () => {
  let isSending = true;
  const answers: { adapter: string; name: string; answer: CallerAnswer }[] = [];
  const callers = Array.from({ length: 6 }, async (_, index) => {
    for (let round = 0; isSending; round += 1) {
      const adapter = `adapter-${(index + round) % 3}`;
      const daemon = site.daemonIds[(index + round) % 3] ?? "";
      const name = `call ${index}-${round}.`;
      const answer = await site.call(daemon, adapter, name);
      answers.push({ adapter, name, answer });
      if (!answer.isWhole || answer.refusal) await sleep(RETRY_DELAY_MS);
    }
  });
  for (const id of site.daemonIds) {
    site.fleet.signal(id, "SIGTERM");
    assert.is(await site.fleet.waitForExit(id), 0);
    await site.fleet.startDaemon(id);
    await site.fleet.waitUntilServing([id]);
  }
  isSending = false;
  await Promise.all(callers);
  const complete = answers.filter(({ adapter, answer }) =>
    isExactAnswer(answer, `${adapter}@v1`, TOKENS)
  );
  // A load balancer would stop sending to a stopping daemon; these callers do
  // not, so refused calls that never ran are allowed.
  const { history } = site.getEngine();
  const rejected = answers.filter(({ name, answer }) =>
    (answer.status === NO_ANSWER_STATUS ||
      answer.refusal?.outcome === "notRun") &&
    !history.some(({ body }) => body.includes(name))
  );
  const unexpected = answers.filter((entry) =>
    !complete.includes(entry) && !rejected.includes(entry)
  );
  assert.equal(unexpected.map(({ answer }) => describeAnswer(answer)), []);
  assert.ok(complete.length >= 6, `${complete.length} complete answers`);
  assert.is(site.countEvictionsInUse(), 0);
});

test.run();
