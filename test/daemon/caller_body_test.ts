/**
 * Bodies of callers of the daemon: read whole in each content coding, refused
 * beyond the maximum, and bounded in memory whatever the size of their chunks.
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { type AddressInfo, connect } from "node:net";
import process from "node:process";
import { brotliCompressSync, deflateSync, gzipSync } from "node:zlib";
import express, { type ErrorRequestHandler } from "express";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createBodyHandler } from "../../src/daemon/caller_body.ts";
import { MemoryBudget } from "../../src/core/limits/memory_budget.ts";

const MAX_BYTES = 1024 * 1024;
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const TEXT = "a body";
const memory = new MemoryBudget({
  exemptBytes: 1_024,
  sharedBytes: 2 * MAX_BYTES,
});
const agent = new Agent();
const app = express();
app.use(createBodyHandler({ maxBytes: MAX_BYTES, memory }));
app.use((request, response) => {
  response.end(request.body);
});
const reportError: ErrorRequestHandler = (error, _request, response, _next) => {
  response.status(error.status).end(error.type);
};
app.use(reportError);
const server = app.listen(0, "127.0.0.1");

function send(
  headers: Record<string, string>,
  chunks: Iterable<Buffer>,
): Promise<{ status: number; body: string }> {
  return new Promise((resolve, reject) => {
    const { port } = server.address() as AddressInfo;
    const call = request({
      host: "127.0.0.1",
      port,
      method: "POST",
      headers,
      agent,
    }, (response) => {
      let body = "";
      response.on("data", (chunk) => body += chunk);
      response.on(
        "end",
        () => resolve({ status: response.statusCode ?? 0, body }),
      );
    });
    call.on("error", reject);
    for (const chunk of chunks) call.write(chunk);
    call.end();
  });
}

const CODINGS: [string, Buffer][] = [
  ["identity", Buffer.from(TEXT)],
  ["gzip", gzipSync(TEXT)],
  ["deflate", deflateSync(TEXT)],
  ["br", brotliCompressSync(TEXT)],
];

for (const [coding, bytes] of CODINGS) {
  test(`a body in content coding ${coding} is read whole`, async () => {
    const answer = await send({ "content-encoding": coding }, [bytes]);
    assert.equal(answer, { status: 200, body: TEXT });
  });
}

test("an unknown coding and a broken one are refused", async () => {
  const unknown = await send({ "content-encoding": "x" }, [Buffer.from(TEXT)]);
  assert.is(unknown.status, 415);
  const broken = await send(
    { "content-encoding": "gzip" },
    [Buffer.from(TEXT)],
  );
  assert.is(broken.status, 400);
});

test("a small body that decodes to more than the maximum is refused", async () => {
  const bytes = gzipSync(Buffer.alloc(MAX_BYTES + 1));
  const answer = await send({ "content-encoding": "gzip" }, [bytes]);
  assert.is(answer.status, 413);
  assert.is(memory.usedBytes, 0);
});

test("the caller of a body beyond the maximum reads the refusal", async () => {
  const chunks = Array.from({ length: 40 }, () => Buffer.alloc(MAX_BYTES / 8));
  for (let count = 0; count < 5; count += 1) {
    const answer = await send({}, chunks);
    assert.is(answer.status, 413);
  }
  assert.is(memory.usedBytes, 0);
});

test("a body in chunks of one byte takes no memory beyond its bytes", async () => {
  const before = process.memoryUsage().rss;
  let maxGrowth = 0;
  const sampling = setInterval(() => {
    maxGrowth = Math.max(maxGrowth, process.memoryUsage().rss - before);
  }, 20);
  const text = await sendInBytes(MAX_BYTES);
  clearInterval(sampling);
  assert.match(text, /^HTTP\/1.1 200 /);
  assert.ok(maxGrowth < MAX_GROWTH_BYTES, `${maxGrowth} bytes`);
});

/** Sends that many bytes in chunks of one byte; returns the answer. */
async function sendInBytes(bytes: number): Promise<string> {
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.write(
    "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  let head = "";
  socket.on("data", (data) => head ||= data.toString("latin1"));
  const piece = "1\r\nx\r\n".repeat(1_024);
  for (let sent = 0; sent < bytes; sent += 1_024) {
    if (!socket.write(piece)) {
      await new Promise((resolve) => socket.once("drain", resolve));
    }
  }
  socket.write("0\r\n\r\n");
  await new Promise((resolve) => socket.once("close", resolve));
  return head;
}

test.after(() => {
  agent.destroy();
  server.close();
});

test.run();
