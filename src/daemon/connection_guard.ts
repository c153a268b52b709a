/**
 * Bounds what clients hold of a process over its HTTP ports: connections,
 * unanswered requests, input that waits to be parsed and responses that nobody
 * reads. Node.js parses a whole read of up to 64 KB at once, thousands of short
 * requests, and a pause takes effect only after it. Each connection's input is
 * therefore given to the parser in pieces that end with a head or a body, and no
 * piece while the connection has too many unanswered requests. A connection
 * that is paused is one that the client sends more to than it reads from.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  MemoryBudget,
  type MemoryReservation,
} from "../core/limits/memory_budget.ts";
import { type TurnLimits, TurnShare } from "../core/limits/turn_share.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { ClientLimits } from "../settings/client_limits.ts";
import {
  CutReason,
  CutReporter,
  type CutReporterOptions,
} from "./cut_reporter.ts";

export { CutReason, type CutReport } from "./cut_reporter.ts";

/** Largest piece of input that may contain heads or chunks. */
const MAX_PIECE_BYTES = 4 * 1024;
const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
/**
 * Requests take up to some tenths of a millisecond: 32 of each connection in a
 * turn kept others waiting for seconds.
 */
const MAX_TURN_PIECES = 8;
/** Held input of a connection that does not count: Node.js reads as much ahead. */
const UNCOUNTED_HELD_BYTES = 16 * 1024;
/** A rest of less than this part of its buffer is copied. */
const COPIED_SHARE = 4;
/** Connections that are resumed when one response has been sent. */
const MAX_RELEASED = 8;
const SWEEP_INTERVAL_MS = 1_000;
/**
 * Time without reading its responses after which a connection may be closed in
 * favour of a new one.
 */
const EVICTABLE_UNREAD_MS = 2_000;
/** Ends of heads; Node.js accepts a line feed alone, too. */
const HEAD_ENDS = [Buffer.from("\n\r\n"), Buffer.from("\n\n")];

export interface ConnectionGuardOptions extends CutReporterOptions {
  limits: ClientLimits;
  /** Share of each connection in a turn of the event loop. */
  turns: TurnLimits;
}

/** What the guard uses of Node.js beyond its types. */
interface SocketInternals {
  /** Whether the HTTP server has paused the connection, and its parser. */
  _paused?: boolean;
  _handle?: { reading: boolean; readStop: () => void } | null;
}

class GuardedConnection {
  readonly socket: Socket;
  readonly port: string;
  readonly held: MemoryReservation;
  /** Node.js's listener, which parses input. */
  readonly parse: (input: Buffer) => void;
  readonly unanswered = new Set<ServerResponse>();
  lastRequest: IncomingMessage | undefined;
  /** Whether the connection closes after the last request's response. */
  isLastRequestFinal = false;
  /** Bytes of the last request's body that are still to come, if they are known. */
  bodyBytesLeft = 0;
  readonly share: TurnShare;
  /** Whether the guard has paused the connection until there are fewer requests. */
  isHeld = false;
  /** Whether the rest of the input waits for the next turn. */
  isYielding = false;
  /** Bytes that had been sent when that number last rose, and when that was. */
  sentBytes = 0;
  sentAt: Milliseconds;

  constructor(options: {
    socket: Socket;
    port: string;
    held: MemoryReservation;
    parse: (input: Buffer) => void;
    turns: TurnLimits;
    now: Milliseconds;
  }) {
    this.socket = options.socket;
    this.port = options.port;
    this.held = options.held;
    this.parse = options.parse;
    this.share = new TurnShare(options.turns);
    this.sentAt = options.now;
  }

  get isBetweenRequests(): boolean {
    return this.lastRequest?.complete ?? true;
  }

  /** Whether only the client can bring the connection forward. */
  get awaitsClient(): boolean {
    return this.unanswered.size <= (this.isBetweenRequests ? 0 : 1);
  }
}

export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions;
  readonly #heldInput: MemoryBudget;
  readonly #connections = new Set<GuardedConnection>();
  /** Connections that await their client, the longest idle first, by server. */
  readonly #idle = new Map<Server, Set<GuardedConnection>>();
  readonly #heldConnections = new Set<GuardedConnection>();
  readonly #cuts: CutReporter;
  /** Unanswered requests beyond the first of each connection. */
  #pipelined = 0;
  readonly #timer: ReturnType<typeof setInterval>;

  constructor(options: ConnectionGuardOptions) {
    this.#options = options;
    this.#cuts = new CutReporter(options);
    this.#heldInput = new MemoryBudget({
      exemptBytes: UNCOUNTED_HELD_BYTES,
      sharedBytes: options.limits.maxHeldBytes,
    });
    this.#timer = setInterval(
      () => this.#closeUnread(performance.now()),
      SWEEP_INTERVAL_MS,
    );
    this.#timer.unref();
  }

  /** Guards a server, before it listens. */
  attach(server: Server, port: string, maxConnections: number): void {
    const idle = new Set<GuardedConnection>();
    this.#idle.set(server, idle);
    const connections = new Map<Socket, GuardedConnection>();
    server.on("connection", (socket: Socket) => {
      const now = performance.now();
      const isFull = connections.size >= maxConnections &&
        !this.#evict(idle, connections, now);
      const connection = this.#accept(socket, port, now);
      connections.set(socket, connection);
      idle.add(connection);
      this.#connections.add(connection);
      socket.once("close", () => {
        connections.delete(socket);
        this.#remove(connection, idle);
      });
      if (isFull) this.#cut(connection, CutReason.Full, now);
    });
    server.prependListener("request", (request, response) => {
      const connection = connections.get(request.socket);
      if (connection) this.#recordRequest(connection, idle, response);
    });
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #accept(socket: Socket, port: string, now: Milliseconds): GuardedConnection {
    const [parse] = socket.listeners("data") as [(input: Buffer) => void];
    const connection = new GuardedConnection({
      socket,
      port,
      held: this.#heldInput.createReservation(),
      parse,
      turns: this.#options.turns,
      now,
    });
    // Node.js reads past this listener until one of ours is added.
    socket.on("data", (input: Buffer) => this.#parse(connection, input));
    socket.off("data", parse);
    return connection;
  }

  #recordRequest(
    connection: GuardedConnection,
    idle: Set<GuardedConnection>,
    response: ServerResponse,
  ): void {
    const { unanswered } = connection;
    connection.lastRequest = response.req;
    connection.isLastRequestFinal = !response.shouldKeepAlive;
    connection.bodyBytesLeft = Number(response.req.headers["content-length"]) ||
      0;
    if (response.req.headers["transfer-encoding"] !== undefined) {
      countChunks(response.req, connection.share);
    }
    if (unanswered.size > 0) this.#pipelined += 1;
    unanswered.add(response);
    this.#updateIdle(connection, idle);
    // An incomplete body is found out after the head has been handled.
    if (!response.req.complete) {
      response.req.once("end", () => this.#updateIdle(connection, idle));
      queueMicrotask(() => this.#updateIdle(connection, idle));
    }
    response.once("close", () => {
      if (!unanswered.delete(response)) return;
      if (unanswered.size > 0) this.#pipelined -= 1;
      this.#updateIdle(connection, idle);
      this.#release(connection);
      this.#releaseOthers();
    });
  }

  #updateIdle(
    connection: GuardedConnection,
    idle: Set<GuardedConnection>,
  ): void {
    idle.delete(connection);
    if (!connection.socket.destroyed && connection.awaitsClient) {
      idle.add(connection);
    }
  }

  #remove(
    connection: GuardedConnection,
    idle: Set<GuardedConnection>,
  ): void {
    idle.delete(connection);
    this.#connections.delete(connection);
    this.#heldConnections.delete(connection);
    this.#heldInput.release(connection.held);
    this.#pipelined -= Math.max(0, connection.unanswered.size - 1);
    connection.unanswered.clear();
  }

  #parse(connection: GuardedConnection, input: Buffer): void {
    const { socket } = connection;
    this.#heldInput.release(connection.held);
    if (connection.isYielding) {
      // A body that is read resumes its connection within the turn.
      this.#scheduleRest(connection, input);
      return;
    }
    const { share } = connection;
    share.clear();
    let offset = 0;
    for (let pieces = 0; offset < input.length; pieces += 1) {
      if (connection.isLastRequestFinal && connection.isBetweenRequests) {
        // The connection closes after this request: what follows is not for us.
        return;
      }
      if (this.#needsHold(connection)) {
        this.#delay(connection, input.subarray(offset));
        return;
      }
      const length = pieces === MAX_TURN_PIECES
        ? 0
        : measurePiece(connection, input, offset);
      if (length === 0) {
        this.#scheduleRest(connection, input.subarray(offset));
        return;
      }
      connection.parse(input.subarray(offset, offset + length));
      share.recordPiece(length);
      offset += length;
      // After an error of the parser, or a last response, nothing else is read.
      if (socket.destroyed || socket.writableEnded) return;
      if (offset < input.length && socket.isPaused()) {
        // Node.js paused it, and resumes it when the client has read.
        this.#keepInput(connection, input.subarray(offset));
        return;
      }
    }
    startReading(socket);
  }

  #needsHold(connection: GuardedConnection): boolean {
    const { maxPipelinedRequests, maxPipelinedInAll } = this.#options.limits;
    const { unanswered } = connection;
    if (unanswered.size === 0 || !connection.isBetweenRequests) return false;
    return unanswered.size >= maxPipelinedRequests ||
      this.#pipelined >= maxPipelinedInAll;
  }

  #delay(connection: GuardedConnection, input: Buffer): void {
    connection.isHeld = true;
    this.#heldConnections.add(connection);
    connection.socket.pause();
    this.#keepInput(connection, input);
  }

  /** Lets other connections have their turn before the rest is parsed. */
  #scheduleRest(connection: GuardedConnection, input: Buffer): void {
    connection.socket.pause();
    this.#keepInput(connection, input);
    if (connection.isYielding) return;
    connection.isYielding = true;
    setImmediate(() => {
      connection.isYielding = false;
      resumeReading(connection.socket);
    });
  }

  /** Puts input back, so that it is read again when the connection is resumed. */
  #keepInput(connection: GuardedConnection, input: Buffer): void {
    const { socket } = connection;
    if (!this.#heldInput.tryExtend(connection.held, input.length)) {
      this.#cut(connection, CutReason.HeldInput, performance.now());
      return;
    }
    // A small rest would keep the whole read in memory.
    const isSmall = input.length * COPIED_SHARE < input.buffer.byteLength;
    socket.unshift(isSmall ? Buffer.from(input) : input);
    const { _handle: handle } = socket as unknown as SocketInternals;
    if (handle?.reading && input.length >= socket.readableHighWaterMark) {
      handle.reading = false;
      handle.readStop();
    }
  }

  #release(connection: GuardedConnection): void {
    if (!connection.isHeld || this.#needsHold(connection)) return;
    connection.isHeld = false;
    this.#heldConnections.delete(connection);
    resumeReading(connection.socket);
  }

  /** Resumes connections that are held because of others' requests. */
  #releaseOthers(): void {
    const free = this.#options.limits.maxPipelinedInAll - this.#pipelined;
    // Others are held for this reason only while nearly all places are taken.
    if (free <= 0 || free > MAX_RELEASED) return;
    for (const connection of [...this.#heldConnections].slice(0, free)) {
      this.#release(connection);
    }
  }

  /** Closes a connection in favour of a new one; returns whether there was one. */
  #evict(
    idle: Set<GuardedConnection>,
    connections: ReadonlyMap<Socket, GuardedConnection>,
    now: Milliseconds,
  ): boolean {
    const [longestIdle] = idle;
    if (longestIdle) {
      idle.delete(longestIdle);
      this.#cut(longestIdle, CutReason.Idle, now);
      return true;
    }
    for (const connection of connections.values()) {
      const unreadMs = this.#measureUnreadMs(connection, now);
      if (unreadMs < EVICTABLE_UNREAD_MS || connection.socket.destroyed) {
        continue;
      }
      this.#cut(connection, CutReason.Unread, now);
      return true;
    }
    return false;
  }

  #closeUnread(now: Milliseconds): void {
    const { unreadTimeoutMs } = this.#options.limits;
    for (const connection of this.#connections) {
      if (this.#measureUnreadMs(connection, now) < unreadTimeoutMs) continue;
      this.#cut(connection, CutReason.Unread, now);
    }
  }

  /** Returns for how long the client has read nothing of what waits for it. */
  #measureUnreadMs(
    connection: GuardedConnection,
    now: Milliseconds,
  ): Milliseconds {
    const { socket } = connection;
    const sentBytes = socket.bytesWritten - socket.writableLength;
    if (socket.writableLength === 0 || sentBytes > connection.sentBytes) {
      connection.sentBytes = sentBytes;
      connection.sentAt = now;
    }
    return now - connection.sentAt;
  }

  #cut(
    connection: GuardedConnection,
    reason: CutReason,
    now: Milliseconds,
  ): void {
    const { socket, port, unanswered } = connection;
    this.#cuts.report({
      reason,
      port,
      client: socket.remoteAddress ?? "",
      unanswered: unanswered.size,
    }, now);
    socket.destroy();
  }
}

/** Reads the connection on after `#keepInput` has stopped that. */
function startReading(socket: Socket): void {
  const { _handle: handle } = socket as unknown as SocketInternals;
  // The stream takes a read that was stopped for one that is under way.
  if (handle && !handle.reading) socket._read(0);
}

/** Counts the chunks of a request's body as they are parsed. */
function countChunks(request: IncomingMessage, share: TurnShare): void {
  const push = request.push.bind(request);
  request.push = (chunk, encoding) => {
    share.recordEvent();
    return push(chunk, encoding);
  };
}

/**
 * Returns the length of the input up to the end of the next head, or to the end
 * of the body, as far as the turn has room; 0 if it has none.
 */
function measurePiece(
  connection: GuardedConnection,
  input: Buffer,
  offset: number,
): number {
  const { share, isBetweenRequests } = connection;
  const availableBytes = input.length - offset;
  if (!isBetweenRequests && connection.bodyBytesLeft > 0) {
    const length = Math.min(
      connection.bodyBytesLeft,
      availableBytes,
      share.bytesLeft,
    );
    connection.bodyBytesLeft -= length;
    return length;
  }
  const pieceBytes = isBetweenRequests
    ? Math.min(MAX_PIECE_BYTES, share.bytesLeft)
    : share.computePieceBytes(availableBytes);
  const window = input.subarray(offset, offset + pieceBytes);
  // The end of a head may be divided between two pieces.
  if (window[0] === CARRIAGE_RETURN || window[0] === LINE_FEED) {
    return window.indexOf(LINE_FEED) + 1 || window.length;
  }
  const ends = HEAD_ENDS.map((end) => {
    const index = window.indexOf(end);
    return index < 0 ? window.length : index + end.length;
  });
  return Math.min(...ends);
}

/** Resumes a connection, unless Node.js's HTTP server has paused it. */
function resumeReading(socket: Socket): void {
  const { _paused: isPausedByServer } = socket as unknown as SocketInternals;
  if (!isPausedByServer && !socket.destroyed) socket.resume();
}
