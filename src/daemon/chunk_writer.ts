/**
 * Writes chunks of an answer in the chunked transfer coding of HTTP/1.1 (RFC
 * 9112, 7.1) in one buffer each. The response itself would hand the socket three
 * for each chunk, which costs about as much as all else that a relay does.
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const LINE_END_BYTES = 2;
const HEXADECIMAL = 16;

/** Writes the chunk of a response whose head has left; returns whether more can be taken at once. */
export function writeChunk(
  response: ServerResponse,
  chunk: Uint8Array,
): boolean {
  if (response.destroyed) return true;
  const { socket } = response;
  const canFrame = response.headersSent && response.chunkedEncoding &&
    socket !== null && chunk.length > 0;
  return canFrame ? socket.write(formatChunk(chunk)) : response.write(chunk);
}

/** Returns whether the response waits for its reader. */
export function needsDrain(response: ServerResponse): boolean {
  if (response.destroyed) return false;
  return response.writableNeedDrain ||
    (response.socket?.writableNeedDrain ?? false);
}

function formatChunk(chunk: Uint8Array): Buffer {
  const size = chunk.length.toString(HEXADECIMAL);
  const start = size.length + LINE_END_BYTES;
  const end = start + chunk.length;
  const frame = Buffer.allocUnsafe(end + LINE_END_BYTES);
  frame.write(size, 0, "latin1");
  frame[size.length] = CARRIAGE_RETURN;
  frame[size.length + 1] = LINE_FEED;
  frame.set(chunk, start);
  frame[end] = CARRIAGE_RETURN;
  frame[end + 1] = LINE_FEED;
  return frame;
}
