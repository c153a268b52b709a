/** Clients that pipeline without reading, send incomplete requests, or only connect. */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { waitMs } from "../src/gateway/wait.ts";

/** Connections of clients that pipeline requests without reading responses. */
export const PIPELINING_CLIENTS = 40;
/** Requests that each of them sends. */
export const PIPELINED_REQUESTS = 10_000;
/** Connections of clients that hold them: more than the process has descriptors. */
export const HOLDING_CLIENTS = 500;
/** Time for which a crowd is kept before the process is examined. */
const CROWD_MS = 4_000;
/** Time between the connections of a crowd of holding clients. */
const CONNECT_INTERVAL_MS = 1;
const BODY_LENGTH = 200;
/** Time after which an ordinary request counts as not answered, so that a test ends. */
const ANSWER_TIMEOUT_MS = 15_000;

/** Kinds of clients that hold their connections without a complete request. */
export const HoldingKind = {
  /** Sends half of a request's head. */
  IncompleteHead: "incomplete heads",
  /** Sends the head of a request and a part of its body. */
  IncompleteBody: "incomplete bodies",
  /** Never sends anything. */
  Silent: "connections without a request",
  /** Sends half of a head and closes soon, in every other connection. */
  EarlyLeaver: "connections that leave early",
} as const;
export type HoldingKind = typeof HoldingKind[keyof typeof HoldingKind];

/** Time after which clients that leave early do so. */
const EARLY_LEAVE_MS = 30;
/** Bytes of the header in an incomplete head. */
const INCOMPLETE_HEADER_LENGTH = 6_000;

export interface CrowdTarget {
  host: string;
  port: number;
}

export class ClientCrowd {
  readonly #sockets: Socket[] = [];

  /** Sends the request many times on each of some connections. */
  async pipeline(target: CrowdTarget, request: string): Promise<void> {
    const bytes = Buffer.from(request.repeat(PIPELINED_REQUESTS));
    for (let index = 0; index < PIPELINING_CLIENTS; index += 1) {
      this.#connect(target).write(bytes);
    }
    await waitMs(CROWD_MS);
  }

  /** Opens connections that never bring a complete request. */
  async hold(target: CrowdTarget, kind: HoldingKind): Promise<void> {
    for (let index = 0; index < HOLDING_CLIENTS; index += 1) {
      const socket = this.#connect(target);
      const text = formatIncompleteRequest(kind);
      if (text !== "") socket.write(text);
      if (kind === HoldingKind.EarlyLeaver && index % 2 === 0) {
        setTimeout(() => socket.destroy(), EARLY_LEAVE_MS);
      }
      await waitMs(CONNECT_INTERVAL_MS);
    }
    // Shorter than the time limit of a request's head: the crowd is still there.
    await waitMs(CROWD_MS / 4);
  }

  leave(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #connect(target: CrowdTarget): Socket {
    const socket = connect(target);
    socket.on("error", () => {});
    this.#sockets.push(socket);
    return socket;
  }
}

function formatIncompleteRequest(kind: HoldingKind): string {
  switch (kind) {
    case HoldingKind.IncompleteHead:
    case HoldingKind.EarlyLeaver:
      return `POST /safe/1 HTTP/1.1\r\nHost: mill.example\r\nX-Long: ${
        "x".repeat(INCOMPLETE_HEADER_LENGTH)
      }`;
    case HoldingKind.IncompleteBody:
      return `POST /safe/1 HTTP/1.1\r\nHost: mill.example\r\nContent-Length: ${BODY_LENGTH}\r\n\r\n${
        "x".repeat(BODY_LENGTH - 1)
      }`;
    case HoldingKind.Silent:
      return "";
  }
}

/** Returns the status of an answer, or 0 if there was none. */
export async function readStatus(
  answer: Promise<{ status: number }>,
): Promise<number> {
  const limit = waitMs(ANSWER_TIMEOUT_MS).then(() => ({ status: 0 }));
  const { status } = await Promise.race([
    answer.catch(() => ({ status: 0 })),
    limit,
  ]);
  return status;
}

/** Returns the kinds of requests that clients pipeline, by name. */
export function formatPipelinedRequests(
  { servedPath, headers = "" }: { servedPath: string; headers?: string },
): Record<string, string> {
  const host = `Host: mill.example\r\n${headers}`;
  const body = "x".repeat(BODY_LENGTH);
  return {
    "without a route": `GET /none HTTP/1.1\r\n${host}\r\n`,
    "without the usual headers": `GET ${servedPath} HTTP/1.1\r\n${host}\r\n`,
    "with bodies":
      `POST ${servedPath} HTTP/1.1\r\n${host}Content-Length: ${BODY_LENGTH}\r\n\r\n${body}`,
    "of HTTP/1.0": `GET /none HTTP/1.0\r\n${host}\r\n`,
    "of HTTP/1.0 that keep the connection":
      `GET /none HTTP/1.0\r\n${host}Connection: keep-alive\r\n\r\n`,
    "with Connection: close":
      `GET /none HTTP/1.1\r\n${host}Connection: close\r\n\r\n`,
  };
}
