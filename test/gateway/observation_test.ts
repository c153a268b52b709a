/**
 * Which engines' reports a gateway reads before it knows its peers. When a
 * fleet of hundreds starts at once, each gateway reads only the reports of the
 * engines in its own failure domain.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const distant = new FakePlatformReplica("i-distant", true);
/** Time after the start during which the peers are not known yet. */
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

test("a recently started gateway reads the reports of engines in its own failure domain, and of others once no other gateway does", async () => {
  const started = harness.start({ gateways: 1, engines: 1, services: 1 });
  await waitMs(UNSETTLED_MS);
  assert.is(distant.reportReadCount, 0);
  assert.ok((harness.engines[0]?.reportReadCount ?? 0) > 0);
  await started;
  await harness.waitFor(() => distant.reportReadCount > 0);
});

test.run();
