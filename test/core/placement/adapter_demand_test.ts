/**
 * Demand for adapters as seen by one host: a few are popular, thousands are
 * rarely requested.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdapterDemand } from "../../../src/core/placement/adapter_demand.ts";

test("steady demand is measured within a few half-lives and decays as fast", () => {
  const demand = new AdapterDemand();
  for (let now = 0; now < 30_000; now += 100) {
    demand.recordRequest(
      { adapterPath: "m/a1", unsharedPromptTokens: 400 },
      now,
    );
  }
  const { requestsPerMs, tokensPerMs } = demand.getRate("m/a1", 30_000);
  assert.ok(Math.abs(requestsPerMs - 0.01) < 0.001, `${requestsPerMs}`);
  assert.ok(Math.abs(tokensPerMs - 4) < 0.4, `${tokensPerMs}`);
  assert.ok(demand.getRate("m/a1", 50_000).requestsPerMs < 0.001);
  assert.is(demand.getRate("m/a2", 30_000).requestsPerMs, 0);
});

test("one or two requests are not significant, however many hosts they are multiplied by", () => {
  const demand = new AdapterDemand();
  demand.recordRequest({ adapterPath: "m/a1", unsharedPromptTokens: 400 }, 0);
  demand.recordRequest({ adapterPath: "m/a1", unsharedPromptTokens: 400 }, 100);
  assert.is(demand.getRate("m/a1", 200).requestsPerMs, 0);
  demand.recordRequest({ adapterPath: "m/a1", unsharedPromptTokens: 400 }, 200);
  demand.recordRequest({ adapterPath: "m/a1", unsharedPromptTokens: 400 }, 300);
  assert.ok(demand.getRate("m/a1", 300).requestsPerMs > 0);
});

test("thousands of rare adapters do not displace a popular one", () => {
  const demand = new AdapterDemand();
  for (let request = 0; request < 20_000; request += 1) {
    const now = request * 5;
    const isRare = request % 10 !== 0;
    const adapterPath = isRare ? `m/rare${request}` : "m/busy";
    demand.recordRequest({ adapterPath, unsharedPromptTokens: 1 }, now);
  }
  const { requestsPerMs } = demand.getRate("m/busy", 100_000);
  assert.ok(requestsPerMs > 0.015, `${requestsPerMs}`);
  assert.is(demand.getRate("m/rare1", 100_000).requestsPerMs, 0);
});

test.run();
