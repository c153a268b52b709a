/** Customers' quotas over two gateways and a configuration that changes in use. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();

function createTenant(name: string, quota: object): object {
  return { name, api_keys: [`key-${name}`], ...quota };
}

const TOKENS = { unit: "tokens", plain_tokens: 200 };

test.before(async () => {
  harness.tenants = [
    createTenant("free", {}),
    createTenant("tokens", { ...TOKENS, rate_per_s: 5_000, burst: 5_000 }),
    createTenant("lowered", { ...TOKENS, rate_per_s: 1e9, burst: 1e9 }),
    createTenant("bad", { ...TOKENS, rate_per_s: 1_000, burst: 1_000 }),
  ];
  await harness.start({ gateways: 2, engines: 0, services: 2 });
  // Gateways admit without knowing the rates of others shortly after their start.
  await waitMs(3_000);
});
test.after(() => harness.stop());

async function callMany(
  customer: string,
  count: number,
  tokens: string,
): Promise<{ id: string; status: number; retryAfter: number }[]> {
  const ids = Array.from(
    { length: count },
    (_, index) => `${customer}-${tokens}-${index}-${performance.now()}`,
  );
  return await Promise.all(ids.map(async (id, index) => {
    const { status, headers } = await harness.call("/safe/1", {
      gateway: index % 2,
      id,
      headers: { "X-Key": `key-${customer}`, "X-Token-Counts": tokens },
    });
    return { id, status, retryAfter: Number(headers["retry-after"]) };
  }));
}

test("a customer without a quota is served as before", async () => {
  const answers = await callMany("free", 40, "900000,100000");
  assert.ok(answers.every(({ status }) => status === 200));
});

test("requests over the quota of both gateways together get 429 and a Retry-After that holds, and are not run", async () => {
  const answers = await callMany("tokens", 40, "9000,1000");
  const served = answers.filter(({ status }) => status === 200);
  const rejected = answers.filter(({ status }) => status === 429);
  assert.is(served.length + rejected.length, 40);
  // The quota itself is one request, the platform allows 110,000 beyond it.
  assert.ok(served.length >= 1 && served.length <= 16, `${served.length}`);
  for (const { id, retryAfter } of rejected) {
    assert.is(harness.countRuns(id), 0);
    assert.ok(retryAfter > 0, `${retryAfter}`);
  }
  const soonestS = Math.min(...rejected.map(({ retryAfter }) => retryAfter));
  await waitMs(soonestS * 1_000);
  const [again] = await callMany("tokens", 1, "9000,1000");
  assert.is(again?.status, 200);
});

test("token counts that are no numbers cost as much as none and change no other request's part", async () => {
  for (const tokens of ["many,few", "-5,-7", "NaN,Infinity", ","]) {
    const [answer] = await callMany("bad", 1, tokens);
    assert.is(answer?.status, 200, tokens);
  }
  const [huge] = await callMany("bad", 1, "1e300,1");
  assert.is(huge?.status, 429);
  assert.ok(Number.isNaN(huge?.retryAfter));
  const [answer] = await callMany("bad", 1, "100,100");
  assert.is(answer?.status, 200);
});

test("a limit that is lowered in use applies at once, a raised one too", async () => {
  const before = await callMany("lowered", 20, "40000,10000");
  assert.ok(before.every(({ status }) => status === 200));
  harness.tenants = [
    createTenant("lowered", { ...TOKENS, rate_per_s: 100, burst: 100 }),
  ];
  harness.publish();
  await harness.waitForView();
  const after = await callMany("lowered", 20, "40000,10000");
  const served = after.filter(({ status }) => status === 200);
  assert.ok(served.length <= 2, `${served.length}`);
  harness.tenants = [createTenant("lowered", {})];
  harness.publish();
  await harness.waitForView();
  const unlimited = await callMany("lowered", 20, "40000,10000");
  assert.ok(unlimited.every(({ status }) => status === 200));
});

test.run();
