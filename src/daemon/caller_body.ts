/**
 * Express middleware that reads the body of a caller's request into
 * `request.body`, decoding its content coding.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import { createBrotliDecompress, createGunzip, createInflate } from "node:zlib";
import type { RequestHandler } from "express";
import type { ByteAccumulatorOptions } from "../core/execution/byte_accumulator.ts";
import { BodyTooLargeError, readBody } from "./body_reader.ts";

/** Time for which the rest of a refused body is read. */
const DROP_MS = 500;

/** Fault of a body for which the caller gets a refusal; `status` is that of HTTP. */
class CallerBodyError extends Error {
  readonly type: string;
  readonly status: number;

  constructor(type: string, status: number, cause?: unknown) {
    super(type, { cause });
    this.type = type;
    this.status = status;
  }
}

/** Returns a handler that reads bodies within the limits. */
export function createBodyHandler(
  limits: ByteAccumulatorOptions,
): RequestHandler {
  return (request, _response, next) => {
    readDecodedBody(request, limits).then((body) => {
      request.body = body;
      next();
    }, next);
  };
}

async function readDecodedBody(
  request: IncomingMessage,
  limits: ByteAccumulatorOptions,
): Promise<Buffer> {
  const decoded = decodeContent(request);
  // Otherwise the iterator closes the connection, with the refusal unsent.
  const chunks: AsyncIterable<Buffer> = decoded.iterator({
    destroyOnReturn: false,
  });
  try {
    return await readBody(chunks, limits);
  } catch (error) {
    request.unpipe();
    await dropRest(request);
    throw error instanceof BodyTooLargeError
      ? new CallerBodyError("entity.too.large", 413, error)
      : new CallerBodyError("request.unreadable", 400, error);
  }
}

/**
 * Reads on for a while without keeping anything: a connection that is closed
 * with unread bytes is reset, so that its caller would not get the refusal.
 */
async function dropRest(request: IncomingMessage): Promise<void> {
  if (request.readableEnded || request.destroyed) return;
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, DROP_MS);
    const finish = (): void => {
      clearTimeout(timer);
      resolve();
    };
    request.once("end", finish);
    request.once("close", finish);
    request.resume();
  });
}

function decodeContent(request: IncomingMessage): Readable {
  const coding = request.headers["content-encoding"]?.toLowerCase();
  switch (coding) {
    case undefined:
    case "identity":
      return request;
    case "gzip":
      return request.pipe(createGunzip());
    case "deflate":
      return request.pipe(createInflate());
    case "br":
      return request.pipe(createBrotliDecompress());
    default:
      throw new CallerBodyError("encoding.unsupported", 415);
  }
}
