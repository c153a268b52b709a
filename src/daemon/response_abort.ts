/**
 * Breaks off responses so that their callers see them as incomplete. A response
 * without length or chunks, as HTTP/1.0 callers get it, is complete when its
 * connection is closed (RFC 9112, section 6.3): only a reset shows that it is not.
 */
import type { ServerResponse } from "node:http";

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
  #isLast = false;

  add(response: ServerResponse): void {
    this.#responses.add(response);
    if (this.#isLast) response.setHeader("connection", "close");
    response.once("close", () => this.#responses.delete(response));
  }

  /**
   * Makes the responses that have not begun, and all later ones, the last of
   * their connections.
   */
  closeConnections(): void {
    this.#isLast = true;
    for (const response of this.listUnbegun()) {
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
