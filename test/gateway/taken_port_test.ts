/**
 * Ports that are taken when a gateway's process starts, as they are while the
 * process before it ends: it starts once they are free, and without those that
 * serve no caller.
 */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayHarness } from "./gateway_harness.ts";
import { GatewayProcess } from "./gateway_process.ts";

const harness = new GatewayHarness();
const IP = "127.0.0.1";
/** Time for which a port is taken after the process was started. */
const TAKEN_MS = 3_000;

test.before(() => harness.start({ gateways: 0, engines: 0, services: 1 }));
test.after(() => harness.stop());

/** Takes the port; returns what frees it. */
async function takePort(port: number): Promise<() => void> {
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => server.listen(port, IP, resolve));
  return () => server.close();
}

async function takeDatagramPort(port: number): Promise<() => void> {
  const socket = createSocket("udp4");
  await new Promise<void>((resolve) => socket.bind(port, IP, resolve));
  return () => socket.close();
}

/** Offsets of the ports from the first, as the harness's settings have them. */
const ROWS = [
  { name: "callers'", offset: 0, take: takePort, isNeeded: true },
  { name: "readiness", offset: 1, take: takePort, isNeeded: true },
  { name: "peers'", offset: 2, take: takePort, isNeeded: true },
  {
    name: "peers' datagram",
    offset: 3,
    take: takeDatagramPort,
    isNeeded: true,
  },
  { name: "relay", offset: 3, take: takePort, isNeeded: false },
  { name: "metrics", offset: 4, take: takePort, isNeeded: false },
];

for (const { name, offset, take, isNeeded } of ROWS) {
  const condition = isNeeded ? "once it is free" : "though it stays taken";
  test(`the ${name} port is taken: the process starts ${condition}`, async () => {
    const free = await take(harness.getCallerPort() + offset);
    if (isNeeded) setTimeout(free, TAKEN_MS);
    const gateway = await GatewayProcess.start(harness);
    assert.is(gateway.child.exitCode, null);
    assert.is((await harness.call("/unsafe/1")).status, 200);
    if (!isNeeded) free();
    const exit = once(gateway.child, "exit");
    gateway.stop();
    await exit;
  });
}

test.run();
