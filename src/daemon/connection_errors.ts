/**
 * Handles input of clients that is no request, or not a whole one in time.
 * Node.js's HTTP server writes an error status for it on the connection, also
 * while earlier requests of that connection run: their client takes the status
 * for the response to the first of them, and 408 tells it that the request has
 * not run. Here the status is written only if no request waits for its response;
 * otherwise the connection closes after the last response.
 */
import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Time given to a client to read what was sent before its connection is destroyed. */
const LINGER_MS = 500;

/** Counts connections with such input, by error code. */
export interface ConnectionErrorCounter {
  count(name: "connection_malformed", code: string): void;
}

/** Registers the listeners for the server's connection errors. */
export function handleConnectionErrors(
  server: Server,
  metrics: ConnectionErrorCounter,
): void {
  /** Responses that have not been sent, in the order of their requests. */
  const unsentResponses = new WeakMap<Duplex, Set<ServerResponse>>();
  const failedConnections = new WeakSet<Duplex>();
  server.prependListener("request", ({ socket }, response) => {
    const unsent = unsentResponses.get(socket) ?? new Set();
    unsentResponses.set(socket, unsent.add(response));
    response.once("close", () => unsent.delete(response));
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    // The parser repeats its error for whatever follows, the close included.
    if (failedConnections.has(socket)) {
      if (hasEnded(socket)) socket.destroy();
      return;
    }
    failedConnections.add(socket);
    metrics.count("connection_malformed", error.code ?? "");
    if (hasEnded(socket)) {
      socket.destroy();
      return;
    }
    const unsent = [...unsentResponses.get(socket) ?? []];
    const lastOfWhole = unsent.findLast(({ req }) => req.complete);
    if (lastOfWhole) {
      dropInput(socket);
      closeAfter(lastOfWhole, socket);
    } else if (unsent.some(({ headersSent }) => headersSent)) {
      socket.destroy();
    } else {
      dropInput(socket);
      close(socket, formatClientError(error.code));
    }
  });
}

/** Returns whether the client has closed its side, or the connection is lost. */
function hasEnded(socket: Duplex): boolean {
  return socket.readableEnded || socket.destroyed || !socket.writable;
}

/** Keeps input from the parser, and reads on to notice when the client leaves. */
function dropInput(socket: Duplex): void {
  socket.removeAllListeners("data");
  socket.on("data", () => {});
  socket.resume();
}

/** Closes the connection after a response, which announces it if it still can. */
function closeAfter(response: ServerResponse, socket: Duplex): void {
  if (response.headersSent) response.once("close", () => close(socket, ""));
  else response.setHeader("connection", "close");
}

/** Sends what is left and closes the connection, at the latest after the linger time. */
function close(socket: Duplex, text: string): void {
  socket.end(text);
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
}

function formatClientError(code: string | undefined): string {
  return `HTTP/1.1 ${
    getClientErrorStatus(code)
  }\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}

function getClientErrorStatus(code: string | undefined): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "431 Request Header Fields Too Large";
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return "413 Payload Too Large";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
}
