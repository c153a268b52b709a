/**
 * Endless responses from a replica and endless requests from a caller: the
 * connection is closed, memory stays bounded, and the caller gets exactly one
 * response.
 */
import { connect } from "node:net";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EndlessPart } from "../../fakes/endless_answer.ts";
import type { FakePlatformReplica } from "../../fakes/fake_platform_replica.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness } from "./gateway_harness.ts";

const harness = new GatewayHarness();
/**
 * Deadline of the harness's callers, after which nothing of a request may
 * remain.
 */
const DEADLINE_MS = 2_500;
/**
 * Memory by which this process, with its fakes, may grow under floods: half of
 * the 250 MB of the smallest hosts.
 */
const MAX_GROWTH_BYTES = 125 * 1024 * 1024;

test.before(() => harness.start({ gateways: 1, engines: 2, services: 2 }));
test.after(() => harness.stop());

interface Row {
  part: EndlessPart;
  path: string;
  status: number;
  /** Time within which the replica's connection must be closed. */
  openMs: number;
}

const PLAIN: EndlessPart[] = [
  "endlessStatusLine",
  "endlessHeader",
  "endlessHeaders",
  "endlessInterim",
  "endlessNoise",
  "endlessBody",
  "endlessChunks",
  "endlessChunkExtension",
  "endlessTrailers",
];
/**
 * Limit for responses that are rejected for their form or size, long before the
 * deadline.
 */
const CUT_MS = 1_000;

const ROWS: Row[] = [
  ...PLAIN.map((part) => ({
    part,
    path: "/unsafe/1",
    status: 502,
    openMs: CUT_MS,
  })),
  ...PLAIN.map((part) => ({
    part,
    path: "/safe/1",
    status: 200,
    openMs: CUT_MS,
  })),
  {
    part: "endlessAfterAnswer",
    path: "/safe/1",
    status: 200,
    openMs: CUT_MS,
  },
  { part: "endlessEvent", path: "/brief/1", status: 502, openMs: CUT_MS },
  { part: "endlessBody", path: "/brief/1", status: 502, openMs: CUT_MS },
];

function setFaultOnce(
  replicas: FakePlatformReplica[],
  part: EndlessPart,
): void {
  const behaviours = [part];
  for (const replica of replicas) replica.behaviours = behaviours;
}

for (const { part, path, status, openMs } of ROWS) {
  test(`${path}: a response with ${part} is cut off, and its caller gets ${status}`, async () => {
    const replicas = path.startsWith("/brief")
      ? harness.engines
      : harness.services;
    for (const replica of replicas) replica.endlessAnswers.length = 0;
    setFaultOnce(replicas, part);
    const answer = await harness.call(path);
    assert.is(answer.status, status);
    assert.ok(answer.isComplete);
    const record = replicas.flatMap((replica) => replica.endlessAnswers)[0];
    await harness.waitFor(() => record?.openMs !== undefined);
    assert.ok((record?.openMs ?? Infinity) < openMs, `${record?.openMs} ms`);
    assert.is((await harness.call(path)).status, 200);
  });
}

test("events without end are passed on until the deadline, and then broken off", async () => {
  setFaultOnce(harness.engines, "endlessEvents");
  for (const engine of harness.engines) engine.endlessAnswers.length = 0;
  const startedAt = performance.now();
  const answer = await harness.call("/brief/1", {
    headers: { "X-Deadline-Ms": "600" },
  });
  assert.not(answer.isComplete);
  const elapsedMs = answer.endedAt - startedAt;
  assert.ok(elapsedMs < 600 + 400, `${elapsedMs} ms`);
  const record = harness.engines.flatMap((engine) => engine.endlessAnswers)[0];
  await harness.waitFor(() => record?.openMs !== undefined);
});

test("a caller that does not read puts back-pressure on the stream, and memory stays bounded", async () => {
  setFaultOnce(harness.engines, "endlessEvents");
  for (const engine of harness.engines) engine.endlessAnswers.length = 0;
  const before = process.memoryUsage().rss;
  const socket = connect(harness.getCallerPort(), "127.0.0.1");
  socket.on("error", () => {});
  socket.pause();
  socket.write(
    "POST /brief/1 HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: unread\r\n" +
      `X-Deadline-Ms: ${DEADLINE_MS}\r\nX-Model: m/a1\r\n` +
      "X-Token-Counts: 400,20\r\nContent-Length: 0\r\n\r\n",
  );
  await waitMs(1_500);
  const sent = harness.engines.flatMap((engine) => engine.endlessAnswers)[0]
    ?.sentBytes;
  assert.ok(sent !== undefined && sent < 32 * 1024 * 1024, `${sent} bytes`);
  assert.ok(process.memoryUsage().rss - before < MAX_GROWTH_BYTES);
  socket.destroy();
});

test("many concurrent floods stay within one memory bound", async () => {
  const before = process.memoryUsage().rss;
  for (const service of harness.services) {
    service.behaviours = Array.from({ length: 30 }, () => "endlessBody");
  }
  const answers = await Promise.all(
    Array.from({ length: 30 }, () => harness.call("/unsafe/1")),
  );
  for (const service of harness.services) service.behaviours = [];
  for (const { status } of answers) assert.is(status, 502);
  assert.ok(process.memoryUsage().rss - before < MAX_GROWTH_BYTES);
});

for (const kind of ["body", "header", "chunk extension"] as const) {
  test(`the connection of a caller that sends an endless ${kind} is closed`, async () => {
    const socket = connect(harness.getCallerPort(), "127.0.0.1");
    let isClosed = false;
    socket.on("error", () => {});
    socket.once("close", () => isClosed = true);
    socket.resume();
    const start = "POST /unsafe/1 HTTP/1.1\r\nHost: mill.example\r\n" +
      "X-Request-Id: flood\r\n";
    const framing = "Transfer-Encoding: chunked\r\n\r\n";
    const beginnings = {
      body: `${start}${framing}ffffffff\r\n`,
      header: `${start}X-Long: `,
      "chunk extension": `${start}${framing}5;x=`,
    };
    socket.write(beginnings[kind]);
    const piece = "x".repeat(64 * 1024);
    const endsAt = performance.now() + 4_000;
    while (!isClosed && performance.now() < endsAt) {
      if (socket.write(piece)) await waitMs(1);
      else await waitMs(5);
    }
    assert.ok(isClosed);
  });
}

test.run();
