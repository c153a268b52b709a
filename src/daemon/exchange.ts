/** Exchanges with callers, as the upstream task sees them: a request to forward and a sink for the answer. */
import type { Buffer } from "node:buffer";

/** The head of an answer, before any byte of its body. */
export interface ResponseHead {
  status: number;
  contentType: string;
  servedModel: string;
  tablesRevision: number;
}

/** Takes the bytes of one answer. */
export interface ResponseSink {
  /** Starts the answer; called once, before the first chunk. */
  begin(head: ResponseHead): void;
  /** Forwards a chunk; returns whether the caller can take more at once. */
  write(chunk: Uint8Array): boolean;
  /** Resolves when a slow reader has caught up, or is gone. */
  waitUntilDrained(): Promise<void>;
}

/** A caller's request, ready to be forwarded. */
export interface Exchange {
  requestId: string;
  /** Path on an engine, for example `/v1/chat/completions`. */
  path: string;
  /** Body as received, for plain services. */
  rawBody: Buffer;
  /** Parsed body, for engines, whose `model` is replaced. */
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
