/**
 * When a refused caller is told to come back. Load pattern: many callers are
 * refused in the same moment and would return in the same moment too. The time
 * is when a place is expected, spread by the request, and within what the
 * caller can still wait, so that its return is served and not refused again.
 */
import { hashText } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";

/** Callers honour a wait of up to a third of the time that they have left. */
const MAX_REMAINING_FRACTION = 1 / 3;
/** Earliest return: an answer sooner than that would find the same state. */
const MIN_RETRY_AFTER_MS = 80;
/** Width of the spread, as a part of the wait. */
const JITTER_FRACTION = 0.5;

export function computeRetryAfterMs(
  refusal: {
    requestId: string;
    expectedWaitMs: Milliseconds;
    remainingMs: Milliseconds;
  },
): Milliseconds {
  const { requestId, expectedWaitMs: expectedMs, remainingMs } = refusal;
  const jitterFactor = 1 +
    JITTER_FRACTION * (hashText(requestId) / 0x1_0000_0000);
  const jitteredMs = Math.max(MIN_RETRY_AFTER_MS, expectedMs) * jitterFactor;
  return Math.min(
    jitteredMs,
    Math.max(0, remainingMs) * MAX_REMAINING_FRACTION,
  );
}
