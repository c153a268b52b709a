/**
 * Requests that waited at an engine that had just restarted, whose owner could
 * not order a load yet, and were then refused, though other engines had room.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
/** Number of adapters in the harness's configuration. */
const ADAPTER_COUNT = 30;
/** Objective of the harness's routes until the first event. */
const LATENCY_OBJECTIVE_MS = 800;
/** Time from the restart to the first request: the owner has read a report. */
const RESTART_MS = 200;

test.before(async () => {
  // Until its base model is loaded, an engine takes no other order.
  harness.modelLoadS = 4;
  await harness.start({ gateways: 3, engines: 3, services: 1 });
});
test.after(() => harness.stop());

test("a request for an adapter of a restarted engine is refused while others have room", async () => {
  const [engine] = harness.engines;
  if (!engine) throw new Error("expected an engine");
  const adapters: string[] = [];
  for (let index = 1; index <= ADAPTER_COUNT; index += 1) {
    const id = `home-${index}`;
    await harness.call("/brief/1", {
      id,
      headers: { "X-Model": `m/a${index}` },
    });
    const isHome = engine.receivedRequests.some((seen) => seen.id === id);
    if (isHome && adapters.length < 2) adapters.push(`a${index}`);
  }
  assert.is(adapters.length, 2);
  engine.restart();
  // The engine's entry is older than its restart.
  await waitMs(RESTART_MS);
  const startedAt = performance.now();
  const answers = await Promise.all(
    adapters.map((adapter) =>
      harness.call("/brief/1", { headers: { "X-Model": `m/${adapter}` } })
    ),
  );
  for (const { status, body, endedAt } of answers) {
    assert.is(status, 200, body);
    const elapsedMs = endedAt - startedAt;
    assert.ok(elapsedMs < LATENCY_OBJECTIVE_MS, `${elapsedMs} ms`);
  }
});

test.run();
