/**
 * Reads whole bodies of callers, upstreams and the platform, so that neither
 * their length nor the size of their chunks exceeds the memory set aside.
 */
import type { Buffer } from "node:buffer";
import {
  ByteAccumulator,
  type ByteAccumulatorOptions,
} from "../core/execution/byte_accumulator.ts";

/** A body that exceeds its maximum size or the memory budget. */
export class BodyTooLargeError extends Error {
  constructor(limits: ByteAccumulatorOptions, actualBytes: number) {
    super(
      `Expected a body of at most ${limits.maxBytes} bytes and memory for it, found more than ${actualBytes} bytes`,
    );
  }
}

/** Reads a whole body; throws `BodyTooLargeError` if it exceeds the limits. */
export async function readBody(
  chunks: AsyncIterable<Buffer>,
  limits: ByteAccumulatorOptions,
): Promise<Buffer> {
  const body = new ByteAccumulator(limits);
  try {
    for await (const chunk of chunks) {
      if (!body.tryAppend(chunk)) {
        throw new BodyTooLargeError(limits, body.length);
      }
    }
    return body.bytes;
  } finally {
    body.release();
  }
}
