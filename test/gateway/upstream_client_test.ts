/** Attempts that can't be sent at all, or whose caller leaves before they are. */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_TURN_LIMITS } from "../../src/core/limits/turn_share.ts";
import { GatewayMetrics } from "../../src/gateway/gateway_metrics.ts";
import {
  type AttemptEnd,
  type AttemptRequest,
  UpstreamClient,
} from "../../src/gateway/upstream_client.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const client = new UpstreamClient(new GatewayMetrics(), {
  maxConnections: Number.POSITIVE_INFINITY,
  turns: DEFAULT_TURN_LIMITS,
  memory: UNLIMITED_MEMORY,
});
test.after(() => client.close());

const REQUEST: AttemptRequest = {
  address: "127.0.0.1:1",
  method: "POST",
  url: "/",
  rawHeaders: [],
  body: Buffer.alloc(0),
  mayReuseConnection: false,
};

const UNSENDABLE: [string, Partial<AttemptRequest>][] = [
  ["a port out of range", { address: "127.0.0.1:70000" }],
  ["a header with a control character", {
    rawHeaders: ["Last-Event-Id", "4\u0001"],
  }],
  ["a path with a space", { url: "/a b" }],
];

for (const [name, fields] of UNSENDABLE) {
  test(`an attempt with ${name} ends as not sent, after it has been returned`, async () => {
    let hasReturned = false;
    const end = await new Promise<AttemptEnd>((resolve) => {
      client.startAttempt({ ...REQUEST, ...fields }, {
        onConnect: () => {},
        onHead: () => assert.unreachable("expected no head"),
        onChunk: () => true,
        onEnd: (attemptEnd) => {
          assert.ok(hasReturned);
          resolve(attemptEnd);
        },
      });
      hasReturned = true;
    });
    assert.is(end.kind, "notSent");
  });
}

test("an attempt that can't be sent and is cancelled calls its listener no more", async () => {
  const attempt = client.startAttempt(
    { ...REQUEST, address: "127.0.0.1:70000" },
    {
      onConnect: () => {},
      onHead: () => assert.unreachable("expected no head"),
      onChunk: () => true,
      onEnd: () => assert.unreachable("expected no end"),
    },
  );
  attempt.cancel();
  await new Promise((resolve) => setTimeout(resolve, 10));
});

test("a request is sent although its caller's departure is read in the turn in which the connection is established", async () => {
  let received = "";
  const upstream = createServer((socket) => {
    socket.on("data", (bytes) => received += bytes.toString());
    socket.on("error", () => {});
  });
  upstream.listen(0, "127.0.0.1");
  await once(upstream, "listening");
  const { port } = upstream.address() as AddressInfo;
  const attempt = client.startAttempt(
    { ...REQUEST, address: `127.0.0.1:${port}` },
    {
      onConnect: () => {},
      onHead: () => assert.unreachable("expected no head"),
      onChunk: () => true,
      onEnd: () => assert.unreachable("expected no end"),
    },
  );
  await once(upstream, "connection");
  setImmediate(() => attempt.cancel());
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.is(received, "");
  upstream.close();
});

test.run();
