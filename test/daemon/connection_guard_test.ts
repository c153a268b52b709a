/**
 * The guard holds back requests beyond its limits without losing or reordering
 * any, and closes the connections that wait longest for their clients.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_TURN_LIMITS } from "../../src/core/limits/turn_share.ts";
import {
  ConnectionGuard,
  type CutReason,
  type CutReport,
} from "../../src/daemon/connection_guard.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { clientLimitsSchema } from "../../src/settings/client_limits.ts";

/** Time in which loopback traffic settles. */
const SETTLE_MS = 100;
const MAX_CONNECTIONS = 3;
const SMALL_CHUNKS = 30_000;
/**
 * Twice the share of a turn, as a read and a rest may fall into one, and a piece
 * of chunks of one byte before their size is known.
 */
const MAX_TURN_CHUNKS = 2 * DEFAULT_TURN_LIMITS.maxEvents + 1024 / 6;

interface Bench {
  server: Server;
  cuts: CutReason[];
  lines: CutReport[];
  connectClient: () => Promise<Client>;
  close: () => void;
}

interface Client {
  socket: Socket;
  getText: () => string;
}

async function startBench(
  limits: object,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Bench> {
  const server = createServer(handle);
  const cuts: CutReason[] = [];
  const lines: CutReport[] = [];
  const guard = new ConnectionGuard({
    limits: clientLimitsSchema.parse(limits),
    turns: DEFAULT_TURN_LIMITS,
    countCut: (reason) => cuts.push(reason),
    logCut: (report) => lines.push(report),
  });
  guard.attach(server, "callers", MAX_CONNECTIONS);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const connectClient = async (): Promise<Client> => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    await once(socket, "connect");
    let text = "";
    socket.on("data", (chunk) => text += String(chunk));
    return { socket, getText: () => text };
  };
  return {
    server,
    cuts,
    lines,
    connectClient,
    close: () => {
      guard.stop();
      server.close();
      server.closeAllConnections();
    },
  };
}

function formatGet(path: string, headers = ""): string {
  return `GET ${path} HTTP/1.1\r\nHost: a\r\n${headers}\r\n`;
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

test("a connection's requests beyond the limit wait, and all are answered in order", async () => {
  const waiting: ServerResponse[] = [];
  const paths: string[] = [];
  const bench = await startBench(
    { maxPipelinedRequests: 2 },
    (request, response) => {
      paths.push(request.url ?? "");
      waiting.push(response);
    },
  );
  const { socket, getText } = await bench.connectClient();
  const sent = Array.from({ length: 7 }, (_, index) => `/${index}`);
  socket.write(sent.map((path) => formatGet(path)).join(""));
  let most = 0;
  for (let answered = 0; answered < sent.length; answered += 1) {
    await waitMs(SETTLE_MS / 4);
    most = Math.max(most, waiting.length);
    const response = waiting.shift();
    response?.end(response.req.url);
  }
  await waitMs(SETTLE_MS);
  assert.is(most, 2);
  assert.equal(paths, sent);
  assert.equal(
    [...getText().matchAll(/^(\/\d)/gm)].map((match) => match[1]),
    sent,
  );
  bench.close();
});

test("the limit for all connections holds further requests, not first ones", async () => {
  const seen: string[] = [];
  const waiting: ServerResponse[] = [];
  const bench = await startBench(
    { maxPipelinedInAll: 1 },
    (request, response) => {
      seen.push(request.url ?? "");
      waiting.push(response);
    },
  );
  for (const name of ["a", "b", "c"]) {
    const { socket } = await bench.connectClient();
    socket.write(formatGet(`/${name}0`) + formatGet(`/${name}1`));
    await waitMs(SETTLE_MS / 4);
  }
  assert.equal(seen, ["/a0", "/a1", "/b0", "/c0"]);
  while (waiting.length > 0) {
    waiting.shift()?.end();
    await waitMs(SETTLE_MS / 4);
  }
  assert.equal([...seen].sort(), ["/a0", "/a1", "/b0", "/b1", "/c0", "/c1"]);
  bench.close();
});

for (
  const [name, formatBody] of [
    ["length", "Content-Length: 5\r\n\r\n12345"],
    [
      "chunks",
      "Transfer-Encoding: chunked\r\n\r\n3\r\n123\r\n2\r\n45\r\n0\r\n\r\n",
    ],
  ] as const
) {
  test(`requests with bodies are held beyond the limit, too: ${name}`, async () => {
    const bodies: Promise<string>[] = [];
    const bench = await startBench(
      { maxPipelinedRequests: 2 },
      (request) => bodies.push(readBody(request)),
    );
    const { socket } = await bench.connectClient();
    const one = `POST / HTTP/1.1\r\nHost: a\r\n${formatBody}`;
    // Reads end within a head: the end of one is divided between two of them.
    for (const byte of one) {
      socket.write(byte);
      await waitMs(1);
    }
    socket.write(one.repeat(6));
    await waitMs(SETTLE_MS);
    assert.equal(await Promise.all(bodies), ["12345", "12345"]);
    bench.close();
  });
}

test("bodies arrive unchanged, whatever ends of heads they contain", async () => {
  const bodies = new Map<string, string>();
  const bench = await startBench({}, (request, response) => {
    void readBody(request).then((body) => {
      bodies.set(request.url ?? "", body);
      response.end();
    });
  });
  const { socket } = await bench.connectClient();
  const sent = [
    "\r\n\r\n".repeat(20_000),
    "x".repeat(1_000_000),
    `${formatGet("/in-body")}\n\n`,
    "",
  ];
  for (const [index, body] of sent.entries()) {
    socket.write(
      `POST /${index} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
  }
  for (let waits = 0; bodies.size < sent.length && waits < 50; waits += 1) {
    await waitMs(SETTLE_MS);
  }
  assert.is(bodies.size, sent.length);
  assert.ok(sent.every((body, index) => bodies.get(`/${index}`) === body));
  bench.close();
});

for (
  const [name, first] of [
    ["Connection: close", formatGet("/0", "Connection: close\r\n")],
    ["HTTP/1.0", "GET /0 HTTP/1.0\r\n\r\n"],
  ] as const
) {
  test(`nothing that follows a request with ${name} is run`, async () => {
    const paths: string[] = [];
    const bench = await startBench({}, (request, response) => {
      paths.push(request.url ?? "");
      setTimeout(() => response.end("whole"), SETTLE_MS);
    });
    const { socket, getText } = await bench.connectClient();
    socket.write(first + formatGet("/1").repeat(5));
    await once(socket, "close");
    assert.equal(paths, ["/0"]);
    assert.match(getText(), /whole/);
    bench.close();
  });
}

test("the longest idle connection is closed for a new one, none that is served", async () => {
  const bench = await startBench({}, (request, response) => {
    if (request.url !== "/long") response.end();
  });
  const served = await bench.connectClient();
  served.socket.write(formatGet("/long"));
  const idle = await bench.connectClient();
  const used = await bench.connectClient();
  await waitMs(SETTLE_MS);
  idle.socket.write(formatGet("/short"));
  await waitMs(SETTLE_MS);
  used.socket.write(formatGet("/short"));
  await waitMs(SETTLE_MS);
  const added = await bench.connectClient();
  added.socket.write(formatGet("/short"));
  await waitMs(SETTLE_MS);
  assert.is(idle.socket.destroyed, true);
  const others = [served, used, added].map(({ socket }) => socket.destroyed);
  assert.equal(others, [false, false, false]);
  assert.match(added.getText(), /200/);
  assert.equal(bench.cuts, ["idle"]);
  assert.is(bench.lines[0]?.port, "callers");
  bench.close();
});

test("a new connection is closed while all others are served", async () => {
  const bench = await startBench({}, () => {});
  const served = [];
  for (let index = 0; index < MAX_CONNECTIONS; index += 1) {
    const client = await bench.connectClient();
    client.socket.write(formatGet("/"));
    served.push(client);
  }
  await waitMs(SETTLE_MS);
  const added = await bench.connectClient();
  await waitMs(SETTLE_MS);
  assert.is(added.socket.destroyed, true);
  assert.ok(served.every(({ socket }) => !socket.destroyed));
  assert.equal(bench.cuts, ["full"]);
  bench.close();
});

test("a client that reads nothing of its responses for too long is closed", async () => {
  const bench = await startBench(
    { unreadTimeoutMs: 500 },
    (_request, response) => response.end("x".repeat(20_000_000)),
  );
  const { socket } = await bench.connectClient();
  socket.pause();
  socket.write(formatGet("/"));
  for (let waits = 0; bench.cuts.length === 0 && waits < 50; waits += 1) {
    await waitMs(SETTLE_MS);
  }
  assert.equal(bench.cuts, ["unread"]);
  socket.destroy();
  bench.close();
});

test("input that paused connections hold is limited", async () => {
  const bench = await startBench(
    { maxPipelinedRequests: 1, maxHeldBytes: 1_000 },
    () => {},
  );
  const { socket } = await bench.connectClient();
  const close = new Promise((resolve) => socket.once("close", resolve));
  socket.write(formatGet("/").repeat(3_000));
  await close;
  assert.equal(bench.cuts, ["heldInput"]);
  bench.close();
});

test("the end of a connection is seen behind a request", async () => {
  let hasEnded = false;
  const bench = await startBench({}, (request) => {
    request.socket.once("end", () => hasEnded = true);
  });
  const { socket } = await bench.connectClient();
  socket.end(formatGet("/"));
  await waitMs(SETTLE_MS);
  assert.is(hasEnded, true);
  bench.close();
});

test("a body in small chunks is read in order, over many turns, and beside other connections", async () => {
  let chunks = 0;
  let maxTurnChunks = 0;
  const bench = await startBench({}, (request, response) => {
    let turnChunks = 0;
    let received = "";
    request.on("data", (chunk: Buffer) => {
      received += chunk.toString();
      if (turnChunks === 0) {
        setImmediate(() => {
          maxTurnChunks = Math.max(maxTurnChunks, turnChunks);
          turnChunks = 0;
        });
      }
      turnChunks += 1;
      chunks += 1;
    });
    request.on("end", () => response.end(received));
  });
  const { socket, getText } = await bench.connectClient();
  const text = Array.from(
    { length: SMALL_CHUNKS },
    (_, index) => String.fromCharCode("a".charCodeAt(0) + index % 26),
  );
  const body = text.map((letter) => `1\r\n${letter}\r\n`).join("");
  socket.write(
    `POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${body}0\r\n\r\n`,
  );
  socket.write(formatGet("/next"));
  await waitMs(SETTLE_MS);
  while (!getText().includes(text.join(""))) await waitMs(SETTLE_MS);
  assert.is(chunks, SMALL_CHUNKS);
  assert.ok(maxTurnChunks <= MAX_TURN_CHUNKS, `${maxTurnChunks} chunks`);
  bench.close();
});

test.run();
