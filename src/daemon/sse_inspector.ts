/**
 * Parses a stream of server-sent events as far as forwarding needs: the model that
 * the first event names, the number of events, and the final `[DONE]`. It returns
 * complete events only, so that a stream whose connection is lost can be resumed
 * after the last one.
 */
import { Buffer } from "node:buffer";

const NEWLINE = 0x0a;
const EVENT_SEPARATOR = Buffer.from("\n\n");
const DONE_LINE = "data: [DONE]";
const DONE_EVENT = Buffer.from(`${DONE_LINE}\n\n`);
const NO_BYTES = Buffer.alloc(0);
/** Longest event accepted. */
const MAX_EVENT_BYTES = 1_048_576;

export class SseInspector {
  #incompleteEvent: Buffer = NO_BYTES;
  #lastEvents: Buffer = NO_BYTES;
  #model: string | undefined;
  #eventCount = 0;

  /** Model named in the first event; undefined until that event is complete. */
  get model(): string | undefined {
    return this.#model;
  }

  /** Number of complete events received. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Adds a chunk and returns the events that it completes, or undefined if there are none. */
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

  /** Called at the end of the stream; returns a `[DONE]` event whose blank line was missing. */
  finish(): Buffer | undefined {
    if (this.#incompleteEvent.toString("utf8").trimEnd() !== DONE_LINE) {
      return undefined;
    }
    this.#incompleteEvent = NO_BYTES;
    this.#lastEvents = DONE_EVENT;
    return DONE_EVENT;
  }

  /** Discards the partial event that was received before the connection was lost. */
  dropIncompleteEvent(): void {
    this.#incompleteEvent = NO_BYTES;
  }

  /** Returns whether the last event was `[DONE]`. */
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
