/** Counts and closes callers' connections that the HTTP library turns away before a request is whole. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Metrics } from "./metrics.ts";

interface PendingRequest {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Installs the guard on a server. */
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

/** Returns whether the request is not whole and its answer has not begun, so that a status line enters no answer. */
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
