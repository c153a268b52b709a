/** Turns of two customers whose requests wait for one engine behind two gateways. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

/** Slots of the engine. */
const SLOTS = 8;
const RUN_MS = 300;

const harness = new GatewayHarness();

test.before(async () => {
  harness.tenants = [
    { name: "large", api_keys: ["key-large"] },
    { name: "small", api_keys: ["key-small"] },
  ];
  // All requests can wait until they are served.
  harness.routeOverrides = {
    brief: { timeout_ms: 20_000, target_latency_ms: 15_000 },
  };
  await harness.start({ gateways: 2, engines: 1, services: 0 });
});
test.after(() => harness.stop());

async function callAll(customer: string, count: number): Promise<number[]> {
  return await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const id = `${customer}-${index}`;
      harness.scriptAnswers(id, [{
        headers: { "Content-Type": "text/event-stream" },
        framing: "chunked",
        body: "id: 1\ndata: x\n\n",
        delayMs: RUN_MS,
        end: "close",
      }]);
      const { status } = await harness.call("/brief/1", {
        gateway: index % 2,
        id,
        headers: { "X-Key": `key-${customer}`, "X-Deadline-Ms": "20000" },
      });
      return status;
    }),
  );
}

test("a customer's few requests don't wait behind all of another one's", async () => {
  const large = callAll("large", 6 * SLOTS);
  await waitMs(RUN_MS / 2);
  const small = await callAll("small", 2);
  assert.equal(small, [200, 200]);
  assert.ok((await large).every((status) => status === 200));
  const [engine] = harness.engines;
  const ids = engine?.receivedRequests.map(({ id }) => id ?? "") ?? [];
  const after = ids.slice(ids.lastIndexOf("small-1"))
    .filter((id) => id.startsWith("large-"));
  // In the order of arrival none of the large customer's runs would follow.
  assert.ok(after.length >= 2 * SLOTS, `${after.length}`);
  const texts = await Promise.all(harness.gateways.map(async (_, index) => {
    const port = harness.getCallerPort() + 4;
    const page = await fetch(`http://127.0.0.${index + 1}:${port}/metrics`);
    return await page.text();
  }));
  assert.match(
    texts.join("\n"),
    /pistachiohatch_customer_turns_total\{reason="early"\} [1-9]/,
  );
});

test.run();
