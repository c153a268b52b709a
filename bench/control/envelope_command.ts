/**
 * `bench envelope`: measures the bytes on the wire and the processor time of
 * one envelope between two real peer tasks.
 */
import { connect, createServer, type Server } from "node:net";
import type { PeerMessage } from "../../src/core/messages.ts";
import { createBus } from "../../src/daemon/bus.ts";
import { CutReporter } from "../../src/daemon/cut_reporter.ts";
import { createLogger } from "../../src/daemon/logger.ts";
import { PeerTask } from "../../src/daemon/peer_task.ts";
import { encodeEnvelope } from "../../src/protocol/peer_codec.ts";
import { daemonSettingsSchema } from "../../src/settings/daemon_settings.ts";
import type { Subcommand } from "../subcommand.ts";

const WARM_UP_ENVELOPES = 200;
const ENVELOPES = 2_000;
const DELIVERY_TIMEOUT_MS = 2_000;
const LOOPBACK_ANY_PORT = "127.0.0.1:0";
/** Size of the IP and TCP headers of one segment, with timestamps. */
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
  /** Bytes beyond the message, assuming one segment in each direction. */
  overheadBytes: number;
  /** Of sender and receiver together. */
  processorUs: number;
}

async function measureEnvelopes(): Promise<EnvelopeRow> {
  const receiverBus = createBus();
  const receiver = createTask("entry-b", receiverBus, "");
  const port = await receiver.start();
  const byteCounts = { toReceiverBytes: 0, toSenderBytes: 0 };
  const proxy = await startCountingProxy(port, byteCounts);
  const senderBus = createBus();
  const sender = createTask("entry-a", senderBus, proxy.address);
  let received = 0;
  let notifyArrival = (): void => {};
  receiverBus.on("event", () => {
    received += 1;
    notifyArrival();
  });
  const message: PeerMessage = {
    kind: "probeRequest",
    probeId: 1,
    targetId: "entry-c",
  };
  const sendAll = async (count: number): Promise<void> => {
    for (let sent = 0; sent < count; sent += 1) {
      const receivedBefore = received;
      const arrived = new Promise<void>((resolve) => notifyArrival = resolve);
      await senderBus.emit("send", { kind: "send", to: "entry-b", message });
      const timeout = new Promise<void>((resolve) =>
        setTimeout(resolve, DELIVERY_TIMEOUT_MS)
      );
      if (received === receivedBefore) await Promise.race([arrived, timeout]);
    }
  };
  await sendAll(WARM_UP_ENVELOPES);
  byteCounts.toReceiverBytes = 0;
  byteCounts.toSenderBytes = 0;
  const cpuBefore = process.cpuUsage();
  await sendAll(ENVELOPES);
  const { user, system } = process.cpuUsage(cpuBefore);
  sender.stop();
  receiver.stop();
  proxy.server.close();
  const messageBytes = encodeEnvelope({
    from: "entry-a",
    messages: [message],
  }).length;
  const forthBytes = byteCounts.toReceiverBytes / ENVELOPES;
  const backBytes = byteCounts.toSenderBytes / ENVELOPES;
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
    callers: { listen: LOOPBACK_ANY_PORT },
    peers: { listen: LOOPBACK_ANY_PORT },
    operators: { listen: LOOPBACK_ANY_PORT },
    platform: { configuration: "127.0.0.1:1", hostList: "127.0.0.1:1" },
  });
  const logger = createLogger(id, "error");
  return new PeerTask({
    settings,
    bus,
    logger,
    eventLoop: { recordInput: () => 0 },
    maxConnections: settings.peers.maxConnections,
    cuts: new CutReporter({ countCut: () => {}, logCut: () => {} }),
    getAddress: () => address,
  });
}

/** Starts a TCP proxy to the port that counts the bytes in each direction. */
async function startCountingProxy(
  port: number,
  byteCounts: { toReceiverBytes: number; toSenderBytes: number },
): Promise<{ server: Server; address: string }> {
  const server = createServer((incoming) => {
    const outgoing = connect(port, "127.0.0.1");
    outgoing.setNoDelay(true);
    incoming.setNoDelay(true);
    incoming.on("data", (chunk) => {
      byteCounts.toReceiverBytes += chunk.length;
      outgoing.write(chunk);
    });
    outgoing.on("data", (chunk) => {
      byteCounts.toSenderBytes += chunk.length;
      incoming.write(chunk);
    });
    incoming.on("error", () => outgoing.destroy());
    outgoing.on("error", () => incoming.destroy());
    incoming.on("close", () => outgoing.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port: proxyPort } = server.address() as { port: number };
  return { server, address: `127.0.0.1:${proxyPort}` };
}
