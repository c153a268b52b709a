/**
 * Bodies and events without end that arrive in chunks of one byte, from
 * upstreams and from callers: the memory of the process stays bounded, and
 * other callers are served.
 */
import { connect } from "node:net";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EndlessPartInBytes } from "../../fakes/endless_answer.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
const CONCURRENT = 8;
/**
 * Memory by which this process, with its fakes, may grow: half of the 250 MB of
 * the smallest hosts.
 */
const MAX_GROWTH_BYTES = 125 * 1024 * 1024;
/** Time limit of a caller's request: such an answer is recognized before it. */
const DEADLINE_MS = 2_500;

test.before(() => harness.start({ gateways: 1, engines: 2, services: 2 }));
test.after(() => harness.stop());

const PARTS: { part: EndlessPartInBytes; path: string }[] = [
  { part: "endlessEventInBytes", path: "/brief/1" },
  { part: "endlessCommentsInBytes", path: "/brief/1" },
  { part: "endlessBlankLinesInBytes", path: "/brief/1" },
  { part: "endlessBodyInBytes", path: "/brief/1" },
  { part: "endlessBodyInBytes", path: "/unsafe/1" },
];

for (const { part, path } of PARTS) {
  test(`${path}: ${CONCURRENT} responses with ${part} leave the process and its other callers alone`, async () => {
    const replicas = path.startsWith("/brief")
      ? harness.engines
      : harness.services;
    for (const replica of replicas) {
      replica.behaviours = Array.from({ length: CONCURRENT }, () => part);
    }
    const before = process.memoryUsage().rss;
    const startedAt = performance.now();
    const flooded = Array.from(
      { length: CONCURRENT },
      () => harness.call(path),
    );
    let maxGrowth = 0;
    const sampling = setInterval(() => {
      maxGrowth = Math.max(maxGrowth, process.memoryUsage().rss - before);
    }, 50);
    const answers = await Promise.all(flooded);
    clearInterval(sampling);
    for (const replica of replicas) replica.behaviours = [];
    for (const { status, endedAt } of answers) {
      assert.is(status, 502);
      const elapsedMs = endedAt - startedAt;
      assert.ok(elapsedMs < DEADLINE_MS, `${elapsedMs} ms`);
    }
    assert.ok(maxGrowth < MAX_GROWTH_BYTES, `${maxGrowth} bytes`);
    await harness.waitFor(async () =>
      (await harness.call(path)).status === 200
    );
  });
}

test(`${CONCURRENT} callers whose bodies arrive in chunks of one byte leave the process alone`, async () => {
  const before = process.memoryUsage().rss;
  let maxGrowth = 0;
  const sampling = setInterval(() => {
    maxGrowth = Math.max(maxGrowth, process.memoryUsage().rss - before);
  }, 50);
  await Promise.all(
    Array.from({ length: CONCURRENT }, () => sendEndlessBody()),
  );
  clearInterval(sampling);
  assert.ok(maxGrowth < MAX_GROWTH_BYTES, `${maxGrowth} bytes`);
  assert.is((await harness.call("/unsafe/1")).status, 200);
});

/** Sends a body in chunks of one byte until its connection is closed. */
async function sendEndlessBody(): Promise<void> {
  const socket = connect(harness.getCallerPort(), "127.0.0.1");
  let text = "";
  let isClosed = false;
  socket.on("error", () => {});
  socket.on("data", (bytes) => text += bytes);
  socket.once("close", () => isClosed = true);
  socket.write(
    "POST /unsafe/1 HTTP/1.1\r\nHost: mill.example\r\n" +
      "X-Request-Id: bytes\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  const piece = "1\r\nx\r\n".repeat(10_000);
  const endsAt = performance.now() + 20_000;
  while (!isClosed && performance.now() < endsAt) {
    if (socket.write(piece)) await waitMs(0);
    else await waitMs(5);
  }
  assert.ok(isClosed);
  assert.match(text, /^HTTP\/1.1 (413|503) |^$/);
}

test.run();
