/** The task that owns the callers' port: accepts requests, forwards answers and gives refusals. */
import { Buffer } from "node:buffer";
import { createHash, randomUUID, timingSafeEqual } from "node:crypto";
import type { Server } from "node:http";
import { performance } from "node:perf_hooks";
import express, { type Request, type Response } from "express";
import type { RefuseEffect } from "../core/effects.ts";
import type { StoredAnswerStructure } from "../core/messages.ts";
import { Outcome, RefusalReason } from "../core/outcomes.ts";
import type { TableSnapshot } from "../core/tables/table_snapshot.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import type { Bus } from "./bus.ts";
import type { AnswerHead, AnswerSink, ExchangeRegistry } from "./exchange.ts";
import { close, createHttpServer, listen } from "./http_server.ts";
import type { Logger } from "./logger.ts";
import type { Metrics } from "./metrics.ts";
import { getRefusalStatus } from "./refusal_statuses.ts";

export interface CallerTaskOptions {
  settings: DaemonSettings["callers"];
  bus: Bus;
  logger: Logger;
  metrics: Metrics;
  exchanges: ExchangeRegistry;
  getTables: () => TableSnapshot | undefined;
}

/** The answer to one caller. */
interface CallerExchange extends AnswerSink {
  response: Response;
  head: AnswerHead | undefined;
  /** Body held back until the answer is known to be whole; undefined for streams. */
  held: Uint8Array[] | undefined;
}

type RefusalBody = Omit<RefuseEffect, "kind" | "requestId">;

export class CallerTask {
  readonly #options: CallerTaskOptions;
  readonly #server: Server;
  readonly #callers = new Map<string, CallerExchange>();

  constructor(options: CallerTaskOptions) {
    this.#options = options;
    this.#server = createHttpServer(this.#createApp(), {
      maxConnections: options.settings.maxConnections,
      headersTimeoutMs: options.settings.headersTimeoutMs,
      requestTimeoutMs: options.settings.bodyTimeoutMs,
    });
    options.bus.on("complete", (data) => this.#complete(data.requestId));
    options.bus.on("refuse", (data) => this.#finishRefused(data));
    options.bus.on(
      "replay",
      (data) => this.#replay(data.requestId, data.answer),
    );
  }

  /** Binds the callers' port; returns the port. */
  async start(): Promise<number> {
    return await listen(this.#server, this.#options.settings.listen);
  }

  async stop(): Promise<void> {
    await close(this.#server);
  }

  #createApp(): express.Express {
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    const body = express.raw({
      type: () => true,
      limit: this.#options.settings.maxBodyBytes,
    });
    app.post("/v1/chat/completions", body, (request, response) => {
      this.#acceptCompletion(request, response);
    });
    app.post("/v1/completions", body, (request, response) => {
      this.#acceptCompletion(request, response);
    });
    app.post("/v1/services/:route", body, (request, response) => {
      this.#accept(request, response, {
        route: String(request.params["route"]),
        jsonBody: undefined,
        isStreamed: false,
      });
    });
    app.use((_request: Request, response: Response) => {
      this.#refuse(response, { reason: RefusalReason.UnknownRoute });
    });
    app.use((
      error: { type?: string },
      _request: Request,
      response: Response,
      _next: express.NextFunction,
    ) => {
      const reason = error.type === "entity.too.large"
        ? RefusalReason.RequestTooLarge
        : RefusalReason.InvalidRequest;
      this.#refuse(response, { reason });
    });
    return app;
  }

  #acceptCompletion(request: Request, response: Response): void {
    const jsonBody = parseJsonObject(request.body);
    const model = jsonBody?.["model"];
    if (!jsonBody || typeof model !== "string") {
      this.#refuse(response, { reason: RefusalReason.InvalidRequest });
      return;
    }
    this.#accept(request, response, {
      route: model,
      jsonBody,
      isStreamed: jsonBody["stream"] === true,
    });
  }

  #accept(
    request: Request,
    response: Response,
    call: {
      route: string;
      jsonBody: Record<string, unknown> | undefined;
      isStreamed: boolean;
    },
  ): void {
    const customer = this.#authenticate(request);
    if (customer === undefined) {
      this.#refuse(response, { reason: RefusalReason.Unauthenticated });
      return;
    }
    const requestId = randomUUID();
    const rawBody = Buffer.isBuffer(request.body)
      ? request.body
      : Buffer.alloc(0);
    const ticket = request.get("idempotency-key");
    const exchange = this.#createExchange(response, call.isStreamed);
    this.#callers.set(requestId, exchange);
    response.on("close", () => this.#handleClose(requestId));
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
      ...(ticket === undefined ? {} : { ticket }),
    });
  }

  #authenticate(request: Request): string | undefined {
    const header = request.get("authorization") ?? "";
    const match = /^Bearer +([^\s]+)$/i.exec(header);
    const token = match?.[1];
    if (token === undefined) return undefined;
    const digest = createHash("sha256").update(token).digest("hex");
    const customer = this.#options.getTables()
      ?.getCustomerByTokenDigest(digest);
    const isHeld = customer?.tokenDigests.some((held) =>
      timingSafeEqual(Buffer.from(held), Buffer.from(digest))
    );
    return isHeld ? customer?.name : undefined;
  }

  #createExchange(response: Response, isStreamed: boolean): CallerExchange {
    const arrivedAt = performance.now();
    const exchange: CallerExchange = {
      response,
      head: undefined,
      held: isStreamed ? undefined : [],
      begin: (head) => {
        exchange.head = head;
        this.#options.metrics.measure(
          "first_token",
          performance.now() - arrivedAt,
        );
        if (isStreamed) writeHead(response, head);
      },
      write: async (chunk) => {
        if (exchange.held) exchange.held.push(chunk);
        else await writeChunk(response, chunk);
      },
    };
    return exchange;
  }

  #handleClose(requestId: string): void {
    if (!this.#callers.delete(requestId)) return;
    void this.#options.bus.emit("event", { kind: "callerGone", requestId });
  }

  #complete(requestId: string): void {
    const exchange = this.#finish(requestId);
    if (!exchange?.head) return;
    const { response, held, head } = exchange;
    if (!held) {
      response.end();
      return;
    }
    writeHead(response, head);
    response.end(Buffer.concat(held));
  }

  #replay(requestId: string, answer: StoredAnswerStructure): void {
    const exchange = this.#finish(requestId);
    if (!exchange) return;
    exchange.response.status(answer.status);
    exchange.response.set("content-type", answer.contentType);
    exchange.response.set("idempotent-replayed", "true");
    exchange.response.end(Buffer.from(answer.body));
  }

  #finishRefused(effect: RefuseEffect): void {
    const exchange = this.#finish(effect.requestId);
    if (!exchange) return;
    if (!exchange.response.headersSent) {
      this.#refuse(exchange.response, effect);
      return;
    }
    // The answer has begun: it is reported as broken and never ended as if whole.
    const event = JSON.stringify(formatRefusal(effect));
    exchange.response.write(
      `event: error\ndata: ${event}\n\n`,
      () => exchange.response.destroy(),
    );
  }

  #finish(requestId: string): CallerExchange | undefined {
    const exchange = this.#callers.get(requestId);
    this.#callers.delete(requestId);
    this.#options.exchanges.remove(requestId);
    return exchange;
  }

  /** Gives a refusal as JSON, with when to come back where that helps. */
  #refuse(
    response: Response,
    refusal: Partial<RefusalBody> & { reason: RefusalReason },
  ): void {
    if (response.headersSent || response.destroyed) return;
    const { retryAfterMs } = refusal;
    if (retryAfterMs !== undefined) {
      response.set("retry-after", String(Math.ceil(retryAfterMs / 1_000)));
    }
    response.status(getRefusalStatus(refusal.reason));
    response.json(formatRefusal(refusal));
  }
}

function formatRefusal(
  refusal: Partial<RefusalBody> & { reason: RefusalReason },
): { error: Record<string, unknown> } {
  return {
    error: {
      reason: refusal.reason,
      outcome: refusal.outcome ?? Outcome.NotRun,
      retryAfterMs: refusal.retryAfterMs,
      ticket: refusal.ticket,
    },
  };
}

function writeHead(response: Response, head: AnswerHead): void {
  const [adapter, version] = head.servedModel.split("@");
  response.status(head.status);
  response.set("content-type", head.contentType);
  if (version !== undefined) {
    response.set("x-adapter", adapter ?? "");
    response.set("x-adapter-version", version);
  }
  response.set("x-tables-revision", String(head.tablesRevision));
  if (head.contentType.startsWith("text/event-stream")) response.flushHeaders();
}

/** Writes a chunk and waits until a slow reader has taken it, or is gone. */
async function writeChunk(
  response: Response,
  chunk: Uint8Array,
): Promise<void> {
  if (response.destroyed || response.write(chunk)) return;
  await new Promise<void>((resolve) => {
    const proceed = (): void => {
      response.off("drain", proceed);
      response.off("close", proceed);
      resolve();
    };
    response.once("drain", proceed);
    response.once("close", proceed);
  });
}

function parseJsonObject(body: unknown): Record<string, unknown> | undefined {
  if (!Buffer.isBuffer(body)) return undefined;
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(body);
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    return isObject ? value as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
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
    .slice(0, 22);
}
