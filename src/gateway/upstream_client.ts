/**
 * HTTP client for attempts at upstreams. Each attempt uses one connection; a
 * connection on which anything unexpected happens is not reused.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { hasBeenReset, watchForReset } from "../daemon/connection_reset.ts";
import {
  DEFAULT_IDLE_MS,
  IdleConnectionPolicy,
  parseKeepAliveTimeout,
} from "../core/placement/idle_connections.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import type { TurnLimits } from "../core/limits/turn_share.ts";
import { parseSocketAddress } from "../core/socket_address.ts";
import { checkNextHead } from "../daemon/head_checked_socket.ts";
import { PacedSocket } from "../daemon/paced_socket.ts";
import { describeError } from "../daemon/step_error.ts";
import { CheckedAgent, excludeFromReuse, PacedAgent } from "./checked_agent.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { isSuccess } from "./http_status.ts";

export interface AttemptRequest {
  /** `IP:port`. */
  address: string;
  method: string;
  /** Path and query as the caller sent them. */
  url: string;
  rawHeaders: string[];
  body: Buffer;
  /**
   * Whether a kept-alive connection may be used, which the upstream may be
   * closing at that moment.
   */
  mayReuseConnection: boolean;
  /**
   * How many idle connections to the upstream may be kept for longer than the
   * default; none if undefined.
   */
  longIdleLimit?: number | undefined;
}

/**
 * Receives the events of an attempt, in this order: at most one head, chunks,
 * and one end.
 */
export interface AttemptListener {
  /** Called when a new connection was established for the attempt. */
  onConnect(): void;
  onHead(head: IncomingMessage): void;
  /**
   * Returns whether to continue reading; after false nothing is read until
   * `resume`.
   */
  onChunk(chunk: Buffer): boolean;
  onEnd(end: AttemptEnd): void;
}

/** An attempt that has been started. */
export interface StartedAttempt {
  /**
   * Ends the attempt and closes its connection; the listener is not called any
   * more.
   */
  cancel: () => void;
  /** Continues reading after `onChunk` returned false. */
  resume: () => void;
  /** Returns whether a byte of the request may have been sent. */
  hasBeenSent: () => boolean;
}

export type AttemptEnd =
  /** The whole response has arrived. */
  | { kind: "complete" }
  /** Nothing was sent; `isUnreachable` if no connection could be established. */
  | { kind: "notSent"; detail: string; isUnreachable: boolean }
  /** The connection broke before or within the response. */
  | { kind: "broken"; detail: string };

/**
 * Time limit for establishing a connection: a round trip takes milliseconds,
 * and a new connection needs a handshake.
 */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Maximum number of idle connections that one daemon keeps to an upstream, out
 * of those that the upstream allows.
 */
const MAX_IDLE_CONNECTIONS = 6;
/**
 * Maximum number of interim (1xx) responses before the head; beyond it the
 * connection is closed. HTTP has three kinds, each of which is sent once.
 */
const MAX_INTERIM_HEADS = 8;

/** Which connection an attempt used, and why. */
const ConnectionUse = {
  Kept: "kept",
  /** A new one, although a kept one would have been allowed. */
  NoneKept: "noneKept",
  /** A new one, since the request must not use a kept one. */
  KeptNotAllowed: "keptNotAllowed",
} as const;

/** How a connection that had been kept came to an end. */
const KeptConnectionEnd = {
  /** The upstream closed it while it was idle. */
  ClosedIdle: "closedIdle",
  /** It broke before the head of the response to the request that used it. */
  BrokenInUse: "brokenInUse",
} as const;

/** What is known of a connection that may be kept. */
interface ConnectionFacts {
  address: string;
  announcedMs: Milliseconds | undefined;
  longIdleLimit: number;
}

export interface UpstreamClientOptions {
  /** Connections of each kind, kept or not; further attempts wait for one. */
  maxConnections: number;
  /** Share of each connection in a turn of the event loop. */
  turns: TurnLimits;
  /** Budget for the input that waits for its turn. */
  memory: MemoryBudget;
}

export class UpstreamClient {
  readonly #metrics: Pick<GatewayMetrics, "count">;
  readonly #idlePolicy = new IdleConnectionPolicy();
  readonly #facts = new WeakMap<Socket, ConnectionFacts>();
  readonly #keepAliveAgent: CheckedAgent;
  readonly #singleUseAgent: Agent;

  constructor(
    metrics: Pick<GatewayMetrics, "count">,
    { maxConnections, turns, memory }: UpstreamClientOptions,
  ) {
    this.#metrics = metrics;
    const pacing = {
      limits: turns,
      memory,
      onThrottle: () => metrics.count("throttled_connections", "upstream"),
    };
    this.#keepAliveAgent = new CheckedAgent(
      {
        keepAlive: true,
        timeout: DEFAULT_IDLE_MS,
        maxFreeSockets: MAX_IDLE_CONNECTIONS,
        maxTotalSockets: maxConnections,
        scheduling: "lifo",
      },
      {
        decideIdleTime: (socket) => this.#decideIdleTime(socket),
        handleIdleClose: (socket) => {
          this.#recordEnd(socket, KeptConnectionEnd.ClosedIdle);
        },
      },
      pacing,
    );
    this.#singleUseAgent = new PacedAgent({
      keepAlive: false,
      maxTotalSockets: maxConnections,
    }, pacing);
  }

  startAttempt(
    attempt: AttemptRequest,
    listener: AttemptListener,
  ): StartedAttempt {
    const rawHeaders = [...attempt.rawHeaders];
    const hasBody = attempt.body.length > 0 || attempt.method === "POST";
    if (hasBody) rawHeaders.push("Content-Length", String(attempt.body.length));
    let call: ClientRequest;
    try {
      call = request({
        ...parseSocketAddress(attempt.address),
        method: attempt.method,
        path: attempt.url,
        headers: rawHeaders,
        setHost: false,
        agent: attempt.mayReuseConnection
          ? this.#keepAliveAgent
          : this.#singleUseAgent,
      });
    } catch (error) {
      return endUnsent(describeError(error), listener);
    }
    call.once("socket", (socket: Socket) => {
      const newConnection = attempt.mayReuseConnection
        ? ConnectionUse.NoneKept
        : ConnectionUse.KeptNotAllowed;
      this.#metrics.count(
        "upstream_connections",
        socket.connecting ? newConnection : ConnectionUse.Kept,
      );
    });
    return followAttempt(
      call,
      attempt.body,
      attempt.mayReuseConnection
        ? this.#observeConnection(call, attempt, listener)
        : listener,
    );
  }

  close(): void {
    this.#keepAliveAgent.destroy();
    this.#singleUseAgent.destroy();
  }

  /**
   * Returns a listener that also records what the attempt shows of its
   * connection, which is known from the call's `socket` event on.
   */
  #observeConnection(
    call: ClientRequest,
    { address, longIdleLimit = 0 }: AttemptRequest,
    listener: AttemptListener,
  ): AttemptListener {
    let keptSocket: Socket | undefined;
    let hasHead = false;
    call.once("socket", (socket: Socket) => {
      if (!socket.connecting) keptSocket = socket;
    });
    return {
      onConnect: () => listener.onConnect(),
      onHead: (head) => {
        hasHead = true;
        this.#facts.set(head.socket, {
          address,
          announcedMs: parseKeepAliveTimeout(
            head.headers["keep-alive"]?.toString(),
          ),
          longIdleLimit,
        });
        listener.onHead(head);
      },
      onChunk: (chunk) => listener.onChunk(chunk),
      onEnd: (end) => {
        if (keptSocket && !hasHead && end.kind === "broken") {
          this.#recordEnd(keptSocket, KeptConnectionEnd.BrokenInUse);
        }
        listener.onEnd(end);
      },
    };
  }

  #recordEnd(
    socket: Socket,
    end: (typeof KeptConnectionEnd)[keyof typeof KeptConnectionEnd],
  ): void {
    this.#metrics.count("kept_connection_ends", end);
    const facts = this.#facts.get(socket);
    if (!facts) return;
    this.#idlePolicy.recordEarlyClose(facts.address, performance.now());
  }

  #decideIdleTime(socket: Socket): Milliseconds {
    const facts = this.#facts.get(socket);
    if (!facts) return DEFAULT_IDLE_MS;
    const { host, port } = parseSocketAddress(facts.address);
    const name = this.#keepAliveAgent.getName({ host, port });
    const otherIdle = this.#keepAliveAgent.freeSockets[name]?.length ?? 0;
    return this.#idlePolicy.decideIdleTime(
      { ...facts, otherIdle },
      performance.now(),
    );
  }
}

/** Ends an attempt of which Node.js rejects the address, a header or the path. */
function endUnsent(detail: string, listener: AttemptListener): StartedAttempt {
  let isCancelled = false;
  queueMicrotask(() => {
    if (!isCancelled) {
      listener.onEnd({ kind: "notSent", detail, isUnreachable: false });
    }
  });
  return {
    cancel: () => isCancelled = true,
    resume: () => {},
    hasBeenSent: () => false,
  };
}

function followAttempt(
  call: ClientRequest,
  body: Buffer,
  listener: AttemptListener,
): StartedAttempt {
  let hasSent = false;
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
    end(
      hasSent
        ? { kind: "broken", detail }
        : { kind: "notSent", detail, isUnreachable: true },
    );
  const send = (): void => {
    if (hasEnded) return;
    hasSent = true;
    call.end(body);
  };
  call.on("socket", (socket: Socket) => {
    watchForReset(socket);
    checkNextHead(socket);
    if (!socket.connecting) {
      send();
      return;
    }
    timer = setTimeout(
      () => fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`),
      CONNECT_TIMEOUT_MS,
    );
    socket.once("connect", () => {
      clearTimeout(timer);
      if (!hasEnded) listener.onConnect();
      // The caller may have left while the connection was established.
      setImmediate(send);
    });
  });
  call.on("error", (error) => fail(describeError(error)));
  call.on("information", () => {
    interimHeads += 1;
    if (interimHeads > MAX_INTERIM_HEADS) fail("interim answers without end");
  });
  // Without a listener, Node.js drops such an answer, and the attempt has no end.
  call.on("upgrade", (_head, socket) => {
    socket.destroy();
    fail("the answer switches protocols");
  });
  call.on("response", (head) => {
    if (hasEnded) return;
    response = head;
    // Refusals and errors may name no request: one that is sent once more must
    // not be taken for the answer to the next request.
    if (!isSuccess(head.statusCode ?? 0)) excludeFromReuse(head.socket);
    listener.onHead(head);
    const { socket } = head;
    head.on("data", (chunk: Buffer) => {
      if (socket instanceof PacedSocket) socket.recordEvent();
      if (!hasEnded && !listener.onChunk(chunk)) head.pause();
    });
    head.on("error", (error) => fail(describeError(error)));
    head.on("close", () => fail("connection closed within the answer"));
    head.on("end", () => {
      const isReset = hasBeenReset(head.socket);
      if (head.complete && !isReset) end({ kind: "complete" });
      else fail("answer ended early");
    });
  });
  return {
    cancel: () => {
      hasEnded = true;
      clearTimeout(timer);
      call.on("error", dropError);
      call.destroy();
    },
    resume: () => response?.resume(),
    hasBeenSent: () => hasSent,
  };
}

/** Ignores the error of a request that was cancelled on purpose. */
function dropError(): void {}
