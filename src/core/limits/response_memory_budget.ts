/**
 * The memory that answers take which are read whole before they are passed on.
 * Load pattern: an upstream in trouble sends bytes without end, on several
 * connections at once. Short answers are always taken in; beyond that, all
 * answers share one bound, and one that would exceed it is cut.
 */

export interface ResponseMemoryBudgetOptions {
  /** Length up to which an answer needs no part of the bound, in bytes. */
  exemptBytes: number;
  /** Bound on what all answers take beyond that, in bytes. */
  sharedBytes: number;
}

/** What one answer has taken. */
export interface ResponseReservation {
  bytes: number;
}

export class ResponseMemoryBudget {
  readonly #options: ResponseMemoryBudgetOptions;
  #usedBytes = 0;

  constructor(options: ResponseMemoryBudgetOptions) {
    this.#options = options;
  }

  /** Bytes beyond the free lengths that all answers hold. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  createReservation(): ResponseReservation {
    return { bytes: 0 };
  }

  /** Takes more bytes for an answer; returns false where they exceed the bound, and takes none. */
  tryExtend(reservation: ResponseReservation, bytes: number): boolean {
    const before = this.#countShared(reservation.bytes);
    const after = this.#countShared(reservation.bytes + bytes);
    const usedBytes = this.#usedBytes + after - before;
    if (after > before && usedBytes > this.#options.sharedBytes) return false;
    reservation.bytes += bytes;
    this.#usedBytes = usedBytes;
    return true;
  }

  /** Gives back what an answer has taken. */
  release(reservation: ResponseReservation): void {
    this.#usedBytes -= this.#countShared(reservation.bytes);
    reservation.bytes = 0;
  }

  #countShared(bytes: number): number {
    return Math.max(0, bytes - this.#options.exemptBytes);
  }
}
