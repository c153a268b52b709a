/**
 * Which requests a stopping daemon still takes. Load pattern: a rolling restart
 * in which the balancer goes on sending for some seconds, or has nobody else to
 * send to. What can be finished before the end is served; what can't is refused
 * at once, so that its caller goes elsewhere.
 */
import type { Milliseconds } from "../structures.ts";

/** Time that one generated token takes in a full batch. */
const OUTPUT_TOKEN_MS = 9;
/** Prompt tokens read in a millisecond, with others' work in between. */
const PROMPT_TOKENS_PER_MS = 12;
/** Objectives within which a request to a plain service is over. */
const SERVICE_LATENCY_OBJECTIVES = 3;
/** Added for waiting and ways. */
const SLACK_MS = 700;

/**
 * Time from the notice of a stop in which generations are taken. By then the
 * balancer has asked twice, so that who comes later finds another daemon; and how
 * long a crowded engine takes can't be told: what is sent within three seconds may
 * be broken off at the end (the users' pages), what is sent later may not.
 */
const GENERATION_WINDOW_MS = 2_500;

/** Returns whether a daemon that has been told to stop still takes a request. */
export function canAdmitWhileStopping(
  stop: { beganAt: Milliseconds; endsAt: Milliseconds },
  request: RequestWork,
  now: Milliseconds,
): boolean {
  const isWindowOver = now - stop.beganAt > GENERATION_WINDOW_MS;
  if (request.isGeneration && isWindowOver) return false;
  return canFinishBefore(stop.endsAt, request, now);
}

/** What a request takes. */
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
