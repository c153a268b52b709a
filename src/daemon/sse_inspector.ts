/**
 * Watches a server-sent event stream: which model its first event names, how
 * many events have come, and whether it came to its end. Only whole events are
 * let through, so that a stream that is cut can be resumed after the last one.
 */
import { Buffer } from "node:buffer";

const NEWLINE = 0x0a;
const EVENT_SEPARATOR = Buffer.from("\n\n");
const DONE_LINE = "data: [DONE]";
const DONE_EVENT = Buffer.from(`${DONE_LINE}\n\n`);
const NO_BYTES = Buffer.alloc(0);
/** Longest event. */
const MAX_EVENT_BYTES = 1_048_576;

export class SseInspector {
  #incompleteEvent: Buffer = NO_BYTES;
  #lastEvents: Buffer = NO_BYTES;
  #model: string | undefined;
  #eventCount = 0;

  /** Model that the first event named; undefined until it is whole. */
  get model(): string | undefined {
    return this.#model;
  }

  /** Whole events that have come. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Takes the next chunk and returns the events that are whole with it, if any. */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.#incompleteEvent.length === 0
      ? chunk
      : Buffer.concat([this.#incompleteEvent, chunk]);
    const end = findEndOfEvents(bytes);
    this.#incompleteEvent = end === bytes.length
      ? NO_BYTES
      : bytes.subarray(end);
    if (this.#incompleteEvent.length > MAX_EVENT_BYTES) {
      throw new Error(
        `Expected events of at most ${MAX_EVENT_BYTES} bytes, found a longer one`,
      );
    }
    if (end === 0) return undefined;
    const events = end === bytes.length ? bytes : bytes.subarray(0, end);
    this.#model ??= readModel(events);
    this.#eventCount += countEvents(events);
    this.#lastEvents = events;
    return events;
  }

  /** Takes the end of the connection and returns an end mark that came without its blank line. */
  finish(): Buffer | undefined {
    if (this.#incompleteEvent.toString("utf8").trimEnd() !== DONE_LINE) {
      return undefined;
    }
    this.#incompleteEvent = NO_BYTES;
    this.#lastEvents = DONE_EVENT;
    return DONE_EVENT;
  }

  /** Drops the part of an event that came before the connection was cut. */
  dropIncompleteEvent(): void {
    this.#incompleteEvent = NO_BYTES;
  }

  /** Returns whether the last event was the end mark. */
  isComplete(): boolean {
    return this.#lastEvents.subarray(-DONE_EVENT.length).equals(DONE_EVENT);
  }
}

function findEndOfEvents(bytes: Buffer): number {
  const { length } = bytes;
  const isWhole = bytes[length - 1] === NEWLINE &&
    bytes[length - 2] === NEWLINE;
  if (isWhole) return length;
  const last = bytes.lastIndexOf(EVENT_SEPARATOR);
  return last < 0 ? 0 : last + EVENT_SEPARATOR.length;
}

function countEvents(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(EVENT_SEPARATOR);
  while (at >= 0) {
    count += 1;
    at = bytes.indexOf(EVENT_SEPARATOR, at + EVENT_SEPARATOR.length);
  }
  return count;
}

function readModel(events: Buffer): string {
  const first = events.subarray(0, events.indexOf(EVENT_SEPARATOR)).toString(
    "utf8",
  );
  const data = first.split("\n")
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice("data:".length).trim())
    .join("\n");
  try {
    const model = (JSON.parse(data) as { model?: unknown }).model;
    return typeof model === "string" ? model : "";
  } catch {
    return "";
  }
}
