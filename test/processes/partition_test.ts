/**
 * Tests the network partitions and outages listed in docs/OPERATORS.md that no
 * other test covers: requests are still served where possible, or refused with
 * the right outcome, and no adapter in use is evicted.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, isExactAnswer, Site } from "../../scripts/site.ts";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";

const TOKENS = 10;
const test = suite("partition");
let site: Site;
let a1 = "";
let a2 = "";
let b1 = "";
let b2 = "";
const ENGINE_A = "engine-hobart-a-1";
const ENGINE_B = "engine-huon-b-1";

test.before(async () => {
  site = new Site({
    domains: [
      { name: "hobart-a", daemons: 2, engines: 1, services: 1 },
      { name: "huon-b", daemons: 2, engines: 1, services: 0 },
    ],
    tokens: TOKENS,
    slots: 4,
  });
  await site.start();
  [a1 = "", a2 = "", b1 = "", b2 = ""] = site.daemonIds;
  await waitUntilHealed();
});

test.after(async () => await site.stop());

test.after.each(async () => {
  for (const id of site.daemonIds) await site.fleet.block(id, {});
  await waitUntilHealed();
  assert.is(site.countEvictionsInUse(), 0);
});

async function waitUntilHealed(): Promise<void> {
  for (const id of site.daemonIds) {
    await waitUntil(`${id} considers its peers alive`, async () => {
      const { failureDomain, peers } = await site.fleet.getStatus(id);
      return peers.every((peer) =>
        peer.live || peer.failureDomain !== failureDomain
      );
    });
  }
  await site.waitUntilOwned(site.daemonIds);
}

async function waitUntilPeersDead(
  id: string,
  peers: readonly string[],
): Promise<void> {
  await waitUntil(`${id} no longer considers ${peers} alive`, async () => {
    const status = await site.fleet.getStatus(id);
    return status.peers.every((peer) => !peers.includes(peer.id) || !peer.live);
  });
}

async function expectServed(
  daemon: string,
  adapter = "adapter-0",
): Promise<void> {
  const answer = await site.call(daemon, adapter);
  assert.ok(
    isExactAnswer(answer, `${adapter}@v1`, TOKENS),
    `${daemon}: ${describeAnswer(answer)}`,
  );
}

test("partition between failure domains: each serves with its own upstreams only", async () => {
  const partitionA = { peers: [b1, b2], upstreams: [ENGINE_B] };
  const partitionB = {
    peers: [a1, a2],
    upstreams: [ENGINE_A, "service-hobart-a-1"],
  };
  for (const id of [a1, a2]) await site.fleet.block(id, partitionA);
  for (const id of [b1, b2]) await site.fleet.block(id, partitionB);
  await waitUntilPeersDead(a1, [b1, b2]);
  for (const id of [b1, b2]) await waitUntilPeersDead(id, [a1, a2]);
  for (const id of site.daemonIds) await expectServed(id);
  assert.is((await site.sendFeedOrder(a1, 1)).status, 200);
  const order = await site.sendFeedOrder(b1, 2);
  assert.is(order.refusal?.reason, RefusalReason.NoUpstream);
  assert.is(order.refusal?.outcome, Outcome.NotRun);
  assert.ok(order.headers.has("retry-after"));
  assert.is(site.countFeedOrders(2), 0);
  const revision = await site.fleet.writeTable(
    "routes",
    site.formatRoutes("v1"),
  );
  await site.waitUntilInForce(revision);
});

test("partition between a failure domain and the platform: daemons serve, and remote peers forward new tables", async () => {
  for (const id of [b1, b2]) await site.fleet.block(id, { platform: true });
  for (const id of [b1, b2]) {
    const before = await site.fleet.getCounter(
      id,
      "platform_unread.readHostList",
    );
    await waitUntil(
      `${id} has failed to read the host list`,
      async () =>
        await site.fleet.getCounter(id, "platform_unread.readHostList") >
          before,
    );
  }
  const revision = await site.fleet.writeTable(
    "routes",
    site.formatRoutes("v1"),
  );
  // Remote peers forward the revision.
  await site.waitUntilInForce(revision);
  for (const id of site.daemonIds) await expectServed(id);
});

test("partition between a daemon and its local peers: both sides serve, and no adapter in use is evicted", async () => {
  await site.fleet.block(b1, { peers: [a1, a2, b2] });
  await waitUntilPeersDead(b1, [a1, a2, b2]);
  await waitUntilPeersDead(b2, [b1]);
  await site.waitUntilOwned([b1]);
  const [partitionedAnswers, peerAnswers] = await Promise.all([
    Promise.all([0, 1, 2].map((n) => site.call(b1, `adapter-${n}`))),
    Promise.all([3, 4, 5].map((n) => site.call(b2, `adapter-${n}`))),
  ]);
  for (
    const [index, answer] of [...partitionedAnswers, ...peerAnswers].entries()
  ) {
    assert.ok(
      isExactAnswer(answer, `adapter-${index}@v1`, TOKENS),
      describeAnswer(answer),
    );
  }
});

test("partition between an entry and an upstream that its owner reaches: another upstream answers", async () => {
  await expectServed(b1);
  await site.fleet.block(b1, { upstreams: [ENGINE_B] });
  await expectServed(b1);
  await expectServed(b2);
});

test("partition between all daemons and an upstream: other upstreams answer, or the request is refused", async () => {
  for (const id of site.daemonIds) {
    await site.fleet.block(id, { upstreams: ["service-hobart-a-1", ENGINE_B] });
  }
  for (const id of site.daemonIds) await expectServed(id);
  const order = await site.sendFeedOrder(a1, 3);
  assert.is(order.refusal?.reason, RefusalReason.NoUpstream);
  assert.is(order.refusal?.outcome, Outcome.NotRun);
  assert.is(site.countFeedOrders(3), 0);
});

test("host list down: the last list stays in force, also after a restart of a daemon", async () => {
  site.hostList.faults.down = true;
  const before = await site.fleet.getCounter(
    a1,
    "platform_unread.readHostList",
  );
  await waitUntil(
    "the daemon has failed to read the host list",
    async () =>
      await site.fleet.getCounter(a1, "platform_unread.readHostList") > before,
  );
  for (const id of site.daemonIds) await expectServed(id);
  site.fleet.signal(a2, "SIGKILL");
  await site.fleet.waitForExit(a2);
  await site.fleet.startDaemon(a2);
  await site.fleet.waitUntilServing([a2]);
  await expectServed(a2);
  site.hostList.faults.down = false;
});

test("weight store down: resident adapters are served, others are refused", async () => {
  await expectServed(a1);
  for (const engine of site.engines.values()) engine.faults.failLoads = 1_000;
  await expectServed(a1);
  const refused = await site.call(a1, "adapter-7");
  assert.is(refused.refusal?.reason, RefusalReason.LoadFailed);
  assert.is(refused.refusal?.outcome, Outcome.NotRun);
  assert.ok(refused.headers.has("retry-after"));
  for (const engine of site.engines.values()) engine.faults.failLoads = 0;
});

test.run();
