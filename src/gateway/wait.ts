/** Timer for asynchronous code. */
import type { Milliseconds } from "../core/structures.ts";

export function waitMs(durationMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
