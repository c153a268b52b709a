/**
 * Broken answers to short calls: to the store, to engines (orders and reports)
 * and to peers. None of them becomes an answer.
 */
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HeadCheckedAgent } from "../../src/daemon/head_checked_socket.ts";
import {
  HttpRequestError,
  type HttpResponse,
  sendHttpRequest,
} from "../../src/gateway/http_client.ts";
import { startRawServer } from "../raw_server.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const agent = new HeadCheckedAgent({ keepAlive: true });
test.after(() => agent.destroy());

/** Calls a server that answers as told. */
async function callServer(
  answer: (socket: Socket) => void,
  method: "GET" | "POST" = "GET",
): Promise<HttpResponse | HttpRequestError> {
  const server = await startRawServer(answer);
  try {
    return await sendHttpRequest({
      step: "call",
      address: server.address,
      method,
      path: "/",
      ...(method === "POST" ? { body: "{}" } : {}),
      timeoutMs: 1_000,
      memory: UNLIMITED_MEMORY,
      agent,
    });
  } catch (error) {
    assert.instance(error, HttpRequestError);
    return error as HttpRequestError;
  } finally {
    server.close();
  }
}

const BROKEN_LINES = ["X Load: 1", "X-Load : 1", " X-Load: 1", "X\0Load: 1"];

for (const line of BROKEN_LINES) {
  test(`an answer with a broken name is taken for one: ${JSON.stringify(line)}`, async () => {
    for (const method of ["GET", "POST"] as const) {
      for (const framing of ["Content-Length: 2", "Connection: close"]) {
        const result = await callServer((socket) => {
          socket.end(
            `HTTP/1.1 200 OK\r\nX-Note: a\r\n${line}\r\n${framing}\r\n\r\nok`,
          );
        }, method);
        assert.instance(result, HttpRequestError);
        assert.ok((result as HttpRequestError).hasBeenSent);
      }
    }
  });
}

test("an answer without a status is taken for one", async () => {
  for (const status of ["000", "099"]) {
    const result = await callServer((socket) => {
      socket.end(`HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\nok`);
    });
    assert.instance(result, HttpRequestError);
    assert.ok((result as HttpRequestError).hasBeenSent);
  }
});

test.run();
