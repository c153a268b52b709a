/** Contract between daemons, tested against a real daemon: one row per fault. */
import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import type { Readable } from "node:stream";
import {
  type ChannelCredentials,
  Client,
  credentials,
  Server,
  ServerCredentials,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ContractBench, subtractCounters } from "./contract_bench.ts";
import {
  createLeaseRequest,
  createUnknownKind,
  encodeTables,
  listEmptyMessages,
} from "./peer_messages.ts";

const CERTIFICATES = new URL("certificates/", import.meta.url).pathname;
const CONNECT_PATH = "/pistachiohatch.peer.Peer/Connect";
const DELIVER_PATH = "/pistachiohatch.peer.Peer/Deliver";
const DELIVER_TIMEOUT_MS = 2_000;
const TOO_LARGE_BYTES = 33 * 1_048_576;

/** Revision at which the bench publishes its tables. */
const PUBLISHED_REVISION = 3;
const TLS = createTlsSettings("daemon");

interface PeerRow {
  fault: string;
  bytes: () => Uint8Array;
  path?: string;
  code?: status;
  counters?: Record<string, number>;
}

const ROWS: PeerRow[] = [
  {
    fault: "bytes that are not an envelope",
    bytes: () => new Uint8Array([255, 255, 255]),
    counters: { envelope_malformed: 1 },
  },
  {
    fault: "truncated envelope",
    bytes: () => encodeTables(9).subarray(0, 20),
    counters: { envelope_malformed: 1 },
  },
  { fault: "empty envelope", bytes: () => new Uint8Array(), counters: {} },
  {
    fault: "message of an unknown kind before one of a known kind",
    bytes: () => Buffer.concat([createUnknownKind(), encodeTables(1)]),
    counters: { "tables.stale": 1 },
  },
  ...listEmptyMessages().map(({ kind, bytes }) => ({
    fault: `${kind} of an unknown daemon, with no field set`,
    bytes: () => bytes,
  })),
  {
    fault: "tables at an older revision",
    bytes: () => encodeTables(1),
    counters: { "tables.stale": 1 },
  },
  {
    fault: "tables delta from another revision than the current one",
    bytes: () => encodeTables(1_000),
    counters: { "tables.gap": 1 },
  },
  {
    fault: "tables delta with a wrong digest",
    bytes: () => encodeTables(1_000, PUBLISHED_REVISION),
    counters: { "tables.digestMismatch": 1 },
  },
  {
    fault: "lease request for an upstream that is not owned here",
    bytes: createLeaseRequest,
    counters: { "lease_refused.notOwner": 1 },
  },
  {
    fault: "envelope over the size limit",
    bytes: () => new Uint8Array(TOO_LARGE_BYTES),
    code: status.RESOURCE_EXHAUSTED,
    counters: {},
  },
  {
    fault: "unknown method",
    bytes: () => new Uint8Array(),
    path: "/pistachiohatch.peer.Peer/Other",
    code: status.UNIMPLEMENTED,
    counters: {},
  },
];

const plaintextBench = new ContractBench();
const peers = suite("peers");

peers.before(async () => {
  await plaintextBench.start();
});

peers.after(async () => {
  await plaintextBench.stop();
});

for (const row of ROWS) {
  peers(row.fault, async () => {
    const before = await plaintextBench.getCounters();
    const code = await deliver(
      plaintextBench.peersPort,
      row.bytes(),
      credentials.createInsecure(),
      row.path,
    );
    assert.is(code, row.code ?? status.OK);
    const answer = await plaintextBench.call();
    assert.is(answer.status, 200, answer.text);
    assert.is(answer.headers.get("x-adapter-version"), "v1");
    if (!row.counters) return;
    for (const counter of Object.keys(row.counters)) {
      await plaintextBench.waitForCounter(counter, before);
    }
    const { "host_list.stale": _polls, ...gained } = subtractCounters(
      await plaintextBench.getCounters(),
      before,
    );
    assert.equal(gained, row.counters);
  });
}

interface TlsRow {
  fault: string;
  certificate: string | undefined;
  authority: string;
  code: status;
}

const TLS_ROWS: TlsRow[] = [
  {
    fault: "certificate of the trusted authority",
    certificate: "daemon",
    authority: "authority",
    code: status.OK,
  },
  {
    fault: "certificate of another authority",
    certificate: "untrusted",
    authority: "authority",
    code: status.UNAVAILABLE,
  },
  {
    fault: "no certificate",
    certificate: undefined,
    authority: "authority",
    code: status.UNAVAILABLE,
  },
  {
    fault: "client that trusts another authority",
    certificate: "daemon",
    authority: "untrusted_authority",
    code: status.UNAVAILABLE,
  },
];

peers("mutual TLS: which clients are accepted", async () => {
  const bench = new ContractBench({ settings: { peers: { tls: TLS } } });
  await bench.start();
  const envelope = encodeTables(1);
  for (const row of TLS_ROWS) {
    const before = await bench.getCounters();
    const code = await deliver(
      bench.peersPort,
      envelope,
      createTlsCredentials(row),
    );
    assert.is(code, row.code, row.fault);
    const gained = subtractCounters(await bench.getCounters(), before);
    assert.is(gained["tables.stale"] ?? 0, code === status.OK ? 1 : 0);
  }
  const code = await deliver(
    bench.peersPort,
    envelope,
    credentials.createInsecure(),
  );
  assert.is(code, status.UNAVAILABLE, "plaintext");
  await bench.stop();
});

for (
  const [certificate, isTrusted] of [["daemon", true], [
    "untrusted",
    false,
  ]] as const
) {
  peers(
    `mutual TLS: a daemon ${
      isTrusted ? "delivers" : "delivers nothing"
    } to a peer with the certificate "${certificate}"`,
    async () => {
      const received = await listenAsPeer(certificate);
      const bench = new ContractBench({
        settings: {
          peers: {
            tls: TLS,
            seed: [{
              id: "entry-2",
              address: `127.0.0.1:${received.port}`,
              failureDomain: "hobart-a",
            }],
          },
        },
      });
      await bench.startFakes();
      bench.publishTables();
      await bench.startDaemon();
      if (isTrusted) {
        await bench.waitUntil(
          "a heartbeat arrives",
          () => received.count() > 0,
        );
      } else {
        await bench.waitForCounter("envelope_undelivered", {});
        assert.is(received.count(), 0);
      }
      received.server.forceShutdown();
      await bench.stop();
    },
  );
}

interface ListenRow {
  fault: string;
  settings: Record<string, unknown>;
  error?: RegExp;
}

const LISTEN_ROWS: ListenRow[] = [
  {
    fault: "plaintext beyond loopback",
    settings: { listen: "0.0.0.0:0" },
    error: /peers\.tls or peers\.allowPlaintextBeyondLoopback/,
  },
  {
    fault: "plaintext beyond loopback, explicitly allowed",
    settings: { listen: "0.0.0.0:0", allowPlaintextBeyondLoopback: true },
  },
  {
    fault: "TLS beyond loopback",
    settings: { listen: "0.0.0.0:0", tls: createTlsSettings("daemon") },
  },
  {
    fault: "missing key file",
    settings: { tls: { ...createTlsSettings("daemon"), keyFile: "/missing" } },
    error: /\/missing/,
  },
];

for (const row of LISTEN_ROWS) {
  peers(`listening: ${row.fault}`, async () => {
    const bench = new ContractBench({ settings: { peers: row.settings } });
    await bench.startFakes();
    const error = await bench.startDaemon().then(
      () => undefined,
      (reason: unknown) => reason as Error & { step?: string; peer?: string },
    );
    await bench.stop();
    if (row.error) {
      assert.match(error?.message ?? "", row.error);
      assert.is(error?.step, "listenPeers");
      assert.ok(error?.peer);
    } else assert.is(error, undefined);
  });
}

function createTlsSettings(name: string): Record<string, string> {
  return {
    authorityFile: `${CERTIFICATES}authority.pem`,
    certificateFile: `${CERTIFICATES}${name}.pem`,
    keyFile: `${CERTIFICATES}${name}.key`,
  };
}

function createTlsCredentials(row: TlsRow): ChannelCredentials {
  const authority = readFileSync(`${CERTIFICATES}${row.authority}.pem`);
  if (row.certificate === undefined) return credentials.createSsl(authority);
  return credentials.createSsl(
    authority,
    readFileSync(`${CERTIFICATES}${row.certificate}.key`),
    readFileSync(`${CERTIFICATES}${row.certificate}.pem`),
  );
}

/** Sends bytes to the Deliver method; returns the gRPC status. */
async function deliver(
  port: number,
  bytes: Uint8Array,
  channel: ChannelCredentials,
  path = DELIVER_PATH,
): Promise<status> {
  const client = new Client(`127.0.0.1:${port}`, channel);
  const code = await new Promise<status>((resolve) => {
    client.makeUnaryRequest(
      path,
      (message: Uint8Array) => Buffer.from(message),
      (reply: Buffer) => reply,
      bytes,
      { deadline: Date.now() + DELIVER_TIMEOUT_MS },
      (error: ServiceError | null) => resolve(error?.code ?? status.OK),
    );
  });
  client.close();
  return code;
}

/** Starts a peer with the given certificate that counts the envelopes it receives. */
async function listenAsPeer(certificate: string): Promise<{
  server: Server;
  port: number;
  count: () => number;
}> {
  let envelopes = 0;
  const server = new Server();
  server.addService({
    connect: {
      path: CONNECT_PATH,
      requestStream: true,
      responseStream: false,
      requestSerialize: (bytes: Buffer) => bytes,
      requestDeserialize: (bytes: Buffer) => bytes,
      responseSerialize: (bytes: Buffer) => bytes,
      responseDeserialize: (bytes: Buffer) => bytes,
    },
  }, {
    connect: (call: Readable) => {
      call.on("data", () => envelopes += 1);
      call.on("error", () => {});
    },
  });
  const tls = createTlsSettings(certificate);
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createSsl(null, [{
        private_key: readFileSync(tls["keyFile"] ?? ""),
        cert_chain: readFileSync(tls["certificateFile"] ?? ""),
      }]),
      (error, bound) => error ? reject(error) : resolve(bound),
    );
  });
  return { server, port, count: () => envelopes };
}

peers.run();
