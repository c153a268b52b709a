/**
 * Which requests a daemon passes on during graceful shutdown. In a rolling
 * restart, the load balancer keeps sending requests for some seconds, or has no
 * other daemon to send them to. A request that can complete before the end is
 * served. Any other is refused at once so that its caller can go elsewhere.
 */
import type { Milliseconds } from "../structures.ts";
import { Repeatability } from "../view/published_view.ts";

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

/**
 * Retry-After of requests that a stopping daemon refuses: other daemons can
 * take them at once.
 */
export const STOPPING_RETRY_AFTER_MS = 50;

/** A graceful shutdown. */
export interface StopPeriod {
  beganAt: Milliseconds;
  /** When every request is to have its response. */
  endsAt: Milliseconds;
}

/** The work that a request takes. */
export interface RequestWork {
  repeatability: Repeatability;
  isGeneration: boolean;
  promptTokens: number;
  outputTokens: number;
  latencyObjectiveMs: Milliseconds;
  /** The request's own time limit. */
  deadlineAt: Milliseconds;
}

/** Returns whether a daemon that is shutting down admits a request. */
export function canAdmitWhileStopping(
  stop: StopPeriod,
  work: RequestWork,
  now: Milliseconds,
): boolean {
  const isWindowOver = now - stop.beganAt > GENERATION_WINDOW_MS;
  if (work.isGeneration && isWindowOver) return false;
  return canDispatchWhileStopping(stop, work, now);
}

/**
 * Returns whether a daemon that is shutting down sends an admitted request to
 * an upstream. One that may run only once is sent only if its own time limit
 * ends before the shutdown does, whatever the upstream does: a refusal can be
 * retried elsewhere, an attempt that is cut off can't. For the others, which
 * may be cut off, an estimate is enough.
 */
export function canDispatchWhileStopping(
  stop: StopPeriod,
  work: RequestWork,
  now: Milliseconds,
): boolean {
  const endsInTime = work.deadlineAt <= stop.endsAt;
  switch (work.repeatability) {
    case Repeatability.NonIdempotent:
      return endsInTime;
    case Repeatability.Idempotent:
      return endsInTime || canFinishBefore(stop.endsAt, work, now);
    // A stream that is cut off is seen as broken, and its time limit is many
    // times as long as it takes.
    case Repeatability.Stream:
      return canFinishBefore(stop.endsAt, work, now);
  }
}

export function canFinishBefore(
  endsAt: Milliseconds,
  work: Omit<RequestWork, "repeatability" | "deadlineAt">,
  now: Milliseconds,
): boolean {
  const workMs = work.isGeneration
    ? work.promptTokens / PROMPT_TOKENS_PER_MS +
      work.outputTokens * OUTPUT_TOKEN_MS
    : SERVICE_LATENCY_OBJECTIVES * work.latencyObjectiveMs;
  return now + workMs + SLACK_MS <= endsAt;
}
