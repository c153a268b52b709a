/** The task that owns the peers' port: exchanges envelopes with other daemons over gRPC. */
import type { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import {
  type ChannelCredentials,
  credentials,
  logVerbosity,
  makeGenericClientConstructor,
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerReadableStream,
  type ServerUnaryCall,
  type ServiceDefinition,
  setLogVerbosity,
} from "@grpc/grpc-js";
import type { PeerMessage } from "../core/messages.ts";
import { trimLeaseTimes } from "../core/residency/lease_request_age.ts";
import {
  decodeEnvelope,
  encodeReply,
  type EnvelopeStructure,
} from "../protocol/peer_codec.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import type { Bus } from "./bus.ts";
import type { CutReporter } from "./cut_reporter.ts";
import { InputKind, type InputObserver } from "./event_loop_monitor.ts";
import type { Logger } from "./logger.ts";
import { CONNECT_PATH, PeerChannel, toBuffer } from "./peer_channel.ts";
import { PeerListener, type TlsFiles } from "./peer_listener.ts";
import { describeError, StepError } from "./step_error.ts";

const MAX_MESSAGE_BYTES = 8 * 1_048_576;
/** The channel to a peer is replaced when nothing was received from the peer for this long. */
const RECONNECT_AFTER_SILENCE_MS = 5_000;
const INITIAL_RECONNECT_BACKOFF_MS = 50;
const MAX_RECONNECT_BACKOFF_MS = 300;

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
  connect: {
    path: CONNECT_PATH,
    requestStream: true,
    responseStream: false,
    requestSerialize: toBuffer,
    requestDeserialize: (bytes: Buffer) => bytes,
    responseSerialize: toBuffer,
    responseDeserialize: (bytes: Buffer) => bytes,
  },
} satisfies ServiceDefinition;

// grpc-js would write its own lines to standard error; failures are logged here instead.
setLogVerbosity(logVerbosity.NONE);

const PeerClient = makeGenericClientConstructor(PEER_SERVICE, "Peer");

type TlsSettings = NonNullable<DaemonSettings["peers"]["tls"]>;

export interface PeerTaskOptions {
  settings: DaemonSettings;
  bus: Bus;
  logger: Logger;
  eventLoop: InputObserver;
  /** Most connections from other daemons. */
  maxConnections: number;
  cuts: CutReporter;
  getAddress: (id: string) => string | undefined;
}

export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #server = new Server({
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  });
  readonly #channels = new Map<
    string,
    { channel: PeerChannel; openedAt: number }
  >();
  /** When an envelope was last received from each peer, on the monotonic clock. */
  readonly #lastReceivedAt = new Map<string, number>();
  readonly #blocked = new Set<string>();
  #listener: PeerListener | undefined;
  #bytesSent = 0;
  #messagesSent = 0;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    options.bus.on("send", (data) => this.#post(data.to, data.message));
  }

  /** Listens on the peers' port; returns its number. */
  async start(): Promise<number> {
    const { settings } = this.#options;
    this.#server.addService(PEER_SERVICE, {
      deliver: (
        call: ServerUnaryCall<Buffer, Uint8Array>,
        reply: sendUnaryData<Uint8Array>,
      ) => {
        reply(null, encodeReply());
        this.#receive(call.request, call.getPeer());
      },
      connect: (
        call: ServerReadableStream<Buffer, Uint8Array>,
        reply: sendUnaryData<Uint8Array>,
      ) => {
        call.on(
          "data",
          (bytes: Buffer) => this.#receive(bytes, call.getPeer()),
        );
        call.on("end", () => reply(null, encodeReply()));
        call.on("error", () => {});
      },
    });
    const { maxConnections, cuts } = this.#options;
    const tls = this.#readServerTls();
    // The listener ends TLS itself: a connection counts before its handshake.
    const injector = this.#server.createConnectionInjector(
      ServerCredentials.createInsecure(),
    );
    this.#listener = new PeerListener({
      maxConnections,
      tls,
      cuts,
      serve: (connection) => injector.injectConnection(connection),
    });
    try {
      return await this.#listener.listen(settings.peers.listen);
    } catch (cause) {
      throw new StepError(describeError(cause), {
        step: "listenPeers",
        peer: settings.peers.listen,
        cause,
      });
    }
  }

  stop(): void {
    this.#server.forceShutdown();
    this.#listener?.close();
    for (const { channel } of this.#channels.values()) channel.close();
    this.#channels.clear();
  }

  /** Stops communication with these peers, to simulate a network partition in tests. */
  setBlockedPeers(ids: readonly string[]): void {
    this.#blocked.clear();
    for (const id of ids) this.#blocked.add(id);
  }

  getTraffic(): { bytesSent: number; messagesSent: number } {
    return { bytesSent: this.#bytesSent, messagesSent: this.#messagesSent };
  }

  #receive(bytes: Buffer, peerAddress: string): void {
    const maxDelayMs = this.#options.eventLoop.recordInput(
      InputKind.Bytes,
      performance.now(),
    );
    let envelope: EnvelopeStructure;
    try {
      envelope = decodeEnvelope(bytes);
    } catch (error) {
      this.#options.logger.warn("Envelope could not be decoded", {
        step: "decodeEnvelope",
        peer: peerAddress,
        error: describeError(error),
      });
      this.#countEnvelope("envelope_malformed");
      return;
    }
    if (this.#blocked.has(envelope.from)) return;
    if (this.#channels.has(envelope.from)) {
      this.#lastReceivedAt.set(envelope.from, performance.now());
    }
    for (const message of envelope.messages) {
      void this.#options.bus.emit("event", {
        kind: "peerMessage",
        from: envelope.from,
        message: trimLeaseTimes(message, maxDelayMs),
      });
    }
  }

  #post(peerId: string, message: PeerMessage): void {
    if (this.#blocked.has(peerId)) return;
    const address = this.#options.getAddress(peerId);
    if (address === undefined) return;
    this.#getChannel(peerId, address).post(message);
  }

  #reportFailure(peerId: string, error: Error): void {
    this.#countEnvelope("envelope_undelivered");
    this.#options.logger.debug("Envelope was not delivered", {
      step: "deliver",
      peer: peerId,
      error: describeError(error),
    });
  }

  #countEnvelope(counter: string): void {
    void this.#options.bus.emit("count", { kind: "count", counter, tag: "" });
  }

  /** Returns the channel to the peer; replaces it if the address has changed or the peer has been silent too long. */
  #getChannel(peerId: string, address: string): PeerChannel {
    const now = performance.now();
    const existing = this.#channels.get(peerId);
    const lastActivityAt = Math.max(
      this.#lastReceivedAt.get(peerId) ?? 0,
      existing?.openedAt ?? 0,
    );
    const isUsable = existing?.channel.address === address &&
      now - lastActivityAt < RECONNECT_AFTER_SILENCE_MS;
    if (isUsable) return existing.channel;
    existing?.channel.close();
    const channel = new PeerChannel({
      selfId: this.#options.settings.id,
      address,
      client: new PeerClient(address, this.#createClientCredentials(), {
        "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
        "grpc.initial_reconnect_backoff_ms": INITIAL_RECONNECT_BACKOFF_MS,
        "grpc.enable_http_proxy": 0,
      }),
      recordSent: (bytes, messages) => {
        this.#bytesSent += bytes;
        this.#messagesSent += messages;
      },
      reportFailure: (error) => this.#reportFailure(peerId, error),
    });
    this.#channels.set(peerId, { channel, openedAt: now });
    return channel;
  }

  #readServerTls(): TlsFiles | undefined {
    const { peers } = this.#options.settings;
    if (peers.tls) return readTlsFiles(peers.tls);
    if (!isLoopback(peers.listen) && !peers.allowPlaintextBeyondLoopback) {
      throw new StepError(
        `Expected peers.tls or peers.allowPlaintextBeyondLoopback to listen on ${peers.listen}, found neither`,
        { step: "listenPeers", peer: peers.listen },
      );
    }
    return undefined;
  }

  #createClientCredentials(): ChannelCredentials {
    const { tls } = this.#options.settings.peers;
    if (!tls) return credentials.createInsecure();
    const { authority, key, certificate } = readTlsFiles(tls);
    return credentials.createSsl(authority, key, certificate);
  }
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
