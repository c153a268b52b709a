/** An upstream task with one exchange, whose response is not looked at by default. */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import type { DispatchEffect } from "../../src/core/effects.ts";
import type { RouteStructure } from "../../src/core/structures.ts";
import { type Bus, createBus } from "../../src/daemon/bus.ts";
import {
  ExchangeRegistry,
  type ResponseSink,
} from "../../src/daemon/exchange.ts";
import { createLogger } from "../../src/daemon/logger.ts";
import { UpstreamTask } from "../../src/daemon/upstream_task.ts";
import { DEFAULT_TURN_LIMITS } from "../../src/core/limits/turn_share.ts";
import { UNLIMITED_MEMORY } from "../unlimited_memory.ts";

const REQUEST_ID = "request-1";
const TIMEOUT_MS = 10_000;

/** A sink that drops what it is given. */
const NULL_SINK: ResponseSink = {
  begin: () => {},
  write: () => true,
  waitUntilDrained: () => Promise.resolve(),
};

/** @param prompt of each request, which is its body. */
export function createUpstreamTask(path: string, prompt?: string): {
  bus: Bus;
  task: UpstreamTask;
  /** Adds another exchange, whose response goes to the sink. */
  addExchange: (requestId: string, sink: ResponseSink) => void;
} {
  const bus = createBus();
  const exchanges = new ExchangeRegistry();
  const addExchange = (requestId: string, sink: ResponseSink): void =>
    exchanges.add({
      requestId,
      path,
      rawBody: Buffer.from(JSON.stringify({ prompt })),
      jsonBody: { prompt },
      contentType: "application/json",
      isStreamed: false,
      ticket: undefined,
      sink,
    });
  addExchange(REQUEST_ID, NULL_SINK);
  const task = new UpstreamTask({
    bus,
    logger: createLogger("test", "silent"),
    exchanges,
    maxAnswerBytes: 1_000,
    memory: UNLIMITED_MEMORY,
    turns: DEFAULT_TURN_LIMITS,
  });
  return { bus, task, addExchange };
}

export function createDispatch(
  fields:
    & Pick<DispatchEffect, "address" | "upstreamKind" | "model">
    & Partial<DispatchEffect>,
  route: Partial<RouteStructure>,
): DispatchEffect {
  return {
    kind: "dispatch",
    attemptId: "attempt-1",
    requestId: REQUEST_ID,
    upstreamId: "upstream-1",
    upstreamIncarnation: "incarnation-1",
    route: { priority: "standard", ...route } as RouteStructure,
    tablesRevision: 1,
    timeoutMs: TIMEOUT_MS,
    dispatchUntil: performance.now() + TIMEOUT_MS,
    ...fields,
  };
}
