/**
 * Limits the memory of what one process collects before it can act on it:
 * bodies of requests and responses, and incomplete events of streams. Guards
 * against faulty upstreams and callers that send endless bodies on several
 * connections at once. Each reservation has an exempt size, so that short
 * bodies are always accepted; the bytes beyond it share one limit.
 */

export interface MemoryBudgetOptions {
  /** Size up to which a reservation does not count against the limit, in bytes. */
  exemptBytes: number;
  /** Limit on the bytes beyond that size, for all reservations together. */
  sharedBytes: number;
}

/** Bytes reserved for one body or event. */
export interface MemoryReservation {
  bytes: number;
}

export class MemoryBudget {
  readonly #options: MemoryBudgetOptions;
  #usedBytes = 0;

  constructor(options: MemoryBudgetOptions) {
    this.#options = options;
  }

  /** Bytes beyond the exempt sizes of all reservations. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  createReservation(): MemoryReservation {
    return { bytes: 0 };
  }

  /**
   * Reserves more bytes; returns false, and reserves none, if they exceed the
   * limit.
   */
  tryExtend(reservation: MemoryReservation, bytes: number): boolean {
    const before = this.#countShared(reservation.bytes);
    const after = this.#countShared(reservation.bytes + bytes);
    const usedBytes = this.#usedBytes + after - before;
    if (after > before && usedBytes > this.#options.sharedBytes) return false;
    reservation.bytes += bytes;
    this.#usedBytes = usedBytes;
    return true;
  }

  /** Releases all bytes of a reservation. */
  release(reservation: MemoryReservation): void {
    this.#usedBytes -= this.#countShared(reservation.bytes);
    reservation.bytes = 0;
  }

  #countShared(bytes: number): number {
    return Math.max(0, bytes - this.#options.exemptBytes);
  }
}
