/** Messages between gateways over UDP. */
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecisionLog } from "../../src/gateway/decision_log.ts";
import { GatewayMetrics } from "../../src/gateway/gateway_metrics.ts";
import type { GatewayMessage } from "../../src/gateway/peer_messages.ts";
import { PeerTask } from "../../src/gateway/peer_task.ts";
import { reservePorts } from "../port_reservation.ts";

const ports = await reservePorts(process.pid);
const PORT = ports.port;

test.after(() => ports.release());

const RELEASED: GatewayMessage = {
  kind: "permitReleased",
  engineId: "e",
  permitId: "p",
};

function createPeer(
  ip: string,
  handle: (from: string, message: GatewayMessage) => void = () => {},
): PeerTask {
  return new PeerTask({
    selfId: ip,
    incarnation: ip,
    ip,
    port: PORT,
    log: new DecisionLog("test", "silent"),
    metrics: new GatewayMetrics(),
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

test.run();
