/** Small HTTP calls with a bound on the whole exchange, for the store, engines' orders and peers. */
import { Agent, type IncomingHttpHeaders, request } from "node:http";
import { Buffer } from "node:buffer";
import { parseAddress } from "../daemon/http_server.ts";
import { StepError } from "../daemon/step_error.ts";
import type { Milliseconds } from "../core/structures.ts";

export interface HttpRequestOptions {
  /** Names the call in errors. */
  step: string;
  /** `IP:port`. */
  address: string;
  method: "GET" | "POST";
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** The whole exchange is given up after this time. */
  timeoutMs: Milliseconds;
  /** Longer answers are given up; a page of the store by default. */
  maxAnswerBytes?: number;
  agent: Agent;
}

export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** An exchange that failed: `hasBeenSent` tells whether the peer may have read it. */
export class HttpRequestError extends StepError {
  readonly hasBeenSent: boolean;

  constructor(
    step: string,
    peer: string,
    detail: string,
    hasBeenSent: boolean,
  ) {
    super(detail, { step, peer });
    this.hasBeenSent = hasBeenSent;
  }
}

/** Longest answer that is read by default: a page of the store is a megabyte, base64 within JSON a third more. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Makes one call and reads the whole answer. */
export function sendHttpRequest(
  options: HttpRequestOptions,
): Promise<HttpResponse> {
  const { step, address, timeoutMs, maxAnswerBytes = MAX_RESPONSE_BYTES } =
    options;
  return new Promise((resolve, reject) => {
    let hasConnected = false;
    const call = request({
      ...parseAddress(address),
      method: options.method,
      path: options.path,
      headers: options.headers ?? {},
      agent: options.agent,
    });
    const fail = (detail: string): void => {
      clearTimeout(timer);
      call.destroy();
      reject(new HttpRequestError(step, address, detail, hasConnected));
    };
    const timer = setTimeout(
      () => fail(`no answer within ${timeoutMs} ms`),
      timeoutMs,
    );
    call.on("socket", (socket) => {
      if (!socket.connecting) hasConnected = true;
      else socket.once("connect", () => hasConnected = true);
    });
    call.on("error", (error) => fail(error.message));
    call.on("response", (response) => {
      const chunks: Buffer[] = [];
      let length = 0;
      response.on("data", (chunk: Buffer) => {
        length += chunk.length;
        if (length > maxAnswerBytes) fail("answer is too long");
        else chunks.push(chunk);
      });
      response.on("error", (error) => fail(error.message));
      response.on("end", () => {
        clearTimeout(timer);
        if (!response.complete) return fail("answer was cut short");
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    call.end(options.body);
  });
}
