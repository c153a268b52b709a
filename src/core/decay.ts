/** Counts in which what is recent weighs more. */
import type { Milliseconds } from "./structures.ts";

/** Returns the part of a count that is left after some time, given the time in which it halves. */
export function computeDecayFactor(
  elapsedMs: Milliseconds,
  halfLifeMs: Milliseconds,
): number {
  return 0.5 ** (elapsedMs / halfLifeMs);
}
