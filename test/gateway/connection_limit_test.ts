/** A gateway whose callers could take all descriptors must not start. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  computeMaxCallerSetting,
  computeMaxConnections,
  computeMaxUpstreamConnections,
  type LimitedPort,
  readDescriptorLimit,
} from "../../src/daemon/descriptor_limit.ts";
import { gatewaySettingsSchema } from "../../src/settings/gateway_settings.ts";
import { GatewayHarness } from "./gateway_harness.ts";

/** Descriptors of the smallest machine. */
const SMALLEST_LIMIT = 2_212;
/** Part of the descriptors that is left for peers, the store and files. */
const MIN_FREE_SHARE = 0.05;
const GATEWAY_PORTS: LimitedPort[] = [
  "callers",
  "relays",
  "peers",
  "readiness",
  "metrics",
];

test("the shares of the ports and of upstreams leave descriptors free", () => {
  const used = GATEWAY_PORTS
    .map((port) => computeMaxConnections(port, SMALLEST_LIMIT))
    .reduce((total, each) => total + each, 0) +
    2 * computeMaxUpstreamConnections(SMALLEST_LIMIT);
  assert.ok(used <= (1 - MIN_FREE_SHARE) * SMALLEST_LIMIT, String(used));
});

test("more connections of callers than half of the descriptors are refused at the start", async () => {
  const harness = new GatewayHarness();
  await harness.start({ gateways: 0, engines: 0, services: 0 });
  const most = computeMaxCallerSetting(readDescriptorLimit());
  harness.maxCallerConnections = most + 1;
  const gateway = harness.createGateway(0);
  const error = await gateway.start().then(() => "", String);
  assert.match(error, `callers.maxConnections: expected at most ${most}`);
  await gateway.stop();
  await harness.stop();
});

test("limits of no size are no valid settings", () => {
  const clients = { maxPipelinedRequests: 0, unreadTimeoutMs: -1 };
  const { error } = gatewaySettingsSchema.safeParse({ clients });
  const paths = error?.issues.map(({ path }) => path.join("."));
  assert.ok(paths?.includes("clients.maxPipelinedRequests"));
  assert.ok(paths?.includes("clients.unreadTimeoutMs"));
});

test.run();
