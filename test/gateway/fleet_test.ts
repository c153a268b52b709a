/**
 * Several gateways: configuration and leaving upstreams in force everywhere, one
 * holder an engine, stops that lose nothing, a store that goes away.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayBench, TERM_MS } from "./gateway_bench.ts";

const GATEWAYS = 3;
/** The platform's bounds: a version in force, a leaving replica unused. */
const APPLY_MS = 2_000;
const DRAIN_MS = 2_000;

const bench = new GatewayBench();

test.before(() => bench.start({ gateways: GATEWAYS, engines: 3, services: 2 }));
test.after(() => bench.stop());

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
      (_, gateway) => bench.call(path, { gateway }),
    ),
  );
  return answers.map((answer) => answer.status);
}

test("each engine takes orders from one holder, with numbers that rise", async () => {
  for (let round = 0; round < 12; round += 1) {
    const answer = await bench.call("/brief/1", {
      gateway: round % GATEWAYS,
      headers: { "X-Model": `m/a${round}` },
    });
    assert.is(answer.status, 200);
  }
  for (const engine of bench.engines) {
    const accepted = engine.orders.filter((order) => order.status < 300);
    assert.is(new Set(accepted.map((order) => order.holder)).size, 1);
    const fences = accepted.map((order) => order.fence);
    assert.equal(fences, [...fences].sort((a, b) => a - b));
    assert.ok(engine.adapters.size <= 2);
  }
});

test("a version is in force on every gateway within its bound", async () => {
  bench.publish([createRoute("added")]);
  await waitMs(APPLY_MS / 2);
  assert.equal(await getStatuses("/added/1"), [200, 200, 200]);
  bench.publish();
  await waitMs(APPLY_MS / 2);
  assert.equal(await getStatuses("/added/1"), [404, 404, 404]);
});

test("a version is in force also when the store turns the readers' watches away", async () => {
  bench.store.fault = "historyGone";
  bench.publish([createRoute("compacted")]);
  await waitMs(APPLY_MS);
  assert.equal(await getStatuses("/compacted/1"), [200, 200, 200]);
  bench.store.fault = "none";
});

test("a leaving replica gets nothing after its bound, one that registers is used", async () => {
  const [leaving] = bench.services;
  if (!leaving) throw new Error("expected a service");
  bench.register(leaving, "draining");
  await waitMs(DRAIN_MS / 2);
  const before = leaving.seen.length;
  for (let index = 0; index < 9; index += 1) {
    await bench.call("/safe/1", { gateway: index % GATEWAYS });
  }
  assert.is(leaving.seen.length, before);
  bench.register(leaving);
  await bench.waitFor(async () => {
    await bench.call("/safe/1");
    return leaving.seen.length > before;
  });
});

test("an entry of another writer neither stops nor serves anything", async () => {
  bench.store.put("servers/i-forged", "no \u0000 JSON");
  bench.store.put("servers/i-forged2", { service: "orders", state: "ready" });
  await waitMs(500);
  assert.equal(await getStatuses("/safe/1"), [200, 200, 200]);
});

test("a replica that starts empty under its id is loaded again", async () => {
  const [engine] = bench.engines;
  if (!engine) throw new Error("expected an engine");
  engine.restart();
  bench.register(engine);
  await waitMs(300);
  for (let round = 0; round < 8; round += 1) {
    const answer = await bench.call("/brief/1", {
      headers: { "X-Model": `m/b${round}` },
    });
    assert.is(answer.status, 200, answer.body);
  }
  await bench.waitFor(() => engine.models.length === 1);
});

test("while the store is silent, what is known goes on", async () => {
  bench.store.fault = "silent";
  await waitMs(3_500);
  assert.equal(await getStatuses("/safe/1"), [200, 200, 200]);
  assert.equal(await getStatuses("/brief/1"), [200, 200, 200]);
  bench.store.fault = "none";
  bench.publish([createRoute("returned")]);
  await bench.waitFor(async () =>
    (await getStatuses("/returned/1")).every((status) => status === 200)
  );
});

test("a replica that registers under a new id is used by all", async () => {
  const added = new FakePlatformReplica("i-added", false);
  await added.start();
  bench.services.push(added);
  bench.register(added);
  await bench.waitFor(async () => {
    await getStatuses("/safe/1");
    return added.seen.length >= GATEWAYS;
  });
});

test("a stop finishes what was read and hands its engines over", async () => {
  for (const engine of bench.engines) engine.behaviours = ["slow"];
  const running = bench.call("/brief/1", {
    gateway: 2,
    headers: { "X-Token-Counts": "10,10", "X-Deadline-Ms": "2990" },
  });
  await waitMs(200);
  const stopping = bench.gateways[2]?.stop();
  await waitMs(20);
  assert.not(await bench.isReady(2));
  const answer = await running;
  assert.ok(answer.isComplete);
  await stopping;
  for (const engine of bench.engines) engine.behaviours = [];
  await waitMs(TERM_MS);
  for (let round = 0; round < 8; round += 1) {
    const served = await bench.call("/brief/1", {
      gateway: round % 2,
      headers: { "X-Model": `m/c${round}` },
    });
    assert.is(served.status, 200);
  }
  bench.gateways.pop();
});

test.run();
