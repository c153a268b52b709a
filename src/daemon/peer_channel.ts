/** The channel to one peer: a long-lived gRPC stream of envelopes, reopened after it fails. */
import { Buffer } from "node:buffer";
import type { Client, ClientWritableStream } from "@grpc/grpc-js";
import type { PeerMessage } from "../core/messages.ts";
import { encodeEnvelope } from "../protocol/peer_codec.ts";

export const CONNECT_PATH = "/pistachiohatch.peer.Peer/Connect";

/** Most messages in one envelope. */
const MAX_ENVELOPE_MESSAGES = 64;
/** Most messages queued for one peer; more are dropped, as a partitioned network would drop them. */
const MAX_QUEUED_MESSAGES = 10_000;

export interface PeerChannelOptions {
  selfId: string;
  address: string;
  client: Client;
  /** Called after each envelope written. */
  recordSent: (bytes: number, messages: number) => void;
  /** Called when the stream fails; messages in transit may be lost. */
  reportFailure: (error: Error) => void;
}

export class PeerChannel {
  readonly #options: PeerChannelOptions;
  readonly #queue: PeerMessage[] = [];
  #stream: ClientWritableStream<Uint8Array> | undefined;
  #isFlushScheduled = false;
  #isClosed = false;

  constructor(options: PeerChannelOptions) {
    this.#options = options;
  }

  get address(): string {
    return this.#options.address;
  }

  /** Queues the message; messages of the same turn of the event loop are sent together. */
  post(message: PeerMessage): void {
    if (this.#queue.length >= MAX_QUEUED_MESSAGES) return;
    this.#queue.push(message);
    this.#scheduleFlush();
  }

  close(): void {
    this.#isClosed = true;
    this.#stream?.cancel();
    this.#options.client.close();
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled || this.#isClosed) return;
    this.#isFlushScheduled = true;
    queueMicrotask(() => {
      this.#isFlushScheduled = false;
      this.#flush();
    });
  }

  /** Writes queued messages until the stream's buffer is full. */
  #flush(): void {
    while (this.#queue.length > 0 && !this.#isClosed) {
      const stream = this.#stream ?? this.#openStream();
      if (stream.writableNeedDrain) return;
      const messages = this.#queue.splice(0, MAX_ENVELOPE_MESSAGES);
      const bytes = encodeEnvelope({ from: this.#options.selfId, messages });
      stream.write(bytes);
      this.#options.recordSent(bytes.length, messages.length);
    }
  }

  #openStream(): ClientWritableStream<Uint8Array> {
    const stream = this.#options.client.makeClientStreamRequest(
      CONNECT_PATH,
      toBuffer,
      (bytes: Buffer) => bytes,
      (error) => this.#handleEnd(stream, error),
    );
    stream.on("drain", () => this.#scheduleFlush());
    // The error is also passed to the callback above.
    stream.on("error", () => {});
    this.#stream = stream;
    return stream;
  }

  #handleEnd(
    stream: ClientWritableStream<Uint8Array>,
    error: Error | null,
  ): void {
    if (this.#stream === stream) this.#stream = undefined;
    if (this.#isClosed) return;
    if (error) this.#options.reportFailure(error);
    if (this.#queue.length > 0) this.#scheduleFlush();
  }
}

/** Returns the bytes as a Buffer, which grpc-js requires, without copying them. */
export function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
