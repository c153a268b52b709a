/** Exponential decay for counts that weigh recent events more. */
import type { Milliseconds } from "./structures.ts";

/** Returns the fraction of a count that remains after the elapsed time. */
export function computeDecayFactor(
  elapsedMs: Milliseconds,
  halfLifeMs: Milliseconds,
): number {
  return 0.5 ** (elapsedMs / halfLifeMs);
}
