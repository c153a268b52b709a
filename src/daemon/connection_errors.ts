/**
 * Counts callers' connections that Node's HTTP server drops or fails to parse; the
 * latter are closed, after an error status where that can be sent.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Metrics } from "./metrics.ts";

interface PendingRequest {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Registers the listeners for the server's connection errors. */
export function handleConnectionErrors(server: Server, metrics: Metrics): void {
  const pendingRequests = new WeakMap<Duplex, PendingRequest>();
  server.on("request", (request, response) => {
    const { socket } = request;
    pendingRequests.set(socket, { request, response });
    response.once("close", () => pendingRequests.delete(socket));
  });
  server.on("drop", () => metrics.count("connection_dropped", ""));
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    metrics.count("connection_malformed", error.code ?? "");
    const pending = pendingRequests.get(socket);
    const canAnswer = socket.writable &&
      (!pending || isAwaitingRequest(pending));
    if (canAnswer) socket.end(formatClientError(error.code));
    else socket.destroy();
  });
}

/**
 * Returns whether the request is incomplete and its response has not started.
 * Otherwise an error status would be written into another response.
 */
function isAwaitingRequest({ request, response }: PendingRequest): boolean {
  return !request.complete && !response.headersSent;
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
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "408 Request Timeout";
    default:
      return "400 Bad Request";
  }
}
