/** Gives each request its one final answer. */
import { Outcome, type RefusalReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import type { ExecutionContext, Refusal } from "./execution_context.ts";
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

  /** Ends a request whose answer has been forwarded whole. */
  complete(request: LiveRequest, now: Milliseconds): void {
    this.#tickets.settle(request, now);
    request.apply("finished");
    this.#context.requests.delete(request.id);
    this.#context.options.emit({ kind: "complete", requestId: request.id });
  }

  /**
   * Gives the request a final answer other than a completed one. An earlier
   * attempt that may have run outweighs the outcome of the last step.
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
    this.#tickets.settleRefused(request, outcome, now);
    request.apply("finished");
    this.#context.requests.delete(request.id);
    this.#context.emitRefusal(request.id, reason, {
      ...refusal,
      outcome,
      hasStalled,
    });
  }
}
