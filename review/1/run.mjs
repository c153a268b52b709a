/**
 * Answers of model replicas go on without end, in pieces of one byte: one in each
 * of three rounds at each gateway. A gateway that reads one must not end by it.
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
const CHANNELS_PER_GATEWAY = 32;
/** Time that a replica reads a prompt before it answers: the route's aim. */
const FIRST_EVENT_MS = 800;
const NOTES_INTERVAL_MS = 100;
const ROUNDS = 3;
const BEFORE_ROUND_MS = 3_000;
const RESTART_MS = 500;
/**
 * "on a tenth of the machines in use (two at least) processes end by themselves
 * three times in the day with no disturbance there": judged for each machine by
 * itself, the strictest reading.
 */
const MACHINES_OF_A_FAULT = 2;
const ENDS_OF_A_FAULT = 3;
/**
 * "... and closes that channel without an answer, more than three times.": judged
 * for each gateway by itself, the strictest reading.
 */
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
      firstEventMs: FIRST_EVENT_MS,
    }),
    new ServiceReplica({
      ...common,
      id: `desk-${index}`,
      service: "desk",
      zone,
      slots: 40,
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

  const clients = fleet.gateways.map((gateway) => new Clients(gateway, record));
  let isOver = false;
  const sendOrders = async (index) => {
    while (!isOver) {
      const answer = await clients[index].call("/order/commit", {});
      // A client that lost its channel goes to another machine; here it rests.
      await sleep(answer.status === 200 ? 20 : 500);
    }
  };
  const senders = clients.flatMap((_, index) =>
    Array.from({ length: CHANNELS_PER_GATEWAY }, () => sendOrders(index))
  );
  const sendNotes = async (index) => {
    for (let count = 0; !isOver; count += 1) {
      if (!fleet.gateways[index].end) {
        void callNotes(clients[index], `s${index}.${count}`);
      }
      await sleep(NOTES_INTERVAL_MS);
    }
  };
  const notes = clients.map((_, index) => sendNotes(index));
  // One answer in each round and at each gateway never ends.
  const ownEnds = fleet.gateways.map(() => 0);
  const playRounds = async (index) => {
    const gateway = fleet.gateways[index];
    for (let round = 1; round <= ROUNDS; round += 1) {
      await sleep(BEFORE_ROUND_MS);
      const id = `${ENDLESS_PREFIX}.${index}.${round}`;
      await callNotes(clients[index], id);
      await sleep(RESTART_MS);
      if (!gateway.end) continue;
      ownEnds[index] += 1;
      const { code, signal } = gateway.end;
      record.add({ kind: "endedItself", gateway: gateway.name, code, signal });
      await fleet.restart(index);
    }
  };
  await Promise.all(clients.map((_, index) => playRounds(index)));
  isOver = true;
  await Promise.all([...senders, ...notes]);
  clients.forEach((each) => each.close());

  // Requests on kept channels that a sound replica began to run, and of whose
  // answers the caller got nothing. The endless ones don't count.
  const ran = new Set(
    record.entries.filter(({ kind }) => kind === "run").map(({ id }) => id),
  );
  const closed = record.entries.filter((entry) =>
    entry.kind === "answered" && entry.closed !== undefined && entry.isKept &&
    ran.has(entry.id) && !entry.id.startsWith(ENDLESS_PREFIX)
  );
  const countClosed = (path) =>
    fleet.gateways.map(({ name }) =>
      closed.filter((entry) => entry.gateway === name && entry.path === path)
        .length
    );
  const orders = countClosed("/order/commit");
  const streams = countClosed("/notes/write");
  const closedByGateway = orders.map((count, index) => count + streams[index]);
  const served = record.entries.filter(({ kind, status }) =>
    kind === "answered" && status === 200
  ).length;
  if (served === 0) throw new Error("no request was served");
  return {
    broken: Math.max(...closedByGateway) > ALLOWED_CLOSED,
    summary: {
      endlessAnswers,
      streamAnswers: record.entries.filter(({ kind, model }) =>
        kind === "run" && model !== undefined
      ).length,
      served,
      ordersClosedWithoutAnswer: orders,
      streamsClosedWithoutAnswer: streams,
      ownEndsOfEachGateway: ownEnds,
      isFault: ownEnds.filter((count) => count >= ENDS_OF_A_FAULT).length >=
        MACHINES_OF_A_FAULT,
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
