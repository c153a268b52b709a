/**
 * Times that the attribution of crashes to prompt parts and that to whole
 * requests have in common.
 */
import type { Milliseconds } from "../structures.ts";

/** Longest time between two trials. */
const MAX_TRIAL_INTERVAL_MS = 15 * 60_000;
/** Time after which a trial without outcome no longer blocks the next one. */
export const TRIAL_TIMEOUT_MS = 30_000;
/** Lifetime of crash records: as long as they may be needed for a refusal. */
export const CRASH_LIFETIME_MS = MAX_TRIAL_INTERVAL_MS + 5 * 60_000;
/** Time for which news of crashes goes with each digest, so that it spreads. */
export const NEWS_LIFETIME_MS = 3_000;

/** Returns the time until a trial, which doubles with each further crash. */
export function computeTrialIntervalMs(
  firstIntervalMs: Milliseconds,
  doublings: number,
): Milliseconds {
  return Math.min(
    MAX_TRIAL_INTERVAL_MS,
    firstIntervalMs * 2 ** Math.max(0, doublings),
  );
}
