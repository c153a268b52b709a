/** Watches a server-sent event stream: which model its first event names, and whether it came to its end. */
import { Buffer } from "node:buffer";

const END_MARK = "\ndata: [DONE]";
/** Bytes at the end of a stream in which its end mark is looked for. */
const TAIL_BYTES = 64;
/** Bytes within which the first event must be whole. */
const MAX_FIRST_EVENT_BYTES = 65_536;

export class SseInspector {
  #head: Buffer | undefined = Buffer.alloc(0);
  #tail = "";
  #model: string | undefined;

  /** Model that the first event named; undefined until it is whole. */
  get model(): string | undefined {
    return this.#model;
  }

  /**
   * Takes the next chunk and returns what may be forwarded: nothing until the
   * first event is whole, then all that has been held back.
   */
  push(chunk: Uint8Array): Uint8Array | undefined {
    this.#updateTail(chunk);
    if (this.#head === undefined) return chunk;
    this.#head = Buffer.concat([this.#head, chunk]);
    const end = this.#head.indexOf("\n\n");
    if (end < 0 && this.#head.length < MAX_FIRST_EVENT_BYTES) return undefined;
    this.#model = readModel(this.#head.subarray(0, end).toString("utf8"));
    const held = this.#head;
    this.#head = undefined;
    return held;
  }

  #updateTail(chunk: Uint8Array): void {
    const end = chunk.subarray(-TAIL_BYTES);
    const text = Buffer.from(end.buffer, end.byteOffset, end.length)
      .toString("latin1");
    this.#tail = text.length === TAIL_BYTES
      ? text
      : (this.#tail + text).slice(-TAIL_BYTES);
  }

  /** Returns whether the stream ended with its end mark. */
  isComplete(): boolean {
    return this.#tail.trimEnd().endsWith(END_MARK);
  }
}

function readModel(event: string): string {
  const data = event.split("\n")
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
