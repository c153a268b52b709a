/**
 * A caller on a plain socket, which sees how its connection ends: HTTP clients
 * hide that.
 */
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { hasBeenReset, watchForReset } from "../src/daemon/connection_reset.ts";

export interface RawCall {
  host: string;
  port: number;
  path: string;
  httpVersion: "1.0" | "1.1";
  headers: Record<string, string>;
  /** Empty by default. */
  requestBody?: string;
  /** Bytes of the request body that are sent; all of them by default. */
  sentBodyBytes?: number;
  /** Time for which nothing is read after the first bytes; 0 by default. */
  pauseMs?: number;
  /** Called once, when the first bytes of the body have arrived. */
  onBody?: () => void;
}

export interface RawAnswer {
  status: number;
  /** Header lines in lower case. */
  head: string;
  /** Bytes after the head, without their chunk framing. */
  body: string;
  /** Whether the answer is complete according to its framing. */
  isComplete: boolean;
}

const HEAD_END = "\r\n\r\n";

/** Sends a request with `Connection: close`, and reads until the connection ends. */
export function callRaw(call: RawCall): Promise<RawAnswer> {
  return new Promise((resolve) => {
    const socket = connect({ host: call.host, port: call.port });
    const chunks: Buffer[] = [];
    let hasBody = false;
    watchForReset(socket);
    // The reset is recorded; without a listener it would end the process.
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      if (chunks.length === 0 && call.pauseMs !== undefined) {
        socket.pause();
        setTimeout(() => socket.resume(), call.pauseMs);
      }
      chunks.push(Buffer.from(chunk));
      if (hasBody) return;
      const text = Buffer.concat(chunks).toString("latin1");
      const headEnd = text.indexOf(HEAD_END);
      if (headEnd < 0 || headEnd + HEAD_END.length === text.length) return;
      hasBody = true;
      call.onBody?.();
    });
    socket.on("close", () => {
      const text = Buffer.concat(chunks).toString("latin1");
      resolve(parseAnswer(text, hasBeenReset(socket)));
    });
    const lines = Object.entries({ ...call.headers, Connection: "close" })
      .map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const requestBody = call.requestBody ?? "";
    const length = `Content-Length: ${Buffer.byteLength(requestBody)}`;
    const head =
      `POST ${call.path} HTTP/${call.httpVersion}\r\n${lines}${length}`;
    const sentBody = requestBody.slice(0, call.sentBodyBytes);
    socket.write(`${head}${HEAD_END}${sentBody}`);
  });
}

function parseAnswer(text: string, wasReset: boolean): RawAnswer {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return { status: 0, head: "", body: "", isComplete: false };
  const head = text.slice(0, headEnd).toLowerCase();
  const payload = text.slice(headEnd + HEAD_END.length);
  const status = Number(head.split(" ")[1]);
  if (head.includes("transfer-encoding: chunked")) {
    return { status, head, ...parseChunks(payload) };
  }
  const length = /content-length: (\d+)/.exec(head)?.[1];
  const isComplete = length === undefined
    ? !wasReset
    : payload.length === Number(length);
  return { status, head, body: payload, isComplete };
}

function parseChunks(payload: string): { body: string; isComplete: boolean } {
  let body = "";
  let position = 0;
  while (position < payload.length) {
    const lineEnd = payload.indexOf("\r\n", position);
    if (lineEnd < 0) break;
    const size = Number.parseInt(payload.slice(position, lineEnd), 16);
    if (size === 0) return { body, isComplete: payload.endsWith("0\r\n\r\n") };
    body += payload.slice(lineEnd + 2, lineEnd + 2 + size);
    position = lineEnd + 2 + size + 2;
  }
  return { body, isComplete: false };
}

/** Lists the statuses of the answers that a connection received. */
export function listStatuses(text: string): number[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) =>
    Number(status)
  );
}
