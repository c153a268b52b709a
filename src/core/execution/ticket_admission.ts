/**
 * Admits requests that must run at most once: claims each request's ticket at
 * the daemon that issued it, and settles the claim when the request ends.
 */
import {
  ClaimVerdict,
  type StoredAnswerStructure,
  type TicketVerdictMessage,
} from "../messages.ts";
import { Outcome, RefusalReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  type ExecutionContext,
  type Refusal,
} from "./execution_context.ts";
import type { LiveRequest } from "./live_request.ts";
import { parseTicket } from "./ticket_issuer.ts";
import { TicketSettler } from "./ticket_settler.ts";

/** Callbacks for the result of a claim. */
export interface TicketAdmissionHandlers {
  /** Continues a request whose claim was granted. */
  admit(request: LiveRequest, now: Milliseconds): void;
  refuse(
    request: LiveRequest,
    reason: RefusalReason,
    refusal: Refusal,
    now: Milliseconds,
  ): void;
}

export class TicketAdmission {
  readonly #context: ExecutionContext;
  readonly #handlers: TicketAdmissionHandlers;
  readonly #settler: TicketSettler;

  constructor(context: ExecutionContext, handlers: TicketAdmissionHandlers) {
    this.#context = context;
    this.#handlers = handlers;
    this.#settler = new TicketSettler(context.options.emit);
  }

  /**
   * Returns whether every issuer has acknowledged the settlements sent to it.
   */
  isSettled(): boolean {
    return this.#settler.isEmpty();
  }

  /** Resends the settlements that issuers have not acknowledged. */
  tick(now: Milliseconds): void {
    this.#settler.tick(now);
  }

  handleTicketVerdict(
    from: string,
    verdict: TicketVerdictMessage,
    now: Milliseconds,
  ): void {
    this.#settler.recordVerdict(from, verdict);
    for (const request of this.#context.requests.values()) {
      if (request.claim?.claimId !== verdict.claimId) continue;
      if (request.state === "claimingTicket") {
        this.#applyVerdict(request, verdict, now);
      }
      return;
    }
  }

  /** Resends an unanswered claim; refuses the request at its deadline. */
  tickClaim(request: LiveRequest, now: Milliseconds): void {
    if (!request.claim) return;
    if (now >= request.deadlineAt) {
      this.#handlers.refuse(request, RefusalReason.TicketHomeUnreachable, {
        outcome: Outcome.MayHaveRun,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      }, now);
      return;
    }
    const isUnanswered = now - request.claim.sentAt >=
      this.#context.options.settings.leaseReplyTimeoutMs;
    if (isUnanswered) this.#sendClaim(request, now);
  }

  /** Asks the ticket's issuer for the right to run the request. */
  claimTicket(request: LiveRequest, now: Milliseconds): void {
    const ticket = request.event.ticket ?? "";
    const parsed = parseTicket(ticket);
    if (!parsed) {
      this.#handlers.refuse(request, RefusalReason.TicketInvalid, {
        outcome: Outcome.NotRun,
        ticket: this.#context.options.tickets.issueTicket(
          request.event.customer,
          now,
        ),
      }, now);
      return;
    }
    const { issuerId } = parsed;
    const isReachable = issuerId === this.#context.options.selfId ||
      this.#context.options.membership.canReachPeer(issuerId);
    if (!isReachable) {
      this.#handlers.refuse(request, RefusalReason.TicketHomeUnreachable, {
        outcome: Outcome.MayHaveRun,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      }, now);
      return;
    }
    request.claim = {
      claimId: this.#context.createId("claim"),
      ticket,
      issuerId,
      sentAt: now,
    };
    this.#sendClaim(request, now);
  }

  #sendClaim(request: LiveRequest, now: Milliseconds): void {
    if (!request.claim) return;
    request.claim.sentAt = now;
    this.#context.options.emit({
      kind: "send",
      to: request.claim.issuerId,
      message: {
        kind: "ticketClaim",
        claimId: request.claim.claimId,
        ticket: request.claim.ticket,
        customer: request.event.customer,
        fingerprint: request.event.fingerprint,
      },
    });
  }

  #applyVerdict(
    request: LiveRequest,
    verdict: TicketVerdictMessage,
    now: Milliseconds,
  ): void {
    const uncertain = { outcome: Outcome.MayHaveRun };
    switch (verdict.verdict) {
      case ClaimVerdict.Granted:
        request.apply("ticketGranted");
        this.#handlers.admit(request, now);
        return;
      case ClaimVerdict.InProgress:
        this.#handlers.refuse(request, RefusalReason.TicketInProgress, {
          ...uncertain,
          retryAfterMs: DEFAULT_RETRY_AFTER_MS,
        }, now);
        return;
      case ClaimVerdict.Spent:
        this.#replay(request, verdict, now);
        return;
      case ClaimVerdict.Expired:
        this.#handlers.refuse(
          request,
          RefusalReason.TicketExpired,
          uncertain,
          now,
        );
        return;
      case ClaimVerdict.Mismatch:
        this.#handlers.refuse(request, RefusalReason.TicketMismatch, {
          outcome: Outcome.NotRun,
        }, now);
        return;
      case ClaimVerdict.Invalid:
        this.#handlers.refuse(request, RefusalReason.TicketInvalid, {
          outcome: Outcome.NotRun,
        }, now);
        return;
    }
  }

  #replay(
    request: LiveRequest,
    verdict: TicketVerdictMessage,
    now: Milliseconds,
  ): void {
    const { answer } = verdict;
    if (!answer?.bodyKept) {
      this.#handlers.refuse(request, RefusalReason.TicketSpent, {
        outcome: answer?.outcome ?? Outcome.MayHaveRun,
      }, now);
      return;
    }
    request.apply("finished");
    this.#context.requests.delete(request.id);
    this.#context.options.emit({
      kind: "replay",
      requestId: request.id,
      answer,
    });
  }

  /** Answers the callers whose settlements are not acknowledged yet. */
  answerAll(): void {
    this.#settler.answerAll();
  }

  /** Settles the claim of a completed run, if it has one, then answers the caller. */
  settle(
    request: LiveRequest,
    answer: () => void,
    now: Milliseconds,
  ): void {
    const storedAnswer = request.answer ??
      createBodilessAnswer(Outcome.Completed, 200);
    this.#settleClaim(request, storedAnswer, answer, now);
  }

  /**
   * Settles the claim of a refused or failed request, if it has one, then
   * answers the caller. A claim whose verdict is outstanding is abandoned; one
   * whose request did not run is released.
   */
  settleRefused(
    request: LiveRequest,
    outcome: Outcome,
    answer: () => void,
    now: Milliseconds,
  ): void {
    const { claim, event: { customer } } = request;
    if (claim && request.state === "claimingTicket") {
      this.#settler.abandon(claim, customer);
      answer();
      return;
    }
    const storedAnswer = outcome === Outcome.NotRun
      ? undefined
      : createBodilessAnswer(outcome, 502);
    this.#settleClaim(request, storedAnswer, answer, now);
  }

  #settleClaim(
    { claim, event: { customer } }: LiveRequest,
    storedAnswer: StoredAnswerStructure | undefined,
    answer: () => void,
    now: Milliseconds,
  ): void {
    if (!claim) {
      answer();
      return;
    }
    this.#settler.settle(claim, customer, storedAnswer, answer, now);
  }
}

/** Returns what a ticket keeps of a run whose body is not kept. */
function createBodilessAnswer(
  outcome: Outcome,
  status: number,
): StoredAnswerStructure {
  return {
    outcome,
    status,
    contentType: "",
    body: new Uint8Array(),
    bodyKept: false,
  };
}
