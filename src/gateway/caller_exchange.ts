/** One caller's request, whose body has been read, and its single response. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../core/structures.ts";
import { writeChunk } from "../daemon/chunk_writer.ts";
import { abortResponse } from "../daemon/response_abort.ts";
import type { RequestMetadata } from "./ports.ts";
import { stripRawHeaders } from "./raw_headers.ts";
import { encodeRelayVerdict, type RelayVerdict } from "./relay_headers.ts";

/**
 * Number of bytes written but not yet read by the caller above which reading
 * from the upstream pauses: some thousand events.
 */
const WRITE_BUFFER_LIMIT_BYTES = 256 * 1024;
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);

export interface CallerExchangeOptions {
  request: IncomingMessage;
  response: ServerResponse;
  metadata: RequestMetadata;
  body: Buffer;
  /**
   * When the request is expected to have arrived, on the clock of
   * `performance.now()`.
   */
  arrivedAt: Milliseconds;
  /** Expected time from then until the head of the request was read. */
  readDelayMs: Milliseconds;
  /** Returns whether the connection is to be closed after this response. */
  isClosing: () => boolean;
  /** Whether a peer relayed the request. */
  isRelayed: boolean;
  /** Sets the listener for the caller's departure before the response ends. */
  onDeparture: (listener: () => void) => void;
}

export class CallerExchange {
  readonly #options: CallerExchangeOptions;
  #isDisconnected = false;
  #hasWritten = false;
  #disconnectListener: (() => void) | undefined;

  constructor(options: CallerExchangeOptions) {
    this.#options = options;
    options.onDeparture(() => {
      this.#isDisconnected = true;
      this.#disconnectListener?.();
    });
  }

  get metadata(): RequestMetadata {
    return this.#options.metadata;
  }

  get isRelayed(): boolean {
    return this.#options.isRelayed;
  }

  get body(): Buffer {
    return this.#options.body;
  }

  get arrivedAt(): Milliseconds {
    return this.#options.arrivedAt;
  }

  get readDelayMs(): Milliseconds {
    return this.#options.readDelayMs;
  }

  get method(): string {
    return this.#options.request.method ?? "GET";
  }

  /** Path and query as the caller sent them. */
  get url(): string {
    return this.#options.request.url ?? "/";
  }

  get rawHeaders(): string[] {
    return this.#options.request.rawHeaders;
  }

  /** Whether the caller disconnected before the response was complete. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  get hasSentHeaders(): boolean {
    return this.#options.response.headersSent;
  }

  /**
   * Whether only the close of the connection tells the caller where a stream
   * ends: HTTP/1.0 has no chunks.
   */
  get isFramedByClose(): boolean {
    return !this.#options.response.useChunkedEncodingByDefault;
  }

  /**
   * Sets the listener that is called if the caller disconnects before the
   * response is complete. It is called at once if that has already happened.
   */
  onDisconnect(listener: () => void): void {
    this.#disconnectListener = listener;
    if (this.#isDisconnected) listener();
  }

  /** Calls the listener when the response has been sent or its connection is lost. */
  onClose(listener: () => void): void {
    const { response } = this.#options;
    if (response.closed) listener();
    else response.once("close", listener);
  }

  /** Sends a response with a complete body. */
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

  /**
   * Sends a response that the gateway makes itself: a JSON object with the
   * error.
   * @param verdict what a peer that relayed the request learns.
   */
  sendError(
    status: number,
    rawHeaders: readonly string[],
    text: string,
    verdict: RelayVerdict,
  ): void {
    const headers = [
      ...rawHeaders,
      ...(this.isRelayed ? encodeRelayVerdict(verdict) : []),
      "Content-Type",
      "application/json",
    ];
    const body = Buffer.from(`${JSON.stringify({ error: text })}\n`);
    this.sendResponse(status, headers, body);
  }

  /** Sends the head of a response whose chunks follow. */
  startStream(status: number, rawHeaders: readonly string[]): void {
    if (this.#isDisconnected || this.hasSentHeaders) return;
    this.#writeHead(status, stripContentLength(rawHeaders));
  }

  write(chunk: Buffer): void {
    if (chunk.length === 0 || this.#isDisconnected) return;
    const { response } = this.#options;
    // Node.js sends the head together with the first chunk.
    if (this.#hasWritten) writeChunk(response, chunk);
    else response.write(chunk);
    this.#hasWritten = true;
  }

  /**
   * Whether more bytes wait for the caller to read them than the limit allows.
   */
  get isWriteBufferFull(): boolean {
    const { socket } = this.#options.response;
    return socket !== null && socket.writableLength > WRITE_BUFFER_LIMIT_BYTES;
  }

  /** Calls the listener once, when the caller has read what was written. */
  onDrain(listener: () => void): void {
    this.#options.response.socket?.once("drain", listener);
  }

  /** Ends a streamed response as complete. */
  end(): void {
    if (!this.#isDisconnected) this.#options.response.end();
  }

  /**
   * Closes the connection, so that the caller sees the response as incomplete.
   */
  abort(): void {
    abortResponse(this.#options.response);
  }

  #writeHead(status: number, rawHeaders: string[]): void {
    const headers = this.#options.isClosing()
      ? [...rawHeaders, "Connection", "close"]
      : rawHeaders;
    this.#options.response.writeHead(status, headers);
  }
}

/**
 * Removes Content-Length: it is set anew for a complete body, and a stream uses
 * chunked transfer coding.
 */
function stripContentLength(rawHeaders: readonly string[]): string[] {
  return stripRawHeaders(rawHeaders, LENGTH_HEADERS);
}
