/**
 * How long a request waits for a permit to run on an engine. In a long queue,
 * callers leave before their first event arrives, and their requests would be
 * served to nobody. A wait therefore ends early enough for the first event to
 * reach a caller who is still connected. A request that can't be served by then
 * is denied while its caller can still retry.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Callers abandon a stream after this many latency objectives without an event
 * (from the requirements).
 */
const ABANDON_LATENCY_OBJECTIVES = 4;
/**
 * Shortest time after which callers abandon a stream (from the requirements).
 */
const MIN_ABANDON_MS = 2_000;
/**
 * Callers also wait for this many inter-token objectives, the longest gap
 * between events with which a stream is on time (from the requirements).
 */
const ABANDON_INTER_TOKEN_OBJECTIVES = 8;
/** Time from the grant of a permit to the first event in a busy batch. */
const GRANT_TO_FIRST_EVENT_MS = 600;
/**
 * Fraction of the remaining time to wait for a permit when the first token will
 * be late anyway.
 */
const LATE_WAIT_FRACTION = 0.25;
/**
 * Shortest wait: loading an adapter that the engine held recently takes this
 * long.
 */
const MIN_WAIT_MS = 60;

export function computeMaxPermitWaitMs(
  request: {
    latencyObjectiveMs: Milliseconds;
    interTokenObjectiveMs: Milliseconds;
    elapsedMs: Milliseconds;
    remainingMs: Milliseconds;
  },
): Milliseconds {
  const { latencyObjectiveMs, interTokenObjectiveMs, elapsedMs, remainingMs } =
    request;
  const abandonAfterMs = Math.max(
    MIN_ABANDON_MS,
    ABANDON_LATENCY_OBJECTIVES * latencyObjectiveMs,
    ABANDON_INTER_TOKEN_OBJECTIVES * interTokenObjectiveMs,
  );
  const servableMs = abandonAfterMs - GRANT_TO_FIRST_EVENT_MS - elapsedMs;
  const usefulWaitMs = Math.max(
    latencyObjectiveMs - elapsedMs,
    LATE_WAIT_FRACTION * remainingMs,
  );
  const waitMs = Math.min(usefulWaitMs, servableMs, remainingMs);
  return Math.max(MIN_WAIT_MS, waitMs);
}
