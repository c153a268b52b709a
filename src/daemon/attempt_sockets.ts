/**
 * The connections that requests to upstreams use, for undici takes a reset for
 * the end of a body without length or chunks, and does not say which connection a
 * response came on. Its diagnostics channel does, before the request is written,
 * so that the head of the response can be checked as well.
 */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { HeadCheckedSocket } from "./head_checked_socket.ts";
import { hasBeenReset, watchForReset } from "./connection_reset.ts";

/** Published by undici before it writes the head of a request. */
const CHANNEL = "undici:client:sendHeaders";
const ATTEMPT_ID = /^x-request-id: (.*)$/im;

interface SentRequest {
  /** The head as it is written. */
  headers: string;
  socket: Socket;
}

export class AttemptSockets {
  /** By attempt id; undefined until its request is sent. */
  readonly #sockets = new Map<string, Socket | undefined>();
  readonly #recordSocket = (message: unknown): void => {
    const { headers, socket } = message as SentRequest;
    if (socket instanceof HeadCheckedSocket) socket.checkNextHead();
    const attemptId = ATTEMPT_ID.exec(headers)?.[1]?.trim() ?? "";
    if (!this.#sockets.has(attemptId)) return;
    watchForReset(socket);
    this.#sockets.set(attemptId, socket);
  };

  constructor() {
    subscribe(CHANNEL, this.#recordSocket);
  }

  add(attemptId: string): void {
    this.#sockets.set(attemptId, undefined);
  }

  remove(attemptId: string): void {
    this.#sockets.delete(attemptId);
  }

  /** Returns whether the connection of the attempt was reset. */
  hasBeenReset(attemptId: string): boolean {
    const socket = this.#sockets.get(attemptId);
    return socket !== undefined && hasBeenReset(socket);
  }

  close(): void {
    unsubscribe(CHANNEL, this.#recordSocket);
  }
}
