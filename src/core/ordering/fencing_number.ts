/**
 * Fencing numbers that follow from the engine alone, so that they increase from
 * owner to owner whatever the owners' clocks show, forget or have not heard. A
 * number is made of the engine's start time, a position that rises with the
 * orders that the engine has counted, and a part that differs between hosts.
 *
 * An engine confirms some orders without counting them: the eviction of an
 * adapter that it does not have, or the load of a model that it has or is
 * loading. Positions therefore rest on a lower bound of the count, which reports
 * and accepted loads raise; an eviction repeats the position of the order before
 * it, and the load of a model stays below the positions of its count. Otherwise
 * the next owner, which reads the engine's own count, could use a lower number.
 */
import type { EngineOrder } from "../admission/admission_controller.ts";
import { hashText } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";

/**
 * Numbers within one position, one for each host: twice as many as in the
 * previous release, whose numbers were times of day and so stay lower; few
 * enough that all numbers are below 2^53 until the year 2109.
 */
const HOSTS = 2_048;
/**
 * Positions within one count, for owners that order at the same count. A
 * position is added to a start time in milliseconds, so an engine that restarts
 * still starts above its former numbers if it counted less than one order in as
 * many milliseconds.
 */
const POSITIONS_PER_COUNT = 16;
/**
 * Additional positions of an engine that has counted no order: several claimants
 * may load its base model before any of them sees the other's order.
 */
const EMPTY_ENGINE_POSITIONS = 368;
/**
 * Positions below those of a count for orders that the engine may confirm at this
 * count without counting them, so that the next owner's first order has a higher
 * one.
 */
const UNCOUNTED_POSITIONS = 8;
/**
 * Slots within one position of an engine that has counted no order, and the time
 * between two of them: claimants may load its base model within milliseconds.
 */
const SLOTS_PER_POSITION = 256;
const SLOT_MS = 2;

/** What is known of the numbers that an engine has accepted since its start. */
export interface FencingBounds {
  /** Number of orders that the engine has counted at least. */
  minSequence: number;
  /** Lowest position that the next order may have. */
  minPosition: number;
}

/** The positions of one owner's orders to one engine. */
export class FencingSequence {
  #minSequence = 0;
  #minPosition = 0;
  /** Position of the last order sent, whether the engine accepted it or not. */
  #sentPosition = 0;

  get bounds(): FencingBounds {
    return {
      minSequence: this.#minSequence,
      minPosition: this.#minPosition,
    };
  }

  /** Starts at the count that a report shows. */
  begin(sequence: number): void {
    this.#minSequence = sequence;
    this.#minPosition = getContestedPosition(sequence, 0);
  }

  /** Continues above the former owner's last order. */
  setBoundsAbove({ minSequence, minPosition }: FencingBounds): void {
    this.#minSequence = minSequence;
    this.#minPosition = minPosition + 1;
  }

  /** Records that the engine has counted at least so many orders. */
  recordCounted(sequence: number): void {
    this.#minSequence = Math.max(this.#minSequence, sequence);
  }

  /** Records that other owners may have ordered at lower counts. */
  recordContested(sequence: number): void {
    this.recordCounted(sequence);
    this.#minPosition = Math.max(
      this.#minPosition,
      getContestedPosition(sequence, 0),
    );
  }

  /** Records that the engine accepted the order sent last. */
  recordAccepted(): void {
    this.#minPosition = Math.max(this.#minPosition, this.#sentPosition);
  }

  /**
   * Returns the position of an order sent now.
   * @param contestedSlot slot of a load that the engine may confirm without
   * counting it; undefined for other orders.
   */
  issuePosition(
    kind: EngineOrder["kind"],
    contestedSlot: number | undefined,
  ): number {
    this.#sentPosition = kind === "evict" ? this.#minPosition : Math.max(
      this.#minPosition,
      contestedSlot === undefined
        ? getFirstPosition(this.#minSequence)
        : getContestedPosition(this.#minSequence, contestedSlot),
    );
    return this.#sentPosition;
  }
}

/**
 * Returns the slot of a load that other claimants may send too: the later it is
 * sent after the engine's start, the higher.
 */
export function computeContestedSlot(engineAgeMs: Milliseconds): number {
  return Math.floor(engineAgeMs / SLOT_MS);
}

/** Returns the position of a load that the engine may not count. */
function getContestedPosition(sequence: number, contestedSlot: number): number {
  // Slots follow from an engine's age, which a wrong clock may make negative.
  const slot = Math.max(contestedSlot, 0);
  if (sequence === 0) {
    const slots = getFirstPosition(1) * SLOTS_PER_POSITION;
    return Math.min(slot, slots - 1) / SLOTS_PER_POSITION;
  }
  return getFirstPosition(sequence) - UNCOUNTED_POSITIONS +
    Math.min(slot, UNCOUNTED_POSITIONS - 1);
}

/** Returns the lowest position of an order to an engine with this count. */
function getFirstPosition(sequence: number): number {
  return sequence === 0
    ? 0
    : EMPTY_ENGINE_POSITIONS + sequence * POSITIONS_PER_COUNT;
}

/** Returns the fencing number of a host's order to an engine. */
export function computeFencingNumber(
  { bornAtUnixMs, position, host }: {
    /** Start time that the engine reports, or 0 if it reports none. */
    bornAtUnixMs: number;
    position: number;
    host: string;
  },
): number {
  const isEmptyEngine = position < getFirstPosition(1);
  const hosts = isEmptyEngine ? HOSTS / SLOTS_PER_POSITION : HOSTS;
  return (bornAtUnixMs + position) * HOSTS + hashText(host) % hosts;
}
