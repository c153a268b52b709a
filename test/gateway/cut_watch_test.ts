/**
 * The store cuts watches that wait, as it may at any time, in the moment in
 * which a replica is removed: that is no outage, and the replica gets no request
 * after the time within which it has to be left alone.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const GATEWAYS = 2;
/** Time within which a removed replica has to be left alone. */
const LEAVING_MS = 2_000;
/** How long the watch had waited: over what counts as an outage. */
const WATCHED_MS = 1_300;
const CALL_INTERVAL_MS = 30;

test.before(() =>
  harness.start({ gateways: GATEWAYS, engines: 0, services: 2 })
);
test.after(() => harness.stop());

/** Calls each gateway in turn until the time is over. */
async function callFor(durationMs: number): Promise<void> {
  const endsAt = performance.now() + durationMs;
  for (let count = 0; performance.now() < endsAt; count += 1) {
    await harness.call("/safe/1", { gateway: count % GATEWAYS });
    await waitMs(CALL_INTERVAL_MS);
  }
}

for (const round of [1, 2, 3]) {
  test(`round ${round}: a replica that is removed while a long watch is cut is left alone in time`, async () => {
    const replica = new FakePlatformReplica(`i-leaving${round}`, false);
    await replica.start();
    harness.services.push(replica);
    harness.register(replica);
    await harness.waitFor(async () => {
      await callFor(200);
      return replica.receivedRequests.length > 0;
    });
    await callFor(WATCHED_MS);
    harness.store.cutWatches();
    harness.store.remove(`servers/${replica.id}`);
    await callFor(LEAVING_MS);
    const received = replica.receivedRequests.length;
    await callFor(LEAVING_MS);
    assert.is(replica.receivedRequests.length, received);
  });
}

test.run();
