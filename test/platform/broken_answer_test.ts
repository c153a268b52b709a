/**
 * Broken answers of the store, and of engines to reports and orders: heads with a
 * broken name or without a status, and bodies without a length that are cut off
 * by a close or a reset. None is read as an answer.
 */
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReplicaClient } from "../../platform/replica_client.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { PublishedSet } from "../../src/gateway/ports.ts";
import { startRawServer } from "../raw_server.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const PAGE = JSON.stringify({
  items: [{ key: "servers/1", rev: 1, value: "" }],
  truncated: false,
  as_of: 5,
});
const EVENTS = JSON.stringify({ events: [], as_of: 6 });
const REPORT = JSON.stringify({
  seq: 1,
  running: 0,
  waiting: 0,
  models: [{ name: "m", adapters: ["a1@1"] }],
});

/** Calls a server that answers as told; rejects if there is no answer. */
type Read = (address: string) => Promise<unknown>;

async function readStore(
  address: string,
  read: (store: StoreClient) => Promise<unknown>,
): Promise<unknown> {
  const store = new StoreClient(address, UNLIMITED_MEMORY);
  try {
    return await read(store);
  } finally {
    store.closeConnections();
  }
}

const READS: { name: string; body: string; read: Read }[] = [
  {
    name: "a page of the store",
    body: PAGE,
    read: (address) =>
      readStore(address, (store) => store.readAll(PublishedSet.Upstreams)),
  },
  {
    name: "changes of the store",
    body: EVENTS,
    read: (address) =>
      readStore(
        address,
        (store) =>
          store.watch(
            PublishedSet.Upstreams,
            5,
            500,
            new AbortController().signal,
          ),
      ),
  },
  {
    name: "a report",
    body: REPORT,
    read: (address) =>
      new ReplicaClient(UNLIMITED_MEMORY)
        .readReport({ id: "i-1", address }, performance.now()),
  },
  {
    name: "an order",
    body: "",
    read: async (address) => {
      const answer = await new ReplicaClient(UNLIMITED_MEMORY).giveOrder(
        { id: "i-1", address },
        { kind: "load", model: "m", adapter: "a1", version: 1 },
        { holder: "host-1", fence: 1, expectedSequence: 1 },
      );
      if (answer.kind === "unanswered") throw new Error(answer.detail);
      return answer;
    },
  },
];

/** Returns whether an answer was read. */
async function isAnswered(
  read: Read,
  answer: (socket: Socket) => void,
): Promise<boolean> {
  const server = await startRawServer(answer);
  try {
    await read(server.address);
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

const BROKEN_HEADS = [
  "HTTP/1.1 200 OK\r\nX Load: 1",
  "HTTP/1.1 200 OK\r\nX-Note: a\r\n X-Load: 1",
  "HTTP/1.1 200 OK\r\nX-Load : 1",
  "HTTP/1.1 200 OK\r\nX\x01Load: 1",
  "HTTP/1.1 103 Early Hints\r\nX Load: 1\r\n\r\nHTTP/1.1 200 OK",
  "HTTP/1.1 000 OK",
  "HTTP/1.1 099 OK",
];

for (const { name, body, read } of READS) {
  test(`a broken head is read as ${name}`, async () => {
    for (const head of BROKEN_HEADS) {
      for (
        const framing of [`Content-Length: ${body.length}`, "Connection: close"]
      ) {
        const answer = `${head}\r\n${framing}\r\n\r\n${body}`;
        const hasRead = await isAnswered(read, (socket) => socket.end(answer));
        assert.not.ok(hasRead, JSON.stringify(answer));
      }
    }
  });

  test(`a part of a body without a length is read as ${name}`, async () => {
    for (const end of ["close", "reset"] as const) {
      for (let sent = 0; sent <= body.length; sent += 1) {
        const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        const hasRead = await isAnswered(read, (socket) => {
          socket.write(`${head}${body.slice(0, sent)}`, () => {
            if (end === "close") socket.end();
            else socket.resetAndDestroy();
          });
        });
        // What is whole may be read whichever way its connection ends.
        if (sent < body.length) assert.not.ok(hasRead, `${end}, ${sent}`);
        else if (end === "close") assert.ok(hasRead);
      }
    }
  });
}

test.run();
