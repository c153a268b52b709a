/**
 * Observes the turns of the event loop, to tell how long input lies unread. A
 * timer bounds the time between two observations, and each turn that reads
 * input is observed at its end.
 */
import { MAX_TURN_GAP_MS, ReadDelay } from "../core/admission/read_delay.ts";
import type { Milliseconds } from "../core/structures.ts";

/** Inputs of the process. */
export const InputKind = {
  /** New connections of callers. */
  Connection: "connection",
  /** Bytes on callers' connections. */
  Bytes: "bytes",
  Datagram: "datagram",
} as const;
export type InputKind = (typeof InputKind)[keyof typeof InputKind];

const INPUT_KINDS = Object.values(InputKind);

/**
 * How much of each input libuv reads in one turn at most. It accepts one
 * connection, and reads from every connection that has bytes.
 */
const INPUTS_PER_TURN: Record<InputKind, number> = {
  [InputKind.Connection]: 1,
  [InputKind.Bytes]: Number.POSITIVE_INFINITY,
  [InputKind.Datagram]: 32,
};

/** What a task needs that reads input. */
export type InputObserver = Pick<EventLoopMonitor, "recordInput">;

export class EventLoopMonitor {
  readonly #delays: Record<InputKind, ReadDelay>;
  readonly #counts: Record<InputKind, number> = {
    [InputKind.Connection]: 0,
    [InputKind.Bytes]: 0,
    [InputKind.Datagram]: 0,
  };
  #immediate: ReturnType<typeof setImmediate> | undefined;
  readonly #timer: ReturnType<typeof setInterval>;
  #longestDelayMs: Milliseconds = 0;

  constructor(now: Milliseconds) {
    this.#delays = {
      [InputKind.Connection]: new ReadDelay(now),
      [InputKind.Bytes]: new ReadDelay(now),
      [InputKind.Datagram]: new ReadDelay(now),
    };
    this.#timer = setInterval(() => this.#scheduleTurnEnd(), MAX_TURN_GAP_MS);
    this.#timer.unref();
  }

  /**
   * Records that input was read in this turn; returns the longest time for which
   * it can have waited.
   */
  recordInput(kind: InputKind, now: Milliseconds): Milliseconds {
    this.#counts[kind] += 1;
    this.#scheduleTurnEnd();
    return this.#delays[kind].computeMaxMs(now);
  }

  /** Returns the longest possible delay since the last call. */
  takeLongestDelayMs(): Milliseconds {
    const longestMs = this.#longestDelayMs;
    this.#longestDelayMs = 0;
    return longestMs;
  }

  stop(): void {
    clearInterval(this.#timer);
    clearImmediate(this.#immediate);
  }

  /** An immediate runs once a turn, after the turn's input has been read. */
  #scheduleTurnEnd(): void {
    this.#immediate ??= setImmediate(() => {
      this.#immediate = undefined;
      this.#recordTurn(performance.now());
    });
  }

  #recordTurn(now: Milliseconds): void {
    // Only the next turn shows whether another connection was waiting.
    if (!this.#isDrained(InputKind.Connection)) this.#scheduleTurnEnd();
    for (const kind of INPUT_KINDS) {
      const delay = this.#delays[kind];
      this.#longestDelayMs = Math.max(
        this.#longestDelayMs,
        delay.computeMaxMs(now),
      );
      delay.recordTurn(now, this.#isDrained(kind));
      this.#counts[kind] = 0;
    }
  }

  #isDrained(kind: InputKind): boolean {
    return this.#counts[kind] < INPUTS_PER_TURN[kind];
  }
}
