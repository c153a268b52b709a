/**
 * Decides which requests may still start during a planned stop. At its end the
 * runs that are left are answered as ones that may have run: an idempotent
 * request can be sent again then, but an at-most-once request can't.
 */
import type { Milliseconds, RouteStructure } from "../structures.ts";

/** Returns whether a run that starts now can be answered definitely. */
export function canStartBeforeStop(
  route: Pick<RouteStructure, "idempotent" | "maxRunMs">,
  stopEndsAt: Milliseconds,
  now: Milliseconds,
): boolean {
  return route.idempotent || now + route.maxRunMs <= stopEndsAt;
}
