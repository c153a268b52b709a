/** Control requests to an upstream: orders, cancellations and reads of its state. */
import type { Dispatcher } from "undici";
import { MAX_SMALL_CHUNKS } from "../core/execution/byte_accumulator.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import type { Effect } from "../core/effects.ts";
import type { OrderResult } from "../core/events.ts";
import type { UpstreamStateStructure } from "../core/structures.ts";
import { readBody } from "./body_reader.ts";
import { describeError, getErrorCode, isConnectError } from "./step_error.ts";
import { engineStateSchema } from "./upstream_schemas.ts";

type OrderEffect = Extract<Effect, { kind: "order" }>;

const STATE_TIMEOUT_MS = 800;
const ORDER_TIMEOUT_MS = 30_000;
const CANCEL_TIMEOUT_MS = 2_000;
/** Maximum size of a response: a state lists some hundred runs and adapters. */
const MAX_RESPONSE_BYTES = 512 * 1024;

/** What control requests are sent and received with. */
export interface ControlClient {
  agent: Dispatcher;
  /** Budget for responses while they are read. */
  memory: MemoryBudget;
}

/** Sends an order and returns its result. */
export async function sendOrder(
  { agent, memory }: ControlClient,
  effect: OrderEffect,
): Promise<OrderResult> {
  const { path, body } = formatOrder(effect);
  try {
    const response = await agent.request({
      origin: `http://${effect.address}`,
      path,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ ...body, fencing: effect.fencing }),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    const text = await readText(response, memory);
    if (response.statusCode === 200) return { kind: "done" };
    if (response.statusCode === 412) {
      return { kind: "refusedByFencing", fencing: 0 };
    }
    return { kind: "failed", detail: `${response.statusCode} ${text}` };
  } catch (error) {
    return isConnectError(error)
      ? { kind: "failed", detail: getErrorCode(error) }
      : { kind: "unknown", detail: describeError(error) };
  }
}

/** Reads the state of an upstream; a failure tells whether the connection was refused. */
export async function fetchState(
  { agent, memory }: ControlClient,
  address: string,
): Promise<UpstreamStateStructure | { isRefused: boolean }> {
  try {
    const response = await agent.request({
      origin: `http://${address}`,
      path: "/state",
      method: "GET",
      signal: AbortSignal.timeout(STATE_TIMEOUT_MS),
    });
    const text = await readText(response, memory);
    return engineStateSchema.parse(JSON.parse(text));
  } catch (error) {
    return { isRefused: getErrorCode(error) === "ECONNREFUSED" };
  }
}

/** Cancels a run; returns the status of the upstream's response, or undefined if there is none. */
export async function cancelRun(
  agent: Dispatcher,
  address: string,
  attemptId: string,
): Promise<number | undefined> {
  try {
    const response = await agent.request({
      origin: `http://${address}`,
      path: `/v1/requests/${encodeURIComponent(attemptId)}`,
      method: "DELETE",
      signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode;
  } catch {
    return undefined;
  }
}

async function readText(
  response: Dispatcher.ResponseData,
  memory: MemoryBudget,
): Promise<string> {
  const limits = {
    maxBytes: MAX_RESPONSE_BYTES,
    memory,
    maxSmallChunks: MAX_SMALL_CHUNKS,
  };
  return (await readBody(response.body, limits)).toString();
}

function formatOrder(
  effect: OrderEffect,
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
