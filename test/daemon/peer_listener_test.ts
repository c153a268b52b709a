/**
 * Guards against clients of the peers' port that take the place of real peers:
 * connections without an HTTP/2 preface give way to new ones, those of peers
 * stay, with TLS and without.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import {
  Client,
  credentials,
  Server,
  ServerCredentials,
  status,
} from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitUntil } from "../../scripts/fleet.ts";
import { type CutReport, CutReporter } from "../../src/daemon/cut_reporter.ts";
import { PeerListener, type TlsFiles } from "../../src/daemon/peer_listener.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import {
  classifyPreface,
  PrefaceState,
} from "../../src/protocol/http2_preface.ts";

const MAX_CONNECTIONS = 3;
/** Silent connections, many times the limit. */
const SILENT_CLIENTS = 30;
const PATH = "/test.Peer/Deliver";
const CERTIFICATES = new URL("../contracts/certificates/", import.meta.url)
  .pathname;
const MAGIC = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/** An empty SETTINGS frame. */
const SETTINGS = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);
const PREFACE = Buffer.concat([Buffer.from(MAGIC), SETTINGS]);
/** Longer than the backoff after a refused connection. */
const RECONNECT_DEADLINE_MS = 5_000;
const SETTLE_MS = 100;

const identity = (bytes: Buffer): Buffer => bytes;

interface Bench {
  port: number;
  reasons: string[];
  lines: CutReport[];
  /** Addresses from which messages came. */
  senders: string[];
  createPeer: () => Client;
  connectClient: () => Promise<Socket>;
  close: () => void;
}

async function startBench(tls?: TlsFiles): Promise<Bench> {
  const senders: string[] = [];
  const server = new Server();
  server.addService({
    deliver: {
      path: PATH,
      requestStream: false,
      responseStream: false,
      requestSerialize: identity,
      requestDeserialize: identity,
      responseSerialize: identity,
      responseDeserialize: identity,
    },
  }, {
    deliver: (
      call: { request: Buffer; getPeer: () => string },
      reply: (error: null, bytes: Buffer) => void,
    ) => {
      senders.push(call.getPeer());
      reply(null, call.request);
    },
  });
  const injector = server.createConnectionInjector(
    ServerCredentials.createInsecure(),
  );
  const reasons: string[] = [];
  const lines: CutReport[] = [];
  const listener = new PeerListener({
    maxConnections: MAX_CONNECTIONS,
    tls,
    cuts: new CutReporter({
      countCut: (reason) => reasons.push(reason),
      logCut: (report) => lines.push(report),
    }),
    serve: (connection) => injector.injectConnection(connection),
  });
  const port = await listener.listen("127.0.0.1:0");
  const channel = tls
    ? credentials.createSsl(tls.authority, tls.key, tls.certificate)
    : credentials.createInsecure();
  const peers: Client[] = [];
  const sockets: Socket[] = [];
  return {
    port,
    reasons,
    lines,
    senders,
    createPeer: () => {
      const peer = new Client(`127.0.0.1:${port}`, channel, {
        "grpc.use_local_subchannel_pool": 1,
        "grpc.initial_reconnect_backoff_ms": 50,
        "grpc.max_reconnect_backoff_ms": 300,
      });
      peers.push(peer);
      return peer;
    },
    connectClient: async () => {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => {});
      sockets.push(socket);
      await once(socket, "connect");
      return socket;
    },
    close: () => {
      for (const peer of peers) peer.close();
      for (const socket of sockets) socket.destroy();
      server.forceShutdown();
      listener.close();
    },
  };
}

/** Sends a message to the port; returns the gRPC status. */
async function deliver(
  peer: Client,
  deadlineMs = RECONNECT_DEADLINE_MS,
): Promise<status> {
  return await new Promise((resolve) => {
    peer.makeUnaryRequest(
      PATH,
      identity,
      identity,
      Buffer.from("message"),
      { deadline: Date.now() + deadlineMs },
      (error) => resolve(error?.code ?? status.OK),
    );
  });
}

const TLS: TlsFiles = {
  authority: readFileSync(`${CERTIFICATES}authority.pem`),
  key: readFileSync(`${CERTIFICATES}daemon.key`),
  certificate: readFileSync(`${CERTIFICATES}daemon.pem`),
};

for (const [name, tls] of [["plaintext", undefined], ["TLS", TLS]] as const) {
  test(`${name}: silent clients replace each other and no peer`, async () => {
    const bench = await startBench(tls);
    const first = bench.createPeer();
    assert.is(await deliver(first), status.OK);
    const silent: Socket[] = [];
    for (let index = 0; index < SILENT_CLIENTS; index += 1) {
      silent.push(await bench.connectClient());
    }
    assert.is(await deliver(bench.createPeer()), status.OK, "a second peer");
    assert.is(await deliver(first), status.OK, "the first peer");
    await waitUntil(
      "surplus connections are closed",
      () =>
        Promise.resolve(
          silent.filter(({ destroyed }) => !destroyed).length <=
            MAX_CONNECTIONS - 2,
        ),
    );
    const [sender = "", , third = ""] = bench.senders;
    assert.is(third, sender, "the first peer has kept its connection");
    assert.equal(new Set(bench.reasons), new Set(["idle"]));
    assert.is(bench.lines[0]?.client, "127.0.0.1");
    assert.ok(bench.lines.length < bench.reasons.length, "lines are bounded");
    bench.close();
  });

  test(`${name}: a peer beyond the limit is refused until there is room`, async () => {
    const bench = await startBench(tls);
    const peers: Client[] = [];
    for (let index = 0; index < MAX_CONNECTIONS; index += 1) {
      const peer = bench.createPeer();
      peers.push(peer);
      assert.is(await deliver(peer), status.OK);
    }
    const surplus = bench.createPeer();
    assert.is(await deliver(surplus), status.UNAVAILABLE);
    assert.equal(new Set(bench.reasons), new Set(["full"]));
    for (const peer of peers) assert.is(await deliver(peer), status.OK);
    peers[0]?.close();
    await waitUntil(
      "the peer is connected by its backoff",
      async () => await deliver(surplus) === status.OK,
    );
    bench.close();
  });
}

test("a preface that arrives byte by byte is served", async () => {
  const bench = await startBench();
  const socket = await bench.connectClient();
  socket.setNoDelay(true);
  for (const byte of PREFACE) {
    socket.write(Buffer.from([byte]));
    await waitMs(1);
  }
  const [answer] = await once(socket, "data") as [Buffer];
  const frameType = answer[3];
  assert.is(frameType, SETTINGS[3], "the server's SETTINGS frame");
  bench.close();
});

test("a part of a preface gives way to a new connection", async () => {
  const bench = await startBench();
  for (let index = 0; index < MAX_CONNECTIONS; index += 1) {
    const socket = await bench.connectClient();
    socket.write(PREFACE.subarray(0, PREFACE.length - 1));
  }
  await waitMs(SETTLE_MS);
  assert.is(await deliver(bench.createPeer()), status.OK);
  assert.equal(bench.reasons, ["idle"]);
  bench.close();
});

test("a client that does not speak HTTP/2 is closed", async () => {
  const bench = await startBench();
  const socket = await bench.connectClient();
  const closed = once(socket, "close");
  socket.resume();
  socket.write("GET / HTTP/1.1\r\nHost: peer\r\n\r\n");
  await closed;
  assert.is(await deliver(bench.createPeer()), status.OK);
  bench.close();
});

test("a client that does not speak TLS is closed", async () => {
  const bench = await startBench(TLS);
  const socket = await bench.connectClient();
  const closed = once(socket, "close");
  socket.resume();
  socket.write(PREFACE);
  await closed;
  assert.is(await deliver(bench.createPeer()), status.OK);
  bench.close();
});

const LONG_SETTINGS = Buffer.from([0, 64, 2, 4, 0, 0, 0, 0, 0]);
const PING = Buffer.from([0, 0, 8, 6, 0, 0, 0, 0, 0]);
const PREFACES: [string, Buffer, PrefaceState][] = [
  ["nothing", Buffer.alloc(0), PrefaceState.Incomplete],
  ["a part of the magic", PREFACE.subarray(0, 5), PrefaceState.Incomplete],
  ["the magic alone", Buffer.from(MAGIC), PrefaceState.Incomplete],
  ["an empty SETTINGS frame", PREFACE, PrefaceState.Complete],
  [
    "more than the SETTINGS frame",
    Buffer.concat([PREFACE, PING]),
    PrefaceState.Complete,
  ],
  [
    "a SETTINGS frame without its payload",
    Buffer.concat([
      Buffer.from(MAGIC),
      Buffer.from([0, 0, 6, 4, 0, 0, 0, 0, 0]),
    ]),
    PrefaceState.Incomplete,
  ],
  [
    "another frame",
    Buffer.concat([Buffer.from(MAGIC), PING]),
    PrefaceState.Invalid,
  ],
  [
    "an endless SETTINGS frame",
    Buffer.concat([Buffer.from(MAGIC), LONG_SETTINGS]),
    PrefaceState.Invalid,
  ],
  ["HTTP/1.1", Buffer.from("GET / HTTP/1.1\r\n"), PrefaceState.Invalid],
];

for (const [name, input, state] of PREFACES) {
  test(`a client that has sent ${name}: ${state}`, () => {
    assert.is(classifyPreface(input), state);
  });
}

test.run();
