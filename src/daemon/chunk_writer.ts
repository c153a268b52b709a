/**
 * Writes each chunk of a response in the chunked transfer coding of HTTP/1.1 (RFC
 * 9112, section 7.1) as one buffer. `ServerResponse.write` passes three buffers to
 * the socket, which costs about as much as everything else a proxy does per chunk.
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const LINE_END_BYTES = 2;
const HEXADECIMAL = 16;

/**
 * Writes a chunk of a response body; returns false when the writer should wait for
 * `drain`. Until the headers have been sent, the response frames the chunk itself.
 */
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

/** Returns whether the write buffer of the response or of its socket is full. */
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
