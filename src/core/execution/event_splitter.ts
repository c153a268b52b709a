/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events are forwarded, and keeps the id of the last one: a broken
 * stream can resume after that event on another upstream. Lines end with LF,
 * CR LF or CR, as the format allows; a blank line ends an event.
 */
import { Buffer } from "node:buffer";
import {
  ByteAccumulator,
  type ByteAccumulatorOptions,
} from "./byte_accumulator.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf] as const;
const NO_BYTES = Buffer.alloc(0);
const ID_FIELD = Buffer.from("id:");

export class EventSplitter {
  /** The bytes after the last event boundary. */
  readonly #rest: ByteAccumulator;
  #hasOverflowed = false;
  #lastEventId: string | undefined;
  #eventCount = 0;
  /** Whether the current line has no bytes yet. */
  #isLineEmpty = true;
  /** Whether a line that is not blank precedes in the current event. */
  #hasLines = false;
  #isAfterCarriageReturn = false;
  /** Whether the blank line of the current event has its CR, but no LF yet. */
  #isEndPending = false;
  #usesCrLf = false;
  /** Number of bytes of a byte order mark read so far; undefined after it. */
  #markBytes: number | undefined = 0;

  /** @param options limits of an incomplete event. */
  constructor(options: ByteAccumulatorOptions) {
    this.#rest = new ByteAccumulator(options);
  }

  /** Id of the last complete event that has one; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Number of complete events read. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Number of buffered bytes of the incomplete event. */
  get restBytes(): number {
    return this.#rest.length;
  }

  /**
   * Whether an incomplete event has exceeded its limits, so that bytes of the
   * stream are missing.
   */
  get hasOverflowed(): boolean {
    return this.#hasOverflowed;
  }

  /**
   * Whether the bytes so far end within an event, so that a stream that closes
   * here has been broken off.
   */
  get isInEvent(): boolean {
    return this.#hasLines || !this.#isLineEmpty;
  }

  /**
   * Adds a chunk, and returns the bytes up to the end of the last complete
   * event.
   */
  push(chunk: Buffer): Buffer {
    const end = this.#findLastBoundary(chunk);
    if (end === undefined) {
      this.#addRest(chunk);
      return NO_BYTES;
    }
    const completed = chunk.subarray(0, end);
    const events = this.#rest.length === 0
      ? completed
      : Buffer.concat([this.#rest.take(), completed]);
    this.#addRest(chunk.subarray(end));
    this.#readLastId(events);
    return events;
  }

  /** Removes and returns the bytes of the incomplete event. */
  takeRest(): Buffer {
    const rest = this.#rest.take();
    this.#isLineEmpty = true;
    this.#hasLines = false;
    this.#isAfterCarriageReturn = false;
    this.#isEndPending = false;
    return rest;
  }

  #addRest(bytes: Buffer): void {
    if (bytes.length === 0 || this.#hasOverflowed) return;
    this.#hasOverflowed = !this.#rest.tryAppend(bytes);
  }

  /**
   * Returns the offset in the chunk behind the last complete event; undefined if
   * none ends in the chunk.
   */
  #findLastBoundary(chunk: Buffer): number | undefined {
    // Most streams have none: their lines are found by one native search each.
    const hasCarriageReturn = chunk.includes(CARRIAGE_RETURN);
    let boundary: number | undefined;
    let index = 0;
    while (index < chunk.length) {
      const byte = chunk[index];
      if (this.#isEndPending && byte !== LINE_FEED) {
        this.#endEvent();
        boundary = index;
      }
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        index = this.#readText(chunk, index, hasCarriageReturn);
        continue;
      }
      index += 1;
      const hasEnded = byte === LINE_FEED
        ? this.#readLineFeed()
        : this.#readCarriageReturn();
      if (hasEnded) boundary = index;
    }
    return boundary;
  }

  /** Returns whether the line feed ends an event. */
  #readLineFeed(): boolean {
    if (this.#isAfterCarriageReturn) {
      // The second half of a line end.
      this.#isAfterCarriageReturn = false;
      this.#usesCrLf = true;
      return this.#isEndPending && this.#endEvent();
    }
    return this.#endLine() && this.#endEvent();
  }

  /** Returns whether the carriage return ends an event. */
  #readCarriageReturn(): boolean {
    this.#isAfterCarriageReturn = true;
    if (!this.#endLine()) return false;
    this.#isEndPending = this.#usesCrLf;
    return !this.#isEndPending && this.#endEvent();
  }

  /** Ends the current line; returns whether it is the blank line of an event. */
  #endLine(): boolean {
    this.#markBytes = undefined;
    if (this.#isLineEmpty) return this.#hasLines;
    this.#isLineEmpty = true;
    this.#hasLines = true;
    return false;
  }

  #endEvent(): true {
    this.#isEndPending = false;
    this.#hasLines = false;
    this.#eventCount += 1;
    return true;
  }

  /** Reads the bytes of a line; returns the offset of the line's end. */
  #readText(
    chunk: Buffer,
    start: number,
    hasCarriageReturn: boolean,
  ): number {
    let end = start;
    this.#isAfterCarriageReturn = false;
    while (this.#markBytes !== undefined && end < chunk.length) {
      if (this.#readMark(chunk[end])) end += 1;
    }
    const lineEnd = findLineEnd(chunk, end, hasCarriageReturn);
    if (lineEnd > end) this.#isLineEmpty = false;
    return lineEnd;
  }

  /** Returns whether the byte belongs to a byte order mark. */
  #readMark(byte: number | undefined): boolean {
    const index = this.#markBytes ?? BYTE_ORDER_MARK.length;
    const isMark = byte === BYTE_ORDER_MARK[index];
    this.#markBytes = isMark ? index + 1 : undefined;
    return isMark;
  }

  /** Keeps the value of the last `id` line of the events, if they have one. */
  #readLastId(events: Buffer): void {
    let start = events.lastIndexOf(ID_FIELD);
    while (start >= 0 && !isLineStart(events, start)) {
      start = start === 0 ? -1 : events.lastIndexOf(ID_FIELD, start - 1);
    }
    // An empty id resets the last one.
    if (start >= 0) this.#lastEventId = readId(events, start) || undefined;
  }
}

/** Returns the offset of the next LF or CR, or the length if there is none. */
function findLineEnd(
  chunk: Buffer,
  start: number,
  hasCarriageReturn: boolean,
): number {
  const lineFeed = chunk.indexOf(LINE_FEED, start);
  const end = lineFeed < 0 ? chunk.length : lineFeed;
  if (!hasCarriageReturn) return end;
  const carriageReturn = chunk.indexOf(CARRIAGE_RETURN, start);
  return carriageReturn < 0 ? end : Math.min(end, carriageReturn);
}

/** Returns the first id in complete events; undefined if they have none. */
export function findFirstEventId(events: Buffer): string | undefined {
  let start = events.indexOf(ID_FIELD);
  while (start >= 0 && !isLineStart(events, start)) {
    start = events.indexOf(ID_FIELD, start + 1);
  }
  return start < 0 ? undefined : readId(events, start);
}

/** Returns the value of the `id` line at the offset. */
function readId(events: Buffer, start: number): string {
  let end = start + ID_FIELD.length;
  while (events[end] !== LINE_FEED && events[end] !== CARRIAGE_RETURN) end += 1;
  return events.toString("latin1", start + ID_FIELD.length, end)
    .replace(/^ /, "");
}

function isLineStart(bytes: Buffer, offset: number): boolean {
  const before = bytes[offset - 1];
  const isAfterMark = offset === BYTE_ORDER_MARK.length &&
    BYTE_ORDER_MARK.every((byte, index) => bytes[index] === byte);
  return offset === 0 || before === LINE_FEED || before === CARRIAGE_RETURN ||
    isAfterMark;
}
