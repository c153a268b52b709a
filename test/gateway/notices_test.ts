/**
 * What replicas announce in their response headers, tested with a whole
 * gateway: a replica that shuts down gets no more requests from the gateway,
 * one that asks to back off gets none for the time it named, and refused
 * callers are told when to retry.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type {
  FakePlatformReplica,
  ReplicaBehaviour,
} from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
/** Time within which the gateway knows a published entry. */
const PROPAGATION_MS = 700;

test.before(() => harness.start({ gateways: 1, engines: 2, services: 2 }));
test.after(() => harness.stop());

function getService(index: number): FakePlatformReplica {
  const service = harness.services[index];
  if (!service) throw new Error(`expected service ${index}, got none`);
  return service;
}

async function callAll(path: string, count: number): Promise<number[]> {
  const answers = await Promise.all(
    Array.from({ length: count }, () => harness.call(path)),
  );
  return answers.map((answer) => answer.status);
}

/**
 * Sends requests until the check holds: either of the two replicas may get one.
 */
async function callServiceUntil(check: () => boolean): Promise<void> {
  for (let call = 0; call < 60 && !check(); call += 1) {
    await harness.call("/safe/1");
  }
  assert.ok(check(), `expected ${check} within 60 calls`);
}

for (const where of ["a response", "a refusal", "a failure"] as const) {
  test(`a replica that announces its shutdown in ${where} gets no more requests until it has restarted`, async () => {
    const leaving = getService(0);
    leaving.isLeaving = true;
    const fault = {
      "a response": "answer",
      "a refusal": "shed",
      "a failure": "fail",
    } as const;
    leaving.behaviours = [fault[where]];
    await callServiceUntil(() => leaving.behaviours.length === 0);
    const seenBefore = leaving.receivedRequests.length;
    // The store still lists the replica as ready, and publishes that again.
    harness.register(leaving);
    await waitMs(PROPAGATION_MS);
    assert.equal(await callAll("/safe/1", 8), Array(8).fill(200));
    assert.is(leaving.receivedRequests.length, seenBefore);
    leaving.isLeaving = false;
    leaving.restart();
    harness.register(leaving);
    await waitMs(PROPAGATION_MS);
    await callAll("/safe/1", 12);
    assert.ok(leaving.receivedRequests.length > seenBefore);
  });
}

/** Returns the engine that ran the request. */
function getRunner(requestId: string): FakePlatformReplica {
  const runner = harness.engines.find((engine) =>
    engine.receivedRequests.some((seen) => seen.id === requestId)
  );
  if (!runner) throw new Error(`expected an engine that ran ${requestId}`);
  return runner;
}

test("an engine that announces its shutdown gets no more requests, and its current stream is completed", async () => {
  await harness.call("/brief/1", { id: "before-leaving" });
  const leaving = getRunner("before-leaving");
  leaving.isLeaving = true;
  const answer = await harness.call("/brief/1");
  assert.ok(answer.isComplete);
  const seenBefore = leaving.receivedRequests.length;
  for (let call = 0; call < 3; call += 1) {
    const answer = await harness.call("/brief/1");
    assert.is(answer.status, 200);
    assert.ok(answer.isComplete);
  }
  assert.is(leaving.receivedRequests.length, seenBefore);
  leaving.isLeaving = false;
  leaving.restart();
  leaving.models = ["m"];
  harness.register(leaving);
  await waitMs(PROPAGATION_MS);
});

test("a replica that asks to back off gets no request for the time it named, while others serve", async () => {
  const behaviours: ReplicaBehaviour[] = ["shed"];
  for (const service of harness.services) {
    service.refusalCount = 0;
    service.retryAfterS = 1.2;
    service.behaviours = behaviours;
  }
  await harness.call("/safe/1");
  const busy = harness.services.find((service) => service.refusalCount === 1);
  if (!busy) throw new Error("expected one replica that refused");
  const backedOffAt = performance.now();
  const seenBefore = busy.receivedRequests.length;
  while (performance.now() - backedOffAt < 1_000) {
    assert.is((await harness.call("/safe/1")).status, 200);
  }
  assert.is(busy.receivedRequests.length, seenBefore);
  await waitMs(300);
  await callServiceUntil(() => busy.receivedRequests.length > seenBefore);
  for (const service of harness.services) service.retryAfterS = undefined;
});

test("if all replicas ask to back off, callers are refused at once with the shortest remaining time", async () => {
  const times = [1.6, 0.7];
  harness.services.forEach((service, index) => {
    service.retryAfterS = times[index];
    service.behaviours = ["shed"];
  });
  const haveBothRejected = () =>
    harness.services.every((service) => service.behaviours.length === 0);
  await callServiceUntil(haveBothRejected);
  const seenBefore = harness.services.map((service) =>
    service.receivedRequests.length
  );
  const startedAt = performance.now();
  const answer = await harness.call("/safe/1", {
    headers: { "X-Deadline-Ms": "9000" },
  });
  assert.is(answer.status, 503);
  assert.ok(performance.now() - startedAt < 150);
  const retryAfterMs = 1_000 * Number(answer.headers["retry-after"]);
  assert.ok(retryAfterMs > 300 && retryAfterMs < 1_100, String(retryAfterMs));
  const seen = harness.services.map((service) =>
    service.receivedRequests.length
  );
  assert.equal(seen, seenBefore);
  await waitMs(1_700);
  assert.is((await harness.call("/safe/1")).status, 200);
  for (const service of harness.services) service.retryAfterS = undefined;
});

test("no permit is requested for an engine that asked to back off, and its callers are served elsewhere", async () => {
  await harness.call("/brief/1", { id: "home" });
  const home = getRunner("home");
  home.retryAfterS = 1.5;
  home.behaviours = ["shed"];
  assert.is((await harness.call("/brief/1")).status, 200);
  assert.is(home.behaviours.length, 0);
  const seenBefore = home.receivedRequests.length;
  for (let call = 0; call < 3; call += 1) {
    const answer = await harness.call("/brief/1");
    assert.is(answer.status, 200);
    assert.ok(answer.isComplete);
  }
  assert.is(home.receivedRequests.length, seenBefore);
  home.retryAfterS = undefined;
});

test.run();
