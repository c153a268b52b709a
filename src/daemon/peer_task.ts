/** The task that owns the peers' port: delivers envelopes over gRPC. */
import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import {
  type ChannelCredentials,
  type Client,
  credentials,
  logVerbosity,
  makeGenericClientConstructor,
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServiceDefinition,
  setLogVerbosity,
} from "@grpc/grpc-js";
import type { PeerMessage } from "../core/messages.ts";
import {
  decodeEnvelope,
  encodeEnvelope,
  encodeReply,
  type EnvelopeStructure,
} from "../protocol/peer_codec.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import type { Bus } from "./bus.ts";
import type { Logger } from "./logger.ts";
import { describeError, StepError } from "./step_error.ts";

const MAX_MESSAGE_BYTES = 8 * 1_048_576;
const DELIVER_TIMEOUT_MS = 1_000;
const INITIAL_RECONNECT_BACKOFF_MS = 50;
const MAX_RECONNECT_BACKOFF_MS = 300;
/** Messages of one envelope. */
const MAX_ENVELOPE_MESSAGES = 64;
/** Envelopes to one peer that it has not yet acknowledged. */
const MAX_ENVELOPES_IN_FLIGHT = 8;
/** Messages that wait for one peer; more are dropped, as a cut network would. */
const MAX_OUTBOX_MESSAGES = 10_000;

const DELIVER_PATH = "/pistachiohatch.peer.Peer/Deliver";

const PEER_SERVICE = {
  deliver: {
    path: DELIVER_PATH,
    requestStream: false,
    responseStream: false,
    requestSerialize: toBuffer,
    requestDeserialize: (bytes: Buffer) => bytes,
    responseSerialize: toBuffer,
    responseDeserialize: (bytes: Buffer) => bytes,
  },
} satisfies ServiceDefinition;

// The library writes lines of its own to standard error; failures are logged here.
setLogVerbosity(logVerbosity.NONE);

const PeerClient = makeGenericClientConstructor(PEER_SERVICE, "Peer");

type TlsSettings = NonNullable<DaemonSettings["peers"]["tls"]>;

interface Outbox {
  client: Client;
  address: string;
  messages: PeerMessage[];
  /** Whether messages posted now go with a flush that is due. */
  isFlushDue: boolean;
  envelopesInFlight: number;
}

export interface PeerTaskOptions {
  settings: DaemonSettings;
  bus: Bus;
  logger: Logger;
  getAddress: (id: string) => string | undefined;
}

export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #server = new Server({
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  });
  readonly #outboxes = new Map<string, Outbox>();
  readonly #blocked = new Set<string>();
  #bytesSent = 0;
  #messagesSent = 0;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    options.bus.on("send", (data) => this.#post(data.to, data.message));
  }

  /** Binds the peers' port; returns the port. */
  async start(): Promise<number> {
    const { settings } = this.#options;
    this.#server.addService(PEER_SERVICE, {
      deliver: (
        call: ServerUnaryCall<Buffer, Uint8Array>,
        reply: sendUnaryData<Uint8Array>,
      ) => this.#receive(call, reply),
    });
    return await new Promise((resolve, reject) => {
      this.#server.bindAsync(
        settings.peers.listen,
        this.#createServerCredentials(),
        (cause, port) => {
          if (!cause) resolve(port);
          else reject(createListenError(settings.peers.listen, cause));
        },
      );
    });
  }

  stop(): void {
    this.#server.forceShutdown();
    for (const outbox of this.#outboxes.values()) outbox.client.close();
    this.#outboxes.clear();
  }

  /** Cuts the exchange with some peers, for tests of partitions. */
  setBlockedPeers(ids: readonly string[]): void {
    this.#blocked.clear();
    for (const id of ids) this.#blocked.add(id);
  }

  getTraffic(): { bytesSent: number; messagesSent: number } {
    return { bytesSent: this.#bytesSent, messagesSent: this.#messagesSent };
  }

  #receive(
    call: ServerUnaryCall<Buffer, Uint8Array>,
    reply: sendUnaryData<Uint8Array>,
  ): void {
    reply(null, encodeReply());
    let envelope: EnvelopeStructure;
    try {
      envelope = decodeEnvelope(call.request);
    } catch (error) {
      this.#options.logger.warn("Envelope could not be decoded", {
        step: "decodeEnvelope",
        peer: call.getPeer(),
        error: describeError(error),
      });
      this.#countEnvelope("envelope_malformed");
      return;
    }
    if (this.#blocked.has(envelope.from)) return;
    for (const message of envelope.messages) {
      void this.#options.bus.emit("event", {
        kind: "peerMessage",
        from: envelope.from,
        message,
      });
    }
  }

  #post(to: string, message: PeerMessage): void {
    if (this.#blocked.has(to)) return;
    const address = this.#options.getAddress(to);
    if (address === undefined) return;
    const outbox = this.#getOutbox(to, address);
    if (outbox.messages.length >= MAX_OUTBOX_MESSAGES) return;
    outbox.messages.push(message);
    this.#scheduleFlush(to, outbox);
  }

  /** Sends what is posted in one turn together, a few envelopes ahead of the peer's replies. */
  #scheduleFlush(to: string, outbox: Outbox): void {
    const canSend = outbox.envelopesInFlight < MAX_ENVELOPES_IN_FLIGHT;
    if (outbox.isFlushDue || !canSend) return;
    outbox.isFlushDue = true;
    queueMicrotask(() => {
      outbox.isFlushDue = false;
      this.#flush(to, outbox);
    });
  }

  #flush(to: string, outbox: Outbox): void {
    const messages = outbox.messages.splice(0, MAX_ENVELOPE_MESSAGES);
    const bytes = encodeEnvelope({
      from: this.#options.settings.id,
      messages,
    });
    this.#bytesSent += bytes.length;
    this.#messagesSent += messages.length;
    outbox.envelopesInFlight += 1;
    outbox.client.makeUnaryRequest(
      DELIVER_PATH,
      PEER_SERVICE.deliver.requestSerialize,
      PEER_SERVICE.deliver.responseDeserialize,
      bytes,
      { deadline: Date.now() + DELIVER_TIMEOUT_MS },
      (error) => {
        if (error) this.#reportFailure(to, error);
        outbox.envelopesInFlight -= 1;
        if (outbox.messages.length > 0) this.#scheduleFlush(to, outbox);
      },
    );
    if (outbox.messages.length > 0) this.#scheduleFlush(to, outbox);
  }

  #reportFailure(to: string, error: Error): void {
    this.#countEnvelope("envelope_undelivered");
    this.#options.logger.debug("Envelope was not delivered", {
      step: "deliver",
      peer: to,
      error: describeError(error),
    });
  }

  #countEnvelope(counter: string): void {
    void this.#options.bus.emit("count", { kind: "count", counter, tag: "" });
  }

  #getOutbox(to: string, address: string): Outbox {
    const known = this.#outboxes.get(to);
    if (known?.address === address) return known;
    known?.client.close();
    const client = new PeerClient(address, this.#createClientCredentials(), {
      "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
      "grpc.initial_reconnect_backoff_ms": INITIAL_RECONNECT_BACKOFF_MS,
      "grpc.enable_http_proxy": 0,
    });
    const outbox: Outbox = {
      client,
      address,
      messages: [],
      isFlushDue: false,
      envelopesInFlight: 0,
    };
    this.#outboxes.set(to, outbox);
    return outbox;
  }

  #createServerCredentials(): ServerCredentials {
    const { peers } = this.#options.settings;
    if (!peers.tls) {
      if (!isLoopback(peers.listen) && !peers.allowPlaintextBeyondLoopback) {
        throw new StepError(
          `Expected peers.tls or peers.allowPlaintextBeyondLoopback to listen on ${peers.listen}, found neither`,
          { step: "listenPeers", peer: peers.listen },
        );
      }
      return ServerCredentials.createInsecure();
    }
    const { authority, key, certificate } = readTlsFiles(peers.tls);
    return ServerCredentials.createSsl(
      authority,
      [{ private_key: key, cert_chain: certificate }],
      true,
    );
  }

  #createClientCredentials(): ChannelCredentials {
    const { tls } = this.#options.settings.peers;
    if (!tls) return credentials.createInsecure();
    const { authority, key, certificate } = readTlsFiles(tls);
    return credentials.createSsl(authority, key, certificate);
  }
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function createListenError(address: string, cause: Error): StepError {
  return new StepError(describeError(cause), {
    step: "listenPeers",
    peer: address,
    cause,
  });
}

interface TlsFiles {
  authority: Buffer;
  key: Buffer;
  certificate: Buffer;
}

function readTlsFiles(tls: TlsSettings): TlsFiles {
  return {
    authority: readTlsFile(tls.authorityFile),
    key: readTlsFile(tls.keyFile),
    certificate: readTlsFile(tls.certificateFile),
  };
}

function readTlsFile(path: string): Buffer {
  try {
    return readFileSync(path);
  } catch (cause) {
    throw new StepError(
      `Expected a readable PEM file, found ${describeError(cause)}`,
      { step: "listenPeers", peer: path, cause },
    );
  }
}

function isLoopback(address: string): boolean {
  return address.startsWith("127.") || address.startsWith("[::1]");
}
