/** Resumes a stream whose connection was lost, on the engine that still has its run. */
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { DispatchEffect } from "../core/effects.ts";

/** Attempts to reach the engine before the stream is abandoned. */
const MAX_TRIES = 3;
const RETRY_INTERVAL_MS = 50;

/**
 * Returns the stream from after the given number of events, or undefined if the
 * engine has restarted, no longer has the run or can't be reached.
 */
export async function resumeStream(
  agent: Dispatcher,
  effect: DispatchEffect,
  afterEvents: number,
  signal: AbortSignal,
): Promise<Readable | undefined> {
  const id = encodeURIComponent(effect.attemptId);
  for (let tries = 1; tries <= MAX_TRIES && !signal.aborted; tries += 1) {
    try {
      const response = await agent.request({
        origin: `http://${effect.address}`,
        path: `/v1/requests/${id}/stream?after=${afterEvents}`,
        method: "GET",
        signal,
      });
      if (isSameRun(response, effect)) return response.body;
      await response.body.dump();
      return undefined;
    } catch {
      await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
    }
  }
  return undefined;
}

function isSameRun(
  response: Dispatcher.ResponseData,
  effect: DispatchEffect,
): boolean {
  const { headers } = response;
  return response.statusCode === 200 &&
    headers["x-request-id"] === effect.attemptId &&
    headers["x-served-model"] === effect.model &&
    headers["x-incarnation"] === effect.upstreamIncarnation;
}
