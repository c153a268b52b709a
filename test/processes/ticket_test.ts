/** Non-idempotent requests run at most once: through two daemons, across a partition, and after the ticket's home is gone. */
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import { waitUntil } from "../../scripts/fleet.ts";
import { describeAnswer, Site } from "../../scripts/site.ts";

/** Time after which a home in another domain that does not answer is given up. */
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
    await waitUntil(`${id} hears its peers`, async () => {
      const { failureDomain, peers } = await site.fleet.getStatus(id);
      return peers.every((peer) =>
        peer.live || peer.failureDomain !== failureDomain
      );
    });
  }
}

async function waitUntilLost(id: string, peer: string): Promise<void> {
  await waitUntil(`${id} misses ${peer}`, async () => {
    const { peers } = await site.fleet.getStatus(id);
    return peers.some((entry) => entry.id === peer && !entry.live);
  });
}

test("the same ticket through several daemons at once runs once", async () => {
  for (const service of site.services.values()) service.faults.runTimeMs = 200;
  for (let pen = 100; pen < 110; pen += 1) {
    const ticket = await site.getTicket(a1, pen);
    const answers = await Promise.all(
      [a1, a2, b1, a2].map((id) => site.order(id, pen, ticket)),
    );
    assert.is(site.countOrders(pen), 1);
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
    const again = await site.order(b1, pen, ticket);
    assert.is(again.status, 200);
    assert.is(again.headers.get("idempotent-replayed"), "true");
    assert.is(again.text, first[0]?.text);
    assert.is(site.countOrders(pen), 1);
  }
});

test("a ticket runs once across a partition, and the cut-off side says so", async () => {
  const ticket = await site.getTicket(a1, 200);
  await site.fleet.cut(b1, { peers: [a1, a2] });
  await waitUntilLost(b1, a1);
  const cutOff = await site.order(b1, 200, ticket);
  assert.is(cutOff.refusal?.reason, RefusalReason.TicketHomeUnreachable);
  assert.is(cutOff.refusal?.outcome, Outcome.MayHaveRun);
  const here = await site.order(a2, 200, ticket);
  assert.is(here.status, 200, describeAnswer(here));
  const fresh = await site.order(b1, 201);
  assert.is(fresh.status, 200, "new tickets go on in a cut-off domain");
  await site.fleet.cut(b1, {});
  await waitUntilPeersLive();
  const healed = await site.order(b1, 200, ticket);
  assert.is(healed.headers.get("idempotent-replayed"), "true");
  assert.is(site.countOrders(200), 1);
  assert.is(site.countOrders(201), 1);
});

test("a claim whose home is cut off in the midst of the run is never run again", async () => {
  for (const service of site.services.values()) service.faults.runTimeMs = 500;
  const ticket = await site.getTicket(a1, 210);
  const running = site.order(b1, 210, ticket);
  await waitUntil(
    "the order runs",
    () => Promise.resolve(site.countOrders(210) === 1),
  );
  await site.fleet.cut(b1, { peers: [a1, a2] });
  assert.is((await running).status, 200);
  const here = await site.order(a1, 210, ticket);
  assert.is(here.refusal?.reason, RefusalReason.TicketInProgress);
  assert.is(here.refusal?.outcome, Outcome.MayHaveRun);
  await site.fleet.cut(b1, {});
  await waitUntilPeersLive();
  await waitUntil("the claim is settled", async () => {
    const later = await site.order(a2, 210, ticket);
    return later.headers.get("idempotent-replayed") === "true";
  });
  assert.is(site.countOrders(210), 1);
});

test("after its home was killed and restarted a ticket never runs again", async () => {
  const spent = await site.getTicket(a1, 300);
  assert.is((await site.order(a2, 300, spent)).status, 200);
  const unused = await site.getTicket(a1, 301);
  site.fleet.signal(a1, "SIGKILL");
  await site.fleet.waitForExit(a1);
  await waitUntilLost(a2, a1);
  for (const [pen, ticket] of [[300, spent], [301, unused]] as const) {
    const answer = await site.order(a2, pen, ticket);
    assert.is(answer.refusal?.reason, RefusalReason.TicketHomeUnreachable);
    assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
  }
  await site.fleet.startDaemon(a1);
  await site.fleet.waitUntilServing([a1]);
  await waitUntilPeersLive();
  for (const [pen, ticket] of [[300, spent], [301, unused]] as const) {
    for (const id of site.daemonIds) {
      const answer = await site.order(id, pen, ticket);
      assert.is(answer.refusal?.reason, RefusalReason.TicketExpired);
      assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
    }
  }
  assert.is(site.countOrders(300), 1);
  assert.is(site.countOrders(301), 0);
  assert.is((await site.order(a2, 302)).status, 200);
});

test("a run whose answer was cut is reported as one that may have run", async () => {
  for (const service of site.services.values()) service.faults.cutAnswers = 1;
  const ticket = await site.getTicket(a1, 400);
  const answer = await site.order(a1, 400, ticket);
  assert.is(answer.refusal?.reason, RefusalReason.UpstreamLost);
  assert.is(answer.refusal?.outcome, Outcome.MayHaveRun);
  for (const service of site.services.values()) service.faults.cutAnswers = 0;
  const again = await site.order(b1, 400, ticket);
  assert.is(again.refusal?.outcome, Outcome.MayHaveRun);
  assert.is(site.countOrders(400), 1);
});

test("an order that no upstream started may be sent again under its ticket", async () => {
  for (const service of site.services.values()) service.faults.refuseRuns = 9;
  const ticket = await site.getTicket(a1, 410);
  const refused = await site.order(a1, 410, ticket);
  assert.is(refused.refusal?.outcome, Outcome.NotRun);
  assert.is(site.countOrders(410), 0);
  for (const service of site.services.values()) service.faults.refuseRuns = 0;
  await waitUntil(
    "the claim is released",
    async () => (await site.order(a2, 410, ticket)).status === 200,
  );
  assert.is(site.countOrders(410), 1);
});

test.run();
