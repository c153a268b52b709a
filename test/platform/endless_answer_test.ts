/**
 * Answers of the store and of engines that never end, in chunks of one byte: the
 * call fails within its time limit, and memory stays bounded.
 */
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PublishedSet } from "../../src/gateway/ports.ts";
import { ReplicaClient } from "../../platform/replica_client.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { MemoryBudget } from "../../src/core/limits/memory_budget.ts";

const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const CONCURRENT = 4;
const PIECE = "1\r\nx\r\n".repeat(10_000);

/** Answers each request with a body without end. */
async function startEndlessServer(): Promise<Server> {
  const server = createServer((socket: Socket) => {
    const write = (): void => {
      if (socket.destroyed) return;
      if (socket.write(PIECE)) setImmediate(write);
      else socket.once("drain", write);
    };
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      write();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

for (const kind of ["store", "engine"] as const) {
  test(`the ${kind} answers without end: each call fails, and memory is bounded`, async () => {
    const server = await startEndlessServer();
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const memory = new MemoryBudget({
      exemptBytes: 64 * 1024,
      sharedBytes: 16 * 1024 * 1024,
    });
    const store = new StoreClient(address, memory);
    const engines = new ReplicaClient(memory);
    const before = process.memoryUsage().rss;
    let maxGrowth = 0;
    const sampling = setInterval(() => {
      maxGrowth = Math.max(maxGrowth, process.memoryUsage().rss - before);
    }, 20);
    const calls = Array.from(
      { length: CONCURRENT },
      (): Promise<unknown> =>
        kind === "store"
          ? store.readAll(PublishedSet.Upstreams)
          : engines.readReport({ id: "i-1", address }, performance.now()),
    );
    const results = await Promise.allSettled(calls);
    clearInterval(sampling);
    assert.ok(results.every(({ status }) => status === "rejected"));
    assert.ok(maxGrowth < MAX_GROWTH_BYTES, `${maxGrowth} bytes`);
    assert.is(memory.usedBytes, 0);
    store.closeConnections();
    server.close();
  });
}

test.run();
