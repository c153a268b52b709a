/**
 * Holds requests between their reading and the decision about them, and asks
 * the core at the end of each turn of the event loop which of them to release.
 */
import { IntakeQueue } from "../core/admission/intake_queue.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { EventLoopMonitor } from "./event_loop_monitor.ts";

export const IntakeOutcome = {
  Released: "released",
  /** The process is behind and did not get to the request in time. */
  Refused: "refused",
  /** The caller has left. */
  Departed: "departed",
} as const;
export type IntakeOutcome = (typeof IntakeOutcome)[keyof typeof IntakeOutcome];

interface WaitingRequest {
  settle: (outcome: IntakeOutcome) => void;
}

export class CallerIntake {
  readonly #eventLoop: Pick<EventLoopMonitor, "isConnectionLeft">;
  readonly #queue = new IntakeQueue<WaitingRequest>();
  #isScheduled = false;

  constructor(eventLoop: Pick<EventLoopMonitor, "isConnectionLeft">) {
    this.#eventLoop = eventLoop;
  }

  /** Resolves to what becomes of a request that has been read. */
  admit(
    exchange: CallerExchange,
    maxDelayMs: Milliseconds,
  ): Promise<IntakeOutcome> {
    return new Promise((resolve) => {
      const request = { settle: resolve };
      this.#queue.add(request, maxDelayMs, performance.now());
      exchange.onDisconnect(() => {
        if (this.#queue.remove(request)) resolve(IntakeOutcome.Departed);
      });
      this.#scheduleTurnEnd();
    });
  }

  #scheduleTurnEnd(): void {
    if (this.#isScheduled || this.#queue.size === 0) return;
    this.#isScheduled = true;
    setImmediate(() => void this.#endTurn());
  }

  async #endTurn(): Promise<void> {
    this.#queue.endTurn(this.#eventLoop.isConnectionLeft, performance.now());
    for (
      let next = this.#queue.takeNext(performance.now());
      next;
      next = this.#queue.takeNext(performance.now())
    ) {
      switch (next.kind) {
        case "release":
          next.item.settle(IntakeOutcome.Released);
          break;
        case "refuse":
          next.item.settle(IntakeOutcome.Refused);
          break;
      }
      // The request is passed on before the time is taken again.
      await undefined;
    }
    this.#isScheduled = false;
    this.#scheduleTurnEnd();
  }
}
