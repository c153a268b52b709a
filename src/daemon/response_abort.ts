/**
 * Breaks off responses so that their callers see them as incomplete. A response
 * without length or chunks, as HTTP/1.0 callers get it, is complete when its
 * connection is closed (RFC 9112, section 6.3): only a reset shows that it is not.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Closes the connection of a response that has not been sent completely. */
export function abortResponse(response: ServerResponse): void {
  const { socket } = response;
  const needsReset = response.headersSent && !response.writableFinished &&
    !response.chunkedEncoding && socket !== null;
  if (needsReset) socket.resetAndDestroy();
  response.destroy();
}

/** The responses of a server that are under way. */
export class ActiveResponses {
  readonly #responses = new Set<ServerResponse>();
  /**
   * The responses of each connection in their order: callers may send further
   * requests before they have read a response.
   */
  readonly #responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();
  readonly #departureListeners = new WeakMap<ServerResponse, () => void>();
  #isClosing = false;

  add(response: ServerResponse): void {
    const { socket } = response.req;
    const before = this.getLast(socket);
    this.#responses.add(response);
    this.#addToSocket(socket, response);
    if (this.#isClosing) {
      if (before && !before.headersSent) before.removeHeader("connection");
      response.setHeader("connection", "close");
    }
    response.once("close", () => {
      this.#notifyDeparture(response);
      this.#responses.delete(response);
      this.#responsesBySocket.get(socket)?.delete(response);
    });
  }

  /**
   * Sets the listener that is called when the caller has closed its side of the
   * connection, or the connection is lost, before the response was ended.
   */
  onDeparture(response: ServerResponse, listener: () => void): void {
    const { socket } = response.req;
    if (socket.readableEnded || socket.destroyed) listener();
    else this.#departureListeners.set(response, listener);
  }

  #addToSocket(socket: Socket, response: ServerResponse): void {
    const responses = this.#responsesBySocket.get(socket);
    if (responses) {
      responses.add(response);
      return;
    }
    const first = new Set([response]);
    this.#responsesBySocket.set(socket, first);
    socket.once("end", () => {
      for (const each of first) this.#notifyDeparture(each);
    });
    // Node.js emits `close` only for the first of the responses.
    socket.once("close", () => {
      for (const each of first) each.emit("close");
    });
  }

  #notifyDeparture(response: ServerResponse): void {
    if (response.writableEnded) return;
    const listener = this.#departureListeners.get(response);
    this.#departureListeners.delete(response);
    listener?.();
  }

  /** Lists the responses under way on a connection, in the order of their requests. */
  list(socket: Socket): ServerResponse[] {
    return [...this.#responsesBySocket.get(socket) ?? []];
  }

  /** Returns the last of the responses that are under way on a connection. */
  getLast(socket: Socket): ServerResponse | undefined {
    return this.list(socket).at(-1);
  }

  /**
   * Lets each connection be closed after its last response, if that has not
   * begun.
   */
  closeConnections(): void {
    this.#isClosing = true;
    for (const response of this.listUnbegun()) {
      if (this.getLast(response.req.socket) !== response) continue;
      response.setHeader("connection", "close");
    }
  }

  listUnbegun(): ServerResponse[] {
    return [...this.#responses].filter((response) => !response.headersSent);
  }

  /** Waits until the responses that have begun are sent or closed. */
  async waitUntilSent(): Promise<void> {
    const begun = [...this.#responses].filter((response) =>
      response.headersSent
    );
    await Promise.all(
      begun.map((response) =>
        new Promise((resolve) => response.once("close", resolve))
      ),
    );
  }

  abortAll(): void {
    for (const response of this.#responses) abortResponse(response);
  }
}
