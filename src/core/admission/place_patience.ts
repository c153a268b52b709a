/**
 * How long a request waits for a place in an engine. Load pattern: a queue so long
 * that callers leave before their first event, and what they leave behind is
 * served to nobody. A wait ends in time for the first event to reach a caller who
 * is still there; whoever can't be served by then is refused while it can return.
 */
import type { Milliseconds } from "../structures.ts";

/** Callers leave a stream after this many objectives without an event: the users' pages. */
const ABANDON_OBJECTIVES = 4;
/** They stay this long at the least: the users' pages. */
const MIN_ABANDON_MS = 2_000;
/** They stay for this many of the longest pauses between events for which a stream is in time: the users' pages. */
const ABANDON_PAUSES = 8;
/** Time that the engine takes from the place to the first event, in a busy batch. */
const FIRST_EVENT_MS = 600;
/** Part of the time left that a place is waited for, when the first token will be late. */
const LATE_SHARE = 0.25;
/** Shortest wait: a load of an adapter that the engine held lately takes this long. */
const MIN_PATIENCE_MS = 60;

export function computePlacePatienceMs(
  request: {
    latencyObjectiveMs: Milliseconds;
    pauseObjectiveMs: Milliseconds;
    elapsedMs: Milliseconds;
    remainingMs: Milliseconds;
  },
): Milliseconds {
  const { latencyObjectiveMs, pauseObjectiveMs, elapsedMs, remainingMs } =
    request;
  const abandonedAtMs = Math.max(
    MIN_ABANDON_MS,
    ABANDON_OBJECTIVES * latencyObjectiveMs,
    ABANDON_PAUSES * pauseObjectiveMs,
  );
  const presentMs = abandonedAtMs - FIRST_EVENT_MS - elapsedMs;
  const worthMs = Math.max(
    latencyObjectiveMs - elapsedMs,
    LATE_SHARE * remainingMs,
  );
  const patienceMs = Math.min(worthMs, presentMs, remainingMs);
  return Math.max(MIN_PATIENCE_MS, patienceMs);
}
