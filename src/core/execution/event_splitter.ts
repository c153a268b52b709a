/**
 * Cuts a stream of server-sent events at the ends of events, so that only whole
 * ones are passed on, and knows the id of the last one: a stream that breaks off
 * can go on at another upstream after it.
 */
import { Buffer } from "node:buffer";

const EVENT_END = Buffer.from("\n\n");
const ID_FIELD = Buffer.from("id:");
const ID_LINE = /(?:^|\n)id: ?([^\n\r]*)/g;

export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);
  /** The last whole events that carry an id; parsed only when a stream has to go on elsewhere. */
  #lastWithId: Buffer | undefined;

  /** Id of the last whole event; undefined before the first one that has an id. */
  get lastEventId(): string | undefined {
    const text = this.#lastWithId?.toString("latin1") ?? "";
    return [...text.matchAll(ID_LINE)].at(-1)?.[1];
  }

  /** Bytes after the end of the last whole event. */
  get restBytes(): number {
    return this.#rest.length;
  }

  /** Takes bytes in and returns those up to the end of the last whole event. */
  push(chunk: Buffer): Buffer {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#rest = bytes;
      return Buffer.alloc(0);
    }
    const whole = bytes.subarray(0, end + EVENT_END.length);
    this.#rest = bytes.subarray(end + EVENT_END.length);
    if (whole.includes(ID_FIELD)) this.#lastWithId = whole;
    return whole;
  }

  /** Returns the bytes after the last whole event, and forgets them. */
  takeRest(): Buffer {
    const rest = this.#rest;
    this.#rest = Buffer.alloc(0);
    return rest;
  }
}
