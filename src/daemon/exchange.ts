/** Exchanges with callers as the upstream task sees them: a request to forward and a sink for its response. */
import type { Buffer } from "node:buffer";

/** What is known of a response before its body; sent as status and headers. */
export interface ResponseHead {
  status: number;
  contentType: string;
  servedModel: string;
  tablesRevision: number;
}

/** Receives one response for a caller. */
export interface ResponseSink {
  /** Starts the response; called once, before the first chunk. */
  begin(head: ResponseHead): void;
  /**
   * Writes a chunk; returns false when the writer should wait for
   * `waitUntilDrained`. Throws if the chunk exceeds the limits of a response.
   */
  write(chunk: Uint8Array): boolean;
  /** Resolves when the write buffer has drained or the connection is closed. */
  waitUntilDrained(): Promise<void>;
}

/** A caller's request and the sink for its response. */
export interface Exchange {
  requestId: string;
  /** Path on an engine, for example `/v1/chat/completions`. */
  path: string;
  /** Body as received, for plain services. */
  rawBody: Buffer;
  /** Parsed body, for engines; its `model` is replaced by the served adapter version. */
  jsonBody: Record<string, unknown> | undefined;
  contentType: string;
  isStreamed: boolean;
  ticket: string | undefined;
  sink: ResponseSink;
}

export class ExchangeRegistry {
  readonly #exchanges = new Map<string, Exchange>();

  add(exchange: Exchange): void {
    this.#exchanges.set(exchange.requestId, exchange);
  }

  get(requestId: string): Exchange | undefined {
    return this.#exchanges.get(requestId);
  }

  remove(requestId: string): void {
    this.#exchanges.delete(requestId);
  }
}
