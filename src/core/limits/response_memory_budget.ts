/**
 * Limits the memory of responses that are buffered completely before they are
 * forwarded. Guards against a faulty upstream that sends endless bodies on
 * several connections at once. Each response has an exempt size, so that short
 * ones are always accepted; the bytes beyond it share one limit, and a response
 * that would exceed the limit is aborted.
 */

export interface ResponseMemoryBudgetOptions {
  /** Size up to which a response does not count against the limit, in bytes. */
  exemptBytes: number;
  /** Limit on the bytes beyond that size, for all responses together. */
  sharedBytes: number;
}

/** Bytes reserved for one response. */
export interface ResponseReservation {
  bytes: number;
}

export class ResponseMemoryBudget {
  readonly #options: ResponseMemoryBudgetOptions;
  #usedBytes = 0;

  constructor(options: ResponseMemoryBudgetOptions) {
    this.#options = options;
  }

  /** Bytes beyond the exempt sizes that all responses have reserved. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  createReservation(): ResponseReservation {
    return { bytes: 0 };
  }

  /**
   * Reserves more bytes for a response; returns false, and reserves none, if
   * they exceed the limit.
   */
  tryExtend(reservation: ResponseReservation, bytes: number): boolean {
    const before = this.#countShared(reservation.bytes);
    const after = this.#countShared(reservation.bytes + bytes);
    const usedBytes = this.#usedBytes + after - before;
    if (after > before && usedBytes > this.#options.sharedBytes) return false;
    reservation.bytes += bytes;
    this.#usedBytes = usedBytes;
    return true;
  }

  /** Releases all bytes reserved for a response. */
  release(reservation: ResponseReservation): void {
    this.#usedBytes -= this.#countShared(reservation.bytes);
    reservation.bytes = 0;
  }

  #countShared(bytes: number): number {
    return Math.max(0, bytes - this.#options.exemptBytes);
  }
}
