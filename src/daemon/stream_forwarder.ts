/**
 * Forwards one streamed response as it arrives. Backpressure from a slow caller
 * pauses only its own upstream connection, and so does a share of the event loop
 * that is used up, until the next turn. When that connection is lost, the stream
 * is resumed on a new connection to the same run, after the last event received.
 */
import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import { type TurnLimits, TurnShare } from "../core/limits/turn_share.ts";
import type { ResponseHead, ResponseSink } from "./exchange.ts";
import { SseInspector } from "./sse_inspector.ts";
import { awaitTurnEnd } from "./unread_input.ts";

/** How a streamed response ended. */
export type StreamEnd =
  | { kind: "completed" }
  /** The first event named another model; nothing was forwarded. */
  | { kind: "wrongModel"; model: string }
  /** The connection was lost, or ended without `[DONE]`, and was not resumed. */
  | { kind: "interrupted"; error: Error };

export interface StreamForwarderOptions {
  sink: ResponseSink;
  head: ResponseHead;
  /** Budget for an incomplete event. */
  memory: MemoryBudget;
  /** Share of the stream in a turn of the event loop. */
  turns: TurnLimits;
  /** Called with the length of each chunk that is forwarded. */
  onForward: (bytes: number) => void;
  /** Resumes the stream after the given number of events; returns undefined if that is not possible. */
  resume: (afterEvents: number) => Promise<Readable | undefined>;
}

/** Consecutive connections without a new event after which the stream is abandoned. */
const MAX_CONNECTIONS_WITHOUT_EVENT = 2;

export class StreamForwarder {
  readonly #options: StreamForwarderOptions;
  readonly #inspector: SseInspector;
  /**
   * Cleared only when it is used up: to tell the turns of an ordinary stream
   * apart would cost each of its events a callback.
   */
  readonly #share: TurnShare;
  #hasBegun = false;

  constructor(options: StreamForwarderOptions) {
    this.#options = options;
    this.#share = new TurnShare(options.turns);
    this.#inspector = new SseInspector(options.memory);
  }

  /** Forwards the stream to its end, resuming it on new connections as needed. */
  async forward(body: Readable): Promise<StreamEnd> {
    let end = await this.#forwardConnection(body);
    let connectionsWithoutEvent = 0;
    while (
      end.kind === "interrupted" &&
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
          settle({ kind: "interrupted", error: error as Error });
        }
      });
      body.on("end", () => settle(this.#finish()));
      body.on(
        "error",
        (error: Error) => settle({ kind: "interrupted", error }),
      );
    });
  }

  /** Forwards complete events; returns an end if the stream is of another model. */
  #forwardChunk(body: Readable, chunk: Buffer): StreamEnd | undefined {
    const { sink, head, onForward } = this.#options;
    const events = this.#inspector.push(chunk);
    this.#share.recordEvent();
    this.#share.recordPiece(chunk.length);
    let canWrite = true;
    if (events !== undefined) {
      if (!this.#hasBegun) {
        const model = this.#inspector.model ?? "";
        if (model !== head.servedModel) return { kind: "wrongModel", model };
        this.#hasBegun = true;
        sink.begin(head);
      }
      onForward(events.length);
      canWrite = sink.write(events);
    }
    if (canWrite && !this.#share.isUsedUp) return undefined;
    body.pause();
    void this.#resume(body, canWrite);
    return undefined;
  }

  /** Reads on once the caller has read, and other connections had their turn. */
  async #resume(body: Readable, canWrite: boolean): Promise<void> {
    if (!canWrite) await this.#options.sink.waitUntilDrained();
    if (this.#share.isUsedUp) {
      await awaitTurnEnd();
      this.#share.clear();
    }
    body.resume();
  }

  #finish(): StreamEnd {
    const rest = this.#inspector.finish();
    if (rest && this.#hasBegun) this.#options.sink.write(rest);
    if (this.#inspector.isComplete()) return { kind: "completed" };
    return {
      kind: "interrupted",
      error: new Error("Expected a [DONE] event, found the end of the stream"),
    };
  }
}
