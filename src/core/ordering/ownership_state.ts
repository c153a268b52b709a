/**
 * The state of a daemon's ownership of one engine, and the inputs that change
 * it: the engine's reports, its answers to orders, and the heartbeats of other
 * daemons.
 */
import type { Milliseconds } from "../structures.ts";

/** State of one daemon's ownership of one engine. */
export type OwnershipState =
  /** This daemon does not seek ownership, or has not read a report yet. */
  | { kind: "idle" }
  /** A report was read; the engine may be claimed once a term has passed. */
  | {
    kind: "observing";
    sequence: number;
    bornAtUnixMs: number;
    observedAt: Milliseconds;
    startedAt: Milliseconds;
    /** When a report last showed the same sequence number and start time. */
    confirmedAt: Milliseconds;
  }
  /** This daemon is the owner, and its next order expects `sequence`. */
  | {
    kind: "holding";
    sequence: number;
    bornAtUnixMs: number;
    /**
     * When the last accepted order was sent that proves this daemon's
     * ownership.
     */
    acceptedAt: Milliseconds;
    /** When the last order was sent that the engine certainly counted. */
    countedAt: Milliseconds;
    /** When the engine last showed that it had not restarted. */
    verifiedAt: Milliseconds;
    /**
     * When the next order may be sent: later than now after an inconclusive
     * order.
     */
    ordersFrom: Milliseconds;
    /**
     * When the inconclusive order was sent after which this daemon rests;
     * undefined if it does not.
     */
    contestedAt: Milliseconds | undefined;
    /**
     * When the engine started by this host's wall clock, which may be off by
     * seconds; unknown after a handover.
     */
    startedAt: Milliseconds;
    /**
     * Latest time at which the engine can have started: when the first report
     * since then was read.
     */
    firstSeenAt: Milliseconds;
    /**
     * Until when this daemon may order the engine alone after a restart that it
     * went through as the only owner.
     */
    soleOwnerUntil: Milliseconds;
  }
  /**
   * Whether the last order was accepted is unknown until a report is read at or
   * after `readableAt`.
   */
  | {
    kind: "unsettled";
    sequence: number;
    bornAtUnixMs: number;
    acceptedAt: Milliseconds;
    countedAt: Milliseconds;
    /** When the engine last showed that it had not restarted. */
    verifiedAt: Milliseconds;
    startedAt: Milliseconds;
    firstSeenAt: Milliseconds;
    /** When the unsettled order was sent. */
    sentAt: Milliseconds;
    readableAt: Milliseconds;
  }
  /**
   * Another daemon has ordered the engine; this one does not observe it before
   * `until`.
   */
  | { kind: "deposed"; until: Milliseconds };

export type OwnedState = Extract<OwnershipState, { kind: "holding" }>;

/**
 * Fields that differ between the ways to become the owner: a claim, a handover,
 * a restart of the engine, a settled order.
 */
export type AcquiredOwnership =
  & Omit<
    OwnedState,
    "kind" | "ordersFrom" | "contestedAt" | "soleOwnerUntil" | "countedAt"
  >
  & Partial<Pick<OwnedState, "soleOwnerUntil" | "countedAt">>;

/** What an engine reports about the orders that it accepted. */
export interface OrderReport {
  sequence: number;
  bornAtUnixMs: number;
  /** Time since the engine's start by this host's wall clock. */
  ageMs: Milliseconds;
  /** When the report was requested. */
  readAt: Milliseconds;
}

/** Result of sending an order to an engine. */
export type OrderAnswer =
  /**
   * `isDraining`: the eviction waits for the adapter's running requests; its
   * adapter slot is not free yet.
   */
  | { kind: "accepted"; isDraining?: boolean }
  /**
   * The engine already had the adapter or model; whether the order was counted
   * is unknown.
   */
  | { kind: "alreadyHeld" }
  /**
   * Another order is in progress, or the sequence number is not the expected
   * one.
   */
  | { kind: "conflict" }
  | { kind: "rejected"; detail: string }
  /** The order was never sent. */
  | { kind: "notSent"; detail: string }
  /** No answer arrived; the engine may have accepted the order. */
  | { kind: "unanswered"; detail: string };

/** What a report showed about the ownership and the last order. */
export type Settlement =
  | { kind: "none" }
  | { kind: "lastOrderAccepted" }
  | { kind: "lastOrderNotAccepted" }
  /** The engine had confirmed evictions without counting them. */
  | { kind: "evictionNotCounted" }
  | { kind: "restarted" }
  | { kind: "deposed" };

/** What is known about other daemons that may own the engine. */
export interface ClaimConditions {
  /**
   * Whether this daemon hears a majority of the daemons that could own the
   * engine.
   */
  hasQuorum: boolean;
  /**
   * Whether all other daemons have said, since the observed report, that they
   * never owned the engine.
   */
  isUnowned: boolean;
  /**
   * Whether all other daemons have said that they neither own the engine nor
   * have recently sent it a contested order, in heartbeats that meet
   * EngineOwnership.getDisclaimerRequirements.
   */
  isDisclaimed: boolean;
}
