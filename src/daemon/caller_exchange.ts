/** The HTTP response to one caller: headers, body with backpressure, and end. */
import { Buffer } from "node:buffer";
import type { Response } from "express";
import type { ByteAccumulator } from "../core/execution/byte_accumulator.ts";
import type { StoredAnswerStructure } from "../core/messages.ts";
import { needsDrain, writeChunk } from "./chunk_writer.ts";
import type { ResponseHead, ResponseSink } from "./exchange.ts";
import { abortResponse } from "./response_abort.ts";
import {
  formatRefusal,
  type RefusalStructure,
  sendRefusal,
} from "./refusal_response.ts";

export interface CallerExchangeOptions {
  response: Response;
  /**
   * Collects the body until the response is known to be complete; undefined for
   * streams, which are written as they arrive.
   */
  body: ByteAccumulator | undefined;
  /** The connection is closed when the caller has read nothing for this long. */
  stallTimeoutMs: number;
  reportBegin: () => void;
}

export class CallerExchange implements ResponseSink {
  readonly #options: CallerExchangeOptions;
  #head: ResponseHead | undefined;

  constructor(options: CallerExchangeOptions) {
    this.#options = options;
    options.response.once("close", () => options.body?.release());
  }

  begin(head: ResponseHead): void {
    this.#head = head;
    this.#options.reportBegin();
    if (!this.#options.body) writeHead(this.#options.response, head);
  }

  write(chunk: Uint8Array): boolean {
    const { body, response } = this.#options;
    if (!body) return writeChunk(response, chunk);
    if (!body.tryAppend(chunk)) {
      throw new Error(
        `Expected memory for the response, found none after ${body.length} bytes`,
      );
    }
    return true;
  }

  /** Waits until the write buffer has drained or the connection is closed. */
  async waitUntilDrained(): Promise<void> {
    const { response, stallTimeoutMs } = this.#options;
    const { socket } = response;
    if (!needsDrain(response)) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => abortResponse(response), stallTimeoutMs);
      const proceed = (): void => {
        clearTimeout(timer);
        response.off("drain", proceed);
        socket?.off("drain", proceed);
        response.off("close", proceed);
        resolve();
      };
      response.once("drain", proceed);
      socket?.once("drain", proceed);
      response.once("close", proceed);
    });
  }

  /** Ends a response that is complete. */
  complete(): void {
    const { body, response } = this.#options;
    if (!this.#head) return;
    this.#setStallTimeout();
    if (!body) {
      response.end();
      return;
    }
    writeHead(response, this.#head);
    response.end(body.bytes);
  }

  /** Sends the response stored from an earlier call with the same ticket. */
  replay(answer: StoredAnswerStructure): void {
    const { response } = this.#options;
    this.#setStallTimeout();
    response.status(answer.status);
    response.set("content-type", answer.contentType);
    response.set("idempotent-replayed", "true");
    response.end(Buffer.from(answer.body));
  }

  /**
   * Sends a refusal. If headers have been sent, it is sent as an error event, and
   * the connection is closed without the last chunk, so that the caller can't take
   * the response for complete.
   */
  refuse(refusal: RefusalStructure): void {
    const { response } = this.#options;
    this.#setStallTimeout();
    if (!response.headersSent) {
      sendRefusal(response, refusal);
      return;
    }
    const event = JSON.stringify(formatRefusal(refusal));
    response.write(
      `event: error\ndata: ${event}\n\n`,
      () => abortResponse(response),
    );
  }

  #setStallTimeout(): void {
    const { response, stallTimeoutMs } = this.#options;
    response.setTimeout(stallTimeoutMs, () => abortResponse(response));
  }
}

function writeHead(response: Response, head: ResponseHead): void {
  const [adapter, version] = head.servedModel.split("@");
  response.status(head.status);
  response.set("content-type", head.contentType);
  if (version !== undefined) {
    response.set("x-adapter", adapter ?? "");
    response.set("x-adapter-version", version);
  }
  response.set("x-tables-revision", String(head.tablesRevision));
  if (head.contentType.startsWith("text/event-stream")) response.flushHeaders();
}
