/**
 * Reports the outcome of claims to the tickets' issuers, and resends each
 * report until the issuer acknowledges it. The answer to the caller waits for
 * that: the caller's next call with the ticket could otherwise reach the issuer
 * before the report. A claim that was abandoned before its verdict arrived is
 * released if the verdict is a grant, since no request ran under it.
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
  /** Answers the caller; undefined once that is done. */
  answer: (() => void) | undefined;
}

const RESEND_INTERVAL_MS = 500;
/**
 * Longest time for which an answer waits for its settlement: a caller of an
 * issuer that is cut off still gets the answer.
 */
const MAX_ANSWER_DELAY_MS = RESEND_INTERVAL_MS;
/**
 * Time after which a settlement is no longer resent to an issuer that doesn't
 * acknowledge it.
 */
const SETTLE_TIMEOUT_MS = 10_000;
/**
 * Maximum number of abandoned claims that are remembered; the oldest are
 * dropped.
 */
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

  /**
   * Settles a granted claim, then answers the caller. Without a stored answer,
   * the claim is released.
   */
  settle(
    claim: TicketClaim,
    customer: string,
    storedAnswer: StoredAnswerStructure | undefined,
    answer: () => void,
    now: Milliseconds,
  ): void {
    const message: TicketSettleMessage = {
      kind: "ticketSettle",
      claimId: claim.claimId,
      ticket: claim.ticket,
      customer,
      ...(storedAnswer ? { answer: storedAnswer } : {}),
    };
    const pending = {
      issuerId: claim.issuerId,
      message,
      firstSentAt: now,
      sentAt: now,
      answer,
    };
    this.#pending.set(claim.claimId, pending);
    if (!storedAnswer) this.#rememberAbandoned(message);
    this.#emit({ kind: "send", to: claim.issuerId, message });
  }

  /** Records that a claim was abandoned before its verdict arrived. */
  abandon(claim: TicketClaim, customer: string): void {
    this.#rememberAbandoned({
      kind: "ticketSettle",
      claimId: claim.claimId,
      ticket: claim.ticket,
      customer,
    });
  }

  /**
   * Handles a verdict: an acknowledgement, or the late grant of an abandoned
   * claim.
   */
  recordVerdict(from: string, verdict: TicketVerdictMessage): void {
    if (verdict.verdict !== ClaimVerdict.Granted) {
      const pending = this.#pending.get(verdict.claimId);
      this.#pending.delete(verdict.claimId);
      if (pending) answerOnce(pending);
      return;
    }
    const message = this.#abandoned.get(verdict.claimId);
    if (message) this.#emit({ kind: "send", to: from, message });
  }

  /** Answers the callers whose settlements are not acknowledged yet. */
  answerAll(): void {
    for (const pending of this.#pending.values()) answerOnce(pending);
  }

  /** Resends unacknowledged settlements, and gives answers that have waited. */
  tick(now: Milliseconds): void {
    for (const [claimId, pending] of this.#pending) {
      if (now - pending.firstSentAt >= MAX_ANSWER_DELAY_MS) answerOnce(pending);
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

  #rememberAbandoned(message: TicketSettleMessage): void {
    this.#abandoned.set(message.claimId, message);
    if (this.#abandoned.size <= MAX_ABANDONED) return;
    const [oldest] = this.#abandoned.keys();
    if (oldest !== undefined) this.#abandoned.delete(oldest);
  }
}

function answerOnce(pending: PendingSettlement): void {
  const { answer } = pending;
  pending.answer = undefined;
  answer?.();
}
