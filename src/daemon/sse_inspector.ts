/**
 * Parses a stream of server-sent events as far as forwarding needs: the model that
 * the first event names, the number of events, and the final `[DONE]`. It returns
 * complete events only, so that a stream whose connection is lost can be resumed
 * after the last one.
 */
import { Buffer } from "node:buffer";
import { MAX_SMALL_CHUNKS } from "../core/execution/byte_accumulator.ts";
import { EventSplitter } from "../core/execution/event_splitter.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";

const DONE_LINE = "data: [DONE]";
const DONE_EVENT = Buffer.from(`${DONE_LINE}\n\n`);
/** Events whose last one is `[DONE]`. */
const DONE_AT_END = /(?:^|[\r\n])data: \[DONE\][\r\n]+$/;
/** Bytes of a `[DONE]` event with the line ends around it. */
const DONE_TAIL_BYTES = DONE_LINE.length + 6;
const LINE_END = /\r\n|\r|\n/;
/** Longest event accepted. */
const MAX_EVENT_BYTES = 1_048_576;

export class SseInspector {
  readonly #splitter: EventSplitter;
  #lastEvents: Buffer = Buffer.alloc(0);
  #model: string | undefined;

  /** @param memory budget for an incomplete event. */
  constructor(memory: MemoryBudget) {
    this.#splitter = new EventSplitter({
      maxBytes: MAX_EVENT_BYTES,
      memory,
      maxSmallChunks: MAX_SMALL_CHUNKS,
    });
  }

  /** Model named in the first event; undefined until that event is complete. */
  get model(): string | undefined {
    return this.#model;
  }

  /** Number of complete events received. */
  get eventCount(): number {
    return this.#splitter.eventCount;
  }

  /** Adds a chunk and returns the events that it completes, or undefined if there are none. */
  push(chunk: Buffer): Buffer | undefined {
    const events = this.#splitter.push(chunk);
    if (this.#splitter.hasOverflowed) {
      throw new Error(
        `Expected events of at most ${MAX_EVENT_BYTES} bytes within the memory budget, found a longer one`,
      );
    }
    if (events.length === 0) return undefined;
    this.#model ??= readModel(events);
    this.#lastEvents = events;
    return events;
  }

  /** Called at the end of the stream; returns a `[DONE]` event whose blank line was missing. */
  finish(): Buffer | undefined {
    if (this.#splitter.takeRest().toString("utf8").trim() !== DONE_LINE) {
      return undefined;
    }
    this.#lastEvents = DONE_EVENT;
    return DONE_EVENT;
  }

  /** Discards the partial event that was received before the connection was lost. */
  dropIncompleteEvent(): void {
    this.#splitter.takeRest();
  }

  /** Returns whether the last event was `[DONE]`. */
  isComplete(): boolean {
    const tail = this.#lastEvents.subarray(-DONE_TAIL_BYTES);
    return DONE_AT_END.test(tail.toString("latin1"));
  }
}

function readModel(events: Buffer): string {
  const data: string[] = [];
  const text = events.toString("utf8").replace(/^\ufeff/, "");
  for (const line of text.split(LINE_END)) {
    if (line === "" && data.length > 0) break;
    if (line.startsWith("data:")) data.push(line.slice("data:".length).trim());
  }
  try {
    const model = (JSON.parse(data.join("\n")) as { model?: unknown }).model;
    return typeof model === "string" ? model : "";
  } catch {
    return "";
  }
}
