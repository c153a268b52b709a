/**
 * HTTP client for short calls to the store, to engines (orders and reports) and
 * to peers, with a time limit for the whole call.
 */
import { type IncomingHttpHeaders, request } from "node:http";
import type { Buffer } from "node:buffer";
import {
  ByteAccumulator,
  MAX_SMALL_CHUNKS,
} from "../core/execution/byte_accumulator.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import { parseSocketAddress } from "../core/socket_address.ts";
import {
  checkNextHead,
  type HeadCheckedAgent,
} from "../daemon/head_checked_socket.ts";
import { StepError } from "../daemon/step_error.ts";
import type { Milliseconds } from "../core/structures.ts";

export interface HttpRequestOptions {
  /** Name of the call in errors. */
  step: string;
  /** `IP:port`. */
  address: string;
  method: "GET" | "POST";
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /**
   * Time limit for the whole call, from the connection to the end of the
   * response.
   */
  timeoutMs: Milliseconds;
  /**
   * Maximum size of the response body; by default enough for a page of the
   * store.
   */
  maxAnswerBytes?: number;
  /** Budget for the response body while it is read. */
  memory: MemoryBudget;
  agent: HeadCheckedAgent;
  /** Ends the call, which fails then. */
  signal?: AbortSignal | undefined;
}

export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/**
 * A call that failed. `hasBeenSent` says whether a connection existed, so that
 * the server may have read the request; `hasTimedOut` whether the call reached
 * its time limit.
 */
export class HttpRequestError extends StepError {
  readonly hasBeenSent: boolean;
  readonly hasTimedOut: boolean;

  constructor(
    step: string,
    peer: string,
    detail: string,
    call: { hasBeenSent: boolean; hasTimedOut: boolean },
  ) {
    super(detail, { step, peer });
    this.hasBeenSent = call.hasBeenSent;
    this.hasTimedOut = call.hasTimedOut;
  }
}

/**
 * Default maximum size of a response body: a page of the store is a megabyte,
 * and base64 in JSON adds a third.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Sends one request and reads the whole response. */
export function sendHttpRequest(
  options: HttpRequestOptions,
): Promise<HttpResponse> {
  const { step, address, timeoutMs, maxAnswerBytes = MAX_RESPONSE_BYTES } =
    options;
  return new Promise((resolve, reject) => {
    let hasConnected = false;
    const body = new ByteAccumulator({
      maxBytes: maxAnswerBytes,
      memory: options.memory,
      maxSmallChunks: MAX_SMALL_CHUNKS,
    });
    const call = request({
      ...parseSocketAddress(address),
      method: options.method,
      path: options.path,
      headers: options.headers ?? {},
      agent: options.agent,
    });
    const fail = (detail: string, hasTimedOut = false): void => {
      clearTimeout(timer);
      body.release();
      call.destroy();
      reject(
        new HttpRequestError(step, address, detail, {
          hasBeenSent: hasConnected,
          hasTimedOut,
        }),
      );
    };
    const timer = setTimeout(
      () => fail(`no response within ${timeoutMs} ms`, true),
      timeoutMs,
    );
    call.on("socket", (socket) => {
      checkNextHead(socket);
      if (!socket.connecting) hasConnected = true;
      else socket.once("connect", () => hasConnected = true);
    });
    options.signal?.addEventListener("abort", () => fail("cancelled"), {
      once: true,
    });
    call.on("error", (error) => fail(error.message));
    call.on("response", (response) => {
      response.on("data", (chunk: Buffer) => {
        if (!call.destroyed && !body.tryAppend(chunk)) {
          fail("response is too large");
        }
      });
      response.on("error", (error) => fail(error.message));
      response.on("end", () => {
        clearTimeout(timer);
        if (!response.complete) return fail("response is incomplete");
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: body.take(),
        });
      });
    });
    call.end(options.body);
  });
}
