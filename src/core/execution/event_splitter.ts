/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events are forwarded, and keeps the id of the last one: a broken
 * stream can resume after that event on another upstream.
 */
import { Buffer } from "node:buffer";

const EVENT_END = Buffer.from("\n\n");
const ID_FIELD = Buffer.from("id:");
const ID_LINE = /(?:^|\n)id: ?([^\n\r]*)/g;

export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);
  /**
   * The last complete events that contain an id; parsed only when the stream
   * has to resume.
   */
  #lastWithId: Buffer | undefined;

  /** Id of the last complete event that has one; undefined before the first. */
  get lastEventId(): string | undefined {
    const text = this.#lastWithId?.toString("latin1") ?? "";
    return [...text.matchAll(ID_LINE)].at(-1)?.[1];
  }

  /** Number of buffered bytes of the incomplete event. */
  get restBytes(): number {
    return this.#rest.length;
  }

  /**
   * Whether the bytes so far end within an event, so that a stream that closes
   * here has been broken off. Events that end with CR LF are not split, but
   * complete.
   */
  get isInEvent(): boolean {
    const rest = this.#rest.toString("latin1");
    return rest.trim() !== "" && !rest.endsWith("\r\n\r\n");
  }

  /**
   * Adds a chunk, and returns the bytes up to the end of the last complete
   * event.
   */
  push(chunk: Buffer): Buffer {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#rest = bytes;
      return Buffer.alloc(0);
    }
    const events = bytes.subarray(0, end + EVENT_END.length);
    this.#rest = bytes.subarray(end + EVENT_END.length);
    if (events.includes(ID_FIELD)) this.#lastWithId = events;
    return events;
  }

  /** Removes and returns the bytes of the incomplete event. */
  takeRest(): Buffer {
    const rest = this.#rest;
    this.#rest = Buffer.alloc(0);
    return rest;
  }
}
