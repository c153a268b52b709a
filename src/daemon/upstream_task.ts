/** The task that owns the connections to upstreams: dispatches attempts, gives orders and reads states. */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { Agent, type Dispatcher } from "undici";
import type { DispatchEffect, Effect } from "../core/effects.ts";
import type { OrderResult } from "../core/events.ts";
import type { StoredAnswerStructure } from "../core/messages.ts";
import { type AttemptResult, Outcome } from "../core/outcomes.ts";
import {
  type Milliseconds,
  PoolKind,
  type UpstreamStateStructure,
} from "../core/structures.ts";
import type { Bus } from "./bus.ts";
import type { Exchange, ExchangeRegistry } from "./exchange.ts";
import type { Logger } from "./logger.ts";
import { SseInspector } from "./sse_inspector.ts";
import { describeError, getErrorCode } from "./step_error.ts";
import { engineStateSchema } from "./upstream_schemas.ts";

/** Largest answer body kept for a ticket. */
const MAX_KEPT_BODY_BYTES = 65_536;
/** Characters of an upstream's error that are kept. */
const MAX_DETAIL_LENGTH = 200;
const STATE_TIMEOUT_MS = 800;
const ORDER_TIMEOUT_MS = 30_000;
const CANCEL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Timers may fire this much early. */
const RUN_END_ALLOWANCE_MS = 1;
/** Codes of errors that arise before any byte of a request is sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);
/** Statuses with which an upstream says that it did not start a request. */
const NOT_STARTED_STATUSES = new Set([404, 409, 429, 503]);

export interface UpstreamTaskOptions {
  bus: Bus;
  logger: Logger;
  exchanges: ExchangeRegistry;
  maxAnswerBytes: number;
}

interface RunningAttempt {
  effect: DispatchEffect;
  abort: AbortController;
  isCancelled: boolean;
  /** End of the longest run; an engine that keeps it cuts the answer no earlier. */
  runEndsAt: Milliseconds;
  bytesForwarded: number;
}

interface AttemptEnd {
  result: AttemptResult;
  answer?: StoredAnswerStructure;
}

export class UpstreamTask {
  readonly #options: UpstreamTaskOptions;
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  readonly #attempts = new Map<string, RunningAttempt>();
  readonly #blocked = new Set<string>();

  constructor(options: UpstreamTaskOptions) {
    this.#options = options;
    options.bus.on("dispatch", (data) => this.#run(data));
    options.bus.on("cancelAttempt", (data) => this.#cancel(data.attemptId));
    options.bus.on("order", (data) => this.#order(data));
    options.bus.on("readUpstreamState", (data) => this.#readState(data));
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Cuts the way to some upstreams, for tests of partitions. */
  setBlockedUpstreams(ids: readonly string[]): void {
    this.#blocked.clear();
    for (const id of ids) this.#blocked.add(id);
  }

  async #run(effect: DispatchEffect): Promise<void> {
    const attempt: RunningAttempt = {
      effect,
      abort: new AbortController(),
      isCancelled: false,
      runEndsAt: performance.now() + effect.timeoutMs,
      bytesForwarded: 0,
    };
    this.#attempts.set(effect.attemptId, attempt);
    const timer = setTimeout(
      () => attempt.abort.abort(),
      effect.timeoutMs + RUN_END_ALLOWANCE_MS,
    );
    const end = await this.#runToEnd(attempt);
    clearTimeout(timer);
    this.#attempts.delete(effect.attemptId);
    await this.#options.bus.emit("event", {
      kind: "attemptEnded",
      attemptId: effect.attemptId,
      result: end.result,
      ...(end.answer ? { answer: end.answer } : {}),
    });
  }

  async #runToEnd(attempt: RunningAttempt): Promise<AttemptEnd> {
    const { effect } = attempt;
    const exchange = this.#options.exchanges.get(effect.requestId);
    if (!exchange) return createNotSent("no exchange");
    if (this.#blocked.has(effect.upstreamId)) return createNotSent("cut off");
    if (performance.now() >= effect.dispatchUntil) {
      return createNotSent("dispatch window closed");
    }
    try {
      const response = await this.#send(attempt, exchange);
      return await this.#receive(attempt, exchange, response);
    } catch (error) {
      return await this.#concludeError(attempt, error);
    }
  }

  #send(
    attempt: RunningAttempt,
    exchange: Exchange,
  ): Promise<Dispatcher.ResponseData> {
    const { effect } = attempt;
    const isEngine = effect.upstreamKind === PoolKind.Engine;
    const body = isEngine
      ? JSON.stringify({ ...exchange.jsonBody, model: effect.model })
      : exchange.rawBody;
    return this.#agent.request({
      origin: `http://${effect.address}`,
      path: isEngine ? exchange.path : `/services/${effect.model}`,
      method: "POST",
      headers: {
        "content-type": isEngine ? "application/json" : exchange.contentType,
        "x-request-id": effect.attemptId,
        "x-priority": effect.route.priority,
        "x-timeout-ms": String(Math.ceil(effect.timeoutMs)),
        ...(exchange.ticket ? { "idempotency-key": exchange.ticket } : {}),
      },
      body,
      signal: attempt.abort.signal,
    });
  }

  async #receive(
    attempt: RunningAttempt,
    exchange: Exchange,
    response: Dispatcher.ResponseData,
  ): Promise<AttemptEnd> {
    const { effect } = attempt;
    if (response.statusCode >= 400) {
      const detail = await readDetail(response);
      return { result: classifyStatus(response.statusCode, detail) };
    }
    const isEngine = effect.upstreamKind === PoolKind.Engine;
    const servedModel = isEngine
      ? getHeader(response, "x-served-model")
      : effect.model;
    const servedId = getHeader(response, "x-request-id");
    if (servedModel !== effect.model || servedId !== effect.attemptId) {
      return await this.#dropCrossed(attempt, response, servedModel);
    }
    const head = {
      status: response.statusCode,
      contentType: getHeader(response, "content-type"),
      servedModel,
      tablesRevision: effect.tablesRevision,
    };
    const isStream = head.contentType.startsWith("text/event-stream");
    return isStream
      ? await this.#forwardStream(attempt, exchange, response, head)
      : await this.#forwardWhole(attempt, exchange, response, head);
  }

  async #forwardStream(
    attempt: RunningAttempt,
    exchange: Exchange,
    response: Dispatcher.ResponseData,
    head: Parameters<Exchange["sink"]["begin"]>[0],
  ): Promise<AttemptEnd> {
    const inspector = new SseInspector();
    response.body.on("error", () => {});
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      const isFirst = inspector.model === undefined;
      const forwardable = inspector.push(chunk);
      if (forwardable === undefined) continue;
      if (isFirst) {
        if (inspector.model !== attempt.effect.model) {
          return await this.#dropCrossed(
            attempt,
            response,
            inspector.model ?? "",
          );
        }
        exchange.sink.begin(head);
      }
      attempt.bytesForwarded += forwardable.length;
      await exchange.sink.write(forwardable);
    }
    if (!inspector.isComplete()) {
      return createLost("stream ended before its end mark", attempt);
    }
    return {
      result: { kind: "completed", servedModel: head.servedModel },
      answer: createStoredAnswer(head, undefined),
    };
  }

  async #forwardWhole(
    attempt: RunningAttempt,
    exchange: Exchange,
    response: Dispatcher.ResponseData,
    head: Parameters<Exchange["sink"]["begin"]>[0],
  ): Promise<AttemptEnd> {
    const body = await this.#readBody(response);
    if (attempt.effect.upstreamKind === PoolKind.Engine) {
      const model = readBodyModel(body);
      if (model !== attempt.effect.model) {
        return { result: { kind: "wrongAdapter", servedModel: model } };
      }
    }
    exchange.sink.begin(head);
    attempt.bytesForwarded += body.length;
    await exchange.sink.write(body);
    return {
      result: { kind: "completed", servedModel: head.servedModel },
      answer: createStoredAnswer(head, body),
    };
  }

  async #readBody(response: Dispatcher.ResponseData): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > this.#options.maxAnswerBytes) {
        throw new Error(
          `Expected an answer of at most ${this.#options.maxAnswerBytes} bytes, found more`,
        );
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  }

  async #dropCrossed(
    attempt: RunningAttempt,
    response: Dispatcher.ResponseData,
    servedModel: string,
  ): Promise<AttemptEnd> {
    dropBody(response);
    await this.#cancelOnUpstream(attempt.effect);
    return { result: { kind: "wrongAdapter", servedModel } };
  }

  async #concludeError(
    attempt: RunningAttempt,
    error: unknown,
  ): Promise<AttemptEnd> {
    const code = getErrorCode(error);
    if (NOT_SENT_CODES.has(code)) return createNotSent(code);
    if (performance.now() >= attempt.runEndsAt) {
      await this.#cancelOnUpstream(attempt.effect);
      return { result: { kind: "timedOut" } };
    }
    if (attempt.isCancelled) {
      const isConfirmed = await this.#cancelOnUpstream(attempt.effect);
      return isConfirmed
        ? { result: { kind: "cancelled" } }
        : createLost("cancelled, not confirmed", attempt);
    }
    this.#options.logger.warn("Attempt was lost", {
      step: "dispatch",
      peer: attempt.effect.upstreamId,
      error: describeError(error),
    });
    return createLost(describeError(error), attempt);
  }

  #cancel(attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (!attempt) return;
    attempt.isCancelled = true;
    attempt.abort.abort();
  }

  /** Cancels a run; returns whether the upstream confirmed that it is over. */
  async #cancelOnUpstream(effect: DispatchEffect): Promise<boolean> {
    if (effect.upstreamKind !== PoolKind.Engine) return false;
    if (this.#blocked.has(effect.upstreamId)) return false;
    try {
      const response = await this.#agent.request({
        origin: `http://${effect.address}`,
        path: `/v1/requests/${encodeURIComponent(effect.attemptId)}`,
        method: "DELETE",
        signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
      });
      await response.body.dump();
      return response.statusCode === 200 || response.statusCode === 404;
    } catch {
      return false;
    }
  }

  async #order(effect: Extract<Effect, { kind: "order" }>): Promise<void> {
    const result = await this.#carryOutOrder(effect);
    if (result.kind !== "done") {
      this.#options.logger.warn("Order was not carried out", {
        step: effect.order.kind,
        peer: effect.upstreamId,
        result,
      });
    }
    await this.#options.bus.emit("event", {
      kind: "orderEnded",
      orderId: effect.orderId,
      result,
    });
  }

  async #carryOutOrder(
    effect: Extract<Effect, { kind: "order" }>,
  ): Promise<OrderResult> {
    if (performance.now() >= effect.sendUntil) {
      return { kind: "failed", detail: "order came too late" };
    }
    if (this.#blocked.has(effect.upstreamId)) {
      return { kind: "unknown", detail: "cut off" };
    }
    const { path, body } = formatOrder(effect);
    try {
      const response = await this.#agent.request({
        origin: `http://${effect.address}`,
        path,
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ ...body, fencing: effect.fencing }),
        signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
      });
      const text = await response.body.text();
      if (response.statusCode === 200) return { kind: "done" };
      if (response.statusCode === 412) {
        return { kind: "refusedByFencing", fencing: 0 };
      }
      return { kind: "failed", detail: `${response.statusCode} ${text}` };
    } catch (error) {
      const code = getErrorCode(error);
      return NOT_SENT_CODES.has(code)
        ? { kind: "failed", detail: code }
        : { kind: "unknown", detail: describeError(error) };
    }
  }

  async #readState(
    effect: Extract<Effect, { kind: "readUpstreamState" }>,
  ): Promise<void> {
    const { upstreamId, readId } = effect;
    const state = this.#blocked.has(upstreamId)
      ? { isRefused: false }
      : await this.#fetchState(effect.address);
    await this.#options.bus.emit(
      "event",
      "isRefused" in state
        ? {
          kind: "upstreamStateUnread",
          upstreamId,
          readId,
          isRefused: state.isRefused,
        }
        : { kind: "upstreamStateRead", upstreamId, readId, state },
    );
  }

  async #fetchState(
    address: string,
  ): Promise<UpstreamStateStructure | { isRefused: boolean }> {
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        path: "/state",
        method: "GET",
        signal: AbortSignal.timeout(STATE_TIMEOUT_MS),
      });
      return engineStateSchema.parse(await response.body.json());
    } catch (error) {
      return { isRefused: getErrorCode(error) === "ECONNREFUSED" };
    }
  }
}

/** Returns the beginning of an error's body. */
async function readDetail(response: Dispatcher.ResponseData): Promise<string> {
  const chunks = (response.body as AsyncIterable<Buffer>)
    [Symbol.asyncIterator]();
  const first = await chunks.next();
  dropBody(response);
  return first.done
    ? ""
    : first.value.toString("utf8").slice(0, MAX_DETAIL_LENGTH);
}

/** Ends an answer of which no more is wanted; its error would otherwise be unhandled. */
function dropBody(response: Dispatcher.ResponseData): void {
  response.body.on("error", () => {});
  response.body.destroy();
}

function classifyStatus(status: number, detail: string): AttemptResult {
  if (NOT_STARTED_STATUSES.has(status)) {
    return { kind: "refused", status, detail };
  }
  return status < 500
    ? { kind: "rejected", status, detail }
    : { kind: "failed", status, detail };
}

function createNotSent(detail: string): AttemptEnd {
  return { result: { kind: "notSent", detail } };
}

function createLost(detail: string, attempt: RunningAttempt): AttemptEnd {
  const { bytesForwarded } = attempt;
  return { result: { kind: "lost", detail, bytesForwarded } };
}

function createStoredAnswer(
  head: { status: number; contentType: string },
  body: Buffer | undefined,
): StoredAnswerStructure {
  const bodyKept = body !== undefined && body.length <= MAX_KEPT_BODY_BYTES;
  return {
    outcome: Outcome.Completed,
    status: head.status,
    contentType: head.contentType,
    body: bodyKept ? body : new Uint8Array(),
    bodyKept,
  };
}

function getHeader(response: Dispatcher.ResponseData, name: string): string {
  const value = response.headers[name];
  return typeof value === "string" ? value : "";
}

function readBodyModel(body: Buffer): string {
  try {
    const model = (JSON.parse(body.toString("utf8")) as { model?: unknown })
      .model;
    return typeof model === "string" ? model : "";
  } catch {
    return "";
  }
}

function formatOrder(
  effect: Extract<Effect, { kind: "order" }>,
): { path: string; body: Record<string, string> } {
  const { order } = effect;
  switch (order.kind) {
    case "claim":
      return { path: "/v1/claim", body: {} };
    case "load":
      return {
        path: "/v1/load_lora_adapter",
        body: { lora_name: order.adapterKey },
      };
    case "evict":
      return {
        path: "/v1/unload_lora_adapter",
        body: { lora_name: order.adapterKey },
      };
  }
}
