/**
 * Connections to upstreams that are kept between attempts: how long, and what
 * becomes of one that the upstream closes.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_TURN_LIMITS } from "../../src/core/limits/turn_share.ts";
import {
  type AttemptEnd,
  UpstreamClient,
} from "../../src/gateway/upstream_client.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

/** An upstream that announces an idle time, and a client of its own. */
class Scene {
  readonly sockets: Socket[] = [];
  readonly counts = new Map<string, number>();
  readonly #server: Server;
  readonly #client = new UpstreamClient({
    count: (name, reason) => {
      const key = `${name}.${reason}`;
      this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    },
  }, {
    maxConnections: Number.POSITIVE_INFINITY,
    turns: DEFAULT_TURN_LIMITS,
    memory: UNLIMITED_MEMORY,
  });

  constructor(announcement: string | undefined) {
    this.#server = createServer((_request, response) => {
      if (announcement !== undefined) {
        response.setHeader("Connection", "keep-alive");
        response.setHeader("Keep-Alive", announcement);
      }
      response.end("answer");
    });
    // The announcement is the test's own; the server itself closes nothing.
    this.#server.keepAliveTimeout = 0;
    this.#server.on("connection", (socket) => this.sockets.push(socket));
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  send(longIdleLimit: number, mayReuseConnection = true): Promise<AttemptEnd> {
    const { port } = this.#server.address() as AddressInfo;
    return new Promise((resolve) => {
      this.#client.startAttempt({
        address: `127.0.0.1:${port}`,
        method: "GET",
        url: "/",
        rawHeaders: ["Host", "x"],
        body: Buffer.alloc(0),
        mayReuseConnection,
        longIdleLimit,
      }, {
        onConnect: () => {},
        onHead: () => {},
        onChunk: () => true,
        onEnd: resolve,
      });
    });
  }

  stop(): void {
    this.#client.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

interface ReuseRow {
  name: string;
  announcement: string | undefined;
  longIdleLimit: number;
  idleMs: number;
  connections: number;
}

const REUSE_ROWS: ReuseRow[] = [
  {
    name: "is used again after 2.8 s if the upstream announces 5 s",
    announcement: "timeout=5",
    longIdleLimit: 1,
    idleMs: 2_800,
    connections: 1,
  },
  {
    name: "is closed after 2 s if there is no room for longer",
    announcement: "timeout=5",
    longIdleLimit: 0,
    idleMs: 2_800,
    connections: 2,
  },
  {
    name: "is closed after 2 s if the upstream announces nothing",
    announcement: undefined,
    longIdleLimit: 1,
    idleMs: 2_800,
    connections: 2,
  },
  {
    name: "is closed well before the end of a short announced time",
    announcement: "timeout=1",
    longIdleLimit: 1,
    idleMs: 800,
    connections: 2,
  },
];

for (const row of REUSE_ROWS) {
  test(`an idle connection ${row.name}`, async () => {
    const scene = new Scene(row.announcement);
    await scene.start();
    try {
      assert.is((await scene.send(row.longIdleLimit)).kind, "complete");
      await waitMs(row.idleMs);
      assert.is((await scene.send(row.longIdleLimit)).kind, "complete");
      assert.is(scene.sockets.length, row.connections);
    } finally {
      scene.stop();
    }
  });
}

test("a request that must not use a kept connection gets a new one, however long one is kept", async () => {
  const scene = new Scene("timeout=5");
  await scene.start();
  try {
    await scene.send(1);
    assert.is((await scene.send(1, false)).kind, "complete");
    assert.is(scene.sockets.length, 2);
  } finally {
    scene.stop();
  }
});

test("after an idle connection was closed by the upstream, the next one is kept for no longer than the default", async () => {
  const scene = new Scene("timeout=5");
  await scene.start();
  try {
    await scene.send(1);
    scene.sockets[0]?.end();
    await waitMs(100);
    assert.is(scene.counts.get("kept_connection_ends.closedIdle"), 1);
    await scene.send(1);
    await waitMs(2_800);
    await scene.send(1);
    assert.is(scene.sockets.length, 3);
  } finally {
    scene.stop();
  }
});

test("a kept connection that breaks when it is used is counted", async () => {
  const scene = new Scene("timeout=5");
  await scene.start();
  try {
    await scene.send(1);
    const [socket] = scene.sockets;
    socket?.removeAllListeners("data");
    socket?.once("data", () => socket.resetAndDestroy());
    assert.is((await scene.send(1)).kind, "broken");
    assert.is(scene.counts.get("kept_connection_ends.brokenInUse"), 1);
  } finally {
    scene.stop();
  }
});

test.run();
