/**
 * Handles input of clients that is no request, or not a whole one in time.
 * Node.js's HTTP server writes an error status for it on the connection, also
 * while earlier requests of that connection run: their client takes the status
 * for the response to the first of them, and 408 tells it that the request has
 * not run. Here the status is written only if no request waits for its response;
 * otherwise the connection closes after the last response.
 */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Time given to a client to read what was sent before its connection is destroyed. */
const LINGER_MS = 500;

/** Counts connections with such input, by error code. */
export interface ConnectionErrorCounter {
  count(name: "connection_malformed", code: string): void;
}

/**
 * Registers the listener for the server's connection errors.
 * @param listResponses lists the responses under way on a connection, in the
 * order of their requests.
 */
export function handleConnectionErrors(
  server: Server,
  listResponses: (socket: Socket) => ServerResponse[],
  metrics: ConnectionErrorCounter,
): void {
  const failedConnections = new WeakSet<Socket>();
  server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
    // An HTTP server's connections are sockets; the types allow any stream.
    const socket = stream as Socket;
    // The parser repeats its error for whatever follows, the close included.
    const isRepeated = failedConnections.has(socket);
    if (!isRepeated) {
      failedConnections.add(socket);
      metrics.count("connection_malformed", error.code ?? "");
    }
    if (hasEnded(socket)) socket.destroy();
    else if (!isRepeated) {
      closeInOrder(socket, listResponses(socket), error.code);
    }
  });
}

/** Closes the connection after the responses that it owes, or an error status. */
function closeInOrder(
  socket: Socket,
  responses: readonly ServerResponse[],
  errorCode: string | undefined,
): void {
  const lastOfWhole = responses.findLast(({ req }) => req.complete);
  if (!lastOfWhole && responses.some(({ headersSent }) => headersSent)) {
    socket.destroy();
    return;
  }
  dropInput(socket);
  if (lastOfWhole) closeAfter(lastOfWhole, socket);
  else close(socket, formatClientError(errorCode));
}

/** Returns whether the client has closed its side, or the connection is lost. */
function hasEnded(socket: Socket): boolean {
  return socket.readableEnded || socket.destroyed || !socket.writable;
}

/** Keeps input from the parser, and reads on to notice when the client leaves. */
function dropInput(socket: Socket): void {
  socket.removeAllListeners("data");
  socket.on("data", () => {});
  socket.resume();
}

/** Closes the connection after a response, which announces it if it still can. */
function closeAfter(response: ServerResponse, socket: Socket): void {
  if (response.headersSent) response.once("close", () => close(socket, ""));
  else response.setHeader("connection", "close");
}

/** Sends what is left and closes the connection, at the latest after the linger time. */
function close(socket: Socket, text: string): void {
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
