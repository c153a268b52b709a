/** Plain services whose upstreams report their load, with and without a pace. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
test.before(() => harness.start({ gateways: 1, engines: 0, services: 3 }));
test.after(() => harness.stop());

const REQUESTS = 60;

/** Sends requests one after the other; returns the runs at each upstream. */
async function countRuns(): Promise<number[]> {
  const before = harness.services.map((each) => each.receivedRequests.length);
  for (let index = 0; index < REQUESTS; index += 1) {
    assert.is((await harness.call("/safe/x")).status, 200);
  }
  return harness.services.map((each, index) =>
    each.receivedRequests.length - (before[index] ?? 0)
  );
}

function setServerLoads(...loads: string[]): void {
  harness.services.forEach((each, index) => each.serverLoad = loads[index]);
}

test("without a fourth figure the least loaded upstream by its report gets the requests, as before", async () => {
  setServerLoads("0,0,8", "1,0,8", "1,0,8");
  await countRuns();
  assert.equal(await countRuns(), [REQUESTS, 0, 0]);
});

test("a slow upstream gets few requests, and the others share the rest", async () => {
  setServerLoads("1,0,8,800", "1,0,8,100", "1,0,8,100");
  // Reports without a pace are used for a second.
  await waitMs(1_100);
  await countRuns();
  const [slow = 0, second = 0, third = 0] = await countRuns();
  assert.ok(slow <= 2, `${slow} of ${REQUESTS}`);
  assert.ok(second >= 15 && third >= 15, `${second} and ${third}`);
});

test("an upstream that was slow gets its share again soon after it is fast", async () => {
  setServerLoads("1,0,8,100", "1,0,8,800", "1,0,8,100");
  let regained = 0;
  for (let round = 0; round < 30 && regained < 15; round += 1) {
    await waitMs(500);
    [regained = 0] = await countRuns();
  }
  assert.ok(regained >= 15, `${regained} of ${REQUESTS}`);
});

test.run();
