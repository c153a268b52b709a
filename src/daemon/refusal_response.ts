/** Refusals as HTTP responses: status, JSON body and `Retry-After`. */
import type { Response } from "express";
import { Outcome, type RefusalReason } from "../core/outcomes.ts";
import { getRefusalStatus } from "./refusal_statuses.ts";

/** A refusal; a missing outcome means that the request did not run. */
export interface RefusalStructure {
  reason: RefusalReason;
  outcome?: Outcome;
  retryAfterMs?: number;
  ticket?: string;
}

/** Returns the JSON body of a refusal. */
export function formatRefusal(
  refusal: RefusalStructure,
): { error: RefusalStructure } {
  return {
    error: {
      reason: refusal.reason,
      outcome: refusal.outcome ?? Outcome.NotRun,
      ...(refusal.retryAfterMs === undefined
        ? {}
        : { retryAfterMs: refusal.retryAfterMs }),
      ...(refusal.ticket === undefined ? {} : { ticket: refusal.ticket }),
    },
  };
}

/** Sends a refusal, unless headers have been sent or the connection is closed. */
export function sendRefusal(
  response: Response,
  refusal: RefusalStructure,
): void {
  if (response.headersSent || response.destroyed) return;
  const { retryAfterMs } = refusal;
  if (retryAfterMs !== undefined) {
    response.set("retry-after", String(Math.ceil(retryAfterMs / 1_000)));
  }
  response.status(getRefusalStatus(refusal.reason));
  response.json(formatRefusal(refusal));
}
