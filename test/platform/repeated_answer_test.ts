/** Calls over kept connections whose server sends more than it was asked for. */
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PublishedSet } from "../../src/gateway/ports.ts";
import { ReplicaClient } from "../../platform/replica_client.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

/** Time in which an idle connection can be seen to carry bytes. */
const IDLE_MS = 50;

/** Answers each request with the next body, followed by the body once more. */
async function startRepeatingServer(bodies: object[]): Promise<Server> {
  const server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    socket.on("data", () => {
      const body = JSON.stringify(bodies.shift() ?? {});
      const answer =
        `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      socket.write(answer);
      setTimeout(() => socket.write(answer), IDLE_MS / 5);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

function getAddress(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a page of the store that is sent once more is not the answer to the next read", async () => {
  const createPage = (revision: number) => ({
    items: [],
    truncated: false,
    as_of: revision,
  });
  const server = await startRepeatingServer([createPage(1), createPage(2)]);
  const store = new StoreClient(getAddress(server), UNLIMITED_MEMORY);
  const revisions: number[] = [];
  for (let read = 0; read < 2; read += 1) {
    revisions.push((await store.readAll(PublishedSet.Upstreams)).asOf);
    await waitMs(IDLE_MS);
  }
  assert.equal(revisions, [1, 2]);
  store.closeConnections();
  server.close();
});

test("a report of an engine that is sent once more is not the answer to the next read", async () => {
  const createReport = (seq: number) => ({
    seq,
    running: 0,
    waiting: 0,
    models: [],
  });
  const server = await startRepeatingServer([createReport(1), createReport(2)]);
  const client = new ReplicaClient(UNLIMITED_MEMORY);
  const engine = { id: "i-1", address: getAddress(server) };
  const sequences: number[] = [];
  for (let read = 0; read < 2; read += 1) {
    const report = await client.readReport(engine, performance.now());
    sequences.push(report.sequence);
    await waitMs(IDLE_MS);
  }
  assert.equal(sequences, [1, 2]);
  server.close();
});

test.run();
