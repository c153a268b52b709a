/** One caller's request with its body read, and the one answer that it gets. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../core/structures.ts";
import { writeChunk } from "../daemon/chunk_writer.ts";
import type { RequestMetadata } from "./ports.ts";

/** Bytes written and not read by the caller beyond which its upstream is read no further: some thousand events. */
const WRITE_BUFFER_LIMIT_BYTES = 256 * 1024;

export interface CallerExchangeOptions {
  request: IncomingMessage;
  response: ServerResponse;
  metadata: RequestMetadata;
  body: Buffer;
  /** When the head of the request was read. */
  arrivedAt: Milliseconds;
  /** Whether the connection is to be closed after this answer. */
  isClosing: () => boolean;
}

export class CallerExchange {
  readonly #options: CallerExchangeOptions;
  #isDisconnected = false;
  #hasWritten = false;
  #disconnectListener: (() => void) | undefined;

  constructor(options: CallerExchangeOptions) {
    this.#options = options;
    options.response.once("close", () => {
      if (options.response.writableFinished) return;
      this.#isDisconnected = true;
      this.#disconnectListener?.();
    });
  }

  get metadata(): RequestMetadata {
    return this.#options.metadata;
  }

  get body(): Buffer {
    return this.#options.body;
  }

  get arrivedAt(): Milliseconds {
    return this.#options.arrivedAt;
  }

  get method(): string {
    return this.#options.request.method ?? "GET";
  }

  /** Path and query as sent. */
  get url(): string {
    return this.#options.request.url ?? "/";
  }

  get rawHeaders(): string[] {
    return this.#options.request.rawHeaders;
  }

  /** Whether the caller has closed its connection before the whole answer. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  get hasSentHeaders(): boolean {
    return this.#options.response.headersSent;
  }

  /** Calls back when the caller leaves before the end. */
  onDisconnect(listener: () => void): void {
    this.#disconnectListener = listener;
    if (this.#isDisconnected) listener();
  }

  /** Answers with a whole body. */
  sendResponse(
    status: number,
    rawHeaders: readonly string[],
    body: Buffer,
  ): void {
    if (this.#isDisconnected || this.hasSentHeaders) return;
    const headers = stripContentLength(rawHeaders);
    this.#writeHead(status, [
      ...headers,
      "Content-Length",
      String(body.length),
    ]);
    this.#options.response.end(body);
  }

  /** Answers in the gateway's own name. */
  sendError(
    status: number,
    rawHeaders: readonly string[],
    text: string,
  ): void {
    const headers = [...rawHeaders, "Content-Type", "application/json"];
    const body = Buffer.from(`${JSON.stringify({ error: text })}\n`);
    this.sendResponse(status, headers, body);
  }

  /** Starts an answer whose pieces follow. */
  startStream(status: number, rawHeaders: readonly string[]): void {
    if (this.#isDisconnected || this.hasSentHeaders) return;
    this.#writeHead(status, stripContentLength(rawHeaders));
  }

  write(chunk: Buffer): void {
    if (chunk.length === 0 || this.#isDisconnected) return;
    const { response } = this.#options;
    // The head leaves with the first piece.
    if (this.#hasWritten) writeChunk(response, chunk);
    else response.write(chunk);
    this.#hasWritten = true;
  }

  /** Whether the caller has so much left to read that no more should be written. */
  get isWriteBufferFull(): boolean {
    const { socket } = this.#options.response;
    return socket !== null && socket.writableLength > WRITE_BUFFER_LIMIT_BYTES;
  }

  /** Calls back once when the caller has read what was written. */
  onDrain(listener: () => void): void {
    this.#options.response.socket?.once("drain", listener);
  }

  /** Ends a streamed answer as complete. */
  end(): void {
    if (!this.#isDisconnected) this.#options.response.end();
  }

  /** Closes the connection, so that the answer can't be taken for complete. */
  abort(): void {
    this.#options.response.destroy();
  }

  #writeHead(status: number, rawHeaders: string[]): void {
    const headers = this.#options.isClosing()
      ? [...rawHeaders, "Connection", "close"]
      : rawHeaders;
    this.#options.response.writeHead(status, headers);
  }
}

/** The length of the body is set here, or left to chunks. */
function stripContentLength(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    if (name.toLowerCase() === "content-length") continue;
    kept.push(name, rawHeaders[index + 1] ?? "");
  }
  return kept;
}
