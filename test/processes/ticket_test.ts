/**
 * Guards against running a non-idempotent request twice when its ticket is sent
 * to several daemons, across a network partition, or after the daemon that
 * issued the ticket has been killed.
 */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, Site } from "../../scripts/site.ts";

/**
 * Time after which a ticket issuer in another failure domain that does not
 * answer counts as unreachable.
 */
const QUEUE_DEADLINE_MS = 3_000;
const test = suite("ticket");
let site: Site;
let a1 = "";
let a2 = "";
let b1 = "";

test.before(async () => {
  site = new Site({
    domains: [
      { name: "hobart-a", daemons: 2, engines: 0, services: 1 },
      { name: "huon-b", daemons: 1, engines: 0, services: 1 },
    ],
    queueDeadlineMs: QUEUE_DEADLINE_MS,
  });
  await site.start();
  [a1 = "", a2 = "", b1 = ""] = site.daemonIds;
  await waitUntilPeersLive();
});

test.after(async () => await site.stop());

async function waitUntilPeersLive(): Promise<void> {
  for (const id of site.daemonIds) {
    await waitUntil(`${id} considers its peers alive`, async () => {
      const { failureDomain, peers } = await site.fleet.getStatus(id);
      return peers.every((peer) =>
        peer.live || peer.failureDomain !== failureDomain
      );
    });
  }
}

async function waitUntilPeerDead(id: string, peer: string): Promise<void> {
  await waitUntil(`${id} no longer considers ${peer} alive`, async () => {
    const { peers } = await site.fleet.getStatus(id);
    return peers.some((entry) => entry.id === peer && !entry.live);
  });
}

test("the same ticket through several daemons at once runs once", async () => {
  for (const service of site.services.values()) service.faults.runTimeMs = 200;
  for (let pen = 100; pen < 110; pen += 1) {
    const ticket = await site.getTicket(a1, pen);
    const answers = await Promise.all(
      [a1, a2, b1, a2].map((id) => site.sendFeedOrder(id, pen, ticket)),
    );
    assert.is(site.countFeedOrders(pen), 1);
    const completed = answers.filter(({ status }) => status === 200);
    const first = completed.filter(({ headers }) =>
      headers.get("idempotent-replayed") === null
    );
    assert.is(first.length, 1);
    for (const { text } of completed) assert.is(text, first[0]?.text);
    for (const { status, refusal } of answers) {
      if (status === 200) continue;
      assert.is(refusal?.reason, RefusalReason.TicketInProgress);
      assert.is(refusal?.outcome, Outcome.MayHaveRun);
    }
    const replayed = await site.sendFeedOrder(b1, pen, ticket);
    assert.is(replayed.status, 200);
    assert.is(replayed.headers.get("idempotent-replayed"), "true");
    assert.is(replayed.text, first[0]?.text);
    assert.is(site.countFeedOrders(pen), 1);
  }
});

test("a ticket runs once during a partition, and the side without the issuer refuses it", async () => {
  const ticket = await site.getTicket(a1, 200);
  await site.fleet.block(b1, { peers: [a1, a2] });
  await waitUntilPeerDead(b1, a1);
  const partitioned = await site.sendFeedOrder(b1, 200, ticket);
  assert.is(partitioned.refusal?.reason, RefusalReason.TicketHomeUnreachable);
  assert.is(partitioned.refusal?.outcome, Outcome.MayHaveRun);
  const localAnswer = await site.sendFeedOrder(a2, 200, ticket);
  assert.is(localAnswer.status, 200, describeAnswer(localAnswer));
  const fresh = await site.sendFeedOrder(b1, 201);
  assert.is(
    fresh.status,
    200,
    "a partitioned failure domain still serves under new tickets",
  );
  await site.fleet.block(b1, {});
  await waitUntilPeersLive();
  const healed = await site.sendFeedOrder(b1, 200, ticket);
  assert.is(healed.headers.get("idempotent-replayed"), "true");
  assert.is(site.countFeedOrders(200), 1);
  assert.is(site.countFeedOrders(201), 1);
});

test("a run whose ticket issuer becomes unreachable is never repeated", async () => {
  for (const service of site.services.values()) service.faults.runTimeMs = 500;
  const ticket = await site.getTicket(a1, 210);
  const running = site.sendFeedOrder(b1, 210, ticket);
  await waitUntil(
    "the request runs",
    () => Promise.resolve(site.countFeedOrders(210) === 1),
  );
  await site.fleet.block(b1, { peers: [a1, a2] });
  assert.is((await running).status, 200);
  const localAnswer = await site.sendFeedOrder(a1, 210, ticket);
  assert.is(localAnswer.refusal?.reason, RefusalReason.TicketInProgress);
  assert.is(localAnswer.refusal?.outcome, Outcome.MayHaveRun);
  await site.fleet.block(b1, {});
  await waitUntilPeersLive();
  await waitUntil("the claim is settled", async () => {
    const later = await site.sendFeedOrder(a2, 210, ticket);
    return later.headers.get("idempotent-replayed") === "true";
  });
  assert.is(site.countFeedOrders(210), 1);
});

test("a ticket never runs after its issuer was killed and restarted", async () => {
  const spentTicket = await site.getTicket(a1, 300);
  assert.is((await site.sendFeedOrder(a2, 300, spentTicket)).status, 200);
  const unusedTicket = await site.getTicket(a1, 301);
  site.fleet.signal(a1, "SIGKILL");
  await site.fleet.waitForExit(a1);
  await waitUntilPeerDead(a2, a1);
  for (
    const [pen, ticket] of [[300, spentTicket], [301, unusedTicket]] as const
  ) {
    const answer = await site.sendFeedOrder(a2, pen, ticket);
    assert.is(answer.refusal?.reason, RefusalReason.TicketHomeUnreachable);
    assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
  }
  await site.fleet.startDaemon(a1);
  await site.fleet.waitUntilServing([a1]);
  await waitUntilPeersLive();
  for (
    const [pen, ticket] of [[300, spentTicket], [301, unusedTicket]] as const
  ) {
    for (const id of site.daemonIds) {
      const answer = await site.sendFeedOrder(id, pen, ticket);
      assert.is(answer.refusal?.reason, RefusalReason.TicketExpired);
      assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
    }
  }
  assert.is(site.countFeedOrders(300), 1);
  assert.is(site.countFeedOrders(301), 0);
  assert.is((await site.sendFeedOrder(a2, 302)).status, 200);
});

test("a run whose answer was lost is reported as one that may have run", async () => {
  for (const service of site.services.values()) service.faults.cutAnswers = 1;
  const ticket = await site.getTicket(a1, 400);
  const answer = await site.sendFeedOrder(a1, 400, ticket);
  assert.is(answer.refusal?.reason, RefusalReason.UpstreamLost);
  assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
  for (const service of site.services.values()) service.faults.cutAnswers = 0;
  const retried = await site.sendFeedOrder(b1, 400, ticket);
  assert.is(retried.refusal?.outcome, Outcome.MayHaveRun);
  assert.is(site.countFeedOrders(400), 1);
});

test("a request that no upstream started can be retried under its ticket", async () => {
  for (const service of site.services.values()) service.faults.refuseRuns = 9;
  const ticket = await site.getTicket(a1, 410);
  const refused = await site.sendFeedOrder(a1, 410, ticket);
  assert.is(refused.refusal?.outcome, Outcome.NotRun);
  assert.is(site.countFeedOrders(410), 0);
  for (const service of site.services.values()) service.faults.refuseRuns = 0;
  await waitUntil(
    "the claim is released",
    async () => (await site.sendFeedOrder(a2, 410, ticket)).status === 200,
  );
  assert.is(site.countFeedOrders(410), 1);
});

test.run();
