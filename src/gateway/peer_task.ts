/**
 * The message transport between gateways, over UDP. Heartbeats, immediate
 * answers and messages that may be lost are sent once. Other messages are
 * retransmitted until they are acknowledged, and duplicates are discarded,
 * except for permit requests, which are handled each time. UDP has no
 * connections that could hang unnoticed. Datagrams without a valid message are
 * counted and dropped.
 */
import { createSocket, type Socket } from "node:dgram";
import { Buffer } from "node:buffer";
import { RetransmissionTimeouts } from "../core/fleet/retransmission_timeouts.ts";
import { trimPermitTimes } from "../core/admission/permit_age.ts";
import { HANDOVER_LIFETIME_MS } from "../core/ordering/engine_ownership.ts";
import { describeError, StepError } from "../daemon/step_error.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { DecisionLog } from "./decision_log.ts";
import { InputKind, type InputObserver } from "../daemon/event_loop_monitor.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import {
  decodeEnvelope,
  DropReason,
  type Envelope,
} from "./peer_message_decoder.ts";
import type { GatewayMessage } from "./peer_messages.ts";

/** Most message numbers that are remembered to recognise duplicates. */
const MAX_SEEN_MESSAGES = 4_000;
/**
 * Shortest time between log lines on datagrams dropped for the same reason,
 * since anyone may send any number of them.
 */
const DROP_LOG_INTERVAL_MS = 1_000;

/** Why a datagram is sent. */
const DatagramPurpose = {
  Message: "message",
  Retransmission: "retransmission",
  Acknowledgement: "acknowledgement",
} as const;
type DatagramPurpose = (typeof DatagramPurpose)[keyof typeof DatagramPurpose];

interface PendingMessage {
  timer: ReturnType<typeof setTimeout>;
  settle: (isDelivered: boolean) => void;
}

export interface PeerTaskOptions {
  selfId: string;
  incarnation: string;
  ip: string;
  port: number;
  log: DecisionLog;
  metrics: Pick<GatewayMetrics, "count">;
  eventLoop: InputObserver;
  handle: (from: string, message: GatewayMessage) => void;
}

export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #socket: Socket = createSocket({
    type: "udp4",
    lookup: returnLiteralAddress,
  });
  readonly #pending = new Map<number, PendingMessage>();
  readonly #seenMessages = new Set<string>();
  /**
   * Message numbers to acknowledge, by the sender's IP address. They are sent
   * with an immediate answer, or else on their own.
   */
  readonly #pendingAcks = new Map<string, number[]>();
  #ackTimer: ReturnType<typeof setImmediate> | undefined;
  readonly #timeouts = new RetransmissionTimeouts();
  readonly #dropsLoggedAt = new Map<DropReason, Milliseconds>();
  #lastNumber = 0;
  #isClosed = false;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    this.#socket.on("message", (bytes, source) => {
      this.#receive(bytes, source.address);
    });
    this.#socket.on("error", (error) => {
      options.log.warn("peerSocketError", { detail: describeError(error) });
    });
  }

  /**
   * Rejects if the port is in use: a gateway that can't hear its peers must not
   * start.
   */
  listen(): Promise<void> {
    const { ip, port } = this.#options;
    return new Promise((resolve, reject) => {
      const fail = (error: Error): void => {
        this.#socket.removeListener("listening", handleListening);
        const step = { step: "bind the peer socket", peer: `${ip}:${port}` };
        reject(new StepError(describeError(error), { ...step, cause: error }));
      };
      const handleListening = (): void => {
        this.#socket.removeListener("error", fail);
        resolve();
      };
      this.#socket.once("error", fail);
      this.#socket.once("listening", handleListening);
      this.#socket.bind(port, ip);
    });
  }

  /** Sends a message once, without acknowledgement. */
  send(ip: string, message: GatewayMessage): void {
    if (this.#isClosed) return;
    this.#write(ip, this.#encode(ip, { message }), DatagramPurpose.Message);
  }

  /** Retransmits until the peer acknowledges; resolves to whether it did. */
  deliver(ip: string, message: GatewayMessage): Promise<boolean> {
    if (this.#isClosed) return Promise.resolve(false);
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    const bytes = this.#encode(ip, { message, number });
    const offsetsMs = this.#timeouts.listOffsets(ip, getLifetimeMs(message));
    return new Promise((resolve) => {
      let sendCount = 0;
      const startedAt = performance.now();
      const settle = (isDelivered: boolean): void => {
        clearTimeout(this.#pending.get(number)?.timer);
        this.#pending.delete(number);
        if (isDelivered && sendCount === 1) {
          this.#timeouts.recordRoundTrip(ip, performance.now() - startedAt);
        }
        resolve(isDelivered);
      };
      const sendNext = (): void => {
        const isRepeated = sendCount > 0;
        if (isRepeated) this.#timeouts.recordTimeout(ip, performance.now());
        const offsetMs = offsetsMs[sendCount];
        if (offsetMs === undefined) return settle(false);
        this.#write(
          ip,
          bytes,
          isRepeated ? DatagramPurpose.Retransmission : DatagramPurpose.Message,
        );
        sendCount += 1;
        const waitMs = startedAt + offsetMs - performance.now();
        const timer = setTimeout(sendNext, Math.max(5, waitMs));
        this.#pending.set(number, { timer, settle });
      };
      sendNext();
    });
  }

  close(): void {
    this.#isClosed = true;
    for (const pending of this.#pending.values()) clearTimeout(pending.timer);
    clearImmediate(this.#ackTimer);
    this.#pending.clear();
    this.#socket.close();
  }

  #encode(ip: string, part: Partial<Envelope>): Buffer {
    const { selfId, incarnation } = this.#options;
    const envelope: Envelope = { from: selfId, incarnation, ...part };
    const acknowledges = this.#pendingAcks.get(ip);
    if (acknowledges) envelope.acknowledges = acknowledges;
    this.#pendingAcks.delete(ip);
    return Buffer.from(JSON.stringify(envelope));
  }

  #write(ip: string, bytes: Buffer, purpose: DatagramPurpose): void {
    this.#options.metrics.count("peer_datagrams", purpose);
    this.#socket.send(bytes, this.#options.port, ip, (error) => {
      if (!error) return;
      this.#options.log.debug("peerUnsent", {
        peer: ip,
        detail: error.message,
      });
    });
  }

  #receive(bytes: Buffer, ip: string): void {
    const maxDelayMs = this.#options.eventLoop.recordInput(
      InputKind.Datagram,
      performance.now(),
    );
    const decoded = decodeEnvelope(bytes);
    if (decoded.isErr()) {
      this.#recordDrop(decoded.error, ip, performance.now());
      return;
    }
    const { from, incarnation, number, acknowledges, message } = decoded.value;
    for (const each of acknowledges ?? []) {
      this.#pending.get(each)?.settle(true);
    }
    if (!message) return;
    if (maxDelayMs > (getLifetimeMs(message) ?? Number.POSITIVE_INFINITY)) {
      this.#recordDrop(DropReason.Expired, ip, performance.now());
      return;
    }
    if (number !== undefined) {
      this.#scheduleAck(ip, number);
      const isNew = this.#recordSeen(`${incarnation}:${number}`);
      if (!isNew && !needsRepeatedAnswer(message)) return;
    }
    try {
      this.#options.handle(from, trimTimes(message, maxDelayMs));
    } catch (error) {
      this.#recordDrop(
        DropReason.HandlerFault,
        ip,
        performance.now(),
        error instanceof Error ? error.stack : String(error),
      );
    }
  }

  #recordDrop(
    reason: DropReason,
    ip: string,
    now: Milliseconds,
    detail?: string,
  ): void {
    this.#options.metrics.count("peer_messages_dropped", reason);
    const loggedAt = this.#dropsLoggedAt.get(reason);
    if (loggedAt !== undefined && now - loggedAt < DROP_LOG_INTERVAL_MS) return;
    this.#dropsLoggedAt.set(reason, now);
    this.#options.log.warn("peerDatagramDropped", { peer: ip, reason, detail });
  }

  #scheduleAck(ip: string, number: number): void {
    this.#pendingAcks.set(ip, [...this.#pendingAcks.get(ip) ?? [], number]);
    // Runs within this iteration of the event loop; a timer would wake the
    // process once more.
    this.#ackTimer ??= setImmediate(() => {
      this.#ackTimer = undefined;
      for (const peerIp of [...this.#pendingAcks.keys()]) {
        this.#write(
          peerIp,
          this.#encode(peerIp, {}),
          DatagramPurpose.Acknowledgement,
        );
      }
    });
  }

  /** Remembers a message; returns whether it was not seen before. */
  #recordSeen(key: string): boolean {
    if (this.#seenMessages.has(key)) return false;
    this.#seenMessages.add(key);
    if (this.#seenMessages.size > MAX_SEEN_MESSAGES) {
      const [oldest] = this.#seenMessages;
      if (oldest !== undefined) this.#seenMessages.delete(oldest);
    }
    return true;
  }
}

/**
 * Returns whether duplicates of a message are handled, too. A repeated permit
 * request is answered again, since the first answer may have been lost together
 * with the acknowledgement.
 */
function needsRepeatedAnswer(message: GatewayMessage): boolean {
  return message.kind === "permitRequest";
}

/**
 * Returns after which time a message is of no use, whatever the peer's
 * round-trip time; undefined if it does not age.
 */
function getLifetimeMs(message: GatewayMessage): Milliseconds | undefined {
  return message.kind === "handover" ? HANDOVER_LIFETIME_MS : undefined;
}

/** Returns the message as its sender would send it now. */
function trimTimes(
  message: GatewayMessage,
  maxDelayMs: Milliseconds,
): GatewayMessage {
  if (message.kind !== "permitRequest") return message;
  const request = trimPermitTimes(message.request, maxDelayMs);
  return { ...message, request };
}

/**
 * Replaces the name lookup of the socket. Peers are addressed by IP, and the
 * lookup would be half of the cost of sending a datagram.
 */
function returnLiteralAddress(
  address: string,
  _options: object,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, 4);
}
