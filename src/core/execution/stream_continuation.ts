/**
 * Decides whether a second answer continues a stream that broke off. The caller
 * has the head and the first events already, so that anything else, such as a
 * page of another status or the stream from its beginning, would stand in the
 * middle of its stream.
 */

/** The parts of a response head in which a continuation equals the first answer. */
export interface StreamHead {
  status: number;
  /** Value of Content-Type; empty if there is none. */
  contentType: string;
}

/** An answer that names no media type may continue one that does. */
export function isContinuation(first: StreamHead, next: StreamHead): boolean {
  const firstType = getMediaType(first.contentType);
  const nextType = getMediaType(next.contentType);
  return next.status === first.status &&
    (firstType === nextType || firstType === "" || nextType === "");
}

/**
 * Returns whether an event may follow the last one that the caller has. Ids that
 * are numbers increase; others only have to differ.
 */
export function canFollowEvent(lastId: string, nextId: string): boolean {
  const last = toNumber(lastId);
  const next = toNumber(nextId);
  return last === undefined || next === undefined
    ? nextId !== lastId
    : next > last;
}

/** Returns the media type without its parameters, such as the character set. */
function getMediaType(contentType: string): string {
  return contentType.split(";")[0]?.trim().toLowerCase() ?? "";
}

function toNumber(id: string): number | undefined {
  return /^\d{1,15}$/.test(id) ? Number(id) : undefined;
}
