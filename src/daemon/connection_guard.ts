/** Counts and closes callers' connections that the HTTP library turns away before a request is whole. */
import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import type { Metrics } from "./metrics.ts";

/** Installs the guard on a server. */
export function attachConnectionGuard(server: Server, metrics: Metrics): void {
  const answering = new WeakSet<Duplex>();
  server.on("request", (request, response) => {
    const { socket } = request;
    answering.add(socket);
    response.once("close", () => answering.delete(socket));
  });
  server.on("drop", () => metrics.count("connection_dropped", ""));
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    metrics.count("connection_malformed", error.code ?? "");
    // A status line in the middle of an answer would become part of it.
    if (!socket.writable || answering.has(socket)) socket.destroy();
    else socket.end(formatClientError(error.code));
  });
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
