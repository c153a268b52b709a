/**
 * Owns the connections to upstreams. One attempt goes out on one connection; a
 * connection on which anything unexpected happens is not used again.
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { parseAddress } from "../daemon/http_server.ts";
import { describeError } from "../daemon/step_error.ts";

export interface AttemptRequest {
  /** `IP:port`. */
  address: string;
  method: string;
  /** Path with its query, as the caller sent it. */
  url: string;
  rawHeaders: string[];
  body: Buffer;
  /** Whether an idle connection may be used, which the upstream may just be closing. */
  mayReuseConnection: boolean;
}

/** What an attempt reports, in this order: at most one head, pieces, and one end. */
export interface AttemptListener {
  onHead(head: IncomingMessage): void;
  /** Returns whether more may come; after false nothing is read until `resume`. */
  onChunk(chunk: Buffer): boolean;
  onEnd(end: AttemptEnd): void;
}

/** A request on its way. */
export interface StartedAttempt {
  /** Gives it up and closes its connection. */
  cancel: () => void;
  /** Reads on after a piece for which no more could be taken. */
  resume: () => void;
}

export type AttemptEnd =
  /** The whole answer has come. */
  | { kind: "complete" }
  /** No connection came about: nothing was sent. */
  | { kind: "notSent"; detail: string }
  /** The connection broke before or within the answer. */
  | { kind: "broken"; detail: string };

/** Time for a connection to be made: ways take milliseconds, a new one waits for a handshake. */
const CONNECT_TIMEOUT_MS = 400;
/** Time for which an idle connection is kept, below the upstreams' own idle limits of seconds. */
const IDLE_CONNECTION_TIMEOUT_MS = 2_000;
/** Part of an upstream's connections that one daemon keeps idle. */
const MAX_IDLE_CONNECTIONS = 6;
/** Interim answers (1xx) before the head after which a connection is cut: the protocol knows three kinds, each is sent once. */
const MAX_INTERIM_HEADS = 8;

export class UpstreamClient {
  readonly #keepAliveAgent = new IdleCheckingAgent({
    keepAlive: true,
    timeout: IDLE_CONNECTION_TIMEOUT_MS,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
    scheduling: "lifo",
  });
  readonly #singleUseAgent = new Agent({ keepAlive: false });

  startAttempt(
    attempt: AttemptRequest,
    listener: AttemptListener,
  ): StartedAttempt {
    const rawHeaders = [...attempt.rawHeaders];
    const hasBody = attempt.body.length > 0 || attempt.method === "POST";
    if (hasBody) rawHeaders.push("Content-Length", String(attempt.body.length));
    const call = request({
      ...parseAddress(attempt.address),
      method: attempt.method,
      path: attempt.url,
      headers: rawHeaders,
      setHost: false,
      agent: attempt.mayReuseConnection
        ? this.#keepAliveAgent
        : this.#singleUseAgent,
    });
    return followAttempt(call, attempt.body, listener);
  }

  close(): void {
    this.#keepAliveAgent.destroy();
    this.#singleUseAgent.destroy();
  }
}

function followAttempt(
  call: ClientRequest,
  body: Buffer,
  listener: AttemptListener,
): StartedAttempt {
  let hasConnected = false;
  let hasEnded = false;
  let interimHeads = 0;
  let response: IncomingMessage | undefined;
  let timer: ReturnType<typeof setTimeout> | undefined;
  const end = (attemptEnd: AttemptEnd): void => {
    if (hasEnded) return;
    hasEnded = true;
    clearTimeout(timer);
    if (attemptEnd.kind !== "complete") call.destroy();
    listener.onEnd(attemptEnd);
  };
  const fail = (detail: string): void =>
    end({ kind: hasConnected ? "broken" : "notSent", detail });
  call.on("socket", (socket: Socket) => {
    watchForReset(socket);
    if (!socket.connecting) {
      hasConnected = true;
      return;
    }
    timer = setTimeout(
      () => fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`),
      CONNECT_TIMEOUT_MS,
    );
    socket.once("connect", () => {
      hasConnected = true;
      clearTimeout(timer);
    });
  });
  call.on("error", (error) => fail(describeError(error)));
  call.on("information", () => {
    interimHeads += 1;
    if (interimHeads > MAX_INTERIM_HEADS) fail("interim answers without end");
  });
  call.on("response", (head) => {
    if (hasEnded) return;
    response = head;
    listener.onHead(head);
    head.on("data", (chunk: Buffer) => {
      if (!hasEnded && !listener.onChunk(chunk)) head.pause();
    });
    head.on("error", (error) => fail(describeError(error)));
    head.on("close", () => fail("connection closed within the answer"));
    head.on("end", () => {
      const isReset = resetSockets.has(head.socket);
      if (head.complete && !isReset) end({ kind: "complete" });
      else fail("answer ended early");
    });
  });
  call.end(body);
  return {
    cancel: () => {
      hasEnded = true;
      clearTimeout(timer);
      call.on("error", dropError);
      call.destroy();
    },
    resume: () => response?.resume(),
  };
}

/** Sockets that ended because their peer reset the connection. */
const resetSockets = new WeakSet<Socket>();
const watchedSockets = new WeakSet<Socket>();

/**
 * A reset can show as a plain end of the stream, at which a body without a
 * length would pass for whole. A connection that was reset has no peer any
 * more, one that was closed still has.
 */
function watchForReset(socket: Socket): void {
  if (watchedSockets.has(socket)) return;
  watchedSockets.add(socket);
  socket.prependListener("end", () => {
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
}

/** The error of a request that was given up on purpose tells nothing. */
function dropError(): void {}

/** Drops an idle connection on which bytes arrive: they answer no request. */
class IdleCheckingAgent extends Agent {
  override keepSocketAlive(socket: Socket): boolean {
    // The base class reads the upstream's Keep-Alive hint and may decline.
    const keepAlive = super.keepSocketAlive as (socket: Socket) => unknown;
    if (keepAlive.call(this, socket) === false) return false;
    socket.on("data", dropConnection);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Socket, call: ClientRequest): void {
    socket.removeListener("data", dropConnection);
    super.reuseSocket(socket, call);
  }
}

function dropConnection(this: Socket): void {
  this.destroy();
}
