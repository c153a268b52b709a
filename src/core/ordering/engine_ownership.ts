/**
 * The right of one daemon to order one engine's loads and evictions, without
 * votes and without a store. The engine counts the orders that it accepted, and
 * each order names the count that it expects, so the engine itself is the
 * compare-and-set: a daemon takes over only by an order against a count that it
 * read more than a whole term ago, which the engine refuses if anybody ordered
 * since. Two holders therefore never order within one term of each other, and a
 * deposed holder's next order is refused.
 *
 * An order that is fulfilled already, or under way, is not compared: it is
 * confirmed whatever it expects. Adapters are therefore loaded only within a term
 * of an accepted order that rivals do not give (proving_order.ts), in which nobody
 * else can have taken over. The base model of an empty engine has no such order
 * before it: unless nobody else can have observed that engine for a term yet, its
 * holder rests after it, until whoever else may have given the same order is a
 * term away; the next order is compared again.
 */
import type { Milliseconds } from "../structures.ts";
import type {
  AcquiredOwnership,
  ClaimConditions,
  OrderAnswer,
  OrderReport,
  OwnedState,
  OwnershipState,
  Settlement,
} from "./ownership_state.ts";

/** What it shows that an engine accepted an order. */
export const OrderEvidence = {
  /** Nothing: a rival's same order would have been accepted too. */
  Inconclusive: "blind",
  /** That nobody else has ordered; one of an adapter that was not there yet, or no more, is not counted. */
  Eviction: "eviction",
  /** That nobody else has ordered, and that the order was counted. */
  Load: "load",
} as const;
export type OrderEvidence = (typeof OrderEvidence)[keyof typeof OrderEvidence];

export interface EngineOwnershipOptions {
  /** Time within which two holders may not take turns; from the platform. */
  termMs: Milliseconds;
}

/** Added to the term for a report's age and for clocks that differ in pace. */
const TERM_MARGIN_MS = 300;
/** Age of the oldest state that a report may give: the protocol says some hundred milliseconds. */
export const REPORT_LAG_MS = 450;
/** Time from the first report of an engine that nobody alive has held to the one that shows the same: the others' word comes between. */
const UNOWNED_OBSERVATION_MS = 700;
/** Longest time that a handover is taken to be on its way. */
const MAX_HANDOVER_DELAY_MS = 300;
/** Time for which an accepted order or a report shows that the engine has not restarted: a restart takes longer. */
const VERIFIED_MS = 800;
/** Shortest time for which an engine that crashes is down: the users' days play two seconds and more. */
const MIN_RESTART_MS = 1_500;
/** The age that an accepted order or a report may have before an order that a rival may give too: the shorter, the sooner a rival's is seen. */
const CONTESTED_VERIFIED_MS = 400;
/** Time after a contested order in which a rival may give the same one without seeing it. */
export const CONTESTED_WINDOW_MS = CONTESTED_VERIFIED_MS + REPORT_LAG_MS;

export class EngineOwnership {
  readonly #options: EngineOwnershipOptions;
  #state: OwnershipState = { kind: "idle" };

  constructor(options: EngineOwnershipOptions) {
    this.#options = options;
  }

  get state(): OwnershipState {
    return this.#state;
  }

  isOwner(): boolean {
    return this.#state.kind === "holding" || this.#state.kind === "unsettled";
  }

  /** Returns the count that the next order must expect, or undefined when none may be given now. */
  getExpectedSequence(now: Milliseconds): number | undefined {
    const { state } = this;
    return state.kind === "holding" && now >= state.ordersFrom
      ? state.sequence
      : undefined;
  }

  /**
   * Returns whether nobody else can have ordered: an order of this holder was
   * accepted within the term that any other one has to wait.
   */
  isExclusive(now: Milliseconds): boolean {
    return this.#state.kind === "holding" &&
      now - this.#state.acceptedAt < this.#options.termMs;
  }

  /**
   * Returns whether the engine has lately shown that it did not restart. One that
   * did counts anew, and a count from before may match by chance.
   */
  isVerified(isContested: boolean, now: Milliseconds): boolean {
    return this.#state.kind === "holding" &&
      now - this.#state.verifiedAt <=
        (isContested ? CONTESTED_VERIFIED_MS : VERIFIED_MS);
  }

  /** Returns the time since the engine's start; undefined where it is not known. */
  getEngineAgeMs(now: Milliseconds): Milliseconds | undefined {
    const { state } = this;
    return state.kind === "holding" && Number.isFinite(state.startedAt)
      ? now - state.startedAt
      : undefined;
  }

  /** Returns whether somebody may take itself for the engine's only holder since its start. */
  canBeOwnedSinceStart(now: Milliseconds): boolean {
    const ageMs = this.getEngineAgeMs(now);
    return ageMs !== undefined && ageMs < this.#getSoleOwnershipMs();
  }

  /**
   * Returns whether the engine started so lately that nobody can have observed it
   * for a term by the time at which everybody sees an order that is given now.
   */
  isSoleOwnerSinceRestart(now: Milliseconds): boolean {
    return this.#state.kind === "holding" && this.#state.isHeldSinceStart &&
      now - this.#state.startedAt < this.#getSoleOwnershipMs();
  }

  /** Returns the age of an engine up to which its holder since the start orders alone. */
  #getSoleOwnershipMs(): Milliseconds {
    return this.#options.termMs - CONTESTED_WINDOW_MS;
  }

  /**
   * Returns whether a report is wanted now, to observe, to settle an order, or to
   * see that nobody has ordered since the first one before the engine is claimed.
   */
  needsReport(
    isWanted: boolean,
    rivals: ClaimConditions,
    now: Milliseconds,
  ): boolean {
    switch (this.#state.kind) {
      case "idle":
        return true;
      case "deposed":
        return now >= this.#state.until;
      case "unsettled":
        return now >= this.#state.readableAt;
      case "observing":
        if (!isWanted) return false;
        if (rivals.isUnowned && !this.#isConfirmedUnowned()) {
          return now - this.#state.observedAt >= UNOWNED_OBSERVATION_MS;
        }
        return this.#canClaim(rivals, now) && !this.#isConfirmed(now);
      case "holding":
        return false;
    }
  }

  /**
   * Returns whether a whole term has passed since the report that was observed.
   * An engine that has accepted no order since its start has had no holder: one
   * that hears most daemons need not wait. Nor need one that heard from all others,
   * between two equal reports, that they never held it, as after a restart of the
   * whole fleet: who ordered before is no more.
   */
  isClaimable(rivals: ClaimConditions, now: Milliseconds): boolean {
    return this.#canClaim(rivals, now) && this.#isConfirmed(now);
  }

  /** Returns whether the engine may be claimed once a report shows what was observed. */
  #canClaim(rivals: ClaimConditions, now: Milliseconds): boolean {
    if (this.#state.kind !== "observing") return false;
    const isUntouched = this.#state.sequence === 0 && rivals.hasQuorum;
    return isUntouched || this.#hasTermElapsed(now) ||
      (rivals.isUnowned && this.#isConfirmedUnowned());
  }

  /** Returns whether a second report came late enough to show an order that others' word did not. */
  #isConfirmedUnowned(): boolean {
    return this.#state.kind === "observing" &&
      this.#state.confirmedAt - this.#state.observedAt >=
        UNOWNED_OBSERVATION_MS;
  }

  #hasTermElapsed(now: Milliseconds): boolean {
    return this.#state.kind === "observing" &&
      now - this.#state.observedAt >= this.#options.termMs + TERM_MARGIN_MS;
  }

  #isConfirmed(now: Milliseconds): boolean {
    return this.#state.kind === "observing" &&
      now - this.#state.confirmedAt <= VERIFIED_MS;
  }

  /** Returns when the report was read from which the engine is observed; undefined otherwise. */
  get observedAt(): Milliseconds | undefined {
    return this.#state.kind === "observing"
      ? this.#state.observedAt
      : undefined;
  }

  /** Returns the time until the engine may be claimed, a whole term where no report was read. */
  estimateClaimMs(rivals: ClaimConditions, now: Milliseconds): Milliseconds {
    const wholeTermMs = this.#options.termMs + TERM_MARGIN_MS;
    if (this.#state.kind !== "observing") return wholeTermMs;
    const observationMs = rivals.isUnowned
      ? UNOWNED_OBSERVATION_MS
      : wholeTermMs;
    return Math.max(0, this.#state.observedAt + observationMs - now);
  }

  /** Takes the right to order, once the term is over. */
  claim(rivals: ClaimConditions, now: Milliseconds): boolean {
    if (this.#state.kind !== "observing") return false;
    if (!this.isClaimable(rivals, now)) return false;
    const { sequence, bornAtUnixMs, startedAt, confirmedAt } = this.#state;
    this.#takeOwnership({
      sequence,
      bornAtUnixMs,
      startedAt,
      acceptedAt: Number.NEGATIVE_INFINITY,
      verifiedAt: confirmedAt,
    }, now);
    return true;
  }

  /** Takes over from a holder that gave the engine up and orders it no more. */
  acceptHandover(
    handover: {
      sequence: number;
      bornAtUnixMs: number;
      /** Time since the engine last accepted an order. */
      acceptedAgeMs: Milliseconds;
    },
    now: Milliseconds,
  ): boolean {
    if (this.isOwner() || this.#state.kind === "deposed") return false;
    this.#takeOwnership({
      sequence: handover.sequence,
      bornAtUnixMs: handover.bornAtUnixMs,
      startedAt: Number.NEGATIVE_INFINITY,
      acceptedAt: now - handover.acceptedAgeMs - MAX_HANDOVER_DELAY_MS,
      verifiedAt: now,
    }, now);
    return true;
  }

  /** Trusts no time of before: this process stood still for longer than its clock says. */
  recordPause(): void {
    const { state } = this;
    const never = Number.NEGATIVE_INFINITY;
    switch (state.kind) {
      case "holding":
        this.#state = {
          ...state,
          acceptedAt: never,
          countedAt: never,
          verifiedAt: never,
          isHeldSinceStart: false,
        };
        break;
      case "unsettled":
        this.#state = { ...state, acceptedAt: never, countedAt: never };
        break;
      case "observing":
        this.#state = { ...state, confirmedAt: never };
        break;
      case "idle":
      case "deposed":
        break;
    }
  }

  recordReport(report: OrderReport, now: Milliseconds): Settlement {
    switch (this.#state.kind) {
      case "idle":
        this.#observe(report);
        return { kind: "none" };
      case "deposed":
        if (report.readAt >= this.#state.until) this.#observe(report);
        return { kind: "none" };
      case "observing":
        if (
          report.sequence !== this.#state.sequence ||
          report.bornAtUnixMs !== this.#state.bornAtUnixMs
        ) this.#observe(report);
        else this.#state = { ...this.#state, confirmedAt: report.readAt };
        return { kind: "none" };
      case "holding":
        return this.#checkOwned(this.#state, report, now);
      case "unsettled":
        return this.#settle(this.#state, report, now);
    }
  }

  recordOrderAnswer(
    answer: OrderAnswer,
    evidence: OrderEvidence,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    if (this.#state.kind !== "holding") return;
    const isBlind = evidence === OrderEvidence.Inconclusive;
    switch (answer.kind) {
      case "accepted":
        this.#state = {
          ...this.#state,
          sequence: this.#state.sequence + 1,
          acceptedAt: isBlind ? Number.NEGATIVE_INFINITY : sentAt,
          countedAt: evidence === OrderEvidence.Load
            ? sentAt
            : this.#state.countedAt,
          verifiedAt: sentAt,
          ordersFrom: isBlind
            ? now + CONTESTED_WINDOW_MS + this.#options.termMs + TERM_MARGIN_MS
            : sentAt,
        };
        break;
      case "alreadyHeld":
      case "conflict":
      case "unanswered":
        this.#state = {
          kind: "unsettled",
          sequence: this.#state.sequence,
          bornAtUnixMs: this.#state.bornAtUnixMs,
          startedAt: this.#state.startedAt,
          acceptedAt: this.#state.acceptedAt,
          countedAt: this.#state.countedAt,
          sentAt,
          readableAt: now + REPORT_LAG_MS,
        };
        break;
      case "rejected":
      case "notSent":
        break;
    }
  }

  /** Gives the engine up; the next claim starts with a new report and a whole term. */
  release(): void {
    this.#state = { kind: "idle" };
  }

  /** Holds the engine; orders may be given from now on. */
  #takeOwnership(held: AcquiredOwnership, now: Milliseconds): void {
    this.#state = {
      kind: "holding",
      ordersFrom: now,
      isHeldSinceStart: false,
      countedAt: Number.NEGATIVE_INFINITY,
      ...held,
    };
  }

  #observe(report: OrderReport): void {
    this.#state = {
      kind: "observing",
      sequence: report.sequence,
      bornAtUnixMs: report.bornAtUnixMs,
      observedAt: report.readAt,
      startedAt: report.readAt - report.ageMs,
      confirmedAt: report.readAt,
    };
  }

  #checkOwned(
    state: OwnedState,
    report: OrderReport,
    now: Milliseconds,
  ): Settlement {
    if (report.bornAtUnixMs !== state.bornAtUnixMs) {
      return this.#handleRestart(state.acceptedAt, report, now);
    }
    if (report.sequence > state.sequence) return this.#depose(now);
    this.#state = {
      ...state,
      startedAt: report.readAt - report.ageMs,
      verifiedAt: Math.max(state.verifiedAt, report.readAt),
    };
    return { kind: "none" };
  }

  #settle(
    state: Extract<OwnershipState, { kind: "unsettled" }>,
    report: OrderReport,
    now: Milliseconds,
  ): Settlement {
    if (report.readAt < state.readableAt) return { kind: "none" };
    if (report.bornAtUnixMs !== state.bornAtUnixMs) {
      return this.#handleRestart(state.acceptedAt, report, now);
    }
    if (report.sequence === state.sequence) {
      const { sequence, bornAtUnixMs, startedAt, acceptedAt, countedAt } =
        state;
      this.#takeOwnership({
        sequence,
        bornAtUnixMs,
        startedAt,
        acceptedAt,
        countedAt,
        verifiedAt: report.readAt,
      }, now);
      return { kind: "lastOrderNotAccepted" };
    }
    // Nobody else can have ordered within a term of an order that was counted.
    const isMiscounted = report.sequence < state.sequence &&
      report.readAt - state.countedAt < this.#options.termMs;
    if (isMiscounted) {
      const { bornAtUnixMs, startedAt, countedAt } = state;
      this.#takeOwnership({
        sequence: report.sequence,
        bornAtUnixMs,
        startedAt,
        acceptedAt: countedAt,
        countedAt,
        verifiedAt: report.readAt,
      }, now);
      return { kind: "evictionNotCounted" };
    }
    // Nobody else can have ordered within a term of an accepted order of this holder.
    const isOwn = report.sequence === state.sequence + 1 &&
      report.readAt - state.acceptedAt < this.#options.termMs;
    if (!isOwn) return this.#depose(now);
    const { bornAtUnixMs, startedAt, sentAt } = state;
    this.#takeOwnership({
      sequence: report.sequence,
      bornAtUnixMs,
      startedAt,
      acceptedAt: sentAt,
      countedAt: sentAt,
      verifiedAt: report.readAt,
    }, now);
    return { kind: "lastOrderAccepted" };
  }

  /**
   * An engine that restarted has accepted nothing, unless somebody was faster.
   * @param acceptedAt when it last accepted an order from here before.
   */
  #handleRestart(
    acceptedAt: Milliseconds,
    report: OrderReport,
    now: Milliseconds,
  ): Settlement {
    if (report.sequence !== 0) return this.#depose(now);
    const startedAt = report.readAt - report.ageMs;
    // Whoever else claimed it first waited a term, and it was down for a while.
    const isHeldSinceStart =
      startedAt - acceptedAt < this.#options.termMs + MIN_RESTART_MS;
    this.#takeOwnership({
      sequence: 0,
      bornAtUnixMs: report.bornAtUnixMs,
      startedAt,
      acceptedAt: Number.NEGATIVE_INFINITY,
      verifiedAt: report.readAt,
      isHeldSinceStart,
    }, now);
    return { kind: "restarted" };
  }

  #depose(now: Milliseconds): Settlement {
    this.#state = {
      kind: "deposed",
      until: now + this.#options.termMs + TERM_MARGIN_MS,
    };
    return { kind: "deposed" };
  }
}
