/**
 * The encoding in which gateways pass the published view on, and invalid bytes
 * in its place.
 */
import { Buffer } from "node:buffer";
import { request } from "node:http";
import process from "node:process";
import { gzipSync } from "node:zlib";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetView } from "../../src/core/fleet/fleet_view.ts";
import { PublishedView } from "../../src/core/view/published_view.ts";
import { DecisionLog } from "../../src/gateway/decision_log.ts";
import { GatewayMetrics } from "../../src/gateway/gateway_metrics.ts";
import {
  decodePeerBatch,
  encodePeerBatch,
} from "../../src/gateway/peer_batch.ts";
import { ViewSynchronizer } from "../../src/gateway/view_synchronizer.ts";
import { reservePorts } from "../port_reservation.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const ports = await reservePorts(process.pid);

test.after(() => ports.release());

test("a batch is decoded to what was encoded, bytes of any value included", () => {
  const value = Buffer.from([...Array(256).keys()]).toString("base64");
  const peerBatch = {
    batch: {
      era: 3,
      isSnapshot: false,
      asOf: 7,
      changes: [
        { key: "k", revision: 6, value },
        { key: "gone", revision: 7, value: undefined },
      ],
    },
    isAfterOutage: true,
  };
  assert.equal(decodePeerBatch(encodePeerBatch(peerBatch)), peerBatch);
});

test("invalid and oversized batches are rejected", () => {
  const bad = [
    Buffer.from("no gzip"),
    gzipSync("no JSON"),
    gzipSync("null"),
    gzipSync('{"batch":{"isSnapshot":true,"asOf":1}}'),
    gzipSync(
      '{"batch":{"isSnapshot":true,"asOf":"1","changes":[]},"isAfterOutage":false}',
    ),
    gzipSync(Buffer.alloc(32 * 1024 * 1024, 32)),
  ];
  for (const bytes of bad) assert.throws(() => decodePeerBatch(bytes));
});

test("a request with an invalid path or set is answered with 404, and the next one is served", async () => {
  const synchronizer = new ViewSynchronizer({
    store: {
      readAll: () => Promise.reject(new Error("no store here")),
      watch: () => Promise.reject(new Error("no store here")),
      closeConnections: () => {},
    },
    decoder: {
      decode: () => {
        throw new Error("nothing to decode");
      },
    },
    view: new PublishedView(),
    fleet: new FleetView({ id: "a", ip: "127.0.0.1", failureDomain: "a" }),
    log: new DecisionLog("test", "silent"),
    metrics: new GatewayMetrics(),
    leavingMs: 2_000,
    listen: { ip: "127.0.0.1", port: ports.port },
    memory: UNLIMITED_MEMORY,
    handleChange: () => {},
  });
  await synchronizer.listen();
  synchronizer.start();
  const getStatus = (path: string) =>
    new Promise<number | undefined>((resolve, reject) => {
      request({ host: "127.0.0.1", port: ports.port, path }, (response) => {
        response.resume();
        resolve(response.statusCode);
      }).on("error", reject).end();
    });
  assert.is(await getStatus("//"), 404);
  assert.is(await getStatus("/published?set=none"), 404);
  assert.is(await getStatus("/published?set=configuration&after=x"), 200);
  synchronizer.stop();
});

test.run();
