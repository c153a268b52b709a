/** Messages between gateways over UDP. */
import { createSocket } from "node:dgram";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MAX_HANDOVER_DELAY_MS } from "../../src/core/ordering/engine_ownership.ts";
import type { InputObserver } from "../../src/daemon/event_loop_monitor.ts";
import { DecisionLog } from "../../src/gateway/decision_log.ts";
import { GatewayMetrics } from "../../src/gateway/gateway_metrics.ts";
import type { GatewayMessage } from "../../src/gateway/peer_messages.ts";
import { PeerTask } from "../../src/gateway/peer_task.ts";
import { reservePorts } from "../port_reservation.ts";

const ports = await reservePorts(process.pid);
const PORT = ports.port;

test.after(() => ports.release());

/** An event loop that reads everything at once. */
const TIMELY: InputObserver = { recordInput: () => 0 };

const RELEASED: GatewayMessage = {
  kind: "permitReleased",
  engineId: "e",
  permitId: "p",
};

function createPeer(
  ip: string,
  handle: (from: string, message: GatewayMessage) => void = () => {},
  eventLoop: InputObserver = TIMELY,
): PeerTask {
  return new PeerTask({
    selfId: ip,
    incarnation: ip,
    ip,
    port: PORT,
    log: new DecisionLog("test", "silent"),
    metrics: new GatewayMetrics(),
    eventLoop,
    handle,
  });
}

test("listening on a port that is in use fails", async () => {
  const first = createPeer("127.0.0.1");
  await first.listen();
  const second = createPeer("127.0.0.1");
  const error = await second.listen().catch((each) => each);
  assert.instance(error, Error);
  assert.match(String(error), "EADDRINUSE");
  first.close();
});

test("a message that is sent after the close throws", async () => {
  const sender = createPeer("127.0.0.1");
  await sender.listen();
  sender.close();
  sender.send("127.0.0.2", RELEASED);
  assert.not(await sender.deliver("127.0.0.2", RELEASED));
});

test("a message is handled once and acknowledged; delivery to a silent peer fails", async () => {
  const seen: string[] = [];
  const sender = createPeer("127.0.0.1");
  const receiver = createPeer("127.0.0.2", (from, message) => {
    seen.push(`${from} ${message.kind}`);
  });
  await sender.listen();
  await receiver.listen();
  assert.ok(await sender.deliver("127.0.0.2", RELEASED));
  assert.equal(seen, ["127.0.0.1 permitReleased"]);
  receiver.close();
  assert.not(await sender.deliver("127.0.0.2", RELEASED));
  sender.close();
});

/**
 * Time after which the slow peer acknowledges: as a host does that has little
 * processor time left.
 */
const SLOW_ACK_MS = 90;

test("messages to a slow peer are not all sent three times", async () => {
  const sender = createPeer("127.0.0.1");
  await sender.listen();
  const slow = createSocket("udp4");
  let received = 0;
  slow.on("message", (bytes, source) => {
    received += 1;
    const { number } = JSON.parse(bytes.toString());
    setTimeout(() => {
      const ack = { from: "slow", incarnation: "s", acknowledges: [number] };
      slow.send(JSON.stringify(ack), PORT, source.address);
    }, SLOW_ACK_MS);
  });
  await new Promise<void>((resolve) => slow.bind(PORT, "127.0.0.2", resolve));
  const count = 20;
  const outcomes = new Set<boolean>();
  for (let sent = 0; sent < count; sent += 1) {
    outcomes.add(await sender.deliver("127.0.0.2", RELEASED));
  }
  await new Promise((resolve) => setTimeout(resolve, 2 * SLOW_ACK_MS));
  slow.close();
  sender.close();
  assert.equal([...outcomes], [true]);
  assert.ok(received <= 1.5 * count, `${received} datagrams for ${count}`);
});

const HANDOVER: GatewayMessage = {
  kind: "handover",
  engineId: "e",
  handover: {
    sequence: 3,
    bornAtUnixMs: 1,
    acceptedAgeMs: 0,
    models: [],
    adapters: [],
    recentOwners: [],
  },
};

test("a handover reaches a slow successor when its ages are no longer true", async () => {
  const sender = createPeer("127.0.0.1");
  await sender.listen();
  const silent = createSocket("udp4");
  let sentAt = Number.POSITIVE_INFINITY;
  let lastDelayMs = 0;
  silent.on("message", (bytes) => {
    const { message } = JSON.parse(bytes.toString());
    if (message.kind !== "handover") return;
    lastDelayMs = performance.now() - sentAt;
  });
  await new Promise<void>((resolve) => silent.bind(PORT, "127.0.0.2", resolve));
  // Its round-trip time is now assumed to be long.
  await sender.deliver("127.0.0.2", RELEASED);
  sentAt = performance.now();
  await sender.deliver("127.0.0.2", HANDOVER);
  await new Promise((resolve) => setTimeout(resolve, 50));
  silent.close();
  sender.close();
  assert.ok(lastDelayMs > 0);
  assert.ok(
    lastDelayMs <= MAX_HANDOVER_DELAY_MS,
    `it arrives after ${lastDelayMs} ms`,
  );
});

/**
 * Sends a message twice: it is read at once, and after it has lain unread for up
 * to 700 ms. Returns what the receiver handles.
 */
async function sendUnread(message: GatewayMessage): Promise<GatewayMessage[]> {
  const handled: GatewayMessage[] = [];
  const delaysMs = [0, 700];
  const receiver = createPeer(
    "127.0.0.2",
    (_from, each) => handled.push(each),
    { recordInput: () => delaysMs.shift() ?? 0 },
  );
  const sender = createPeer("127.0.0.1");
  await Promise.all([receiver.listen(), sender.listen()]);
  sender.send("127.0.0.2", message);
  sender.send("127.0.0.2", message);
  while (delaysMs.length > 0) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  receiver.close();
  sender.close();
  return handled;
}

test("a handover that lay unread for longer than it holds is accepted", async () => {
  assert.equal(await sendUnread(HANDOVER), [HANDOVER]);
});

test("a permit request that lay unread keeps the times it was sent with", async () => {
  const handled = await sendUnread({
    kind: "permitRequest",
    engineId: "e",
    request: {
      permitId: "r.1",
      holder: "127.0.0.1",
      model: "m",
      adapter: "a1",
      adapterPath: "m/a1",
      priorityRank: 0,
      promptTokens: 1,
      outputTokens: 1,
      promptParts: [],
      patienceMs: 500,
      firstTokenBudgetMs: 400,
      lifetimeMs: 6_000,
      isLastChoice: false,
    },
  });
  const patiencesMs = handled.map((each) =>
    each.kind === "permitRequest" ? each.request.patienceMs : Number.NaN
  );
  assert.equal(patiencesMs, [500, 150]);
});

test.run();
