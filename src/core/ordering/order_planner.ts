/**
 * Decides which order an owner sends to its engine next. Within a term of an
 * accepted order, that is the order that the engine's permit queue needs.
 * Otherwise the owner first sends an order that proves its ownership. Where
 * other claimants may send such an order as well, each claimant sends a
 * different one, or they send it in turns. Turns follow from the engine's age,
 * the division of its adapters among the claimants only from what it reports,
 * which is the same for all of them whatever their clocks show. An owner of more
 * than a term evicts any idle adapter while all daemons that may own the engine
 * say that they do not: those that claimed it together with this one have said
 * so by then. A daemon that knows no other one takes the turns of
 * isolated_turns.ts.
 */
import {
  type AdmissionController,
  buildEvictionOrder,
  type EngineOrder,
} from "../admission/admission_controller.ts";
import type { Milliseconds } from "../structures.ts";
import {
  CONTESTED_WINDOW_MS,
  type EngineOwnership,
} from "./engine_ownership.ts";
import { computeContestedSlot } from "./fencing_number.ts";
import { computeLoadDelayMs, findEvictionTurn } from "./isolated_turns.ts";
import type { ClaimConditions } from "./ownership_state.ts";
import {
  type ProvingOrderInput,
  rankDividedPaths,
  selectProvingOrder,
} from "./proving_order.ts";
import {
  computeTurnDelayMs,
  CONTESTED_TURN_MS,
  LOAD_SEND_WINDOW_MS,
  LOAD_TURN_MS,
  TURN_SEND_WINDOW_MS,
} from "./turn_timing.ts";

/**
 * Time after which other daemons may have claimed an engine that has accepted no
 * order: one term.
 */
const SOLE_OWNER_MS = 3_000;

/** An order to send, and what its acceptance proves. */
export interface PlannedOrder {
  order: EngineOrder;
  /** When to send it: now, or when this daemon's turn begins. */
  sendAt: Milliseconds;
  /**
   * Whether another claimant may send an order at the same time, so that a
   * recent report must be read before.
   */
  isContested: boolean;
  /**
   * Whether the engine would accept the same order from another claimant even
   * after this one.
   */
  isInconclusive: boolean;
  /**
   * Slot by the engine's age of a load that other claimants may send too;
   * undefined for other orders.
   */
  contestedSlot: number | undefined;
}

export interface OrderPlannerOptions {
  selfId: string;
  /** This host's ordinal for the turns of daemons that know no other one. */
  hostOrdinal: number;
  /**
   * Returns the daemons that may claim the engine at the same time, most
   * preferred first.
   */
  listClaimants: () => readonly string[];
  /**
   * Returns an adapter of the model that other daemons are unlikely to select;
   * undefined if the model has no adapters.
   */
  selectOwnAdapter: (model: string) => string | undefined;
  /**
   * Returns whether the wall clock, and so the engine's age, can be trusted.
   */
  isClockSteady: (now: Milliseconds) => boolean;
}

/** What an order depends on besides the engine itself. */
interface PlanConditions
  extends Pick<ClaimConditions, "hasQuorum" | "isDisclaimed"> {
  /** Whether this daemon knows no other one, although there may be some. */
  isIsolated: boolean;
}

export class OrderPlanner {
  readonly #options: OrderPlannerOptions;
  readonly #ownership: EngineOwnership;
  readonly #admission: AdmissionController;
  /**
   * When this daemon claimed the engine, received it in a handover or saw that
   * it had restarted.
   */
  #ownedSince = Number.NEGATIVE_INFINITY;
  /**
   * Whether other daemons may have claimed the engine at the same time, or after
   * the last accepted order.
   */
  #mayHaveOtherClaimants = false;
  /**
   * Whether another daemon may have owned the engine alone before a restart, and
   * continue.
   */
  #mayHaveFormerOwner = false;
  /** When the engine accepted the order that proved ownership. */
  #provenAt = Number.NEGATIVE_INFINITY;
  /** When this daemon last ordered the engine, accepted or not. */
  #orderedAt = Number.NEGATIVE_INFINITY;
  /** Adapters that the claimants divide among themselves. */
  #dividedPaths: readonly string[] = [];

  constructor(
    options: OrderPlannerOptions,
    ownership: EngineOwnership,
    admission: AdmissionController,
  ) {
    this.#options = options;
    this.#ownership = ownership;
    this.#admission = admission;
  }

  /**
   * Records that this daemon became the owner, and whether other daemons may
   * have claimed the engine too.
   */
  recordOwnership(mayHaveOtherClaimants: boolean, now: Milliseconds): void {
    this.#ownedSince = now;
    this.#mayHaveOtherClaimants = mayHaveOtherClaimants;
    this.#mayHaveFormerOwner = false;
    this.#orderedAt = Number.NEGATIVE_INFINITY;
    this.#dividedPaths = [];
  }

  /** Records that an engine restarted of which this daemon is the owner. */
  recordRestart(now: Milliseconds): void {
    const isAlone = this.#ownership.isSoleOwnerSinceRestart(now);
    this.recordOwnership(!isAlone, now);
    this.#mayHaveFormerOwner = !isAlone;
  }

  /**
   * Records that the engine accepted an order which proves that no other daemon
   * orders it.
   */
  recordProof(now: Milliseconds): void {
    this.#provenAt = now;
  }

  /** Records that the planned order is sent. */
  recordOrder(now: Milliseconds): void {
    this.#orderedAt = now;
  }

  /**
   * Returns the order to send next, or undefined while none may be planned.
   */
  plan(
    wanted: EngineOrder,
    conditions: PlanConditions,
    now: Milliseconds,
  ): PlannedOrder | undefined {
    const isProven = this.#ownership.isExclusive(now);
    if (!isProven && now - this.#ownedSince >= SOLE_OWNER_MS) {
      this.#mayHaveOtherClaimants = true;
    }
    // Another claimant that has not seen the proof yet may still evict an
    // adapter from its own share.
    const mayCollide = wanted.kind === "evict" && this.#mayHaveOtherClaimants &&
      now - this.#provenAt < CONTESTED_WINDOW_MS;
    if (isProven && !mayCollide) return createUncontestedOrder(wanted, now);
    if (wanted.adapter !== "") {
      return this.#planProvingOrder(wanted.model, conditions, now);
    }
    if (this.#ownership.isSoleOwnerSinceRestart(now)) {
      return createUncontestedOrder(wanted, now);
    }
    const sendAt = this.#findLoadAt(conditions, now);
    if (sendAt === undefined) return undefined;
    return {
      order: wanted,
      sendAt,
      isContested: true,
      isInconclusive: true,
      contestedSlot: computeContestedSlot(
        this.#ownership.getEngineAgeMs(sendAt) ?? 0,
      ),
    };
  }

  /**
   * Returns when this daemon may load an engine's base model: now or from the
   * start of its next turn; undefined while that cannot be planned.
   */
  #findLoadAt(
    { hasQuorum, isIsolated, isDisclaimed }: PlanConditions,
    now: Milliseconds,
  ): Milliseconds | undefined {
    if (hasQuorum) {
      const isFormerOwnerExcluded = isDisclaimed || !this.#mayHaveFormerOwner ||
        !this.#ownership.canBeOwnedSinceStart(now);
      return isFormerOwnerExcluded
        ? this.#findLoadTurnAt(false, now)
        : undefined;
    }
    if (!this.#canContest(now)) return undefined;
    if (isIsolated) return this.#findLoadTurnAt(true, now);
    return this.#isContestedTurn(now) ? now : undefined;
  }

  /** Returns when the current or next turn for the load of a base model is. */
  #findLoadTurnAt(isIsolated: boolean, now: Milliseconds): Milliseconds {
    const ageMs = this.#ownership.getEngineAgeMs(now);
    // Unknown after a handover, until a report is read for the order.
    if (ageMs === undefined) return now;
    if (isIsolated) {
      return now + computeLoadDelayMs(this.#options.hostOrdinal, ageMs);
    }
    return now + computeTurnDelayMs({
      startMs: this.#findTurn() * LOAD_TURN_MS,
      cycleMs: (this.#options.listClaimants().length + 1) * LOAD_TURN_MS,
      windowMs: LOAD_SEND_WINDOW_MS,
    }, ageMs);
  }

  /**
   * Returns whether this daemon may take turns to send an order that other
   * claimants may send too. The turns begin once no daemon can consider itself
   * the engine's only owner since its start any more. A daemon whose wall clock
   * may be off by a step has none.
   */
  #canContest(now: Milliseconds): boolean {
    return !this.#ownership.canBeOwnedSinceStart(now) &&
      this.#options.isClockSteady(now);
  }

  /**
   * Returns whether it is this daemon's turn to send an order that other
   * claimants may send too. The turns follow from the engine's age and from the
   * ranking of the claimants, so that daemons that know each other and cannot
   * hear each other still send at different times.
   */
  #isContestedTurn(now: Milliseconds): boolean {
    const ageMs = this.#ownership.getEngineAgeMs(now) ?? 0;
    const cycleMs = (this.#options.listClaimants().length + 1) *
      CONTESTED_TURN_MS;
    const sinceTurnMs = (ageMs - this.#findTurn() * CONTESTED_TURN_MS) %
      cycleMs;
    return sinceTurnMs >= 0 && sinceTurnMs < TURN_SEND_WINDOW_MS;
  }

  /** Returns this daemon's rank among the claimants; the last if it has none. */
  #findTurn(): number {
    const claimants = this.#options.listClaimants();
    const index = claimants.indexOf(this.#options.selfId);
    return index < 0 ? claimants.length : index;
  }

  #planProvingOrder(
    model: string,
    { hasQuorum, isIsolated, isDisclaimed }: PlanConditions,
    now: Milliseconds,
  ): PlannedOrder | undefined {
    const { selfId, selectOwnAdapter, listClaimants } = this.#options;
    const { slots } = this.#admission;
    // A claimant that has not seen this daemon's last order yet still divides the
    // adapters that were there before it.
    const isSeen = now - this.#orderedAt >= CONTESTED_WINDOW_MS;
    if (isSeen && !this.#ownership.isExclusive(now)) {
      this.#dividedPaths = slots.listSlots().map((slot) => slot.adapterPath);
    }
    const mayEvictAny = !this.#mayHaveOtherClaimants ||
      (isDisclaimed && now - this.#ownedSince >= SOLE_OWNER_MS);
    const input = {
      selfId,
      claimants: isIsolated ? [] : listClaimants(),
      mayEvictAny,
      divisionKey: String(this.#ownership.bornAtUnixMs),
      dividedPaths: this.#dividedPaths,
      model,
      ownAdapter: selectOwnAdapter(model),
      idlePaths: this.#admission.listEvictable(now)
        .map((slot) => slot.adapterPath),
      hasFreeSlot: slots.hasFreeSlot(),
      hasAdapter: (adapterPath: string) =>
        slots.getSlot(adapterPath) !== undefined,
    };
    const order = selectProvingOrder({ ...input, mayEvictCommon: false });
    if (order) return createProvingOrder(order, false, now);
    if (!this.#canContest(now)) return undefined;
    if (isIsolated) return this.#planIsolatedEviction(input, now);
    if (!this.#isContestedTurn(now)) return undefined;
    const common = selectProvingOrder({ ...input, mayEvictCommon: true });
    // Turns depend on wall clocks: without a majority, another claimant that is
    // not heard may send the same eviction.
    return common && createProvingOrder(common, !hasQuorum, now);
  }

  /**
   * Plans the eviction of the adapter that no other host evicts in this host's
   * turn; its acceptance proves the ownership.
   */
  #planIsolatedEviction(
    { idlePaths, dividedPaths, divisionKey }: Pick<
      ProvingOrderInput,
      "idlePaths" | "dividedPaths" | "divisionKey"
    >,
    now: Milliseconds,
  ): PlannedOrder | undefined {
    const turn = findEvictionTurn(
      this.#options.hostOrdinal,
      dividedPaths.length,
      this.#ownership.getEngineAgeMs(now) ?? 0,
    );
    if (!turn) return undefined;
    const path = rankDividedPaths(divisionKey, dividedPaths)[turn.share];
    if (path === undefined || !idlePaths.includes(path)) return undefined;
    const sendAt = now + turn.delayMs;
    return createProvingOrder(buildEvictionOrder(path), false, sendAt);
  }
}

function createProvingOrder(
  order: EngineOrder,
  isInconclusive: boolean,
  sendAt: Milliseconds,
): PlannedOrder {
  return {
    order,
    sendAt,
    isContested: true,
    isInconclusive,
    contestedSlot: undefined,
  };
}

function createUncontestedOrder(
  order: EngineOrder,
  now: Milliseconds,
): PlannedOrder {
  return {
    order,
    sendAt: now,
    isContested: false,
    isInconclusive: false,
    contestedSlot: undefined,
  };
}
