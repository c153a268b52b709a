/**
 * Answers of which a test decides every byte: how the body is framed, in which
 * pieces it is sent, where it breaks off and how the connection ends.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

export interface ScriptedAnswer {
  /** Status line; `HTTP/1.1 200 OK` by default. */
  statusLine?: string;
  /** Line end of the head; CR LF by default. */
  headLineEnd?: string;
  /** Headers beside those of the replica and of the framing. */
  headers?: Record<string, string>;
  /** Whether the answer neither names the request nor bears a stamp. */
  isAnonymous?: boolean;
  framing: "length" | "chunked" | "close";
  /** Time before the first byte; 0 by default. */
  delayMs?: number | undefined;
  /** Whether it is sent as soon as the head of the request has arrived. */
  isEarly?: boolean;
  /** Bytes of the head that are sent, and no body; the whole answer by default. */
  sentHeadBytes?: number;
  /** Size of the pieces in which the head is sent; one piece by default. */
  headPieceBytes?: number;
  body: string;
  /** Bytes of the body that are sent; all of them by default. */
  sentBytes?: number;
  /** Size of the pieces in which they are sent; one piece by default. */
  pieceBytes?: number;
  /** Field lines after the last chunk, each with its line end; none by default. */
  trailers?: string;
  /**
   * Whether the replica first writes the previous answer of this connection once
   * more, if there was one.
   */
  repeatsPrevious?: boolean;
  /**
   * What follows the last byte. After `keep` only scripted answers can follow on
   * the connection.
   */
  end: "keep" | "close" | "reset" | "resetAtOnce" | "closeAndCrash";
}

/** The last answer on each connection. */
const previousAnswers = new WeakMap<Socket, string>();
/** Time before a reset, in which the peer reads what precedes it. */
const RESET_DELAY_MS = 20;
/** Time between two pieces, so that they arrive separately. */
const PIECE_INTERVAL_MS = 1;

/**
 * Sends the answer.
 * @param crash ends the replica's process, which closes this connection.
 */
export function sendScriptedAnswer(
  socket: Socket,
  answer: ScriptedAnswer,
  identity: Record<string, string>,
  crash: () => void,
): void {
  if (answer.delayMs !== undefined) {
    const delayed = { ...answer, delayMs: undefined };
    const timer = setTimeout(
      () => sendScriptedAnswer(socket, delayed, identity, crash),
      answer.delayMs,
    );
    socket.once("close", () => clearTimeout(timer));
    return;
  }
  const body = Buffer.from(answer.body);
  const sentBytes = answer.sentBytes ?? body.length;
  const pieceBytes = answer.pieceBytes ?? Math.max(1, body.length);
  const previous = answer.repeatsPrevious ? previousAnswers.get(socket) : "";
  const head = formatHead(answer, identity);
  previousAnswers.set(socket, `${head}${answer.body}`);
  const pieces = dividePieces(
    Buffer.from(`${previous ?? ""}${head}`),
    answer.headPieceBytes,
  );
  for (let start = 0; start < sentBytes; start += pieceBytes) {
    const end = Math.min(sentBytes, start + pieceBytes);
    pieces.push(encodePiece(answer, body.subarray(start, end)));
  }
  if (answer.framing === "chunked" && sentBytes === body.length) {
    pieces.push(Buffer.from(`0\r\n${answer.trailers ?? ""}\r\n`));
  }
  const finish = (): void => {
    switch (answer.end) {
      case "keep":
        break;
      case "close":
        socket.end();
        break;
      case "reset":
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        break;
      case "resetAtOnce":
        socket.resetAndDestroy();
        break;
      case "closeAndCrash":
        crash();
        break;
    }
  };
  if (answer.sentHeadBytes !== undefined) {
    // The head is ASCII, so that a character is a byte.
    socket.write(head.slice(0, answer.sentHeadBytes), finish);
    return;
  }
  if (answer.pieceBytes === undefined && answer.headPieceBytes === undefined) {
    socket.write(Buffer.concat(pieces), finish);
    return;
  }
  const timer = setInterval(() => {
    const piece = pieces.shift();
    if (piece) {
      socket.write(piece);
      return;
    }
    clearInterval(timer);
    finish();
  }, PIECE_INTERVAL_MS);
  socket.once("close", () => clearInterval(timer));
}

function dividePieces(bytes: Buffer, pieceBytes = bytes.length): Buffer[] {
  const pieces: Buffer[] = [];
  for (let start = 0; start < bytes.length; start += pieceBytes) {
    pieces.push(bytes.subarray(start, start + pieceBytes));
  }
  return pieces;
}

/** Returns the head of the answer, with the empty line that ends it. */
export function formatHead(
  answer: ScriptedAnswer,
  identity: Record<string, string>,
): string {
  const headers = {
    ...(answer.isAnonymous ? {} : identity),
    ...formatFraming(answer),
    ...answer.headers,
  };
  const lines = Object.entries(headers)
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  const head = `${answer.statusLine ?? "HTTP/1.1 200 OK"}\r\n${lines}\r\n`;
  return head.replaceAll("\r\n", answer.headLineEnd ?? "\r\n");
}

function formatFraming(answer: ScriptedAnswer): Record<string, string> {
  switch (answer.framing) {
    case "length":
      return { "Content-Length": String(Buffer.byteLength(answer.body)) };
    case "chunked":
      return { "Transfer-Encoding": "chunked" };
    case "close":
      return { Connection: "close" };
  }
}

function encodePiece(answer: ScriptedAnswer, piece: Buffer): Buffer {
  if (answer.framing !== "chunked") return piece;
  const size = `${piece.length.toString(16)}\r\n`;
  return Buffer.concat([Buffer.from(size), piece, Buffer.from("\r\n")]);
}
