/**
 * Ends requests: emits the single final response and releases what the request
 * held.
 */
import { Outcome, RefusalReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  type ExecutionContext,
  type Refusal,
} from "./execution_context.ts";
import type { LeaseClient } from "./lease_client.ts";
import type { LiveRequest } from "./live_request.ts";
import type { TicketAdmission } from "./ticket_admission.ts";

export class RequestFinisher {
  readonly #context: ExecutionContext;
  readonly #leases: LeaseClient;
  readonly #tickets: TicketAdmission;

  constructor(
    context: ExecutionContext,
    parts: { leases: LeaseClient; tickets: TicketAdmission },
  ) {
    this.#context = context;
    this.#leases = parts.leases;
    this.#tickets = parts.tickets;
  }

  /** Ends a request whose response has been forwarded completely. */
  complete(request: LiveRequest, now: Milliseconds): void {
    const answer = (): void =>
      this.#context.options.emit({ kind: "complete", requestId: request.id });
    this.#tickets.settle(request, answer, now);
    request.apply("finished");
    this.#context.requests.delete(request.id);
  }

  /** Ends a request that can't start before the end of a planned stop. */
  refuseStopping(request: LiveRequest, now: Milliseconds): void {
    this.refuse(request, RefusalReason.Stopping, {
      outcome: Outcome.NotRun,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    }, now);
  }

  /**
   * Ends a request that did not complete. If an earlier attempt may have run,
   * the outcome is "may have run", even if the last attempt certainly did not.
   */
  refuse(
    request: LiveRequest,
    reason: RefusalReason,
    refusal: Refusal,
    now: Milliseconds,
  ): void {
    const outcome = request.mayHaveRun && refusal.outcome === Outcome.NotRun
      ? Outcome.MayHaveRun
      : refusal.outcome;
    const hasStalled = request.isStalled();
    this.#leases.detach(request);
    const answer = (): void =>
      this.#context.emitRefusal(request.id, reason, {
        ...refusal,
        outcome,
        hasStalled,
      });
    this.#tickets.settleRefused(request, outcome, answer, now);
    request.apply("finished");
    this.#context.requests.delete(request.id);
  }
}
