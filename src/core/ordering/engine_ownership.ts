/**
 * The ownership of an engine: the right of one daemon to order its loads and
 * evictions, without elections and without a store. The engine counts the
 * orders that it accepts, and each order names the count that it expects, so
 * the engine itself is the compare-and-set. A daemon takes over only with an
 * order that expects a count which it read more than a whole term ago; the
 * engine rejects that order if any daemon has ordered since. Two owners
 * therefore never order within one term of each other, and the next order of a
 * deposed owner is rejected.
 *
 * An engine does not compare the count of an order that is already fulfilled or
 * in progress: it confirms such an order, whatever count it expects. Adapters
 * are therefore loaded only within a term of an accepted order that other
 * claimants do not send (proving_order.ts), during which no other daemon can
 * have taken over. No such order precedes the load of an empty engine's base
 * model. Unless this daemon owned the engine before it restarted, and no other
 * can have observed it for a term yet, its owner rests after that load: it sends
 * no orders until a term has passed since another claimant may have sent the
 * same order, or until all others have said that they did not. The count of the
 * next order is compared again.
 *
 * An engine that has accepted no order since its start is claimed without a
 * term by a daemon that hears a majority and, after that start, from each of the
 * others that it does not own the engine: an owner from before a restart
 * continues at once, and may not be heard.
 */
import type { EngineOrder } from "../admission/admission_controller.ts";
import type { DisclaimerRequirements } from "../fleet/fleet_view.ts";
import type { Milliseconds } from "../structures.ts";
import {
  computeFencingNumber,
  type FencingBounds,
  FencingSequence,
} from "./fencing_number.ts";
import type {
  AcquiredOwnership,
  ClaimConditions,
  OrderAnswer,
  OrderReport,
  OwnedState,
  OwnershipState,
  Settlement,
} from "./ownership_state.ts";

/** What an engine's acceptance of an order proves. */
export const OrderEvidence = {
  /**
   * Nothing: the engine would have accepted the same order from another
   * claimant too.
   */
  Inconclusive: "inconclusive",
  /**
   * That no other daemon has ordered the engine. The engine does not count the
   * eviction of an adapter that it has not loaded yet or no longer has.
   */
  Eviction: "eviction",
  /**
   * That no other daemon has ordered the engine, and that the order was
   * counted.
   */
  Load: "load",
} as const;
export type OrderEvidence = (typeof OrderEvidence)[keyof typeof OrderEvidence];

export interface EngineOwnershipOptions {
  /** Time within which two owners must not alternate; set by the platform. */
  termMs: Milliseconds;
}

/**
 * Added to the term for the age of a report and for clocks that run at
 * different rates.
 */
const TERM_MARGIN_MS = 300;
/**
 * Maximum age of the state that a report shows; the protocol allows several
 * hundred milliseconds.
 */
export const REPORT_LAG_MS = 450;
/**
 * Time from the first report of an engine that no alive daemon has owned to the
 * report that confirms it: the other daemons' heartbeats arrive in between.
 */
const UNOWNED_OBSERVATION_MS = 700;
/**
 * Time for which a handover is retransmitted. Its ages are those at the first
 * transmission.
 */
export const HANDOVER_LIFETIME_MS = 250;
/**
 * Maximum time that a handover is assumed to take, from its first transmission
 * to its arrival.
 */
export const MAX_HANDOVER_DELAY_MS = HANDOVER_LIFETIME_MS + 50;
/**
 * Time for which an accepted order or a report proves that the engine has not
 * restarted: a restart takes longer.
 */
const VERIFIED_MS = 800;
/**
 * Minimum downtime of an engine that crashes: the users' scenarios have two
 * seconds and more.
 */
const MIN_RESTART_MS = 1_500;
/**
 * Maximum age of the last accepted order or report before an order that another
 * claimant may send too: the lower it is, the sooner the other claimant's order
 * is seen.
 */
const CONTESTED_VERIFIED_MS = 400;
/**
 * Time after a contested order in which another claimant may send the same
 * order without having seen this one.
 */
export const CONTESTED_WINDOW_MS = CONTESTED_VERIFIED_MS + REPORT_LAG_MS;

/**
 * Age up to which other daemons' word that they do not own an engine counts for
 * a claim and for an eviction: the next of their heartbeats may be lost.
 */
const MAX_DISCLAIMER_AGE_MS = 1_200;

/**
 * Time for which a heartbeat may wait in the socket of a slow host before it is
 * processed.
 */
const HEARTBEAT_QUEUE_MS = 700;

export class EngineOwnership {
  readonly #options: EngineOwnershipOptions;
  #state: OwnershipState = { kind: "idle" };
  readonly #fencing = new FencingSequence();
  /**
   * When the last inconclusive order was sent or, later, answered, unless the
   * engine refused it.
   */
  #lastContestedAt = Number.NEGATIVE_INFINITY;
  /**
   * When the rest after that order ends, also if this daemon has lost the
   * engine and owns it again, or the engine has restarted.
   */
  #restsUntil = Number.NEGATIVE_INFINITY;
  /**
   * When a daemon to which the engine was handed back may order it again, so that
   * it does not alternate with the owner in between within a term.
   */
  #resumesFrom = Number.NEGATIVE_INFINITY;

  constructor(options: EngineOwnershipOptions) {
    this.#options = options;
  }

  get state(): OwnershipState {
    return this.#state;
  }

  isOwner(): boolean {
    return this.#state.kind === "holding" || this.#state.kind === "unsettled";
  }

  /**
   * Returns the count that the next order must expect, or undefined if none may
   * be sent now.
   */
  getExpectedSequence(now: Milliseconds): number | undefined {
    const { state } = this;
    return state.kind === "holding" && now >= state.ordersFrom
      ? state.sequence
      : undefined;
  }

  /** Returns what the next owner's fencing numbers have to exceed. */
  get fencingBounds(): FencingBounds {
    return this.#fencing.bounds;
  }

  /**
   * Returns the fencing number of an order sent now.
   * @param contestedSlot slot of a load that the engine may confirm without
   * counting it; undefined for other orders.
   */
  issueFence(
    { kind, contestedSlot, host }: {
      kind: EngineOrder["kind"];
      contestedSlot: number | undefined;
      host: string;
    },
  ): number {
    return computeFencingNumber({
      bornAtUnixMs: this.bornAtUnixMs,
      position: this.#fencing.issuePosition(kind, contestedSlot),
      host,
    });
  }

  /** Start time that the owned engine reports; 0 if it reports none. */
  get bornAtUnixMs(): number {
    const { state } = this;
    return state.kind === "holding" ? state.bornAtUnixMs : 0;
  }

  /**
   * Returns whether no other daemon can have ordered the engine: it accepted an
   * order of this owner within the term that any other daemon has to wait.
   */
  isExclusive(now: Milliseconds): boolean {
    return this.#state.kind === "holding" &&
      now - this.#state.acceptedAt < this.#options.termMs;
  }

  /**
   * Returns whether the engine has recently shown that it did not restart.
   * After a restart it counts from 0 again, and a count from before may match
   * by chance.
   */
  isVerified(isContested: boolean, now: Milliseconds): boolean {
    return this.#state.kind === "holding" &&
      now - this.#state.verifiedAt <=
        (isContested ? CONTESTED_VERIFIED_MS : VERIFIED_MS);
  }

  /**
   * Returns the time since the engine's start by this host's wall clock, which
   * may be off by seconds; undefined if it is unknown.
   */
  getEngineAgeMs(now: Milliseconds): Milliseconds | undefined {
    const { state } = this;
    return state.kind === "holding" && Number.isFinite(state.startedAt)
      ? now - state.startedAt
      : undefined;
  }

  /**
   * Returns what the other daemons' word that they do not own the engine has to
   * meet. For a claim, and for the first order after a restart, it must be
   * recent and given after the engine's start. For the end of a rest, it must
   * cover the time in which they may have sent the same order. Undefined if it
   * is not needed.
   */
  getDisclaimerRequirements(
    now: Milliseconds,
  ): DisclaimerRequirements | undefined {
    const { state } = this;
    const isResting = now < this.#restsUntil;
    const isUnordered = state.kind === "observing" ||
      (state.kind === "holding" && state.sequence === 0 && !isResting);
    if (isUnordered) {
      return {
        since: Math.max(state.startedAt, now - MAX_DISCLAIMER_AGE_MS),
        sameProcessSince: Number.POSITIVE_INFINITY,
      };
    }
    if (state.kind !== "holding" || !isResting) return undefined;
    return {
      since: this.#lastContestedAt + CONTESTED_WINDOW_MS +
        HEARTBEAT_QUEUE_MS,
      sameProcessSince: this.#lastContestedAt,
    };
  }

  /**
   * Returns what that word has to meet for an eviction from another claimant's
   * share: that it is recent. Undefined if this daemon may not order.
   */
  getEvictionDisclaimerRequirements(
    now: Milliseconds,
  ): DisclaimerRequirements | undefined {
    const { state } = this;
    if (state.kind !== "holding" || now < this.#restsUntil) return undefined;
    return {
      since: Math.max(state.startedAt, now - MAX_DISCLAIMER_AGE_MS),
      sameProcessSince: Number.POSITIVE_INFINITY,
      mayHaveLeft: true,
    };
  }

  /**
   * Returns whether this daemon has recently sent an order that another claimant
   * may have sent too, so that the other one has to rest.
   */
  hasRecentContestedOrder(now: Milliseconds): boolean {
    return now - this.#lastContestedAt <
      this.#getRestMs() + CONTESTED_WINDOW_MS;
  }

  /**
   * Returns whether a daemon that ordered the engine so long ago, and another
   * one since, would alternate with it by ordering the engine again.
   */
  isWithinTurn(orderAgeMs: Milliseconds): boolean {
    return orderAgeMs < this.#getTurnMs();
  }

  /** Returns the term with its margin. */
  #getTurnMs(): Milliseconds {
    return this.#options.termMs + TERM_MARGIN_MS;
  }

  /** Returns the time for which no orders follow an inconclusive one. */
  #getRestMs(): Milliseconds {
    return CONTESTED_WINDOW_MS + this.#getTurnMs();
  }

  /**
   * Ends the rest after an inconclusive order that no other daemon sent;
   * returns whether there was one. The order then proves the ownership, if the
   * engine accepted it.
   */
  endRest(now: Milliseconds): boolean {
    const { state } = this;
    if (state.kind !== "holding" || now >= this.#restsUntil) return false;
    this.#restsUntil = now;
    this.#state = {
      ...state,
      ordersFrom: Math.max(now, this.#resumesFrom),
      acceptedAt: state.contestedAt ?? state.acceptedAt,
      contestedAt: undefined,
    };
    return true;
  }

  /**
   * Returns whether a daemon may consider itself the engine's only owner since
   * its start, as far as this daemon's own observations tell.
   */
  canBeOwnedSinceStart(now: Milliseconds): boolean {
    return this.#state.kind === "holding" &&
      now - this.#state.firstSeenAt < this.#getSoleOwnershipMs();
  }

  /**
   * Returns whether this daemon was the only owner before a restart of the
   * engine that is so recent that no other daemon can have observed the engine
   * for a term by the time all daemons see an order sent now.
   */
  isSoleOwnerSinceRestart(now: Milliseconds): boolean {
    return this.#state.kind === "holding" && now < this.#state.soleOwnerUntil;
  }

  /**
   * Returns the engine age up to which the only owner since the engine's start
   * sends orders alone.
   */
  #getSoleOwnershipMs(): Milliseconds {
    return this.#options.termMs - CONTESTED_WINDOW_MS;
  }

  /**
   * Returns whether a report has to be read now: to observe the engine, to
   * settle an order, or to check before a claim that no daemon has ordered
   * since the first report.
   */
  needsReport(
    isDesiredOwner: boolean,
    conditions: ClaimConditions,
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
        if (!isDesiredOwner) return false;
        if (conditions.isUnowned && !this.#isConfirmedUnowned()) {
          return now - this.#state.observedAt >= UNOWNED_OBSERVATION_MS;
        }
        return this.#canClaim(conditions, now) && !this.#isConfirmed(now);
      case "holding":
        return false;
    }
  }

  /**
   * Returns whether the engine may be claimed: a whole term has passed since
   * the observed report, and a recent report shows the same. An engine that has
   * accepted no order since its start has had no owner since, so a daemon with a
   * quorum need not wait if no other owned it before. Nor does a daemon need to
   * wait if, between two equal reports, all others told it that they never owned
   * the engine, as after a restart of the whole fleet: the previous owner no
   * longer exists, and there was only one.
   */
  isClaimable(conditions: ClaimConditions, now: Milliseconds): boolean {
    return this.#canClaim(conditions, now) && this.#isConfirmed(now);
  }

  /**
   * Returns whether the engine may be claimed once a recent report shows the
   * observed state.
   */
  #canClaim(conditions: ClaimConditions, now: Milliseconds): boolean {
    if (this.#state.kind !== "observing") return false;
    const hasHadNoOwner = this.#state.sequence === 0 && conditions.hasQuorum &&
      conditions.isDisclaimed;
    return hasHadNoOwner || this.#hasTermElapsed(now) ||
      (conditions.isUnowned && this.#isConfirmedUnowned() &&
        !this.#canHaveHadTwoOwners());
  }

  /**
   * Returns whether two owners may have ordered the engine just before all
   * daemons restarted, so that one of their hosts would alternate with the other
   * by ordering it again: its only counted order may be an inconclusive one.
   */
  #canHaveHadTwoOwners(): boolean {
    return this.#state.kind === "observing" && this.#state.sequence === 1;
  }

  /**
   * Returns whether a second report was read late enough to show an order that
   * the other daemons' heartbeats did not cover.
   */
  #isConfirmedUnowned(): boolean {
    return this.#state.kind === "observing" &&
      this.#state.confirmedAt - this.#state.observedAt >=
        UNOWNED_OBSERVATION_MS;
  }

  #hasTermElapsed(now: Milliseconds): boolean {
    return this.#state.kind === "observing" &&
      now - this.#state.observedAt >= this.#getTurnMs();
  }

  #isConfirmed(now: Milliseconds): boolean {
    return this.#state.kind === "observing" &&
      now - this.#state.confirmedAt <= VERIFIED_MS;
  }

  /**
   * Returns when the report was read that started the observation; undefined if
   * the engine is not being observed.
   */
  get observedAt(): Milliseconds | undefined {
    return this.#state.kind === "observing"
      ? this.#state.observedAt
      : undefined;
  }

  /**
   * Returns the time until the engine may be claimed; a whole term if no report
   * was read.
   */
  estimateClaimMs(
    conditions: ClaimConditions,
    now: Milliseconds,
  ): Milliseconds {
    const wholeTermMs = this.#getTurnMs();
    if (this.#state.kind !== "observing") return wholeTermMs;
    const observationMs = conditions.isUnowned && !this.#canHaveHadTwoOwners()
      ? UNOWNED_OBSERVATION_MS
      : wholeTermMs;
    return Math.max(0, this.#state.observedAt + observationMs - now);
  }

  /** Becomes the owner if the engine may be claimed; returns whether it did. */
  claim(conditions: ClaimConditions, now: Milliseconds): boolean {
    if (this.#state.kind !== "observing") return false;
    if (!this.isClaimable(conditions, now)) return false;
    const { sequence, bornAtUnixMs, startedAt, observedAt, confirmedAt } =
      this.#state;
    this.#fencing.begin(sequence);
    this.#takeOwnership({
      sequence,
      bornAtUnixMs,
      startedAt,
      firstSeenAt: observedAt,
      acceptedAt: Number.NEGATIVE_INFINITY,
      verifiedAt: confirmedAt,
    }, now);
    return true;
  }

  /**
   * Becomes the owner after a previous owner has released the engine and sends
   * it no more orders. The first order waits for a report.
   */
  acceptHandover(
    handover: {
      sequence: number;
      bornAtUnixMs: number;
      /** Time since the engine last accepted an order. */
      acceptedAgeMs: Milliseconds;
      /** Unknown to owners of the previous release. */
      fencing?: FencingBounds | undefined;
      /**
       * Time since this daemon itself last ordered the engine, before a restart;
       * undefined if it did not within a term.
       */
      ownOrderAgeMs?: Milliseconds | undefined;
    },
    now: Milliseconds,
  ): boolean {
    if (this.isOwner() || this.#state.kind === "deposed") return false;
    this.#resumesFrom = handover.ownOrderAgeMs === undefined
      ? Number.NEGATIVE_INFINITY
      : now + this.#getTurnMs() - handover.ownOrderAgeMs;
    if (handover.fencing) this.#fencing.setBoundsAbove(handover.fencing);
    else this.#fencing.begin(handover.sequence);
    this.#takeOwnership({
      sequence: handover.sequence,
      bornAtUnixMs: handover.bornAtUnixMs,
      startedAt: Number.NEGATIVE_INFINITY,
      firstSeenAt: Number.NEGATIVE_INFINITY,
      acceptedAt: now - handover.acceptedAgeMs - MAX_HANDOVER_DELAY_MS,
      // The former owner may not have seen that the engine restarted.
      verifiedAt: Number.NEGATIVE_INFINITY,
    }, now);
    return true;
  }

  /**
   * Discards all proofs that depend on the time: this process was suspended for
   * longer than its monotonic clock shows.
   */
  recordPause(): void {
    const { state } = this;
    const never = Number.NEGATIVE_INFINITY;
    switch (state.kind) {
      case "holding":
        this.#state = {
          ...state,
          acceptedAt: never,
          countedAt: never,
          contestedAt: undefined,
          verifiedAt: never,
          soleOwnerUntil: never,
        };
        break;
      case "unsettled":
        this.#state = {
          ...state,
          acceptedAt: never,
          countedAt: never,
          verifiedAt: never,
        };
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

  /**
   * Records that an order was sent which another claimant may send too; its
   * answer may come after this daemon has lost the engine.
   */
  recordContestedOrder(now: Milliseconds): void {
    this.#lastContestedAt = now;
    this.#restsUntil = now + this.#getRestMs();
  }

  recordOrderAnswer(
    answer: OrderAnswer,
    evidence: OrderEvidence,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    const isInconclusive = evidence === OrderEvidence.Inconclusive;
    if (isInconclusive) {
      if (isRefused(answer)) this.#forgetContestedOrder();
      else this.recordContestedOrder(now);
    }
    if (this.#state.kind !== "holding") return;
    switch (answer.kind) {
      case "accepted":
        this.#fencing.recordAccepted();
        if (evidence === OrderEvidence.Load) {
          this.#fencing.recordCounted(this.#state.sequence + 1);
        }
        this.#state = {
          ...this.#state,
          sequence: this.#state.sequence + 1,
          acceptedAt: isInconclusive ? Number.NEGATIVE_INFINITY : sentAt,
          countedAt: evidence === OrderEvidence.Load
            ? sentAt
            : this.#state.countedAt,
          verifiedAt: sentAt,
          ordersFrom: isInconclusive ? this.#restsUntil : sentAt,
          contestedAt: isInconclusive ? sentAt : undefined,
        };
        break;
      case "alreadyHeld":
      case "conflict":
      case "unanswered":
        if (answer.kind === "alreadyHeld") this.#fencing.recordAccepted();
        this.#state = {
          kind: "unsettled",
          sequence: this.#state.sequence,
          bornAtUnixMs: this.#state.bornAtUnixMs,
          startedAt: this.#state.startedAt,
          firstSeenAt: this.#state.firstSeenAt,
          acceptedAt: this.#state.acceptedAt,
          countedAt: this.#state.countedAt,
          verifiedAt: this.#state.verifiedAt,
          sentAt,
          readableAt: now + REPORT_LAG_MS,
        };
        break;
      case "rejected":
      case "notSent":
        break;
    }
  }

  #forgetContestedOrder(): void {
    this.#lastContestedAt = Number.NEGATIVE_INFINITY;
    this.#restsUntil = Number.NEGATIVE_INFINITY;
  }

  /**
   * Releases ownership; the next claim starts with a new report and a whole
   * term.
   */
  release(): void {
    this.#state = { kind: "idle" };
  }

  /** Becomes the owner; orders may be sent from now on or after the rest. */
  #takeOwnership(acquired: AcquiredOwnership, now: Milliseconds): void {
    this.#state = {
      kind: "holding",
      ordersFrom: Math.max(now, this.#restsUntil, this.#resumesFrom),
      contestedAt: undefined,
      soleOwnerUntil: Number.NEGATIVE_INFINITY,
      countedAt: Number.NEGATIVE_INFINITY,
      ...acquired,
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
      return this.#handleRestart(state, report, now);
    }
    if (report.sequence > state.sequence) return this.#depose(now);
    if (this.isExclusive(now)) this.#fencing.recordCounted(report.sequence);
    else this.#fencing.recordContested(report.sequence);
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
      return this.#handleRestart(state, report, now);
    }
    this.#fencing.recordCounted(report.sequence);
    if (report.sequence === state.sequence) {
      const { sequence, acceptedAt, countedAt } = state;
      this.#takeOwnership({
        ...getStart(state),
        sequence,
        acceptedAt,
        countedAt,
        verifiedAt: report.readAt,
      }, now);
      return { kind: "lastOrderNotAccepted" };
    }
    // No other daemon can have ordered within a term of a counted order.
    const isMiscounted = report.sequence < state.sequence &&
      report.readAt - state.countedAt < this.#options.termMs;
    if (isMiscounted) {
      const { countedAt } = state;
      this.#takeOwnership({
        ...getStart(state),
        sequence: report.sequence,
        acceptedAt: countedAt,
        countedAt,
        verifiedAt: report.readAt,
      }, now);
      return { kind: "evictionNotCounted" };
    }
    // No other daemon can have ordered within a term of an accepted order of
    // this owner.
    const isOwn = report.sequence === state.sequence + 1 &&
      report.readAt - state.acceptedAt < this.#options.termMs;
    if (!isOwn) return this.#depose(now);
    this.#fencing.recordAccepted();
    const { sentAt } = state;
    this.#takeOwnership({
      ...getStart(state),
      sequence: report.sequence,
      acceptedAt: sentAt,
      countedAt: sentAt,
      verifiedAt: report.readAt,
    }, now);
    return { kind: "lastOrderAccepted" };
  }

  /**
   * Keeps ownership of an engine that restarted, unless another daemon has
   * already ordered it. Only times that this daemon observed itself decide
   * whether it orders alone: the engine's age depends on the wall clock, which
   * may have been off by seconds when this process started.
   * @param last what this daemon knows about the engine before the restart.
   */
  #handleRestart(
    last: Pick<OwnedState, "acceptedAt" | "verifiedAt">,
    report: OrderReport,
    now: Milliseconds,
  ): Settlement {
    if (report.sequence !== 0) return this.#depose(now);
    this.#fencing.begin(0);
    const { termMs } = this.#options;
    // Any other daemon waited a term before its claim, and the engine went down
    // this long before the report at the latest.
    const wasSoleOwner =
      report.readAt - last.acceptedAt < termMs + MIN_RESTART_MS;
    const earliestStartAt = last.verifiedAt + MIN_RESTART_MS;
    this.#takeOwnership({
      sequence: 0,
      bornAtUnixMs: report.bornAtUnixMs,
      startedAt: report.readAt - report.ageMs,
      firstSeenAt: report.readAt,
      acceptedAt: Number.NEGATIVE_INFINITY,
      verifiedAt: report.readAt,
      ...(wasSoleOwner &&
        { soleOwnerUntil: earliestStartAt + this.#getSoleOwnershipMs() }),
    }, now);
    return { kind: "restarted" };
  }

  #depose(now: Milliseconds): Settlement {
    this.#state = {
      kind: "deposed",
      until: now + this.#getTurnMs(),
    };
    return { kind: "deposed" };
  }
}

/** Returns whether the engine has certainly not accepted the order. */
function isRefused(answer: OrderAnswer): boolean {
  return answer.kind === "conflict" || answer.kind === "rejected" ||
    answer.kind === "notSent";
}

/** Returns what is known about the start of the engine's process. */
function getStart(
  { bornAtUnixMs, startedAt, firstSeenAt }: Extract<
    OwnershipState,
    { kind: "unsettled" }
  >,
): Pick<OwnedState, "bornAtUnixMs" | "startedAt" | "firstSeenAt"> {
  return { bornAtUnixMs, startedAt, firstSeenAt };
}
