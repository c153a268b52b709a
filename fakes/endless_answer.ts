/**
 * Answers that never end, as a faulty replica may send them: bytes are written
 * until the connection closes.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Part of the HTTP answer that is sent without end. */
export type EndlessPart =
  | "endlessStatusLine"
  | "endlessHeader"
  | "endlessHeaders"
  | "endlessInterim"
  | "endlessNoise"
  | "endlessBody"
  | "endlessChunks"
  | "endlessChunkExtension"
  | "endlessTrailers"
  | "endlessAfterAnswer"
  | "endlessEvent"
  | "endlessEvents"
  /** Whole events, each in a chunk of its own. */
  | "endlessEventChunks"
  | EndlessPartInBytes;

/** Parts that are sent in chunks of one byte. */
export type EndlessPartInBytes =
  | "endlessBodyInBytes"
  | "endlessEventInBytes"
  | "endlessCommentsInBytes"
  | "endlessBlankLinesInBytes";

/** What was sent of an endless answer, for the assertions of tests. */
export interface EndlessAnswerRecord {
  part: EndlessPart;
  sentBytes: number;
  /**
   * Milliseconds from the first byte to the close of the connection; undefined
   * while it is open.
   */
  openMs: number | undefined;
}

/**
 * Size of one write: large enough for a high rate, small enough for
 * back-pressure to take effect.
 */
const WRITE_BYTES = 64 * 1024;

/**
 * Starts an endless answer; the returned record is updated while it is sent.
 */
export function sendEndlessAnswer(
  socket: Socket,
  part: EndlessPart,
  identityHeaders: Record<string, string>,
): EndlessAnswerRecord {
  const record: EndlessAnswerRecord = { part, sentBytes: 0, openMs: undefined };
  const startedAt = performance.now();
  socket.on("error", () => {});
  socket.once("close", () => record.openMs = performance.now() - startedAt);
  socket.write(buildPrefix(part, identityHeaders));
  const repeatedPart = buildRepeatedPart(part);
  const chunk = Buffer.from(
    repeatedPart.repeat(
      Math.ceil(WRITE_BYTES / Buffer.byteLength(repeatedPart)),
    ),
  );
  const sendNextChunk = (): void => {
    if (socket.destroyed) return;
    record.sentBytes += chunk.length;
    const isBelowHighWaterMark = socket.write(chunk);
    if (isBelowHighWaterMark) setImmediate(sendNextChunk);
    else socket.once("drain", sendNextChunk);
  };
  sendNextChunk();
  return record;
}

function buildPrefix(
  part: EndlessPart,
  identityHeaders: Record<string, string>,
): string {
  const headers = Object.entries(identityHeaders)
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  const head = `HTTP/1.1 200 OK\r\n${headers}`;
  switch (part) {
    case "endlessStatusLine":
      return "HTTP/1.1 200 ";
    case "endlessHeader":
      return `${head}X-Long: `;
    case "endlessHeaders":
      return head;
    case "endlessInterim":
    case "endlessNoise":
      return "";
    case "endlessBody":
      return `${head}Connection: close\r\n\r\n`;
    case "endlessChunks":
    case "endlessBodyInBytes":
      return `${head}Transfer-Encoding: chunked\r\n\r\n`;
    case "endlessChunkExtension":
      return `${head}Transfer-Encoding: chunked\r\n\r\n5;extension=`;
    case "endlessTrailers":
      return `${head}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n`;
    case "endlessAfterAnswer":
      return `${head}Content-Length: 5\r\n\r\nwhole`;
    case "endlessEvent":
      return `${head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: `;
    case "endlessEvents":
      return `${head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`;
    case "endlessEventChunks":
    case "endlessEventInBytes":
    case "endlessCommentsInBytes":
    case "endlessBlankLinesInBytes":
      return `${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
  }
}

function buildRepeatedPart(part: EndlessPart): string {
  switch (part) {
    case "endlessHeaders":
    case "endlessTrailers":
      return "X-More: again\r\n";
    case "endlessInterim":
      return "HTTP/1.1 102 Processing\r\n\r\n";
    case "endlessNoise":
      return "\u0000\u0001noise";
    case "endlessChunks":
      return "10\r\n0123456789abcdef\r\n";
    case "endlessEvents":
      return "id: 7\ndata: an event\n\n";
    case "endlessEventChunks":
      return "16\r\nid: 7\ndata: an event\n\n\r\n";
    case "endlessBodyInBytes":
    case "endlessEventInBytes":
      return "1\r\nx\r\n";
    case "endlessCommentsInBytes":
      return "1\r\n:\r\n1\r\n\n\r\n";
    case "endlessBlankLinesInBytes":
      return "1\r\n\n\r\n";
    case "endlessStatusLine":
    case "endlessHeader":
    case "endlessBody":
    case "endlessChunkExtension":
    case "endlessAfterAnswer":
    case "endlessEvent":
      return "x";
  }
}
