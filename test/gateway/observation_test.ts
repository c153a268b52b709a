/**
 * Which engines a gateway looks at before it knows its peers: a fleet of hundreds
 * starts at once, and each of them reads the reports of the engines nearby only.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const distant = new FakePlatformReplica("i-distant", true);
/** Time from the start in which peers are not known yet. */
const UNSETTLED_MS = 2_000;

test.before(async () => {
  distant.failureDomain = "zone-b";
  await distant.start();
  harness.store.put(`servers/${distant.id}`, distant.describe("briefs"));
});
test.after(async () => {
  await harness.stop();
  distant.stop();
});

test("a gateway that has just started looks at the engines nearby, at others only once nobody else does", async () => {
  const started = harness.start({ gateways: 1, engines: 1, services: 1 });
  await waitMs(UNSETTLED_MS);
  assert.is(distant.reportsRead, 0);
  assert.ok((harness.engines[0]?.reportsRead ?? 0) > 0);
  await started;
  await harness.waitFor(() => distant.reportsRead > 0);
});

test.run();
