/** The way to one peer: a long-lived stream of envelopes, opened anew after it has broken. */
import { Buffer } from "node:buffer";
import type { Client, ClientWritableStream } from "@grpc/grpc-js";
import type { PeerMessage } from "../core/messages.ts";
import { encodeEnvelope } from "../protocol/peer_codec.ts";

export const CONNECT_PATH = "/pistachiohatch.peer.Peer/Connect";

/** Messages of one envelope. */
const MAX_ENVELOPE_MESSAGES = 64;
/** Messages that wait for one peer; more are dropped, as a cut network would. */
const MAX_QUEUED_MESSAGES = 10_000;

export interface PeerChannelOptions {
  selfId: string;
  address: string;
  client: Client;
  /** Counts what was written. */
  recordSent: (bytes: number, messages: number) => void;
  /** Told when the stream breaks; what was under way may be lost. */
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

  /** Sends the message, together with the others of this turn. */
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

  /** Writes what waits, until the peer takes no more. */
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
    // Its failure reaches the callback as well.
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

/** Returns the bytes as the buffer that the transport asks for, without a copy. */
export function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
