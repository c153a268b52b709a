/** The task that owns the callers' port: accepts requests and sends responses and refusals. */
import { Buffer } from "node:buffer";
import { createHash, randomUUID, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import express, { type Request, type Response } from "express";
import { ByteAccumulator } from "../core/execution/byte_accumulator.ts";
import { estimateUnreadMs } from "../core/admission/read_delay.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import { getUnclaimedOutcome, RefusalReason } from "../core/outcomes.ts";
import { type Milliseconds, PoolKind } from "../core/structures.ts";
import type { TableSnapshot } from "../core/tables/table_snapshot.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import type { Bus } from "./bus.ts";
import { createBodyHandler } from "./caller_body.ts";
import { CallerExchange } from "./caller_exchange.ts";
import { CallerReadDelay } from "./caller_read_delay.ts";
import { handleConnectionErrors } from "./connection_errors.ts";
import type { EventLoopMonitor } from "./event_loop_monitor.ts";
import type { ExchangeRegistry } from "./exchange.ts";
import {
  close,
  closeAfterResponses,
  createHttpServer,
  listen,
  listResponses,
  listUnbegunResponses,
  onDeparture,
  waitUntilSent,
} from "./http_server.ts";
import { parseJsonObject } from "./json_body.ts";
import type { Logger } from "./logger.ts";
import type { Metrics } from "./metrics.ts";
import { type RefusalStructure, sendRefusal } from "./refusal_response.ts";
import { abortResponse } from "./response_abort.ts";
import { describeError } from "./step_error.ts";
import { awaitUnreadInput } from "./unread_input.ts";

/** Time until a retry that is advised while the daemon has no tables yet, or stops. */
const NOT_READY_RETRY_MS = 1_000;
const FINGERPRINT_LENGTH = 22;
/** Characters of a part's hash: several of them are in one strike. */
const PART_HASH_LENGTH = 12;
/** Most messages of a chat that are considered as shared with others. */
const MAX_SHARED_PARTS = 8;

export interface CallerTaskOptions {
  settings: DaemonSettings["callers"];
  bus: Bus;
  logger: Logger;
  metrics: Metrics;
  exchanges: ExchangeRegistry;
  /** Budget for bodies while they are collected. */
  memory: MemoryBudget;
  eventLoop: EventLoopMonitor;
  /** Limits what clients of the port take of the process. */
  limitClients: (server: Server) => void;
  getTables: () => TableSnapshot | undefined;
}

interface ParsedCall {
  route: string;
  /** Parsed body of a call to an engine; undefined for plain services. */
  jsonBody: Record<string, unknown> | undefined;
  isStreamed: boolean;
}

/** Response locals that authentication sets for the handlers after it. */
interface CallerLocals {
  customer: string;
}

type CallerResponse = Response<unknown, CallerLocals>;

export class CallerTask {
  readonly #options: CallerTaskOptions;
  readonly #server: Server;
  readonly #callerExchanges = new Map<string, CallerExchange>();
  readonly #readDelay: CallerReadDelay;
  /** Longest time for which each request can have lain unread. */
  readonly #maxDelaysMs = new WeakMap<IncomingMessage, Milliseconds>();

  constructor(options: CallerTaskOptions) {
    const { bus, settings } = options;
    this.#options = options;
    this.#readDelay = new CallerReadDelay(options.eventLoop);
    this.#server = createHttpServer(this.#createApp(), {
      maxConnections: settings.maxConnections,
      maxHeaderBytes: settings.maxHeaderBytes,
      headersTimeoutMs: settings.headersTimeoutMs,
      requestTimeoutMs: settings.bodyTimeoutMs,
    });
    options.limitClients(this.#server);
    handleConnectionErrors(
      this.#server,
      (socket) => listResponses(this.#server, socket),
      options.metrics,
    );
    this.#server.on(
      "drop",
      () => options.metrics.count("connection_dropped", ""),
    );
    this.#observeReading();
    bus.on(
      "complete",
      (data) => this.#removeExchange(data.requestId)?.complete(),
    );
    bus.on(
      "refuse",
      (data) => this.#removeExchange(data.requestId)?.refuse(data),
    );
    bus.on("replay", (data) => {
      this.#removeExchange(data.requestId)?.replay(data.answer);
    });
  }

  /** Listens on the callers' port; returns its number. */
  async start(): Promise<number> {
    return await listen(this.#server, this.#options.settings.listen);
  }

  /** Lets callers send no further request on their connections. */
  beginStop(): void {
    closeAfterResponses(this.#server);
  }

  /** Waits until callers have read the answers that have begun, at most for `timeoutMs`. */
  async waitUntilSent(timeoutMs: number): Promise<void> {
    await waitUntilSent(this.#server, timeoutMs);
  }

  /** Stops; requests that have not been read to their end are refused. */
  async stop(): Promise<void> {
    for (const response of listUnbegunResponses(this.#server)) {
      const ticket = response.req.headers["idempotency-key"];
      this.#refuse(response as Response, {
        reason: RefusalReason.Stopping,
        outcome: getUnclaimedOutcome(ticket?.toString()),
        retryAfterMs: NOT_READY_RETRY_MS,
      });
    }
    await close(this.#server);
  }

  #observeReading(): void {
    this.#server.on("connection", (socket: Socket) => {
      this.#readDelay.recordAccept(socket, performance.now());
    });
    this.#server.prependListener("request", (request: IncomingMessage) => {
      this.#maxDelaysMs.set(
        request,
        this.#readDelay.takeMaxDelayMs(request.socket, performance.now()),
      );
    });
  }

  #createApp(): express.Express {
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    const body = createBodyHandler({
      maxBytes: this.#options.settings.maxBodyBytes,
      memory: this.#options.memory,
    });
    app.post(
      ["/v1/chat/completions", "/v1/completions"],
      this.#authenticate,
      body,
      (request: Request, response: CallerResponse) =>
        this.#acceptCompletion(request, response),
    );
    app.post(
      "/v1/services/:route",
      this.#authenticate,
      body,
      (request: Request, response: CallerResponse) =>
        this.#accept(request, response, {
          route: String(request.params["route"]),
          jsonBody: undefined,
          isStreamed: false,
        }),
    );
    app.use((_request: Request, response: Response) => {
      this.#refuse(response, { reason: RefusalReason.UnknownRoute });
    });
    app.use(this.#handleError);
    return app;
  }

  /** Authenticates the customer before any of the body is read. */
  readonly #authenticate = (
    request: Request,
    response: CallerResponse,
    next: express.NextFunction,
  ): void => {
    const tables = this.#options.getTables();
    if (!tables) {
      this.#refuse(response, {
        reason: RefusalReason.NotReady,
        retryAfterMs: NOT_READY_RETRY_MS,
      });
      return;
    }
    const customer = findCustomer(request, tables);
    if (customer === undefined) {
      this.#refuse(response, { reason: RefusalReason.Unauthenticated });
      return;
    }
    response.locals.customer = customer;
    next();
  };

  readonly #handleError = (
    error: { type?: string; status?: number },
    request: Request,
    response: Response,
    _next: express.NextFunction,
  ): void => {
    if (error.type === "entity.too.large") {
      response.set("connection", "close");
      this.#refuse(response, { reason: RefusalReason.RequestTooLarge });
      return;
    }
    if (error.status === undefined || error.status >= 500) {
      this.#options.logger.error("Request could not be accepted", {
        step: "acceptRequest",
        peer: request.socket.remoteAddress ?? "",
        error: describeError(error),
      });
      abortResponse(response);
      return;
    }
    this.#refuse(response, { reason: RefusalReason.InvalidRequest });
  };

  async #acceptCompletion(
    request: Request,
    response: CallerResponse,
  ): Promise<void> {
    const jsonBody = parseJsonObject(request.body);
    const model = jsonBody?.["model"];
    if (!jsonBody || typeof model !== "string") {
      this.#refuse(response, { reason: RefusalReason.InvalidRequest });
      return;
    }
    await this.#accept(request, response, {
      route: model,
      jsonBody,
      isStreamed: jsonBody["stream"] === true,
    });
  }

  async #accept(
    request: Request,
    response: CallerResponse,
    call: ParsedCall,
  ): Promise<void> {
    const { customer } = response.locals;
    if (this.#isWrongPoolKind(call, customer)) {
      this.#refuse(response, { reason: RefusalReason.UnknownRoute });
      return;
    }
    const requestId = randomUUID();
    const rawBody = Buffer.isBuffer(request.body)
      ? request.body
      : Buffer.alloc(0);
    const ticket = request.get("idempotency-key");
    const exchange = this.#createExchange(response, call.isStreamed);
    let hasDeparted = false;
    onDeparture(this.#server, response, () => hasDeparted = true);
    await awaitUnreadInput();
    if (hasDeparted) {
      this.#options.metrics.count("refused", RefusalReason.CallerGone);
      return;
    }
    // A stop that began meanwhile has refused the request.
    if (response.headersSent) return;
    this.#callerExchanges.set(requestId, exchange);
    onDeparture(this.#server, response, () => this.#handleClose(requestId));
    this.#options.exchanges.add({
      requestId,
      path: request.path,
      rawBody,
      jsonBody: call.jsonBody,
      contentType: request.get("content-type") ?? "application/octet-stream",
      isStreamed: call.isStreamed,
      ticket,
      sink: exchange,
    });
    void this.#options.bus.emit("event", {
      kind: "requestArrived",
      requestId,
      customer,
      route: call.route,
      fingerprint: computeFingerprint(customer, call.route, rawBody),
      sharedParts: listSharedParts(call.jsonBody),
      ...(ticket === undefined ? {} : { ticket }),
      unreadMs: this.#estimateUnreadMs(request, call, customer),
    });
  }

  #estimateUnreadMs(
    request: Request,
    call: ParsedCall,
    customer: string,
  ): Milliseconds {
    const route = this.#options.getTables()?.getRoute(call.route, customer);
    return estimateUnreadMs(
      this.#maxDelaysMs.get(request) ?? 0,
      route?.queueDeadlineMs ?? 0,
    );
  }

  /** Returns whether the route's pool is of another kind than the path serves: engines or plain services. */
  #isWrongPoolKind(call: ParsedCall, customer: string): boolean {
    const tables = this.#options.getTables();
    const route = tables?.getRoute(call.route, customer);
    const pool = route && tables?.getPool(route.pool);
    const kind = call.jsonBody ? PoolKind.Engine : PoolKind.Service;
    return pool !== undefined && pool.kind !== kind;
  }

  #createExchange(response: Response, isStreamed: boolean): CallerExchange {
    const { metrics, settings } = this.#options;
    const arrivedAt = performance.now();
    return new CallerExchange({
      response,
      body: isStreamed ? undefined : new ByteAccumulator({
        maxBytes: settings.maxAnswerBytes,
        memory: this.#options.memory,
      }),
      stallTimeoutMs: settings.stallTimeoutMs,
      reportBegin: () => {
        metrics.measure("first_token", performance.now() - arrivedAt);
      },
    });
  }

  #handleClose(requestId: string): void {
    if (!this.#callerExchanges.delete(requestId)) return;
    void this.#options.bus.emit("event", { kind: "callerGone", requestId });
  }

  #removeExchange(requestId: string): CallerExchange | undefined {
    const exchange = this.#callerExchanges.get(requestId);
    this.#callerExchanges.delete(requestId);
    this.#options.exchanges.remove(requestId);
    return exchange;
  }

  /** Refuses and counts a request that is not passed to the core. */
  #refuse(response: Response, refusal: RefusalStructure): void {
    this.#options.metrics.count("refused", refusal.reason);
    sendRefusal(response, refusal);
  }
}

/** Returns the customer of the bearer token; digests are compared in constant time. */
function findCustomer(
  request: Request,
  tables: TableSnapshot,
): string | undefined {
  const header = request.get("authorization") ?? "";
  const token = /^Bearer +([^\s]+)$/i.exec(header)?.[1];
  if (token === undefined) return undefined;
  const digest = createHash("sha256").update(token).digest("hex");
  const customer = tables.getCustomerByTokenDigest(digest);
  const isMatch = customer?.tokenDigests.some((tokenDigest) =>
    timingSafeEqual(Buffer.from(tokenDigest), Buffer.from(digest))
  );
  return isMatch ? customer?.name : undefined;
}

/**
 * Returns hashes of the messages that other chats may share: all but the last,
 * which belongs to this request.
 */
function listSharedParts(
  jsonBody: Record<string, unknown> | undefined,
): string[] {
  const messages = jsonBody?.["messages"];
  if (!Array.isArray(messages)) return [];
  return messages.slice(0, -1).slice(0, MAX_SHARED_PARTS).map((message) =>
    createHash("sha256").update(JSON.stringify(message)).digest("base64url")
      .slice(0, PART_HASH_LENGTH)
  );
}

function computeFingerprint(
  customer: string,
  route: string,
  body: Buffer,
): string {
  return createHash("sha256")
    .update(`${customer}\u0000${route}\u0000`)
    .update(body)
    .digest("base64url")
    .slice(0, FINGERPRINT_LENGTH);
}
