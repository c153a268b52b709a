/**
 * What a daemon believes of its right to order one engine, and what it learns of it:
 * the engine's reports and answers, and the word of others.
 */
import type { Milliseconds } from "../structures.ts";

/** What one daemon believes of its right to order one engine. */
export type OwnershipState =
  /** Nobody here wants the engine, or no report has been read yet. */
  | { kind: "idle" }
  /** A report was read; the term runs. */
  | {
    kind: "observing";
    sequence: number;
    bornAtUnixMs: number;
    observedAt: Milliseconds;
    startedAt: Milliseconds;
    /** When a report last showed the same. */
    confirmedAt: Milliseconds;
  }
  /** Orders may be given against `sequence`. */
  | {
    kind: "holding";
    sequence: number;
    bornAtUnixMs: number;
    /** Time of the last order that the engine accepted from here. */
    acceptedAt: Milliseconds;
    /** Time of the last one that it surely counted. */
    countedAt: Milliseconds;
    /** Time at which the engine last showed that it is the one that is held. */
    verifiedAt: Milliseconds;
    /** Time from which orders may be given: later than now after a blind order. */
    ordersFrom: Milliseconds;
    /** Latest time at which the engine can have started; unknown after a handover. */
    startedAt: Milliseconds;
    /** Whether this daemon alone held the engine when it went down to start again. */
    isHeldSinceStart: boolean;
  }
  /** An order's fate is unknown until a report is read later than `readableAt`. */
  | {
    kind: "unsettled";
    sequence: number;
    bornAtUnixMs: number;
    acceptedAt: Milliseconds;
    countedAt: Milliseconds;
    startedAt: Milliseconds;
    /** When the order in doubt was sent. */
    sentAt: Milliseconds;
    readableAt: Milliseconds;
  }
  /** Another daemon has ordered since; this one stays away until then. */
  | { kind: "deposed"; until: Milliseconds };

export type OwnedState = Extract<OwnershipState, { kind: "holding" }>;

/** What differs between the ways to hold an engine. */
export type AcquiredOwnership =
  & Omit<
    OwnedState,
    "kind" | "ordersFrom" | "isHeldSinceStart" | "countedAt"
  >
  & Partial<Pick<OwnedState, "isHeldSinceStart" | "countedAt">>;

/** An engine's own account of the orders that it accepted. */
export interface OrderReport {
  sequence: number;
  bornAtUnixMs: number;
  /** Time since the engine's start, at least. */
  ageMs: Milliseconds;
  /** When the reading was asked for. */
  readAt: Milliseconds;
}

/** How an engine answered an order. */
export type OrderAnswer =
  /** `isDraining`: an eviction that waits for the adapter's runs; its slot is not free yet. */
  | { kind: "accepted"; isDraining?: boolean }
  /** It held already; whether the count moved is not known. */
  | { kind: "alreadyHeld" }
  /** Another order is under way, or the count differs. */
  | { kind: "conflict" }
  | { kind: "rejected"; detail: string }
  /** The order was never sent. */
  | { kind: "notSent"; detail: string }
  /** No answer: it may have been accepted. */
  | { kind: "unanswered"; detail: string };

/** What reading a report settled. */
export type Settlement =
  | { kind: "none" }
  | { kind: "lastOrderAccepted" }
  | { kind: "lastOrderNotAccepted" }
  /** Evictions that were confirmed had not been counted. */
  | { kind: "evictionNotCounted" }
  | { kind: "restarted" }
  | { kind: "deposed" };

/** What is known of others that may hold the engine. */
export interface ClaimConditions {
  /** Whether this daemon hears most of those that it knows. */
  hasQuorum: boolean;
  /** Whether all others said, since the report that is observed, that they never held it. */
  isUnowned: boolean;
}
