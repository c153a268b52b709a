/**
 * When a refused caller is told to retry. Many callers are refused at the same
 * moment and would also retry at the same moment. The retry time is when
 * capacity is expected, plus a jitter derived from the request ID. It is
 * limited to what the caller can still wait, so that the retry is served
 * instead of refused again.
 */
import { hashText } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";

/** Callers honour a Retry-After of up to a third of their remaining time. */
const MAX_REMAINING_FRACTION = 1 / 3;
/** Earliest retry; a sooner one would find the same state. */
const MIN_RETRY_AFTER_MS = 80;
/** Maximum jitter as a fraction of the wait. */
const JITTER_FRACTION = 0.5;

export function computeRetryAfterMs(
  refusal: {
    requestId: string;
    expectedWaitMs: Milliseconds;
    remainingMs: Milliseconds;
  },
): Milliseconds {
  const { requestId, expectedWaitMs, remainingMs } = refusal;
  const jitterFactor = 1 +
    JITTER_FRACTION * (hashText(requestId) / 0x1_0000_0000);
  const jitteredMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs) *
    jitterFactor;
  return Math.min(
    jitteredMs,
    Math.max(0, remainingMs) * MAX_REMAINING_FRACTION,
  );
}
