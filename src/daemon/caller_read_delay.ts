/** How long callers' requests may have lain unread, from the turns of the event loop. */
import type { Socket } from "node:net";
import type { Milliseconds } from "../core/structures.ts";
import { type EventLoopMonitor, InputKind } from "./event_loop_monitor.ts";

export class CallerReadDelay {
  readonly #eventLoop: EventLoopMonitor;
  /**
   * Longest time for which each connection without a request so far can have
   * waited to be accepted.
   */
  readonly #acceptDelaysMs = new WeakMap<Socket, Milliseconds>();

  constructor(eventLoop: EventLoopMonitor) {
    this.#eventLoop = eventLoop;
  }

  /** Records that a connection has been accepted. */
  recordAccept(socket: Socket, now: Milliseconds): void {
    const delayMs = this.#eventLoop.computeMaxDelayMs(
      InputKind.Connection,
      now,
    );
    this.#acceptDelaysMs.set(socket, delayMs);
    this.#eventLoop.recordInput(InputKind.Connection);
  }

  /** Returns the longest time for which a request that is read now can have waited. */
  takeMaxDelayMs(socket: Socket, now: Milliseconds): Milliseconds {
    const acceptDelayMs = this.#acceptDelaysMs.get(socket) ?? 0;
    this.#acceptDelaysMs.delete(socket);
    this.#eventLoop.recordInput(InputKind.Bytes);
    return acceptDelayMs +
      this.#eventLoop.computeMaxDelayMs(InputKind.Bytes, now);
  }
}
