/**
 * Endless streams of small whole events from an upstream took whole turns of the
 * event loop, so that the daemon answered other callers late or not at all.
 */
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitUntil } from "../../scripts/fleet.ts";
import { Site } from "../../scripts/site.ts";
import { parseSocketAddress } from "../../src/core/socket_address.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import type { MeasuredProcess } from "../measured_process.ts";
import { startMeasuredDaemon } from "./measured_daemon.ts";

const DOMAIN = "hobart-a";
const DAEMON = `entry-${DOMAIN}-1`;
const CONCURRENT = 8;
const ORDINARY_REQUESTS = 8;
/** Deadline of an ordinary request, as in the test of the gateway. */
const DEADLINE_MS = 2_000;
/** Time for the streams to begin. */
const SETTLE_MS = 1_000;

let site: Site;
let daemon: MeasuredProcess;
const crowd = new Set<Socket>();

test.before(async () => {
  site = new Site({
    domains: [{ name: DOMAIN, daemons: 1, engines: 1, services: 1 }],
    batchSize: 2 * CONCURRENT,
    tokens: 5,
    tokenIntervalMs: 5,
    maxRunMs: 60_000,
  });
  await site.startFakes();
  const { operators } = site.fleet.getDaemon(DAEMON);
  daemon = startMeasuredDaemon(site, { id: DAEMON, failureDomain: DOMAIN });
  await waitUntil("the daemon serves", async () => {
    try {
      return (await fetch(`http://${operators}/readyz`)).status === 200;
    } catch {
      return false;
    }
  });
  await site.waitUntilOwned([DAEMON]);
});
test.after(async () => {
  for (const socket of crowd) socket.destroy();
  daemon.stop();
  await site.stop();
});

interface Reader {
  isClosed: boolean;
  receivedBytes: number;
}

function openStream(): Reader {
  const { host, port } = parseSocketAddress(
    site.fleet.getDaemon(DAEMON).callers,
  );
  const reader: Reader = { isClosed: false, receivedBytes: 0 };
  const socket = connect(port, host);
  crowd.add(socket);
  socket.on("error", () => {});
  socket.on("data", (bytes) => reader.receivedBytes += bytes.length);
  socket.once("close", () => reader.isClosed = true);
  const body = JSON.stringify({
    model: "adapter-0",
    stream: true,
    messages: [{ role: "user", content: "x" }],
  });
  socket.write(
    "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n" +
      `Authorization: Bearer ${site.token}\r\n` +
      `Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
  return reader;
}

test(`ordinary requests are answered beside ${CONCURRENT} endless streams`, async () => {
  await site.call(DAEMON, "adapter-0");
  site.getEngine().faults.nextRuns = Array.from(
    { length: CONCURRENT },
    () => ({ kind: "endlessEvents" as const }),
  );
  const readers = Array.from({ length: CONCURRENT }, openStream);
  await waitMs(SETTLE_MS);
  const statuses: number[] = [];
  for (let index = 0; index < ORDINARY_REQUESTS; index += 1) {
    const answer = await Promise.race([
      site.call(DAEMON, "adapter-0"),
      waitMs(DEADLINE_MS).then(() => ({ status: 0 })),
    ]);
    statuses.push(answer.status);
  }
  assert.equal(statuses, statuses.map(() => 200));
  for (const { isClosed, receivedBytes } of readers) {
    assert.not(isClosed, "a stream was cut off");
    assert.ok(receivedBytes > 100_000, `${receivedBytes} bytes`);
  }
  assert.ok(daemon.isAlive, "the daemon's process ended");
  daemon.checkPeaks();
});

test.run();
