/** The answer to one caller: its head, its body as the caller takes it, and its end. */
import { Buffer } from "node:buffer";
import type { Response } from "express";
import type { StoredAnswerStructure } from "../core/messages.ts";
import { needsDrain, writeChunk } from "./chunk_writer.ts";
import type { ResponseHead, ResponseSink } from "./exchange.ts";
import {
  formatRefusal,
  type RefusalStructure,
  sendRefusal,
} from "./refusal_response.ts";

export interface CallerExchangeOptions {
  response: Response;
  isStreamed: boolean;
  /** Time without progress after which a caller that takes nothing is cut off. */
  stallTimeoutMs: number;
  reportBegin: () => void;
}

export class CallerExchange implements ResponseSink {
  readonly #options: CallerExchangeOptions;
  /** Body held back until the answer is known to be whole; undefined for streams. */
  readonly #bufferedChunks: Uint8Array[] | undefined;
  #head: ResponseHead | undefined;

  constructor(options: CallerExchangeOptions) {
    this.#options = options;
    this.#bufferedChunks = options.isStreamed ? undefined : [];
  }

  begin(head: ResponseHead): void {
    this.#head = head;
    this.#options.reportBegin();
    if (!this.#bufferedChunks) writeHead(this.#options.response, head);
  }

  write(chunk: Uint8Array): boolean {
    if (!this.#bufferedChunks) return writeChunk(this.#options.response, chunk);
    this.#bufferedChunks.push(chunk);
    return true;
  }

  /** Waits until a slow caller has taken what was written, or is gone. */
  async waitUntilDrained(): Promise<void> {
    const { response, stallTimeoutMs } = this.#options;
    const { socket } = response;
    if (!needsDrain(response)) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => response.destroy(), stallTimeoutMs);
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

  /** Ends the answer, which is whole. */
  complete(): void {
    const { response } = this.#options;
    if (!this.#head) return;
    this.#setStallTimeout();
    if (!this.#bufferedChunks) {
      response.end();
      return;
    }
    writeHead(response, this.#head);
    response.end(Buffer.concat(this.#bufferedChunks));
  }

  /** Sends an answer that was kept from an earlier call. */
  replay(answer: StoredAnswerStructure): void {
    const { response } = this.#options;
    this.#setStallTimeout();
    response.status(answer.status);
    response.set("content-type", answer.contentType);
    response.set("idempotent-replayed", "true");
    response.end(Buffer.from(answer.body));
  }

  /** Refuses the request; an answer that has begun is broken off and never ended as if whole. */
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
      () => response.destroy(),
    );
  }

  #setStallTimeout(): void {
    const { response, stallTimeoutMs } = this.#options;
    response.setTimeout(stallTimeoutMs, () => response.destroy());
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
