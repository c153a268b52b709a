/** The task that owns the connections to upstreams: dispatches attempts, sends orders and reads states. */
import { performance } from "node:perf_hooks";
import type { Readable } from "node:stream";
import { Agent, type buildConnector, type Dispatcher, errors } from "undici";
import type { DispatchEffect, Effect } from "../core/effects.ts";
import type { OrderResult } from "../core/events.ts";
import { MAX_SMALL_CHUNKS } from "../core/execution/byte_accumulator.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import type { TurnLimits } from "../core/limits/turn_share.ts";
import { BodyFraming } from "../core/execution/body_framing.ts";
import { isSocketAddress } from "../core/socket_address.ts";
import { type Milliseconds, PoolKind } from "../core/structures.ts";
import {
  type AttemptEnd,
  classifyStatus,
  createLostEnd,
  createNotSentEnd,
  createStoredAnswer,
  dropBody,
  getFraming,
  getHeader,
  readBodyModel,
  readErrorDetail,
} from "./attempt_end.ts";
import { AttemptSockets } from "./attempt_sockets.ts";
import { readBody } from "./body_reader.ts";
import type { Bus } from "./bus.ts";
import type { Exchange, ExchangeRegistry } from "./exchange.ts";
import type { Logger } from "./logger.ts";
import { describeError, getErrorCode, isConnectError } from "./step_error.ts";
import { openPacedSocket, type PacedSocketOptions } from "./paced_socket.ts";
import { StreamForwarder } from "./stream_forwarder.ts";
import { awaitTurnEnd } from "./unread_input.ts";
import {
  cancelRun,
  type ControlClient,
  fetchState,
  sendOrder,
} from "./upstream_orders.ts";
import { resumeStream } from "./upstream_resumption.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_HTTP_PORT = 80;
/** Time between the system's probes of a silent connection, as undici sets it. */
const KEEP_ALIVE_MS = 60_000;
/**
 * What is parsed ahead of a reader that pauses. Each chunk of a byte takes over
 * a hundred bytes of memory then; what is not parsed yet takes no more than its
 * size.
 */
const READ_AHEAD_BYTES = 4 * 1024;
/** Timers may fire early by up to this much. */
const TIMER_TOLERANCE_MS = 1;

/**
 * Returns a connector as undici's own, whose connections get a bounded share of
 * each turn of the event loop. It hands a connection out a turn after it was
 * established: the caller of the request that it is for may have left meanwhile.
 */
function createConnector(
  pacing: PacedSocketOptions,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = openPacedSocket(pacing, {
      host: hostname,
      port: Number(port || DEFAULT_HTTP_PORT),
    });
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.setNoDelay(true);
    const timer = setTimeout(
      () =>
        socket.destroy(
          new errors.ConnectTimeoutError(
            `expected a connection within ${CONNECT_TIMEOUT_MS} ms`,
          ),
        ),
      CONNECT_TIMEOUT_MS,
    );
    let hasFailed = false;
    const handleError = (error: Error): void => {
      clearTimeout(timer);
      hasFailed = true;
      setImmediate(() => callback(error, null));
    };
    socket.once("error", handleError);
    socket.once("connect", () => {
      clearTimeout(timer);
      setImmediate(() => {
        socket.off("error", handleError);
        if (!hasFailed) callback(null, socket);
      });
    });
  };
}

export interface UpstreamTaskOptions {
  bus: Bus;
  logger: Logger;
  exchanges: ExchangeRegistry;
  maxAnswerBytes: number;
  /** Budget for responses while they are read. */
  memory: MemoryBudget;
  /** Share of each stream in a turn of the event loop. */
  turns: TurnLimits;
}

interface RunningAttempt {
  effect: DispatchEffect;
  abortController: AbortController;
  isCancelled: boolean;
  /** When the run reaches its time limit; an engine that enforces the limit closes the response no earlier. */
  runEndsAt: Milliseconds;
  bytesForwarded: number;
}

export class UpstreamTask {
  readonly #options: UpstreamTaskOptions;
  readonly #agent: Agent;
  /** Opens a connection for each request, which carries no earlier answers. */
  readonly #singleUseAgent: Agent;
  readonly #client: ControlClient;
  readonly #sockets = new AttemptSockets();
  readonly #attempts = new Map<string, RunningAttempt>();
  readonly #blocked = new Set<string>();

  constructor(options: UpstreamTaskOptions) {
    this.#options = options;
    const agentOptions = {
      connect: createConnector({
        limits: options.turns,
        memory: options.memory,
        onThrottle: () => {},
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    this.#agent = new Agent(agentOptions);
    this.#singleUseAgent = new Agent({ ...agentOptions, pipelining: 0 });
    this.#client = { agent: this.#agent, memory: options.memory };
    options.bus.on("dispatch", (data) => this.#run(data));
    options.bus.on("cancelAttempt", (data) => this.#cancel(data.attemptId));
    options.bus.on("order", (data) => this.#handleOrder(data));
    options.bus.on("readUpstreamState", (data) => this.#readState(data));
  }

  async stop(): Promise<void> {
    this.#sockets.close();
    await Promise.all([this.#agent.destroy(), this.#singleUseAgent.destroy()]);
  }

  /** Stops communication with these upstreams, to simulate a network partition in tests. */
  setBlockedUpstreams(ids: readonly string[]): void {
    this.#blocked.clear();
    for (const id of ids) this.#blocked.add(id);
  }

  async #run(effect: DispatchEffect): Promise<void> {
    const attempt: RunningAttempt = {
      effect,
      abortController: new AbortController(),
      isCancelled: false,
      runEndsAt: performance.now() + effect.timeoutMs,
      bytesForwarded: 0,
    };
    this.#attempts.set(effect.attemptId, attempt);
    this.#sockets.add(effect.attemptId);
    const timer = setTimeout(
      () => attempt.abortController.abort(),
      effect.timeoutMs + TIMER_TOLERANCE_MS,
    );
    const end = await this.#runToEnd(attempt);
    clearTimeout(timer);
    this.#attempts.delete(effect.attemptId);
    this.#sockets.remove(effect.attemptId);
    await this.#options.bus.emit("event", {
      kind: "attemptEnded",
      attemptId: effect.attemptId,
      result: end.result,
      ...(end.answer ? { answer: end.answer } : {}),
    });
  }

  async #runToEnd(attempt: RunningAttempt): Promise<AttemptEnd> {
    const { effect } = attempt;
    // The lease may have been read before the caller's departure.
    await awaitTurnEnd();
    const exchange = this.#options.exchanges.get(effect.requestId);
    if (attempt.isCancelled) return createNotSentEnd("cancelled");
    if (!exchange) return createNotSentEnd("no exchange");
    if (this.#blocked.has(effect.upstreamId)) {
      return createNotSentEnd("blocked");
    }
    if (performance.now() >= effect.dispatchUntil) {
      return createNotSentEnd("dispatch window closed");
    }
    if (!isSocketAddress(effect.address)) {
      return createNotSentEnd(`no address: ${effect.address}`);
    }
    try {
      const response = await this.#send(attempt, exchange);
      return await this.#receive(attempt, exchange, response);
    } catch (error) {
      return await this.#handleError(attempt, error);
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
    const agent = effect.route.idempotent ? this.#agent : this.#singleUseAgent;
    return agent.request({
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
      signal: attempt.abortController.signal,
      highWaterMark: READ_AHEAD_BYTES,
    });
  }

  async #receive(
    attempt: RunningAttempt,
    exchange: Exchange,
    response: Dispatcher.ResponseData,
  ): Promise<AttemptEnd> {
    const { effect } = attempt;
    const servedId = getHeader(response, "x-request-id");
    if (response.statusCode >= 400) {
      const detail = await readErrorDetail(response);
      // An error may name no request, but not another one.
      return servedId === "" || servedId === effect.attemptId
        ? { result: classifyStatus(response.statusCode, detail) }
        : createLostEnd(`an answer to ${servedId}: ${detail}`, attempt);
    }
    const isEngine = effect.upstreamKind === PoolKind.Engine;
    const servedModel = isEngine
      ? getHeader(response, "x-served-model")
      : effect.model;
    if (servedModel !== effect.model || servedId !== effect.attemptId) {
      return await this.#dropMismatched(attempt, response, servedModel);
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
      : await this.#forwardBuffered(attempt, exchange, response, head);
  }

  async #forwardStream(
    attempt: RunningAttempt,
    exchange: Exchange,
    response: Dispatcher.ResponseData,
    head: Parameters<Exchange["sink"]["begin"]>[0],
  ): Promise<AttemptEnd> {
    const forwarder = new StreamForwarder({
      sink: exchange.sink,
      head,
      memory: this.#options.memory,
      turns: this.#options.turns,
      onForward: (bytes) => {
        attempt.bytesForwarded += bytes;
      },
      resume: (afterEvents) => this.#resume(attempt, afterEvents),
    });
    const end = await forwarder.forward(response.body);
    switch (end.kind) {
      case "completed":
        return {
          result: { kind: "completed", servedModel: head.servedModel },
          answer: createStoredAnswer(head, undefined),
        };
      case "wrongModel":
        return await this.#dropMismatched(attempt, response, end.model);
      case "interrupted":
        return await this.#handleError(attempt, end.error);
    }
  }

  /** Resumes a stream whose connection was lost, if its run may still be in progress. */
  async #resume(
    attempt: RunningAttempt,
    afterEvents: number,
  ): Promise<Readable | undefined> {
    const { effect } = attempt;
    const canResume = effect.upstreamKind === PoolKind.Engine &&
      !attempt.isCancelled && performance.now() < attempt.runEndsAt &&
      !this.#blocked.has(effect.upstreamId);
    if (!canResume) return undefined;
    const resumed = await resumeStream(
      this.#agent,
      effect,
      afterEvents,
      attempt.abortController.signal,
    );
    void this.#options.bus.emit("count", {
      kind: "count",
      counter: "stream_resumed",
      tag: resumed ? "resumed" : "refused",
    });
    return resumed;
  }

  async #forwardBuffered(
    attempt: RunningAttempt,
    exchange: Exchange,
    response: Dispatcher.ResponseData,
    head: Parameters<Exchange["sink"]["begin"]>[0],
  ): Promise<AttemptEnd> {
    const { maxAnswerBytes, memory } = this.#options;
    const body = await readBody(response.body, {
      maxBytes: maxAnswerBytes,
      memory,
      maxSmallChunks: MAX_SMALL_CHUNKS,
    });
    if (attempt.effect.upstreamKind === PoolKind.Engine) {
      const model = readBodyModel(body);
      if (model !== attempt.effect.model) {
        return { result: { kind: "wrongAdapter", servedModel: model } };
      }
    }
    if (getFraming(response) === BodyFraming.Close) {
      const fault = await this.#findFaultOfClose(attempt.effect);
      if (fault !== undefined) return createLostEnd(fault, attempt);
    }
    exchange.sink.begin(head);
    attempt.bytesForwarded += body.length;
    exchange.sink.write(body);
    return {
      result: { kind: "completed", servedModel: head.servedModel },
      answer: createStoredAnswer(head, body),
    };
  }

  /**
   * Returns why an answer that ended with its connection is not complete;
   * undefined if the upstream lives on.
   */
  async #findFaultOfClose(effect: DispatchEffect): Promise<string | undefined> {
    if (this.#sockets.hasBeenReset(effect.attemptId)) {
      return "the connection was reset";
    }
    const state = await fetchState(this.#client, effect.address);
    const hasCrashed = "isRefused" in state
      ? state.isRefused
      : state.incarnation !== effect.upstreamIncarnation;
    return hasCrashed ? "the upstream crashed" : undefined;
  }

  async #dropMismatched(
    attempt: RunningAttempt,
    response: Dispatcher.ResponseData,
    servedModel: string,
  ): Promise<AttemptEnd> {
    dropBody(response);
    await this.#cancelOnUpstream(attempt.effect);
    return { result: { kind: "wrongAdapter", servedModel } };
  }

  async #handleError(
    attempt: RunningAttempt,
    error: unknown,
  ): Promise<AttemptEnd> {
    if (isConnectError(error)) return createNotSentEnd(getErrorCode(error));
    if (performance.now() >= attempt.runEndsAt) {
      await this.#cancelOnUpstream(attempt.effect);
      return { result: { kind: "timedOut" } };
    }
    if (attempt.isCancelled) {
      const status = await this.#cancelOnUpstream(attempt.effect);
      // After a 404 the upstream may still receive the request, unless it has already sent part of its response.
      const hasRunEnded = status === 200 ||
        (status === 404 && attempt.bytesForwarded > 0);
      return hasRunEnded
        ? { result: { kind: "cancelled" } }
        : createLostEnd("cancelled, not confirmed", attempt);
    }
    this.#options.logger.warn("Attempt was lost", {
      step: "dispatch",
      peer: attempt.effect.upstreamId,
      error: describeError(error),
    });
    return createLostEnd(describeError(error), attempt);
  }

  #cancel(attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (!attempt) return;
    attempt.isCancelled = true;
    attempt.abortController.abort();
  }

  /** Cancels a run; returns the status of the upstream's response, or undefined if there is none. */
  async #cancelOnUpstream(
    effect: DispatchEffect,
  ): Promise<number | undefined> {
    if (effect.upstreamKind !== PoolKind.Engine) return undefined;
    if (this.#blocked.has(effect.upstreamId)) return undefined;
    return await cancelRun(this.#agent, effect.address, effect.attemptId);
  }

  async #handleOrder(
    effect: Extract<Effect, { kind: "order" }>,
  ): Promise<void> {
    const result = await this.#sendOrder(effect);
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

  async #sendOrder(
    effect: Extract<Effect, { kind: "order" }>,
  ): Promise<OrderResult> {
    if (performance.now() >= effect.sendUntil) {
      return { kind: "failed", detail: "order came too late" };
    }
    if (this.#blocked.has(effect.upstreamId)) {
      return { kind: "unknown", detail: "blocked" };
    }
    return await sendOrder(this.#client, effect);
  }

  async #readState(
    effect: Extract<Effect, { kind: "readUpstreamState" }>,
  ): Promise<void> {
    const { upstreamId, readId } = effect;
    const state = this.#blocked.has(upstreamId)
      ? { isRefused: false }
      : await fetchState(this.#client, effect.address);
    await this.#options.bus.emit(
      "event",
      "isRefused" in state
        ? {
          kind: "upstreamStateUnread",
          upstreamId,
          readId,
          isConnectionRefused: state.isRefused,
        }
        : { kind: "upstreamStateRead", upstreamId, readId, state },
    );
  }
}
