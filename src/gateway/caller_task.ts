/**
 * Owns the HTTP server for callers: reads each request completely, finds its
 * route and hands it to a RequestHandler. A second server accepts requests that
 * peers relay, within a limit; these are not relayed again. During a stop,
 * responses announce the close of their connections, idle connections are
 * closed, and requests that were accepted are finished.
 */
import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { ByteAccumulator } from "../core/execution/byte_accumulator.ts";
import { estimateUnreadMs } from "../core/admission/read_delay.ts";
import { canAdmitRelay } from "../core/admission/relay_admission.ts";
import {
  canAdmitWhileStopping,
  type StopPeriod,
  STOPPING_RETRY_AFTER_MS,
} from "../core/admission/stop_admission.ts";
import { computeRequestCost } from "../core/limits/customer_allotments.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedRoute } from "../core/view/published_view.ts";
import { CallerReadDelay } from "../daemon/caller_read_delay.ts";
import { handleConnectionErrors } from "../daemon/connection_errors.ts";
import { listen } from "../daemon/http_server.ts";
import { abortResponse, ActiveResponses } from "../daemon/response_abort.ts";
import { describeError } from "../daemon/step_error.ts";
import { awaitUnreadInput } from "../daemon/unread_input.ts";
import { CallerExchange } from "./caller_exchange.ts";
import { roundMs } from "./decision_log.ts";
import type { AttemptMetadata, RequestMetadata } from "./ports.ts";
import { decodeRelayCustomer, RelayVerdict } from "./relay_headers.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestHandler } from "./request_handler.ts";
import { describeWork } from "./request_work.ts";
import { waitMs } from "./wait.ts";

/** Limits that apply until a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/**
 * Time for which an idle connection is kept beyond the configured limit, so
 * that a caller that reuses it just within the limit does not send its request
 * while the connection is being closed.
 */
const KEEP_ALIVE_MARGIN_MS = 500;
/** Time limit for a request to arrive completely. */
const BODY_TIMEOUT_MS = 30_000;
/**
 * Time given to a caller to read the refusal of a body before its connection is
 * closed.
 */
const UNREAD_BODY_LINGER_MS = 500;
/**
 * Retry-After for requests whose body found no memory: most requests take less,
 * and their bodies are dropped at their end.
 */
const NO_MEMORY_RETRY_AFTER_MS = 1_000;
/** Retry-After for requests that arrive before a configuration is known. */
const UNCONFIGURED_RETRY_AFTER_MS = 500;
/** Retry-After for relayed requests beyond the limit. */
const RELAYS_RETRY_AFTER_MS = 500;
/**
 * Time in which a caller sends the first request on a new connection. During a
 * stop, the connection counts as idle only after it.
 */
const FIRST_REQUEST_MS = 250;
/** Interval at which a stopping gateway checks whether all responses are read. */
const CLOSE_POLL_INTERVAL_MS = 10;

/**
 * Characters of a fingerprint: 72 bits, which fit into a heartbeat for several
 * requests.
 */
const FINGERPRINT_LENGTH = 12;

const Status = {
  Unauthorized: 401,
  NotFound: 404,
  TooMany: 429,
  TooLarge: 413,
  Unavailable: 503,
} as const;

/** How the reading of a request's body ended. */
type BodyRead =
  | { kind: "complete"; body: Buffer }
  | { kind: "tooLarge" }
  /** Other bodies take the memory that there is for them. */
  | { kind: "noMemory" }
  /** The daemon stops before the body has arrived. */
  | { kind: "stopped" }
  | { kind: "disconnected" };

type IdentifiedCaller =
  | {
    kind: "identified";
    caller: AttemptMetadata["caller"];
    /** The route, with the customer's priority if it has one. */
    route: PublishedRoute;
  }
  | { kind: "refused" };

export class CallerTask {
  readonly #context: RequestContext;
  readonly #server: Server;
  readonly #relayServer: Server;
  /** Connections without a request, with the time from which each is idle. */
  readonly #idleSockets = new Map<Socket, Milliseconds>();
  readonly #sockets = new Set<Socket>();
  readonly #readDelay: CallerReadDelay;
  readonly #activeResponses = new ActiveResponses();
  readonly #closingSockets = new WeakSet<Socket>();
  readonly #handlers = new Set<RequestHandler>();
  /** Ends the reading of each body that has not arrived yet. */
  readonly #bodyStoppers = new Set<() => void>();
  #inFlight = 0;
  /** Number of requests in flight that peers relayed. */
  #relayedInFlight = 0;
  /** Undefined unless the daemon is stopping. */
  #stop: StopPeriod | undefined;

  /** @param limitClients limits what clients of a port take of the process. */
  constructor(
    context: RequestContext,
    limitClients: (server: Server, port: "callers" | "relays") => void,
  ) {
    this.#context = context;
    this.#readDelay = new CallerReadDelay(context.eventLoop);
    this.#server = this.#createServer(false);
    this.#relayServer = this.#createServer(true);
    limitClients(this.#server, "callers");
    limitClients(this.#relayServer, "relays");
  }

  #createServer(isRelayed: boolean): Server {
    const server = createServer(
      {
        requestTimeout: BODY_TIMEOUT_MS,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      },
      (request, response) => this.#handleRequest(request, response, isRelayed),
    );
    handleConnectionErrors(
      server,
      (socket) => this.#activeResponses.list(socket),
      this.#context.metrics,
    );
    server.on("connection", (socket: Socket) => {
      const now = performance.now();
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      this.#idleSockets.set(socket, now + FIRST_REQUEST_MS);
      this.#readDelay.recordAccept(socket, now);
      socket.once("close", () => {
        this.#sockets.delete(socket);
        this.#idleSockets.delete(socket);
      });
    });
    return server;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** @param address `IP:port`. */
  listen(address: string): Promise<unknown> {
    return listen(this.#server, address);
  }

  /** Listens for requests that peers relay. */
  listenForRelays(address: string): Promise<unknown> {
    return listen(this.#relayServer, address);
  }

  /**
   * Applies the limits of the configuration to existing and new connections.
   */
  applyLimits(): void {
    const limits = this.#context.view.configuration?.limits;
    if (!limits) return;
    for (const server of [this.#server, this.#relayServer]) {
      server.headersTimeout = limits.headerTimeoutMs;
      server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    }
  }

  /**
   * Starts the stop: from now on each response closes its connection, and each
   * request has its response by the end.
   */
  beginStop(stop: StopPeriod): void {
    this.#stop = stop;
    for (const handler of this.#handlers) handler.limitTo(stop);
  }

  /** Closes the connections that have no request in flight. */
  closeIdleConnections(now: Milliseconds): void {
    for (const [socket, idleAt] of this.#idleSockets) {
      if (idleAt <= now) this.#closeSocket(socket);
    }
  }

  /**
   * Accepts no more connections, refuses what is still read on the others, and
   * waits until all are closed or the time is over.
   */
  async finish(endsAt: Milliseconds): Promise<void> {
    this.#server.close();
    this.#relayServer.close();
    if (this.#stop) {
      const now = performance.now();
      this.#stop = { ...this.#stop, endsAt: Math.min(this.#stop.endsAt, now) };
    }
    for (const stopBody of this.#bodyStoppers) stopBody();
    while (this.#sockets.size > 0 && performance.now() < endsAt) {
      this.closeIdleConnections(performance.now());
      await waitMs(CLOSE_POLL_INTERVAL_MS);
    }
  }

  #closeSocket(socket: Socket): void {
    this.#closingSockets.add(socket);
    socket.end();
  }

  close(): void {
    this.#activeResponses.abortAll();
    for (const socket of this.#sockets) socket.destroy();
  }

  #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    isRelayed: boolean,
  ): void {
    const readAt = performance.now();
    const { socket } = request;
    const maxDelayMs = this.#readDelay.takeMaxDelayMs(socket, readAt);
    if (this.#closingSockets.has(socket)) {
      // The caller sent the request while the connection was being closed. It
      // is dropped without being run, so the caller can send it to another
      // daemon.
      socket.destroy();
      return;
    }
    // The connection is closed after the response before, which has begun.
    const isTooLate = this.#stop !== undefined &&
      this.#activeResponses.getLast(socket)?.headersSent;
    if (isTooLate) return;
    this.#idleSockets.delete(socket);
    this.#inFlight += 1;
    if (isRelayed) this.#relayedInFlight += 1;
    this.#activeResponses.add(response);
    response.once("close", () => {
      this.#inFlight -= 1;
      if (isRelayed) this.#relayedInFlight -= 1;
      if (socket.destroyed || this.#activeResponses.getLast(socket)) return;
      this.#idleSockets.set(socket, performance.now());
      // The head of a stream that began before the stop did not announce the
      // close of its connection.
      if (this.#stop !== undefined) this.#closeSocket(socket);
    });
    response.on("error", (error) => {
      this.#context.log.debug("callerConnectionError", {
        detail: describeError(error),
      });
    });
    const reading = { readAt, maxDelayMs, isRelayed };
    void this.#serve(request, response, reading).catch((error) => {
      this.#context.log.warn("requestFaulted", {
        step: "serve request",
        detail: error instanceof Error ? error.stack : String(error),
      });
      abortResponse(response);
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    { readAt, maxDelayMs, isRelayed }: {
      readAt: Milliseconds;
      maxDelayMs: Milliseconds;
      isRelayed: boolean;
    },
  ): Promise<void> {
    const { headerCodec, view, metrics } = this.#context;
    const metadata = headerCodec.decodeRequestMetadata(
      request.headers,
      request.url ?? "/",
    );
    const readDelayMs = estimateUnreadMs(
      maxDelayMs,
      metadata.deadlineMs ?? Number.POSITIVE_INFINITY,
    );
    if (readDelayMs > 0) metrics.measure("read_delay", "late", readDelayMs);
    const read = await this.#readBody(request, response);
    if (read.kind === "disconnected") return;
    const body = read.kind === "complete" ? read.body : Buffer.alloc(0);
    const exchange = new CallerExchange({
      request,
      response,
      metadata,
      body,
      arrivedAt: readAt - readDelayMs,
      readDelayMs,
      isRelayed,
      isClosing: () =>
        this.#stop !== undefined &&
        this.#activeResponses.getLast(request.socket) === response,
      onDeparture: (listener) =>
        this.#activeResponses.onDeparture(response, listener),
    });
    if (read.kind === "stopped") {
      this.#refuseStopping(exchange);
      return;
    }
    if (read.kind === "tooLarge" || read.kind === "noMemory") {
      this.#refuseBody(exchange, read.kind);
      // The rest of the body is not read, as it may never end.
      setTimeout(() => request.destroy(), UNREAD_BODY_LINGER_MS);
      return;
    }
    await awaitUnreadInput();
    if (exchange.isDisconnected) {
      this.#recordUnservedDeparture(exchange);
      return;
    }
    if (isRelayed && !this.#canAdmitRelay()) {
      this.#refuse(
        exchange,
        Status.Unavailable,
        "too many relayed requests",
        RELAYS_RETRY_AFTER_MS,
      );
      return;
    }
    if (!view.configuration) {
      this.#refuse(
        exchange,
        Status.Unavailable,
        "no configuration is known yet",
        UNCONFIGURED_RETRY_AFTER_MS,
      );
      return;
    }
    const route = view.findRoute(metadata.hostName, metadata.path);
    if (!route) {
      this.#refuse(exchange, Status.NotFound, "no such route", undefined);
      return;
    }
    const identified = this.#authenticate(exchange, route, request.headers);
    if (identified.kind === "refused") return;
    const { caller } = identified;
    const service = view.selectService(route, metadata.requestId);
    if (!service) {
      this.#refuse(
        exchange,
        Status.Unavailable,
        "the route names no service that is known",
        UNCONFIGURED_RETRY_AFTER_MS,
      );
      return;
    }
    if (!this.#admitWithinAllotment(exchange, caller)) return;
    const target = { route: identified.route, service, caller };
    const isTooLate = this.#stop !== undefined &&
      !canAdmitWhileStopping(
        this.#stop,
        describeWork(exchange, target),
        performance.now(),
      );
    if (isTooLate) {
      this.#refuseStopping(exchange);
      return;
    }
    const fingerprint = computeFingerprint(
      request,
      metadata,
      caller?.customer ?? "",
      body,
    );
    await this.#runHandler(
      new RequestHandler(this.#context, exchange, target, fingerprint),
    );
  }

  /**
   * Finds out who calls, and refuses a request whose key no customer holds. A
   * peer that relays a request has checked the key and names the customer.
   */
  #authenticate(
    exchange: CallerExchange,
    route: PublishedRoute,
    headers: IncomingHttpHeaders,
  ): IdentifiedCaller {
    const { headerCodec, view } = this.#context;
    const { customers } = view;
    if (!customers) return { kind: "identified", caller: undefined, route };
    const caller = { customer: undefined };
    if (route.isPublic) return { kind: "identified", caller, route };
    const key = headerCodec.decodeApiKey(headers);
    const customer = exchange.isRelayed
      ? customers.findByName(decodeRelayCustomer(headers) ?? "")
      : customers.findByKey(key);
    if (customer) {
      const { name, priorityRank } = customer;
      return {
        kind: "identified",
        caller: { customer: name },
        route: priorityRank === undefined ? route : { ...route, priorityRank },
      };
    }
    if (exchange.isRelayed) {
      this.#refuse(
        exchange,
        Status.Unavailable,
        "the relayed customer is not known here",
        UNCONFIGURED_RETRY_AFTER_MS,
      );
    } else {
      this.#refuse(exchange, Status.Unauthorized, "unknown key", undefined, {
        key: key === "" ? "missing" : "unknown",
      });
    }
    return { kind: "refused" };
  }

  /**
   * Returns whether the request is within its customer's allotment, and refuses
   * it otherwise. A relayed request was counted where its caller sent it.
   */
  #admitWithinAllotment(
    exchange: CallerExchange,
    caller: AttemptMetadata["caller"],
  ): boolean {
    const { view, allotments } = this.#context;
    const customer = view.customers?.findByName(caller?.customer ?? "");
    if (exchange.isRelayed || !customer?.allotment) return true;
    const { promptTokens, outputTokens } = exchange.metadata;
    const cost = computeRequestCost(
      customer.allotment,
      promptTokens,
      outputTokens,
    );
    const decision = allotments.decideAdmission(
      customer.name,
      cost,
      exchange.metadata.requestId,
    );
    switch (decision.kind) {
      case "admitted":
        return true;
      case "rejected":
        this.#refuse(
          exchange,
          Status.TooMany,
          "the customer's quota is used",
          decision.retryAfterMs,
          {
            customer: customer.name,
            cost,
            unit: customer.allotment.unit,
            ratePerS: customer.allotment.ratePerS,
            burst: customer.allotment.burst,
            retryAfterMs: decision.retryAfterMs,
          },
        );
        return false;
    }
  }

  /** Returns whether the latest relayed request, which is counted, is admitted. */
  #canAdmitRelay(): boolean {
    return canAdmitRelay({
      relayed: this.#relayedInFlight - 1,
      own: this.#inFlight - this.#relayedInFlight,
    });
  }

  async #runHandler(handler: RequestHandler): Promise<void> {
    if (this.#stop) handler.limitTo(this.#stop);
    this.#handlers.add(handler);
    try {
      await handler.run();
    } finally {
      this.#handlers.delete(handler);
    }
  }

  /** Records that a caller left before its request was acted upon. */
  #recordUnservedDeparture(exchange: CallerExchange): void {
    const { metrics, log } = this.#context;
    metrics.count("callers_gone", "unread");
    log.info("callerGone", {
      requestId: exchange.metadata.requestId,
      attempts: 0,
      readDelayMs: roundMs(exchange.readDelayMs),
      elapsedMs: roundMs(performance.now() - exchange.arrivedAt),
    });
  }

  #refuseBody(
    exchange: CallerExchange,
    kind: "tooLarge" | "noMemory",
  ): void {
    switch (kind) {
      case "tooLarge":
        this.#refuse(exchange, Status.TooLarge, "body is too large", undefined);
        break;
      case "noMemory":
        this.#refuse(
          exchange,
          Status.Unavailable,
          "no memory for the body",
          NO_MEMORY_RETRY_AFTER_MS,
        );
        break;
    }
  }

  #refuseStopping(exchange: CallerExchange): void {
    this.#refuse(
      exchange,
      Status.Unavailable,
      "this daemon stops",
      STOPPING_RETRY_AFTER_MS,
    );
  }

  /** @param details fields of the log line; never the key of the request. */
  #refuse(
    exchange: CallerExchange,
    status: number,
    reason: string,
    retryAfterMs: Milliseconds | undefined,
    details: object = {},
  ): void {
    const { log, metrics, headerCodec, view } = this.#context;
    metrics.count("refusals", reason);
    log.info("requestDecision", {
      requestId: exchange.metadata.requestId,
      verdict: "refuse",
      reason,
      status,
      hostName: exchange.metadata.hostName,
      path: exchange.metadata.path,
      configurationVersion: view.configuration?.version,
      ...details,
    });
    const headers = headerCodec.encodeRefusalHeaders(retryAfterMs);
    exchange.sendError(status, headers, reason, RelayVerdict.Unable);
  }

  #readBody(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<BodyRead> {
    const { memory, view } = this.#context;
    const maxBytes = view.configuration?.limits.maxBodyBytes ??
      DEFAULT_MAX_BODY_BYTES;
    const body = new ByteAccumulator({ maxBytes, memory });
    response.once("close", () => body.release());
    return new Promise((resolve) => {
      let isSettled = false;
      const settle = (read: BodyRead): void => {
        isSettled = true;
        this.#bodyStoppers.delete(stopBody);
        resolve(read);
      };
      const stopBody = (): void => settle({ kind: "stopped" });
      this.#bodyStoppers.add(stopBody);
      request.on("data", (chunk: Buffer) => {
        if (isSettled || body.tryAppend(chunk)) return;
        const isTooLarge = body.length + chunk.length > maxBytes;
        request.pause();
        body.release();
        settle({ kind: isTooLarge ? "tooLarge" : "noMemory" });
      });
      request.once(
        "end",
        () => settle({ kind: "complete", body: body.bytes }),
      );
      request.once("close", () => settle({ kind: "disconnected" }));
    });
  }
}

/**
 * Hashes what an upstream runs, which is the same when the caller sends the
 * request again, whatever else it adds.
 */
function computeFingerprint(
  request: IncomingMessage,
  metadata: RequestMetadata,
  customer: string,
  body: Buffer,
): string {
  const hash = createHash("sha256");
  hash.update(`${customer}\n`);
  hash.update(`${request.method} ${request.url}\n${metadata.contentHeaders}\n`);
  return hash.update(body).digest("base64url")
    .slice(0, FINGERPRINT_LENGTH);
}
