/**
 * Turns the order that an engine's desk wants into the one that may be given now.
 * Within a term of an accepted order that is the same. Otherwise an order comes
 * first that proves the right to give more, and where rivals may give one too,
 * each gives its own, or they give it in turns.
 */
import type {
  AdmissionController,
  EngineOrder,
} from "../admission/admission_controller.ts";
import type { Milliseconds } from "../structures.ts";
import {
  CONTESTED_WINDOW_MS,
  type EngineOwnership,
} from "./engine_ownership.ts";
import { selectProvingOrder } from "./proving_order.ts";

/** Time for which a new holder evicts only what no rival would: a term, after which rivals have seen it order. */
const PROOF_OWN_SHARE_MS = 3_000;
/** Part of a turn in which a contested order may be given: a look at the engine and the order take some ticks. */
const TURN_SEND_WINDOW_MS = 500;
/** Length of a turn for contested orders: what was given in one is seen in the next. */
const CONTESTED_TURN_MS = TURN_SEND_WINDOW_MS + CONTESTED_WINDOW_MS;

/** An order that is due, and what its acceptance will be worth. */
export interface PlannedOrder {
  order: EngineOrder;
  /** Whether a rival may give one too, so that the engine is looked at right before. */
  isContested: boolean;
  /** Whether a rival's would be accepted too, also after this one. */
  isInconclusive: boolean;
}

export interface OrderPlannerOptions {
  selfId: string;
  /** Returns the daemons, foremost first, that may take the engine over at the same time. */
  listClaimants: () => readonly string[];
  /** Names an adapter of a model that hardly any other daemon names; undefined when it has none. */
  selectOwnAdapter: (model: string) => string | undefined;
}

export class OrderPlanner {
  readonly #options: OrderPlannerOptions;
  readonly #ownership: EngineOwnership;
  readonly #admission: AdmissionController;
  /** When the engine was claimed, handed over or found restarted. */
  #ownedSince = Number.NEGATIVE_INFINITY;
  /** Whether others may have taken the engine over at the same time. */
  #mayHaveOtherClaimants = false;
  /** When the engine accepted the order that proved the right to give more. */
  #provenAt = Number.NEGATIVE_INFINITY;

  constructor(
    options: OrderPlannerOptions,
    tenure: EngineOwnership,
    desk: AdmissionController,
  ) {
    this.#options = options;
    this.#ownership = tenure;
    this.#admission = desk;
  }

  /** Notes that the right to order was taken, and whether others may have taken it too. */
  recordOwnership(mayHaveRivals: boolean, now: Milliseconds): void {
    this.#ownedSince = now;
    this.#mayHaveOtherClaimants = mayHaveRivals;
  }

  /** Notes that an order was accepted that shows that nobody else gives any. */
  recordProof(now: Milliseconds): void {
    this.#provenAt = now;
  }

  /**
   * Returns the order to give now, or undefined while none may be given.
   * @param hearsMajority whether this daemon hears most of those that it knows.
   */
  plan(
    wanted: EngineOrder,
    hearsMajority: boolean,
    now: Milliseconds,
  ): PlannedOrder | undefined {
    const isProven = this.#ownership.isExclusive(now);
    // A rival that has not seen the proof yet may still evict of its share.
    const isShared = wanted.kind === "evict" && this.#mayHaveOtherClaimants &&
      now - this.#provenAt < CONTESTED_WINDOW_MS;
    if (isProven && !isShared) return createUncontestedOrder(wanted);
    if (wanted.adapter !== "") {
      return this.#planProvingOrder(wanted.model, hearsMajority, now);
    }
    const isAlone = hearsMajority ||
      this.#ownership.isSoleOwnerSinceRestart(now);
    if (isAlone) return createUncontestedOrder(wanted);
    return this.#isContestedTurn(now)
      ? { order: wanted, isContested: true, isInconclusive: true }
      : undefined;
  }

  /**
   * Returns whether it is this daemon's turn to give an order that rivals may give
   * too. The engine's age deals the turns, so that those keep apart that do not
   * hear each other; they begin when nobody gives the order as the engine's only
   * holder any more.
   */
  #isContestedTurn(now: Milliseconds): boolean {
    const { selfId, listClaimants: listRivals } = this.#options;
    if (this.#ownership.canBeOwnedSinceStart(now)) return false;
    const ageMs = this.#ownership.getEngineAgeMs(now) ?? 0;
    const rivals = listRivals();
    const index = rivals.indexOf(selfId);
    const turn = index < 0 ? rivals.length : index;
    const cycleMs = (rivals.length + 1) * CONTESTED_TURN_MS;
    const sinceTurnMs = (ageMs - turn * CONTESTED_TURN_MS) % cycleMs;
    return sinceTurnMs >= 0 && sinceTurnMs < TURN_SEND_WINDOW_MS;
  }

  #planProvingOrder(
    model: string,
    hearsMajority: boolean,
    now: Milliseconds,
  ): PlannedOrder | undefined {
    const { selfId, selectOwnAdapter, listClaimants: listRivals } =
      this.#options;
    const { slots: places } = this.#admission;
    const isPatienceOver = now - this.#ownedSince > PROOF_OWN_SHARE_MS;
    const order = selectProvingOrder({
      selfId,
      claimants: listRivals(),
      mayEvictAny: !this.#mayHaveOtherClaimants || (isPatienceOver &&
        (hearsMajority || this.#isContestedTurn(now))),
      model,
      ownAdapter: selectOwnAdapter(model),
      idlePaths: this.#admission.listEvictable(now)
        .map((place) => place.adapterPath),
      hasFreeSlot: places.hasFreeSlot(),
      hasAdapter: (adapterPath) => places.getSlot(adapterPath) !== undefined,
    });
    return order && { order, isContested: true, isInconclusive: false };
  }
}

function createUncontestedOrder(order: EngineOrder): PlannedOrder {
  return { order, isContested: false, isInconclusive: false };
}
