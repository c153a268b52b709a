/**
 * Several gateways: configuration changes and leaving upstreams take effect on
 * all of them, each engine has one owner, a graceful stop loses no request, and
 * an outage of the store is survived.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness, TERM_MS } from "./gateway_harness.ts";

const GATEWAYS = 3;
/**
 * The platform's time limits: until a version is in force, until a leaving
 * replica gets no requests.
 */
const APPLY_MS = 2_000;
const DRAIN_MS = 2_000;

const harness = new GatewayHarness();

test.before(() =>
  harness.start({ gateways: GATEWAYS, engines: 3, services: 2 })
);
test.after(() => harness.stop());

function createRoute(name: string): object {
  return {
    name,
    host: "mill.example",
    prefix: `/${name}/`,
    kind: "safe",
    timeout_ms: 1_000,
    target_latency_ms: 100,
    priority: 1,
    service: "orders",
    attempts: 1,
  };
}

async function getStatuses(path: string): Promise<number[]> {
  const answers = await Promise.all(
    Array.from(
      { length: GATEWAYS },
      (_, gateway) => harness.call(path, { gateway }),
    ),
  );
  return answers.map((answer) => answer.status);
}

test("each engine accepts orders of one owner only, with rising fencing numbers", async () => {
  for (let round = 0; round < 12; round += 1) {
    const answer = await harness.call("/brief/1", {
      gateway: round % GATEWAYS,
      headers: { "X-Model": `m/a${round}` },
    });
    assert.is(answer.status, 200);
  }
  for (const engine of harness.engines) {
    const accepted = engine.receivedOrders.filter((order) =>
      order.status < 300
    );
    assert.is(new Set(accepted.map((order) => order.holder)).size, 1);
    const fences = accepted.map((order) => order.fence);
    assert.equal(fences, [...fences].sort((a, b) => a - b));
    assert.ok(engine.adapters.size <= 2);
  }
});

test("a configuration version is in force on every gateway within the time limit", async () => {
  harness.publish([createRoute("added")]);
  await waitMs(APPLY_MS / 2);
  assert.equal(await getStatuses("/added/1"), [200, 200, 200]);
  harness.publish();
  await waitMs(APPLY_MS / 2);
  assert.equal(await getStatuses("/added/1"), [404, 404, 404]);
});

test("a configuration version is in force in time even if the store rejects watches because the history is gone", async () => {
  harness.store.fault = "historyGone";
  harness.publish([createRoute("compacted")]);
  await waitMs(APPLY_MS);
  assert.equal(await getStatuses("/compacted/1"), [200, 200, 200]);
  harness.store.fault = "none";
});

test("a leaving replica gets no requests after the time limit, and is used once it registers again", async () => {
  const [leaving] = harness.services;
  if (!leaving) throw new Error("expected a service");
  harness.register(leaving, "draining");
  await waitMs(DRAIN_MS / 2);
  const before = leaving.receivedRequests.length;
  for (let index = 0; index < 9; index += 1) {
    await harness.call("/safe/1", { gateway: index % GATEWAYS });
  }
  assert.is(leaving.receivedRequests.length, before);
  harness.register(leaving);
  await harness.waitFor(async () => {
    await harness.call("/safe/1");
    return leaving.receivedRequests.length > before;
  });
});

test("a malformed entry in the store neither stops a gateway nor is used as an upstream", async () => {
  harness.store.put("servers/i-forged", "no \u0000 JSON");
  harness.store.put("servers/i-forged2", { service: "orders", state: "ready" });
  await waitMs(500);
  assert.equal(await getStatuses("/safe/1"), [200, 200, 200]);
});

test("a replica that restarts empty under the same id is loaded again", async () => {
  const [engine] = harness.engines;
  if (!engine) throw new Error("expected an engine");
  engine.restart();
  harness.register(engine);
  await waitMs(300);
  for (let round = 0; round < 8; round += 1) {
    const answer = await harness.call("/brief/1", {
      headers: { "X-Model": `m/b${round}` },
    });
    assert.is(answer.status, 200, answer.body);
  }
  await harness.waitFor(() => engine.models.length === 1);
});

test("gateways go on with the last known state while the store does not answer, and catch up afterwards", async () => {
  harness.store.fault = "silent";
  await waitMs(3_500);
  assert.equal(await getStatuses("/safe/1"), [200, 200, 200]);
  assert.equal(await getStatuses("/brief/1"), [200, 200, 200]);
  harness.store.fault = "none";
  harness.publish([createRoute("returned")]);
  await harness.waitFor(async () =>
    (await getStatuses("/returned/1")).every((status) => status === 200)
  );
});

test("a replica that registers under a new id is used by all gateways", async () => {
  const added = new FakePlatformReplica("i-added", false);
  await added.start();
  harness.services.push(added);
  harness.register(added);
  await harness.waitFor(async () => {
    await getStatuses("/safe/1");
    return added.receivedRequests.length >= GATEWAYS;
  });
});

test("a graceful stop finishes the requests already read and hands the engines over", async () => {
  for (const engine of harness.engines) engine.behaviours = ["slow"];
  const running = harness.call("/brief/1", {
    gateway: 2,
    headers: { "X-Token-Counts": "10,10", "X-Deadline-Ms": "2990" },
  });
  await waitMs(200);
  const stopping = harness.gateways[2]?.stop();
  await waitMs(20);
  assert.not(await harness.isReady(2));
  const answer = await running;
  assert.ok(answer.isComplete);
  await stopping;
  for (const engine of harness.engines) engine.behaviours = [];
  await waitMs(TERM_MS);
  for (let round = 0; round < 8; round += 1) {
    const served = await harness.call("/brief/1", {
      gateway: round % 2,
      headers: { "X-Model": `m/c${round}` },
    });
    assert.is(served.status, 200);
  }
  harness.gateways.pop();
});

test.run();
