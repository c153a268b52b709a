/**
 * How an upstream marks the end of a response body, as RFC 9112, section 6.3
 * defines it. Only a body whose end is the close of its connection can be cut
 * without a trace.
 */

export const BodyFraming = {
  /** The response has no body, whatever its headers say. */
  None: "none",
  Length: "length",
  Chunked: "chunked",
  /** The body ends when the upstream closes the connection. */
  Close: "close",
} as const;
export type BodyFraming = (typeof BodyFraming)[keyof typeof BodyFraming];

/** The parts of a response head that decide how its body ends. */
export interface FramingHeaders {
  /** Method of the request. */
  method: string;
  status: number;
  hasContentLength: boolean;
  /** Transfer codings, separated by commas; undefined if there are none. */
  transferEncoding: string | undefined;
}

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

export function classifyFraming(headers: FramingHeaders): BodyFraming {
  const { method, status } = headers;
  const hasNoBody = method === "HEAD" || status === STATUS_NO_CONTENT ||
    status === STATUS_NOT_MODIFIED;
  if (hasNoBody) return BodyFraming.None;
  // A transfer coding overrides a length.
  if (headers.transferEncoding !== undefined) {
    return isChunkedCoding(headers.transferEncoding)
      ? BodyFraming.Chunked
      : BodyFraming.Close;
  }
  return headers.hasContentLength ? BodyFraming.Length : BodyFraming.Close;
}

/**
 * Returns whether chunked is the final transfer coding. With any other final
 * coding, the body ends with its connection.
 */
function isChunkedCoding(transferEncoding: string): boolean {
  const finalCoding = transferEncoding.split(",").at(-1) ?? "";
  return finalCoding.trim().toLowerCase() === "chunked";
}
