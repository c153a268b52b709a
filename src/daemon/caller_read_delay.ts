/** How long callers' requests may have lain unread, from the turns of the event loop. */
import type { Socket } from "node:net";
import { MAX_TURN_GAP_MS } from "../core/admission/read_delay.ts";
import type { Milliseconds } from "../core/structures.ts";
import { InputKind, type InputObserver } from "./event_loop_monitor.ts";

/**
 * Time from the accepting of a connection within which its first request is
 * taken to have been sent with it.
 */
const FIRST_REQUEST_MS = 2 * MAX_TURN_GAP_MS;

/** A connection without a request so far. */
interface AcceptedConnection {
  acceptedAt: Milliseconds;
  /** Longest time for which it can have waited to be accepted. */
  maxDelayMs: Milliseconds;
}

export class CallerReadDelay {
  readonly #eventLoop: InputObserver;
  readonly #accepted = new WeakMap<Socket, AcceptedConnection>();

  constructor(eventLoop: InputObserver) {
    this.#eventLoop = eventLoop;
  }

  /** Records that a connection has been accepted. */
  recordAccept(socket: Socket, now: Milliseconds): void {
    const maxDelayMs = this.#eventLoop.recordInput(InputKind.Connection, now);
    this.#accepted.set(socket, { acceptedAt: now, maxDelayMs });
  }

  /** Returns the longest time for which a request that is read now can have waited. */
  takeMaxDelayMs(socket: Socket, now: Milliseconds): Milliseconds {
    const maxDelayMs = this.#eventLoop.recordInput(InputKind.Bytes, now);
    const connection = this.#accepted.get(socket);
    this.#accepted.delete(socket);
    if (!connection) return maxDelayMs;
    const sinceAcceptMs = now - connection.acceptedAt;
    const wasSentAtOnce = sinceAcceptMs <= maxDelayMs + FIRST_REQUEST_MS;
    return wasSentAtOnce
      ? connection.maxDelayMs + Math.min(maxDelayMs, sinceAcceptMs)
      : maxDelayMs;
  }
}
