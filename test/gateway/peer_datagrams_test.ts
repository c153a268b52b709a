/**
 * Arbitrary datagrams: whatever isn't a complete, valid message is counted and
 * changes nothing.
 */
import { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecisionLog } from "../../src/gateway/decision_log.ts";
import { EventLoopMonitor } from "../../src/daemon/event_loop_monitor.ts";
import { GatewayMetrics } from "../../src/gateway/gateway_metrics.ts";
import type { GatewayMessage } from "../../src/gateway/peer_messages.ts";
import { PeerTask } from "../../src/gateway/peer_task.ts";
import { reservePorts } from "../port_reservation.ts";

const ports = await reservePorts(process.pid);
const RECEIVER = "127.0.0.3";
const SENDER = "127.0.0.4";

test.after(() => ports.release());

const HEARTBEAT = {
  sender: { id: SENDER, ip: SENDER, failureDomain: "a" },
  incarnation: "1",
  beat: 1,
  isLeaving: false,
  hasStore: true,
  revisions: { configuration: 1, upstreams: 1 },
  heldEngines: ["e"],
  fetchesInFlight: 0,
  fenceUnixMs: 1,
  sample: [["m", "127.0.0.5", "a", 3]],
  strikes: [{ fingerprint: "f", strikes: 1 }],
};
const REQUEST = {
  permitId: "p",
  holder: SENDER,
  model: "m",
  adapter: "a1",
  adapterPath: "m/a1",
  priorityRank: 0,
  promptTokens: 1,
  outputTokens: 1,
  promptParts: [{ id: "x", tokens: 1 }],
  patienceMs: 1,
  firstTokenBudgetMs: 1,
  lifetimeMs: 1,
  isLastChoice: false,
};
const RELEASED = { kind: "permitReleased", engineId: "e", permitId: "p" };

/**
 * Sends raw datagrams to a receiver, followed by a valid message; returns the
 * messages handled and the reasons of drops.
 */
async function receive(
  texts: readonly (string | Buffer)[],
  afterHandling: (message: GatewayMessage) => void = () => {},
) {
  const handled: GatewayMessage[] = [];
  const dropped: string[] = [];
  const metrics = new GatewayMetrics();
  metrics.count = (name, reason) => {
    if (name === "peer_messages_dropped") dropped.push(reason);
  };
  const eventLoop = new EventLoopMonitor(performance.now());
  const receiver = new PeerTask({
    selfId: RECEIVER,
    incarnation: "r",
    ip: RECEIVER,
    port: ports.port,
    log: new DecisionLog("test", "silent"),
    metrics,
    eventLoop,
    handle: (_from, message) => {
      handled.push(message);
      afterHandling(message);
    },
  });
  await receiver.listen();
  const socket = createSocket("udp4");
  const acknowledged = new Promise<void>((resolve) => {
    socket.on("message", () => resolve());
  });
  await new Promise<void>((resolve) =>
    socket.bind(ports.port, SENDER, resolve)
  );
  const last = encode(RELEASED, { number: 77 });
  for (const text of [...texts, last]) {
    socket.send(text, ports.port, RECEIVER);
  }
  await acknowledged;
  socket.close();
  receiver.close();
  eventLoop.stop();
  return { handled, dropped };
}

function encode(message: object, rest: object = {}): string {
  return JSON.stringify({ from: SENDER, incarnation: "1", message, ...rest });
}

test("bytes that aren't an envelope are counted and don't stop the receiver", async () => {
  const { handled, dropped } = await receive([
    "null",
    "5",
    "[]",
    '{"acknowledges":5}',
    '{"acknowledges":[{}]}',
    '{"from":1,"incarnation":"1"}',
    "{",
    "",
    Buffer.from([0xff, 0x00, 0xfe]),
    "[".repeat(60_000),
  ]);
  assert.equal(handled, [RELEASED]);
  assert.equal(dropped.length, 10);
});

test("messages with missing fields or wrong types are dropped", async () => {
  const bad: object[] = [
    { kind: "heartbeat" },
    { kind: "heartbeat", heartbeat: {} },
    { kind: "heartbeat", heartbeat: { ...HEARTBEAT, strikes: undefined } },
    { kind: "heartbeat", heartbeat: { ...HEARTBEAT, sample: [["m"]] } },
    { kind: "heartbeat", heartbeat: { ...HEARTBEAT, beat: "1" } },
    { kind: "permitRequest", engineId: "e" },
    {
      kind: "permitRequest",
      engineId: "e",
      request: { ...REQUEST, patienceMs: null },
    },
    { kind: "permitAnswer", engineId: "e", answer: { kind: "maybe" } },
    { kind: "permitReleased", engineId: 5, permitId: "p" },
    { ...RELEASED, longestPauseMs: -1 },
    { ...RELEASED, longestPauseMs: "400" },
    {
      kind: "permitRequest",
      engineId: "e",
      request: { ...REQUEST, latencyObjectiveMs: "800" },
    },
    { kind: "runsHeld", engineId: "e", runs: [null] },
    { kind: "handover", engineId: "e", handover: { adapters: [["a"]] } },
  ];
  const { handled, dropped } = await receive(bad.map((each) => encode(each)));
  assert.equal(handled, [RELEASED]);
  assert.equal(dropped, bad.map(() => "invalid"));
});

test("the optional fields of permit messages pass", async () => {
  const request = {
    ...REQUEST,
    latencyObjectiveMs: 800,
    interTokenObjectiveMs: 400,
    customer: 4_294_967_295,
  };
  const good: object[] = [
    { kind: "permitRequest", engineId: "e", request },
    { ...RELEASED, longestPauseMs: 412.5 },
  ];
  const { handled, dropped } = await receive(good.map((each) => encode(each)));
  assert.equal(handled, [...good, RELEASED]);
  assert.equal(dropped, []);
});

test("messages with addresses that can't be used, or numbers out of range, are dropped", async () => {
  const { sender } = HEARTBEAT;
  const heartbeats: object[] = [
    { sender: { ...sender, ip: "999.1.1.1" } },
    { sender: { ...sender, ip: "a name" } },
    { sender: { ...sender, ip: "0.0.0.0" } },
    { sample: [["m", "224.0.0.1", "a", 3]] },
    { revisions: { configuration: 1, upstreams: 1e300 } },
    { revisions: { configuration: -1, upstreams: 1 } },
    { beat: 1e300 },
    { fetchesInFlight: -1e9 },
    { promisedMs: 1e300 },
  ];
  const requests: object[] = [
    { patienceMs: 1e12 },
    { lifetimeMs: 1e300 },
    { promptTokens: -1 },
    { customer: -1 },
    { customer: 2 ** 32 },
    { customer: 0.5 },
  ];
  const handover = {
    acceptedAgeMs: 1,
    models: [],
    sequence: 1e300,
    bornAtUnixMs: 1,
    adapters: [],
  };
  const bad: object[] = [
    ...heartbeats.map((fields) => ({
      kind: "heartbeat",
      heartbeat: { ...HEARTBEAT, ...fields },
    })),
    ...requests.map((fields) => ({
      kind: "permitRequest",
      engineId: "e",
      request: { ...REQUEST, ...fields },
    })),
    { kind: "handover", engineId: "e", handover },
  ];
  const { handled, dropped } = await receive(bad.map((each) => encode(each)));
  assert.equal(handled, [RELEASED]);
  assert.equal(dropped, bad.map(() => "invalid"));
});

test("messages that name another sender than the envelope are dropped", async () => {
  const other = { ...HEARTBEAT, sender: { ...HEARTBEAT.sender, id: "x" } };
  const { handled, dropped } = await receive([
    encode({ kind: "heartbeat", heartbeat: other }),
    encode({
      kind: "permitRequest",
      engineId: "e",
      request: { ...REQUEST, holder: "x" },
    }),
  ]);
  assert.equal(handled, [RELEASED]);
  assert.equal(dropped, ["foreignSender", "foreignSender"]);
});

test("messages of a later version: unknown fields are ignored, unknown kinds are counted", async () => {
  const { handled, dropped } = await receive([
    encode({ kind: "heartbeat", heartbeat: { ...HEARTBEAT, later: 1 } }),
    encode({ kind: "permitRequest", engineId: "e", request: REQUEST }),
    encode({ kind: "somethingLater", engineId: "e" }),
  ]);
  assert.equal(handled, [
    { kind: "heartbeat", heartbeat: HEARTBEAT },
    { kind: "permitRequest", engineId: "e", request: REQUEST },
    RELEASED,
  ]);
  assert.equal(dropped, ["unknownKind"]);
});

test("a repeated permit request is handled again, other repeated messages once", async () => {
  const question = encode(
    { kind: "permitRequest", engineId: "e", request: REQUEST },
    { number: 5 },
  );
  const release = encode(RELEASED, { number: 6 });
  const { handled } = await receive([question, question, release, release]);
  assert.equal(handled.map((message) => message.kind), [
    "permitRequest",
    "permitRequest",
    "permitReleased",
    "permitReleased",
  ]);
});

test("an error in handling one message doesn't affect the others", async () => {
  const { handled, dropped } = await receive(
    [encode({ ...RELEASED, permitId: "faulty" })],
    (message) => {
      const isFaulty = message.kind === "permitReleased" &&
        message.permitId === "faulty";
      if (isFaulty) throw new Error("injected fault");
    },
  );
  assert.equal(handled.length, 2);
  assert.equal(dropped, ["handlerFault"]);
});

test.run();
