/**
 * Tells tickets' homes how claims ended, and repeats it until the home has
 * answered. A claim that was given up unanswered is released if it turns out
 * to have been granted, for nothing was run under it.
 */
import type { Effect } from "../effects.ts";
import {
  ClaimVerdict,
  type StoredAnswerStructure,
  type TicketSettleMessage,
  type TicketVerdictMessage,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import type { TicketClaim } from "./live_request.ts";

interface PendingSettlement {
  issuerId: string;
  message: TicketSettleMessage;
  firstSentAt: Milliseconds;
  sentAt: Milliseconds;
}

const RESEND_INTERVAL_MS = 500;
/** Time after which a home that does not answer is given up. */
const SETTLE_TIMEOUT_MS = 10_000;
/** Abandoned claims remembered at once. */
const MAX_ABANDONED = 10_000;

export class TicketSettler {
  readonly #emit: (effect: Effect) => void;
  readonly #pending = new Map<string, PendingSettlement>();
  readonly #abandoned = new Map<string, TicketSettleMessage>();

  constructor(emit: (effect: Effect) => void) {
    this.#emit = emit;
  }

  isEmpty(): boolean {
    return this.#pending.size === 0;
  }

  /** Settles a granted claim; without an answer the claim is released. */
  settle(
    claim: TicketClaim,
    customer: string,
    answer: StoredAnswerStructure | undefined,
    now: Milliseconds,
  ): void {
    const message: TicketSettleMessage = {
      kind: "ticketSettle",
      claimId: claim.claimId,
      ticket: claim.ticket,
      customer,
      ...(answer ? { answer } : {}),
    };
    const pending = {
      issuerId: claim.issuerId,
      message,
      firstSentAt: now,
      sentAt: now,
    };
    this.#pending.set(claim.claimId, pending);
    if (!answer) this.#remember(message);
    this.#emit({ kind: "send", to: claim.issuerId, message });
  }

  /** Remembers a claim that was given up before its verdict came. */
  abandon(claim: TicketClaim, customer: string): void {
    this.#remember({
      kind: "ticketSettle",
      claimId: claim.claimId,
      ticket: claim.ticket,
      customer,
    });
  }

  /** Takes a verdict: the home's acknowledgement, or the late grant of an abandoned claim. */
  recordVerdict(from: string, verdict: TicketVerdictMessage): void {
    if (verdict.verdict !== ClaimVerdict.Granted) {
      this.#pending.delete(verdict.claimId);
      return;
    }
    const message = this.#abandoned.get(verdict.claimId);
    if (message) this.#emit({ kind: "send", to: from, message });
  }

  /** Repeats what has not been acknowledged. */
  tick(now: Milliseconds): void {
    for (const [claimId, pending] of this.#pending) {
      if (now - pending.firstSentAt >= SETTLE_TIMEOUT_MS) {
        this.#pending.delete(claimId);
        continue;
      }
      if (now - pending.sentAt < RESEND_INTERVAL_MS) continue;
      pending.sentAt = now;
      this.#emit({
        kind: "send",
        to: pending.issuerId,
        message: pending.message,
      });
    }
  }

  #remember(message: TicketSettleMessage): void {
    this.#abandoned.set(message.claimId, message);
    if (this.#abandoned.size <= MAX_ABANDONED) return;
    const [oldest] = this.#abandoned.keys();
    if (oldest !== undefined) this.#abandoned.delete(oldest);
  }
}
