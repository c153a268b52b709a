/**
 * `bench start`: measures the time and memory to load the routes of all
 * adapters, from the platform's keys and from a peer.
 */
import { Buffer } from "node:buffer";
import { stringify } from "yaml";
import type { PeerMessage } from "../../src/core/messages.ts";
import type { TablesStructure } from "../../src/core/structures.ts";
import {
  RevisionSource,
  TableExchange,
} from "../../src/core/tables/table_exchange.ts";
import { TableReplica } from "../../src/core/tables/table_replica.ts";
import { TableSnapshot } from "../../src/core/tables/table_snapshot.ts";
import {
  decodeEnvelope,
  encodeEnvelope,
} from "../../src/protocol/peer_codec.ts";
import { TableFileSet } from "../../src/settings/table_file_set.ts";
import { parseTables, type TableFile } from "../../src/settings/table_files.ts";
import { createTables, editTables } from "../control/fleet_tables.ts";
import { computeSlope } from "../control/slope.ts";
import type { Subcommand } from "../subcommand.ts";

/** Number of routes in one key of the configuration service. */
const ROUTES_PER_KEY = 500;
const CHANGES = 50;

interface StartRow {
  routes: number;
  keys: number;
  largestKeyBytes: number;
  fromKeysMs: number;
  oneKeyParseMs: number;
  fromPeerMs: number;
  peerMessages: number;
  peerBytes: number;
  largestMessageBytes: number;
  heldMegabytes: number;
  publishedChangeMs: number;
  deltaBytes: number;
  deltaMs: number;
}

export const startCommand: Subcommand = {
  name: "start",
  description: "Time and memory to hold the routes of all adapters.",
  options: [
    { flags: "--routes", description: "Sizes", value: "640,6400,64000" },
    { flags: "--json", description: "Print JSON" },
  ],
  run(options) {
    const rows = String(options["routes"]).split(",").map(Number)
      .map(measureStart);
    const slopes = {
      fromKeysMsPerRoute: computeSlope(
        rows.map((row) => [row.routes, row.fromKeysMs]),
      ),
      fromPeerMsPerRoute: computeSlope(
        rows.map((row) => [row.routes, row.fromPeerMs]),
      ),
      bytesHeldPerRoute: computeSlope(
        rows.map((row) => [row.routes, row.heldMegabytes * 1_048_576]),
      ),
      deltaMsPerRoute: computeSlope(
        rows.map((row) => [row.routes, row.deltaMs]),
      ),
    };
    if (options["json"]) console.log(JSON.stringify({ rows, slopes }));
    else {
      console.table(rows);
      console.table(slopes);
    }
  },
};

function measureStart(routes: number): StartRow {
  const sizes = {
    domains: 11,
    daemonsPerDomain: 1,
    upstreamsPerDomain: 1,
    pools: 6,
    routes,
  };
  const source = createTables(sizes, 2);
  const files = createTableFiles(source).map((file) => ({
    ...file,
    text: Buffer.from(file.text).toString(),
  }));
  const parsed = measureTime(() => parseTables(files, 2).unwrap());
  const oneKey = measureTime(() => parseTables(files.slice(0, 2), 2));
  const heapBefore = measureHeap();
  const replica = new TableReplica();
  replica.offerTables(structuredClone(parsed.result));
  const heldMegabytes = (measureHeap() - heapBefore) / 1_048_576;
  const peer = measurePeerTransfer(replica);
  const publishedChangeMs = measurePublishedChange(replica, source, files);
  const change = measureDeltas(replica, parsed.result);
  return {
    routes,
    keys: files.length,
    largestKeyBytes: Math.max(...files.map((file) => file.text.length)),
    fromKeysMs: parsed.ms,
    oneKeyParseMs: oneKey.ms,
    ...peer,
    heldMegabytes: Number(heldMegabytes.toFixed(2)),
    publishedChangeMs,
    ...change,
  };
}

function createTableFiles(tables: TablesStructure): TableFile[] {
  const { customers, pools, routes } = tables;
  const files = [{ name: "pools", text: stringify({ customers, pools }) }];
  for (let start = 0; start < routes.length; start += ROUTES_PER_KEY) {
    const part = routes.slice(start, start + ROUTES_PER_KEY);
    files.push({ name: `routes-${start}`, text: stringify({ routes: part }) });
  }
  return files;
}

/**
 * Transfers all tables in chunks from one exchange to another, through the
 * codec.
 */
function measurePeerTransfer(
  replica: TableReplica,
): Pick<
  StartRow,
  "fromPeerMs" | "peerMessages" | "peerBytes" | "largestMessageBytes"
> {
  const queue: { to: "server" | "client"; message: PeerMessage }[] = [];
  const counts = { peerMessages: 0, peerBytes: 0, largestMessageBytes: 0 };
  const server = createExchange(replica, "client", queue);
  const receivingReplica = new TableReplica();
  const client = createExchange(receivingReplica, "server", queue);
  const { ms } = measureTime(() => {
    client.handlePeerRevisions("server", {
      tablesRevision: replica.getTablesRevision(),
      hostListRevision: 0,
    }, 0);
    for (let queued = queue.shift(); queued; queued = queue.shift()) {
      const bytes = encodeEnvelope({ from: "", messages: [queued.message] });
      counts.peerMessages += 1;
      counts.peerBytes += bytes.length;
      counts.largestMessageBytes = Math.max(
        counts.largestMessageBytes,
        bytes.length,
      );
      const [message] = decodeEnvelope(bytes).messages;
      if (message?.kind === "tablesRequest") {
        server.handleRequest("client", message, 0);
      } else if (message?.kind === "chunkRequest") {
        server.handleChunkRequest("client", message, 0);
      } else if (message?.kind === "tablesChunk") {
        client.handleTablesChunk(
          "server",
          message,
          RevisionSource.LocalDomain,
          0,
        );
      }
    }
  });
  if (receivingReplica.getTablesRevision() !== replica.getTablesRevision()) {
    throw new Error("Expected the transfer to complete, found it incomplete");
  }
  return { fromPeerMs: ms, ...counts };
}

function createExchange(
  replica: TableReplica,
  to: "server" | "client",
  queue: { to: "server" | "client"; message: PeerMessage }[],
): TableExchange {
  return new TableExchange(replica, {
    emit: (effect) => {
      if (effect.kind === "send") queue.push({ to, message: effect.message });
    },
    handleTablesAccepted: () => {},
    handleHostListAccepted: () => {},
    publishTablesDelta: () => {},
    publishHostListDelta: () => {},
  });
}

/**
 * Measures the cost of one changed route for a daemon that reads the platform:
 * it parses the key, computes the delta and applies it.
 */
function measurePublishedChange(
  replica: TableReplica,
  source: TablesStructure,
  files: readonly TableFile[],
): number {
  const fileSet = new TableFileSet();
  for (const file of files) fileSet.parseFile(file);
  fileSet.setBaseline(files, 2);
  const edited = createTableFiles(editTables(source, 1)).map((file) => ({
    ...file,
    text: Buffer.from(file.text).toString(),
  }));
  const { ms } = measureTime(() => {
    const delta = fileSet.findDelta(edited, 3);
    const result = delta && replica.offerPublishedDelta(delta);
    if (result?.kind !== "accepted") {
      throw new Error(`Expected a delta to be accepted, found ${result?.kind}`);
    }
  });
  return ms;
}

/**
 * Measures applying one changed route as a delta, as all daemons do that don't
 * read the platform themselves.
 */
function measureDeltas(
  replica: TableReplica,
  tables: TablesStructure,
): Pick<StartRow, "deltaBytes" | "deltaMs"> {
  const editedTables = editTables(tables, 1);
  let snapshot = TableSnapshot.createFrom(editedTables);
  const deltas = Array.from({ length: CHANGES }, (_, index) => {
    const route = editedTables.routes[index % editedTables.routes.length];
    if (!route) throw new Error("Expected a route, found none");
    const next = snapshot.apply({
      fromRevision: snapshot.revision,
      toRevision: snapshot.revision + 1,
      digest: "",
      customers: [],
      routes: [{ ...route, version: `w${index}` }],
      pools: [],
      removedCustomers: [],
      removedRoutes: [],
      removedPools: [],
    });
    const delta = snapshot.findDelta(next);
    snapshot = next;
    return delta;
  });
  const applied = measureTime(() => {
    for (const delta of deltas) {
      const result = replica.offerTablesDelta(delta);
      if (result.kind !== "accepted") {
        throw new Error(
          `Expected a delta to be accepted, found ${result.kind}`,
        );
      }
    }
  });
  const bytes = encodeEnvelope({
    from: "",
    messages: [{
      kind: "tablesTransfer",
      tablesDeltas: deltas.slice(0, 1),
      hostListDeltas: [],
    }],
  }).length;
  return {
    deltaBytes: bytes,
    deltaMs: Number((applied.ms / CHANGES).toFixed(3)),
  };
}

function measureTime<Result>(
  run: () => Result,
): { result: Result; ms: number } {
  const startedAt = performance.now();
  const result = run();
  return { result, ms: Number((performance.now() - startedAt).toFixed(1)) };
}

function measureHeap(): number {
  const { gc } = globalThis as { gc?: () => void };
  gc?.();
  return process.memoryUsage().heapUsed;
}
