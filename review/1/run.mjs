/**
 * One answer of a model replica to each gateway goes on without end, in pieces of
 * one byte. A gateway that reads it must not take the requests of its other
 * callers with it.
 */
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import {
  buildConfiguration,
  buildRoute,
  Clients,
  runCase,
} from "../standins/case.mjs";
import { Fleet } from "../standins/fleet.mjs";
import { EngineReplica, ServiceReplica } from "../standins/replicas.mjs";
import { Store } from "../standins/store.mjs";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const MODEL = {
  name: "m0",
  weights_mb: 34_300,
  load_s: 0.6,
  adapters: 3_000,
  adapter_mb: 40,
};
/** Requests whose answers never end: one at each gateway. */
const ENDLESS_PREFIX = "endless";
/** 120,000 pieces a second, far below what the gateway can read. */
const PIECES_PER_WRITE = 6_000;
const WRITE_INTERVAL_MS = 50;
const CHANNELS_PER_GATEWAY = 16;
const NOTES_INTERVAL_MS = 100;
const PLAY_MS = 22_000;
const TROUBLE_AT_MS = 6_000;
/** "... and closes that channel without an answer, more than three times." */
const ALLOWED_CLOSED = 3;

await runCase("review/1/record.txt", async ({ record, isTrouble, onEnd }) => {
  const store = new Store();
  const fleet = new Fleet();
  await store.listen(`${fleet.network}.200`);
  fleet.useStore(store.address);
  onEnd(() => store.close());
  store.put(
    "op/config",
    buildConfiguration(10, [
      buildRoute("notes", "stream", "writer", {
        timeout_ms: 15_000,
        target_latency_ms: 800,
      }),
      buildRoute("order", "unsafe", "desk"),
    ], [
      {
        name: "writer",
        health_path: "/healthz",
        max_conns: 500,
        engine: {
          slots: 96,
          kv_capacity: 183_499,
          adapter_slots: 8,
          weights_mb: 35_300,
          models: [MODEL],
        },
      },
      { name: "desk", health_path: "/healthz", max_conns: 110 },
    ]),
  );
  let endlessAnswers = 0;
  const sendBody = (response, id) => {
    if (!isTrouble || !String(id).startsWith(ENDLESS_PREFIX)) return false;
    endlessAnswers += 1;
    sendEndlessBody(response, record);
    return true;
  };
  const common = { store, record: record.add };
  const replicas = ZONES.flatMap((zone, index) => [
    new EngineReplica({
      ...common,
      id: `writer-${index}`,
      service: "writer",
      zone,
      slots: 96,
      model: MODEL,
      weightsMb: 35_300,
      adapterSlots: 8,
      sendBody,
    }),
    new ServiceReplica({
      ...common,
      id: `desk-${index}`,
      service: "desk",
      zone,
      slots: 24,
      queue: 24,
      workMs: 400,
    }),
  ]);
  for (const [index, replica] of replicas.entries()) {
    await replica.listen(`${fleet.network}.${201 + index}`);
    onEnd(() => replica.close());
  }
  onEnd(() => fleet.stop());
  await fleet.start(ZONES);
  await sleep(3_000);

  const startedAt = record.now;
  const endsAt = startedAt + PLAY_MS;
  const clients = fleet.gateways.map((gateway) => new Clients(gateway, record));
  const sendOrders = async (index) => {
    while (record.now < endsAt) {
      const answer = await clients[index].call("/order/commit", {});
      // A client that lost its channel goes to another machine; here it rests.
      await sleep(answer.status === 200 ? 20 : 500);
      if (fleet.gateways[index].end) return;
    }
  };
  const orders = clients.flatMap((_, index) =>
    Array.from({ length: CHANNELS_PER_GATEWAY }, () => sendOrders(index))
  );
  const sendNotes = async (index) => {
    for (let count = 0; record.now < endsAt; count += 1) {
      if (fleet.gateways[index].end) return;
      void callNotes(clients[index], `s${index}.${count}`);
      await sleep(NOTES_INTERVAL_MS);
    }
  };
  const notes = clients.map((_, index) => sendNotes(index));
  await sleep(TROUBLE_AT_MS);
  const streams = clients.map((each, index) =>
    callNotes(each, `${ENDLESS_PREFIX}.${index}`)
  );
  await Promise.all([...orders, ...notes, ...streams]);

  const ran = new Set(
    record.entries.filter(({ kind, service }) =>
      kind === "run" && service === "desk"
    ).map(({ id }) => id),
  );
  const closed = record.entries.filter((entry) =>
    entry.kind === "answered" && entry.path === "/order/commit" &&
    entry.closed !== undefined && entry.isKept && ran.has(entry.id)
  );
  const ends = fleet.gateways.filter(({ end }) => end).map(({ name, end }) => ({
    name,
    code: end.code,
    signal: end.signal,
  }));
  const served = record.entries.filter(({ kind, status }) =>
    kind === "answered" && status === 200
  ).length;
  if (served === 0) throw new Error("no request was served");
  return {
    broken: closed.length > ALLOWED_CLOSED,
    summary: {
      endlessAnswers,
      streamAnswers: record.entries.filter(({ kind, model }) =>
        kind === "run" && model !== undefined
      ).length,
      served,
      ordersClosedWithoutAnswer: closed.length,
      gatewaysThatEndedThemselves: ends,
    },
  };
});

function callNotes(clients, id) {
  return clients.call("/notes/write", {
    id,
    deadlineMs: 15_000,
    headers: {
      "X-Model": "m0",
      "X-Token-Counts": "626,60",
      "X-Prompt-Prefix": `5c1e07a2:126,${hash(id)}:500`,
    },
  });
}

function hash(text) {
  let sum = 7;
  for (const letter of text) sum = (sum * 31 + letter.charCodeAt(0)) >>> 0;
  return sum.toString(16).padStart(8, "0");
}

/** Writes one-byte chunks until the channel is closed. */
function sendEndlessBody(response, record) {
  const { socket } = response;
  const pieces = Buffer.from("1\r\nx\r\n".repeat(PIECES_PER_WRITE));
  let count = 0;
  response.flushHeaders();
  const timer = setInterval(() => {
    if (socket.writableNeedDrain) return;
    count += PIECES_PER_WRITE;
    socket.write(pieces);
  }, WRITE_INTERVAL_MS);
  socket.once("close", () => {
    clearInterval(timer);
    record.add({ kind: "endlessEnded", pieces: count });
  });
}
