/**
 * How long a request waits for a place in an engine. Load pattern: a queue so long
 * that callers leave before their first event, and what they leave behind is
 * served to nobody. A wait ends in time for the first event to reach a caller who
 * is still there; whoever can't be served by then is refused while it can return.
 */
import type { Milliseconds } from "../structures.ts";

/** Callers leave a stream after this many objectives without an event: the users' pages. */
const ABANDON_LATENCY_OBJECTIVES = 4;
/** They stay this long at the least: the users' pages. */
const MIN_ABANDON_MS = 2_000;
/** They stay for this many of the longest pauses between events for which a stream is in time: the users' pages. */
const ABANDON_INTER_TOKEN_OBJECTIVES = 8;
/** Time that the engine takes from the place to the first event, in a busy batch. */
const GRANT_TO_FIRST_EVENT_MS = 600;
/** Part of the time left that a place is waited for, when the first token will be late. */
const LATE_WAIT_FRACTION = 0.25;
/** Shortest wait: a load of an adapter that the engine held lately takes this long. */
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
