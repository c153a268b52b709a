/** Classifies how attempts end from the responses of upstreams. */
import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import {
  type BodyFraming,
  classifyFraming,
} from "../core/execution/body_framing.ts";
import type { StoredAnswerStructure } from "../core/messages.ts";
import { type AttemptResult, Outcome } from "../core/outcomes.ts";

/** Largest response body that is stored for a ticket. */
const MAX_STORED_BODY_BYTES = 65_536;
/** Length to which the body of an error response is truncated. */
const MAX_DETAIL_LENGTH = 200;
/** Statuses by which an upstream reports that it did not start the request. */
const NOT_STARTED_STATUSES = new Set([404, 409, 429, 503]);

/** The result of an attempt, with the response to store for its ticket. */
export interface AttemptEnd {
  result: AttemptResult;
  answer?: StoredAnswerStructure;
}

export function classifyStatus(status: number, detail: string): AttemptResult {
  if (NOT_STARTED_STATUSES.has(status)) {
    return { kind: "refused", status, detail };
  }
  return status < 500
    ? { kind: "rejected", status, detail }
    : { kind: "failed", status, detail };
}

export function createNotSentEnd(detail: string): AttemptEnd {
  return { result: { kind: "notSent", detail } };
}

export function createLostEnd(
  detail: string,
  attempt: { bytesForwarded: number },
): AttemptEnd {
  const { bytesForwarded } = attempt;
  return { result: { kind: "lost", detail, bytesForwarded } };
}

export function createStoredAnswer(
  head: { status: number; contentType: string },
  body: Buffer | undefined,
): StoredAnswerStructure {
  const bodyKept = body !== undefined && body.length <= MAX_STORED_BODY_BYTES;
  return {
    outcome: Outcome.Completed,
    status: head.status,
    contentType: head.contentType,
    body: bodyKept ? body : new Uint8Array(),
    bodyKept,
  };
}

export function getHeader(
  response: Dispatcher.ResponseData,
  name: string,
): string {
  const value = response.headers[name];
  return typeof value === "string" ? value : "";
}

/** Returns how the body of a response to POST ends. */
export function getFraming(response: Dispatcher.ResponseData): BodyFraming {
  const { headers, statusCode } = response;
  return classifyFraming({
    method: "POST",
    status: statusCode,
    hasContentLength: headers["content-length"] !== undefined,
    transferEncoding: headers["transfer-encoding"]?.toString(),
  });
}

export function readBodyModel(body: Buffer): string {
  try {
    const model = (JSON.parse(body.toString("utf8")) as { model?: unknown })
      .model;
    return typeof model === "string" ? model : "";
  } catch {
    return "";
  }
}

/** Returns the beginning of the body of an error response and discards the rest. */
export async function readErrorDetail(
  response: Dispatcher.ResponseData,
): Promise<string> {
  const chunks = (response.body as AsyncIterable<Buffer>)
    [Symbol.asyncIterator]();
  const first = await chunks.next();
  dropBody(response);
  return first.done
    ? ""
    : first.value.toString("utf8").slice(0, MAX_DETAIL_LENGTH);
}

/** Discards the rest of a response. The listener handles the error that this may raise. */
export function dropBody(response: Dispatcher.ResponseData): void {
  response.body.on("error", () => {});
  response.body.destroy();
}
