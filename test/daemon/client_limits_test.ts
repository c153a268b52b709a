/**
 * Clients that pipeline requests without reading responses, or that hold
 * connections, must leave a daemon alive, within its memory and its descriptors,
 * and able to serve.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitUntil } from "../../scripts/fleet.ts";
import { Site } from "../../scripts/site.ts";
import { parseSocketAddress } from "../../src/core/socket_address.ts";
import {
  ClientCrowd,
  formatPipelinedRequests,
  HoldingKind,
  readStatus,
} from "../client_crowd.ts";
import type { MeasuredProcess } from "../measured_process.ts";
import { startMeasuredDaemon } from "./measured_daemon.ts";

const DOMAIN = "hobart-a";
const DAEMON = `entry-${DOMAIN}-1`;

let site: Site;
let daemon: MeasuredProcess;
let crowd: ClientCrowd;

test.before(async () => {
  site = new Site({
    domains: [{ name: DOMAIN, daemons: 1, engines: 1, services: 1 }],
  });
  await site.startFakes();
});
test.after(() => site.stop());
test.before.each(async () => {
  crowd = new ClientCrowd();
  daemon = startMeasuredDaemon(site, { id: DAEMON, failureDomain: DOMAIN });
  await waitUntil("the daemon serves", isReady);
  await site.waitUntilOwned([DAEMON]);
});
test.after.each(() => {
  crowd.leave();
  daemon.stop();
});

async function isReady(): Promise<boolean> {
  try {
    const { operators } = site.fleet.getDaemon(DAEMON);
    const answer = fetch(`http://${operators}/readyz`);
    return await readStatus(answer) === 200;
  } catch {
    return false;
  }
}

/**
 * Checks that the daemon lives within its bounds and serves, while the crowd is
 * still connected.
 */
async function checkDaemon(): Promise<void> {
  assert.ok(daemon.isAlive, "the daemon's process ended");
  const answer = site.call(DAEMON, "adapter-0");
  assert.is(await readStatus(answer), 200, "an ordinary request");
  assert.ok(await isReady(), "the readiness check");
  assert.ok(daemon.isAlive, "the daemon's process ended");
  daemon.checkPeaks();
}

const requests = formatPipelinedRequests({
  servedPath: "/v1/chat/completions",
});
const authorized = formatPipelinedRequests({
  servedPath: "/v1/chat/completions",
  headers: "Authorization: Bearer derwent-test-token\r\n",
});
const pipelined = {
  ...requests,
  "with a customer's token and bodies": authorized["with bodies"] ?? "",
};
for (const [name, request] of Object.entries(pipelined)) {
  test(`the daemon outlives pipelined requests ${name}`, async () => {
    await crowd.pipeline(getTarget("callers"), request);
    await checkDaemon();
  });
}

for (const kind of Object.values(HoldingKind)) {
  test(`the daemon outlives ${kind}`, async () => {
    await crowd.hold(getTarget("callers"), kind);
    await checkDaemon();
  });
}

test("the daemon outlives pipelined requests at the port: operators", async () => {
  await crowd.pipeline(
    getTarget("operators"),
    "GET /status HTTP/1.1\r\nHost: entry\r\n\r\n",
  );
  await checkDaemon();
});

for (const port of ["operators", "peers"] as const) {
  for (const kind of [HoldingKind.IncompleteHead, HoldingKind.Silent]) {
    test(`the daemon outlives ${kind} at the port: ${port}`, async () => {
      await crowd.hold(getTarget(port), kind);
      await checkDaemon();
    });
  }
}

function getTarget(
  port: "callers" | "operators" | "peers",
): { host: string; port: number } {
  return parseSocketAddress(site.fleet.getDaemon(DAEMON)[port]);
}

test.run();
