/**
 * Turns the order that an engine's desk wants into the one that may be given now.
 * Within a term of an accepted order that is the same. Otherwise an order comes
 * first that proves the right to give more, and where rivals may give one too,
 * each gives its own, or they give it in turns.
 */
import type {
  AdmissionController,
  EngineOrder,
} from "../admission/engine_desk.ts";
import type { Milliseconds } from "../structures.ts";
import { CONTESTED_WINDOW_MS, type OrderTenure } from "./order_tenure.ts";
import { selectProvingOrder } from "./proving_order.ts";

/** Time for which a new holder evicts only what no rival would: a term, after which rivals have seen it order. */
const PROOF_PATIENCE_MS = 3_000;
/** Part of a turn in which a contested order may be given: a look at the engine and the order take some ticks. */
const CONTESTED_OPENING_MS = 500;
/** Length of a turn for contested orders: what was given in one is seen in the next. */
const CONTESTED_TURN_MS = CONTESTED_OPENING_MS + CONTESTED_WINDOW_MS;

/** An order that is due, and what its acceptance will be worth. */
export interface PlannedOrder {
  order: EngineOrder;
  /** Whether a rival may give one too, so that the engine is looked at right before. */
  isContested: boolean;
  /** Whether a rival's would be accepted too, also after this one. */
  isBlind: boolean;
}

export interface OrderPlannerOptions {
  selfId: string;
  /** Returns the daemons, foremost first, that may take the engine over at the same time. */
  listRivals: () => readonly string[];
  /** Names an adapter of a model that hardly any other daemon names; undefined when it has none. */
  selectOwnAdapter: (model: string) => string | undefined;
}

export class OrderPlanner {
  readonly #options: OrderPlannerOptions;
  readonly #tenure: OrderTenure;
  readonly #desk: AdmissionController;
  /** When the engine was claimed, handed over or found restarted. */
  #heldSince = Number.NEGATIVE_INFINITY;
  /** Whether others may have taken the engine over at the same time. */
  #mayHaveRivals = false;
  /** When the engine accepted the order that proved the right to give more. */
  #provenAt = Number.NEGATIVE_INFINITY;

  constructor(
    options: OrderPlannerOptions,
    tenure: OrderTenure,
    desk: AdmissionController,
  ) {
    this.#options = options;
    this.#tenure = tenure;
    this.#desk = desk;
  }

  /** Notes that the right to order was taken, and whether others may have taken it too. */
  recordRight(mayHaveRivals: boolean, now: Milliseconds): void {
    this.#heldSince = now;
    this.#mayHaveRivals = mayHaveRivals;
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
    const isProven = this.#tenure.isExclusive(now);
    // A rival that has not seen the proof yet may still evict of its share.
    const isShared = wanted.kind === "evict" && this.#mayHaveRivals &&
      now - this.#provenAt < CONTESTED_WINDOW_MS;
    if (isProven && !isShared) return createPlainOrder(wanted);
    if (wanted.adapter !== "") {
      return this.#planProvingOrder(wanted.model, hearsMajority, now);
    }
    const isAlone = hearsMajority || this.#tenure.isYoung(now);
    if (isAlone) return createPlainOrder(wanted);
    return this.#isContestedTurn(now)
      ? { order: wanted, isContested: true, isBlind: true }
      : undefined;
  }

  /**
   * Returns whether it is this daemon's turn to give an order that rivals may give
   * too. The engine's age deals the turns, so that those keep apart that do not
   * hear each other; they begin when nobody gives the order as the engine's only
   * holder any more.
   */
  #isContestedTurn(now: Milliseconds): boolean {
    const { selfId, listRivals } = this.#options;
    if (this.#tenure.canBeHeldSinceStart(now)) return false;
    const ageMs = this.#tenure.getEngineAgeMs(now) ?? 0;
    const rivals = listRivals();
    const index = rivals.indexOf(selfId);
    const turn = index < 0 ? rivals.length : index;
    const cycleMs = (rivals.length + 1) * CONTESTED_TURN_MS;
    const sinceTurnMs = (ageMs - turn * CONTESTED_TURN_MS) % cycleMs;
    return sinceTurnMs >= 0 && sinceTurnMs < CONTESTED_OPENING_MS;
  }

  #planProvingOrder(
    model: string,
    hearsMajority: boolean,
    now: Milliseconds,
  ): PlannedOrder | undefined {
    const { selfId, selectOwnAdapter, listRivals } = this.#options;
    const { slots: places } = this.#desk;
    const isPatienceOver = now - this.#heldSince > PROOF_PATIENCE_MS;
    const order = selectProvingOrder({
      selfId,
      rivals: listRivals(),
      mayTakeAny: !this.#mayHaveRivals || (isPatienceOver &&
        (hearsMajority || this.#isContestedTurn(now))),
      model,
      ownAdapter: selectOwnAdapter(model),
      idlePaths: this.#desk.listEvictable(now)
        .map((place) => place.adapterPath),
      hasRoom: places.hasFreeSlot(),
      isHeld: (adapterPath) => places.getSlot(adapterPath) !== undefined,
    });
    return order && { order, isContested: true, isBlind: false };
  }
}

function createPlainOrder(order: EngineOrder): PlannedOrder {
  return { order, isContested: false, isBlind: false };
}
