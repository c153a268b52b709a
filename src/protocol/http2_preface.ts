/** Recognises the connection preface of an HTTP/2 client (RFC 9113, section 3.4). */
import { Buffer } from "node:buffer";

const MAGIC = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
const FRAME_HEADER_LENGTH = 9;
const LENGTH_BYTES = 3;
const SETTINGS_TYPE = 4;
/**
 * Longest SETTINGS frame that is waited for, 42 settings: grpc-js sends fewer
 * than ten. A longer one would let a client hold more input.
 */
const MAX_SETTINGS_LENGTH = 252;

/** How far the preface has arrived. */
export const PrefaceState = {
  Incomplete: "incomplete",
  /** The preface and its SETTINGS frame have arrived. */
  Complete: "complete",
  /** The client does not begin as an HTTP/2 client does. */
  Invalid: "invalid",
} as const;
export type PrefaceState = typeof PrefaceState[keyof typeof PrefaceState];

/** Classifies what a client has sent since it connected. */
export function classifyPreface(input: Buffer): PrefaceState {
  const magic = input.subarray(0, MAGIC.length);
  if (!magic.equals(MAGIC.subarray(0, magic.length))) {
    return PrefaceState.Invalid;
  }
  const frame = input.subarray(MAGIC.length);
  if (frame.length < FRAME_HEADER_LENGTH) return PrefaceState.Incomplete;
  const length = frame.readUIntBE(0, LENGTH_BYTES);
  if (frame[LENGTH_BYTES] !== SETTINGS_TYPE || length > MAX_SETTINGS_LENGTH) {
    return PrefaceState.Invalid;
  }
  return frame.length < FRAME_HEADER_LENGTH + length
    ? PrefaceState.Incomplete
    : PrefaceState.Complete;
}
