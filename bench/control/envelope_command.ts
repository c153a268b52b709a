/** `bench envelope`: bytes on the wire and processor time of one envelope between two real peer tasks. */
import { connect, createServer, type Server } from "node:net";
import type { PeerMessage } from "../../src/core/messages.ts";
import { createBus } from "../../src/daemon/bus.ts";
import { createLogger } from "../../src/daemon/logger.ts";
import { PeerTask } from "../../src/daemon/peer_task.ts";
import { encodeEnvelope } from "../../src/protocol/peer_codec.ts";
import { daemonSettingsSchema } from "../../src/settings/daemon_settings.ts";
import type { Subcommand } from "../subcommand.ts";

const WARM_UPS = 200;
const ENVELOPES = 2_000;
const LOST_AFTER_MS = 2_000;
const LISTEN = "127.0.0.1:0";
/** Bytes of the headers of IP and TCP, with timestamps, of one segment. */
const SEGMENT_HEADER_BYTES = 52;

export const envelopeCommand: Subcommand = {
  name: "envelope",
  description: "Bytes and processor time of one envelope between two daemons.",
  options: [{ flags: "--json", description: "Print JSON" }],
  async run(options) {
    const row = await measureEnvelopes();
    if (options["json"]) console.log(JSON.stringify(row));
    else console.table([row]);
  },
};

interface EnvelopeRow {
  messageBytes: number;
  forthBytes: number;
  backBytes: number;
  /** Beside the message, with one segment each way. */
  overheadBytes: number;
  /** Both ends together. */
  processorUs: number;
}

async function measureEnvelopes(): Promise<EnvelopeRow> {
  const receiverBus = createBus();
  const receiver = createTask("entry-b", receiverBus, "");
  const port = await receiver.start();
  const traffic = { forth: 0, back: 0 };
  const relay = await startRelay(port, traffic);
  const senderBus = createBus();
  const sender = createTask("entry-a", senderBus, relay.address);
  let received = 0;
  let notify = (): void => {};
  receiverBus.on("event", () => {
    received += 1;
    notify();
  });
  const message: PeerMessage = {
    kind: "probeRequest",
    probeId: 1,
    targetId: "entry-c",
  };
  const sendAll = async (count: number): Promise<void> => {
    for (let sent = 0; sent < count; sent += 1) {
      const before = received;
      const arrived = new Promise<void>((resolve) => notify = resolve);
      await senderBus.emit("send", { kind: "send", to: "entry-b", message });
      const timeout = new Promise<void>((resolve) =>
        setTimeout(resolve, LOST_AFTER_MS)
      );
      if (received === before) await Promise.race([arrived, timeout]);
    }
  };
  await sendAll(WARM_UPS);
  traffic.forth = 0;
  traffic.back = 0;
  const before = process.cpuUsage();
  await sendAll(ENVELOPES);
  const { user, system } = process.cpuUsage(before);
  sender.stop();
  receiver.stop();
  relay.server.close();
  const messageBytes = encodeEnvelope({
    from: "entry-a",
    messages: [message],
  }).length;
  const forthBytes = traffic.forth / ENVELOPES;
  const backBytes = traffic.back / ENVELOPES;
  return {
    messageBytes,
    forthBytes: Math.round(forthBytes),
    backBytes: Math.round(backBytes),
    overheadBytes: Math.round(
      forthBytes + backBytes - messageBytes + 2 * SEGMENT_HEADER_BYTES,
    ),
    processorUs: Math.round((user + system) / ENVELOPES),
  };
}

function createTask(
  id: string,
  bus: ReturnType<typeof createBus>,
  address: string,
): PeerTask {
  const settings = daemonSettingsSchema.parse({
    id,
    failureDomain: "a",
    callers: { listen: LISTEN },
    peers: { listen: LISTEN },
    operators: { listen: LISTEN },
    platform: { configuration: "127.0.0.1:1", hostList: "127.0.0.1:1" },
  });
  const logger = createLogger(id, "error");
  return new PeerTask({ settings, bus, logger, getAddress: () => address });
}

/** Passes connections on to the port and counts the bytes each way. */
async function startRelay(
  port: number,
  traffic: { forth: number; back: number },
): Promise<{ server: Server; address: string }> {
  const server = createServer((incoming) => {
    const outgoing = connect(port, "127.0.0.1");
    outgoing.setNoDelay(true);
    incoming.setNoDelay(true);
    incoming.on("data", (chunk) => {
      traffic.forth += chunk.length;
      outgoing.write(chunk);
    });
    outgoing.on("data", (chunk) => {
      traffic.back += chunk.length;
      incoming.write(chunk);
    });
    incoming.on("error", () => outgoing.destroy());
    outgoing.on("error", () => incoming.destroy());
    incoming.on("close", () => outgoing.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port: relayPort } = server.address() as { port: number };
  return { server, address: `127.0.0.1:${relayPort}` };
}
