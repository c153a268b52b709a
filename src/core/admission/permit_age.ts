/**
 * Ages a request for a permit that lay unread at the engine's owner: its times
 * were left when it was sent. The lifetime of the permit stays as it is, since
 * it is the time after which the run has surely ended, and the age is estimated.
 */
import type { Milliseconds } from "../structures.ts";
import type { PermitRequest } from "./admission_controller.ts";
import { estimateUnreadMs } from "./read_delay.ts";

/**
 * Returns the request as its sender would send it now. The sender may have
 * given up if no patience is left.
 *
 * @param maxDelayMs longest time for which the request can have lain unread.
 */
export function trimPermitTimes(
  request: PermitRequest,
  maxDelayMs: Milliseconds,
): PermitRequest {
  const ageMs = estimateUnreadMs(maxDelayMs, request.lifetimeMs);
  if (ageMs === 0) return request;
  return {
    ...request,
    patienceMs: Math.max(0, request.patienceMs - ageMs),
    firstTokenBudgetMs: Math.max(0, request.firstTokenBudgetMs - ageMs),
  };
}
