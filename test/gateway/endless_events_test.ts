/**
 * Endless streams of small whole events, and endless bodies in chunks of one
 * byte, took whole turns of the event loop, so that the gateway did not answer
 * other callers before their deadline.
 */
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EndlessPart } from "../../fakes/endless_answer.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { MeasuredProcess } from "../measured_process.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const HOST = "127.0.0.1";
/** Endless streams, and endless bodies, at the same time. */
const CONCURRENT = 8;
/** Deadline of the endless requests, which outlast the ordinary ones. */
const ENDLESS_DEADLINE_MS = 60_000;
/** Deadline of an ordinary request, on the users' route with the longest one. */
const DEADLINE_MS = 2_000;
const ORDINARY_REQUESTS = 8;
/** Time for the streams and bodies to begin. */
const SETTLE_MS = 1_000;

const harness = new GatewayHarness();
harness.routeOverrides = {
  brief: { timeout_ms: ENDLESS_DEADLINE_MS },
  unsafe: { timeout_ms: ENDLESS_DEADLINE_MS },
};
let gateway: MeasuredProcess;
const crowd = new Set<Socket>();

test.before(() => harness.start({ gateways: 0, engines: 2, services: 2 }));
test.after(() => harness.stop());
test.before.each(async () => {
  gateway = MeasuredProcess.start(
    "platform/main.ts",
    harness.describeSettings(0),
  );
  await harness.waitUntilReady(1);
});
test.after.each(() => {
  isSending = false;
  for (const socket of crowd) socket.destroy();
  crowd.clear();
  for (const engine of harness.engines) engine.behaviours = [];
  gateway.stop();
});

interface Reader {
  socket: Socket;
  receivedBytes: number;
  isClosed: boolean;
}

/** Connects as a caller that reads everything, and counts it. */
function openReader(): Reader {
  const socket = connect(harness.getCallerPort(), HOST);
  const reader: Reader = { socket, receivedBytes: 0, isClosed: false };
  crowd.add(socket);
  socket.on("error", () => {});
  socket.on("data", (bytes) => reader.receivedBytes += bytes.length);
  socket.once("close", () => {
    reader.isClosed = true;
    crowd.delete(socket);
  });
  return reader;
}

function startStreams(part: EndlessPart): Reader[] {
  for (const engine of harness.engines) {
    engine.behaviours = Array.from({ length: CONCURRENT }, () => part);
  }
  return Array.from({ length: CONCURRENT }, () => {
    const reader = openReader();
    reader.socket.write(harness.formatRequest("/brief/1", {
      headers: { "X-Deadline-Ms": String(ENDLESS_DEADLINE_MS) },
    }));
    return reader;
  });
}

/** Checks that streams whose callers read are not cut off. */
function checkStreams(readers: readonly Reader[]): void {
  for (const { isClosed, receivedBytes } of readers) {
    assert.not(isClosed, "a stream was cut off");
    assert.ok(receivedBytes > 0);
  }
}

/** Whether an endless body that was refused is followed by another one. */
let isSending = false;
const BODY_PIECE = "1\r\nx\r\n".repeat(10_000);

/** Sends a body without end, and another one when its connection is closed. */
function startBody(): void {
  const { socket } = openReader();
  socket.write(
    "POST /unsafe/1 HTTP/1.1\r\nHost: mill.example\r\n" +
      `X-Request-Id: bytes\r\nX-Deadline-Ms: ${ENDLESS_DEADLINE_MS}\r\n` +
      "Transfer-Encoding: chunked\r\n\r\n",
  );
  const send = (): void => {
    if (socket.destroyed) return;
    if (socket.write(BODY_PIECE)) setImmediate(send);
    else socket.once("drain", send);
  };
  send();
  socket.once("close", () => {
    if (gateway.isAlive && isSending) startBody();
  });
}

async function checkOrdinaryRequests(): Promise<void> {
  const statuses: number[] = [];
  for (let index = 0; index < ORDINARY_REQUESTS; index += 1) {
    const answer = await harness.call("/safe/1", {
      headers: { "X-Deadline-Ms": String(DEADLINE_MS) },
      disconnectAfterMs: DEADLINE_MS,
    }).catch(() => ({ status: 0, isComplete: false }));
    statuses.push(answer.isComplete ? answer.status : 0);
  }
  assert.equal(statuses, statuses.map(() => 200));
  assert.ok(gateway.isAlive, "the gateway's process ended");
  gateway.checkPeaks();
}

for (const part of ["endlessEventChunks", "endlessEvents"] as const) {
  test(`ordinary requests are answered beside ${CONCURRENT} streams with ${part}`, async () => {
    const readers = startStreams(part);
    await waitMs(SETTLE_MS);
    await checkOrdinaryRequests();
    checkStreams(readers);
  });
}

test(`ordinary requests are answered beside ${CONCURRENT} bodies in chunks of one byte`, async () => {
  isSending = true;
  for (let index = 0; index < CONCURRENT; index += 1) startBody();
  await waitMs(SETTLE_MS);
  await checkOrdinaryRequests();
  isSending = false;
});

test("ordinary requests are answered beside such streams and bodies", async () => {
  isSending = true;
  const readers = startStreams("endlessEventChunks");
  for (let index = 0; index < CONCURRENT; index += 1) startBody();
  await waitMs(SETTLE_MS);
  await checkOrdinaryRequests();
  checkStreams(readers);
  isSending = false;
});

test.run();
