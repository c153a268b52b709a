/**
 * Which requests a daemon admits during graceful shutdown. In a rolling
 * restart, the load balancer keeps sending requests for some seconds, or has no
 * other daemon to send them to. A request that can complete before the end is
 * served. Any other is refused at once so that its caller can go elsewhere.
 */
import type { Milliseconds } from "../structures.ts";

/** Time to generate one token in a full batch. */
const OUTPUT_TOKEN_MS = 9;
/** Prompt tokens prefilled per millisecond, interleaved with other requests. */
const PROMPT_TOKENS_PER_MS = 12;
/** Latency objectives within which a request to a plain service completes. */
const SERVICE_LATENCY_OBJECTIVES = 3;
/** Margin for queueing and network round trips. */
const SLACK_MS = 700;

/**
 * Time after the stop notice in which generations are admitted. By then the
 * load balancer has polled twice, so that later requests reach another daemon.
 * How long a crowded engine takes can't be predicted: by the requirements, a
 * request sent within three seconds of the notice may be cut off at the end, a
 * later one may not.
 */
const GENERATION_WINDOW_MS = 2_500;

/** Returns whether a daemon that is shutting down admits a request. */
export function canAdmitWhileStopping(
  stop: { beganAt: Milliseconds; endsAt: Milliseconds },
  request: RequestWork,
  now: Milliseconds,
): boolean {
  const isWindowOver = now - stop.beganAt > GENERATION_WINDOW_MS;
  if (request.isGeneration && isWindowOver) return false;
  return canFinishBefore(stop.endsAt, request, now);
}

/** The work that a request takes. */
export interface RequestWork {
  isGeneration: boolean;
  promptTokens: number;
  outputTokens: number;
  latencyObjectiveMs: Milliseconds;
}

export function canFinishBefore(
  endsAt: Milliseconds,
  request: RequestWork,
  now: Milliseconds,
): boolean {
  const workMs = request.isGeneration
    ? request.promptTokens / PROMPT_TOKENS_PER_MS +
      request.outputTokens * OUTPUT_TOKEN_MS
    : SERVICE_LATENCY_OBJECTIVES * request.latencyObjectiveMs;
  return now + workMs + SLACK_MS <= endsAt;
}
