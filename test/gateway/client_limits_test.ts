/**
 * Clients that pipeline requests without reading responses ended the gateway's
 * process at its heap limit, and clients that hold connections took all of its
 * descriptors, so that it reached no upstream.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  ClientCrowd,
  formatPipelinedRequests,
  HoldingKind,
  readStatus,
} from "../client_crowd.ts";
import { MeasuredProcess } from "../measured_process.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const HOST = "127.0.0.1";
/** Offsets of the gateway's ports from that of the callers. */
const PORTS = {
  callers: 0,
  readiness: 1,
  peers: 2,
  relays: 3,
  metrics: 4,
} as const;
/** What each of the smaller ports serves. */
const SERVED_PATHS = {
  readiness: "/-/readyz",
  peers: "/published?set=upstreams&era=0&after=0",
  relays: "/safe/1",
  metrics: "/metrics",
} as const;

const harness = new GatewayHarness();
let gateway: MeasuredProcess;
let crowd: ClientCrowd;

test.before(() => harness.start({ gateways: 0, engines: 0, services: 2 }));
test.after(() => harness.stop());
test.before.each(async () => {
  crowd = new ClientCrowd();
  gateway = MeasuredProcess.start(
    "platform/main.ts",
    harness.describeSettings(0),
  );
  await harness.waitFor(() => harness.isReady(0));
});
test.after.each(() => {
  crowd.leave();
  gateway.stop();
});

function getTarget(port: keyof typeof PORTS): { host: string; port: number } {
  return { host: HOST, port: harness.getCallerPort() + PORTS[port] };
}

/**
 * Checks that the gateway lives within its bounds and serves, while the crowd
 * is still connected.
 */
async function checkGateway(): Promise<void> {
  assert.ok(gateway.isAlive, "the gateway's process ended");
  const answer = harness.call("/safe/1", { body: "ordinary" });
  assert.is(await readStatus(answer), 200, "an ordinary request");
  assert.ok(await harness.isReady(0), "the readiness check");
  assert.ok(gateway.isAlive, "the gateway's process ended");
  gateway.checkPeaks();
}

const requests = formatPipelinedRequests({ servedPath: "/safe/1" });
for (const [name, request] of Object.entries(requests)) {
  test(`the gateway outlives pipelined requests ${name}`, async () => {
    await crowd.pipeline(getTarget("callers"), request);
    await checkGateway();
  });
}

for (const kind of Object.values(HoldingKind)) {
  test(`the gateway outlives ${kind}`, async () => {
    await crowd.hold(getTarget("callers"), kind);
    await checkGateway();
  });
}

for (const port of ["readiness", "peers", "relays", "metrics"] as const) {
  test(`the gateway outlives pipelined requests at the port: ${port}`, async () => {
    const request = `GET ${
      SERVED_PATHS[port]
    } HTTP/1.1\r\nHost: mill.example\r\n\r\n`;
    await crowd.pipeline(getTarget(port), request);
    await checkGateway();
  });

  for (const kind of [HoldingKind.IncompleteHead, HoldingKind.Silent]) {
    test(`the gateway outlives ${kind} at the port: ${port}`, async () => {
      await crowd.hold(getTarget(port), kind);
      await checkGateway();
    });
  }
}

test.run();
