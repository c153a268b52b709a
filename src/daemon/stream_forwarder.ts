/**
 * Forwards one streamed answer as it comes. A slow reader holds back its own
 * upstream connection and no other. A connection that is cut is followed by
 * another one to the same run, from the first event that has not come.
 */
import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { ResponseHead, ResponseSink } from "./exchange.ts";
import { SseInspector } from "./sse_inspector.ts";

/** How a streamed answer ended. */
export type StreamEnd =
  | { kind: "completed" }
  /** The first event named another model; nothing was forwarded. */
  | { kind: "crossed"; model: string }
  /** Cut, or ended without its end mark, and not resumed. */
  | { kind: "broken"; error: Error };

export interface StreamForwarderOptions {
  sink: ResponseSink;
  head: ResponseHead;
  /** Called with the length of each chunk that is forwarded. */
  onForward: (bytes: number) => void;
  /** Opens the rest of the stream after some events; returns undefined where that is not possible. */
  resume: (afterEvents: number) => Promise<Readable | undefined>;
}

/** Connections in a row that may bring no event before the stream is given up. */
const MAX_CONNECTIONS_WITHOUT_EVENT = 2;

export class StreamForwarder {
  readonly #options: StreamForwarderOptions;
  readonly #inspector = new SseInspector();
  #hasBegun = false;

  constructor(options: StreamForwarderOptions) {
    this.#options = options;
  }

  /** Forwards the stream to its end, over as many connections as it takes. */
  async forward(body: Readable): Promise<StreamEnd> {
    let end = await this.#forwardConnection(body);
    let connectionsWithoutEvent = 0;
    while (
      end.kind === "broken" &&
      connectionsWithoutEvent < MAX_CONNECTIONS_WITHOUT_EVENT
    ) {
      this.#inspector.dropIncompleteEvent();
      const { eventCount } = this.#inspector;
      const resumed = await this.#options.resume(eventCount);
      if (!resumed) return end;
      end = await this.#forwardConnection(resumed);
      connectionsWithoutEvent = this.#inspector.eventCount > eventCount
        ? 0
        : connectionsWithoutEvent + 1;
    }
    return end;
  }

  #forwardConnection(body: Readable): Promise<StreamEnd> {
    return new Promise((resolve) => {
      const settle = (end: StreamEnd): void => {
        resolve(end);
        if (end.kind !== "completed") body.destroy();
      };
      body.on("data", (chunk: Buffer) => {
        try {
          const end = this.#forwardChunk(body, chunk);
          if (end) settle(end);
        } catch (error) {
          settle({ kind: "broken", error: error as Error });
        }
      });
      body.on("end", () => settle(this.#finish()));
      body.on("error", (error: Error) => settle({ kind: "broken", error }));
    });
  }

  /** Forwards the events that are whole; returns an end if the answer is not ours. */
  #forwardChunk(body: Readable, chunk: Buffer): StreamEnd | undefined {
    const { sink, head, onForward } = this.#options;
    const events = this.#inspector.push(chunk);
    if (events === undefined) return undefined;
    if (!this.#hasBegun) {
      const model = this.#inspector.model ?? "";
      if (model !== head.servedModel) return { kind: "crossed", model };
      this.#hasBegun = true;
      sink.begin(head);
    }
    onForward(events.length);
    if (sink.write(events)) return undefined;
    body.pause();
    void sink.waitUntilDrained().then(() => body.resume());
    return undefined;
  }

  #finish(): StreamEnd {
    const rest = this.#inspector.finish();
    if (rest && this.#hasBegun) this.#options.sink.write(rest);
    if (this.#inspector.isComplete()) return { kind: "completed" };
    return {
      kind: "broken",
      error: new Error("Expected an end mark, found the stream ended"),
    };
  }
}
