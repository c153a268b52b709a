/**
 * Issues the tickets of non-idempotent requests and decides on claims to them.
 * A ticket names the daemon and the incarnation that issued it; only that
 * incarnation can grant the single run. A ticket that it no longer has on
 * record is never granted.
 */
import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import {
  ClaimVerdict,
  type StoredAnswerStructure,
  type TicketClaimMessage,
  type TicketSettleMessage,
  type TicketVerdictMessage,
} from "../messages.ts";
import { Outcome } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";

export interface TicketIssuerOptions {
  selfId: string;
  incarnation: string;
  /** HMAC key of the ticket signatures; generated anew for each incarnation. */
  secret: Uint8Array;
  lifetimeMs: Milliseconds;
  maxTickets: number;
  /** Age from which an unsettled claim is reported as one that may have run. */
  claimTimeoutMs: Milliseconds;
}

type TicketPhase =
  | { kind: "open" }
  | { kind: "claimed"; claimId: string; claimedAt: Milliseconds }
  | { kind: "settled"; answer: StoredAnswerStructure };

interface TicketRecord {
  customer: string;
  /**
   * Fingerprint of the first request that claimed the ticket; undefined before.
   */
  fingerprint: string | undefined;
  issuedAt: Milliseconds;
  expiresAt: Milliseconds;
  phase: TicketPhase;
}

/** The fields that a ticket encodes. */
export interface ParsedTicket {
  issuerId: string;
  incarnation: string;
  sequence: number;
  signature: string;
}

const SEPARATOR = "~";
const SIGNATURE_LENGTH = 22;
/** Time within which a caller is expected to use a new ticket. */
const FRESH_TICKET_MS = 2_000;

/** Parses a ticket; returns undefined if it is malformed. */
export function parseTicket(ticket: string): ParsedTicket | undefined {
  const [issuerId, incarnation, sequenceText, signature, ...rest] = ticket
    .split(SEPARATOR);
  if (
    !issuerId || !incarnation || !sequenceText || !signature || rest.length > 0
  ) {
    return undefined;
  }
  const sequence = Number(sequenceText);
  if (!Number.isSafeInteger(sequence) || sequence < 1) return undefined;
  return { issuerId, incarnation, sequence, signature };
}

/** Returns the stored answer for a run whose outcome is unknown. */
export function createUncertainAnswer(): StoredAnswerStructure {
  return {
    outcome: Outcome.MayHaveRun,
    status: 502,
    contentType: "",
    body: new Uint8Array(),
    bodyKept: false,
  };
}

export class TicketIssuer {
  readonly #options: TicketIssuerOptions;
  readonly #records = new Map<number, TicketRecord>();
  #lastSequence = 0;

  constructor(options: TicketIssuerOptions) {
    this.#options = options;
  }

  issueTicket(customer: string, now: Milliseconds): string {
    this.#dropExpired(now);
    this.#lastSequence += 1;
    const sequence = this.#lastSequence;
    this.#records.set(sequence, {
      customer,
      fingerprint: undefined,
      issuedAt: now,
      expiresAt: now + this.#options.lifetimeMs,
      phase: { kind: "open" },
    });
    const { selfId, incarnation } = this.#options;
    const signature = this.#computeSignature(sequence, customer);
    return [selfId, incarnation, sequence, signature].join(SEPARATOR);
  }

  /** Decides whether the claiming daemon may run the request. */
  claimTicket(
    claim: TicketClaimMessage,
    now: Milliseconds,
  ): TicketVerdictMessage {
    const record = this.#findRecord(claim.ticket, claim.customer, now);
    if (typeof record === "string") return createVerdict(claim, record);
    if (
      record.fingerprint !== undefined &&
      record.fingerprint !== claim.fingerprint
    ) {
      return createVerdict(claim, ClaimVerdict.Mismatch);
    }
    switch (record.phase.kind) {
      case "open":
        record.fingerprint = claim.fingerprint;
        record.phase = {
          kind: "claimed",
          claimId: claim.claimId,
          claimedAt: now,
        };
        return createVerdict(claim, ClaimVerdict.Granted);
      case "claimed":
        if (record.phase.claimId === claim.claimId) {
          return createVerdict(claim, ClaimVerdict.Granted);
        }
        if (now - record.phase.claimedAt < this.#options.claimTimeoutMs) {
          return createVerdict(claim, ClaimVerdict.InProgress);
        }
        return createVerdict(
          claim,
          ClaimVerdict.Spent,
          createUncertainAnswer(),
        );
      case "settled":
        return createVerdict(claim, ClaimVerdict.Spent, record.phase.answer);
    }
  }

  /**
   * Records the outcome of a claimed run, or releases a claim whose request did
   * not run.
   */
  settleTicket(settle: TicketSettleMessage, now: Milliseconds): void {
    const record = this.#findRecord(settle.ticket, settle.customer, now);
    if (typeof record === "string") return;
    if (record.phase.kind !== "claimed") return;
    if (record.phase.claimId !== settle.claimId) return;
    record.phase = settle.answer
      ? { kind: "settled", answer: settle.answer }
      : { kind: "open" };
    record.expiresAt = now + this.#options.lifetimeMs;
  }

  /**
   * Returns whether a shutdown now would leave a caller without a definite
   * outcome: a request is running under a ticket, or a ticket has just been
   * issued. A claim older than maxUseMs counts as lost with the daemon that
   * made it.
   */
  hasTicketsInUse(maxUseMs: Milliseconds, now: Milliseconds): boolean {
    for (const record of this.#records.values()) {
      const isClaimed = record.phase.kind === "claimed" &&
        now - record.phase.claimedAt < maxUseMs;
      if (isClaimed) return true;
      const isFresh = record.phase.kind === "open" &&
        now - record.issuedAt < FRESH_TICKET_MS;
      if (isFresh) return true;
    }
    return false;
  }

  getTicketCount(): number {
    return this.#records.size;
  }

  #findRecord(
    ticket: string,
    customer: string,
    now: Milliseconds,
  ): TicketRecord | ClaimVerdict {
    const parsed = parseTicket(ticket);
    if (!parsed || parsed.issuerId !== this.#options.selfId) {
      return ClaimVerdict.Invalid;
    }
    if (parsed.incarnation !== this.#options.incarnation) {
      return ClaimVerdict.Expired;
    }
    if (!this.#isSignatureValid(parsed, customer)) return ClaimVerdict.Invalid;
    const record = this.#records.get(parsed.sequence);
    if (!record || record.expiresAt <= now) return ClaimVerdict.Expired;
    return record;
  }

  #isSignatureValid(parsed: ParsedTicket, customer: string): boolean {
    const expected = Buffer.from(
      this.#computeSignature(parsed.sequence, customer),
    );
    const found = Buffer.from(parsed.signature);
    return expected.length === found.length && timingSafeEqual(expected, found);
  }

  #computeSignature(sequence: number, customer: string): string {
    return createHmac("sha256", this.#options.secret)
      .update(`${this.#options.incarnation}\u0000${sequence}\u0000${customer}`)
      .digest("base64url")
      .slice(0, SIGNATURE_LENGTH);
  }

  #dropExpired(now: Milliseconds): void {
    for (const [sequence, record] of this.#records) {
      const isFull = this.#records.size >= this.#options.maxTickets;
      if (record.expiresAt > now && !isFull) return;
      this.#records.delete(sequence);
    }
  }
}

function createVerdict(
  claim: TicketClaimMessage,
  verdict: ClaimVerdict,
  answer?: StoredAnswerStructure,
): TicketVerdictMessage {
  return {
    kind: "ticketVerdict",
    claimId: claim.claimId,
    verdict,
    ...(answer ? { answer } : {}),
  };
}
