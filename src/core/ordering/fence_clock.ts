/**
 * Generates fencing numbers that increase from owner to owner even if the
 * owners cannot hear each other: a hybrid logical clock of the wall clock and
 * the highest time received from peers. Two owners of one engine draw numbers
 * at least a term apart, which is far more than their wall clocks differ. The
 * low digits tell hosts apart.
 */
import { hashText } from "../hashing.ts";

/**
 * Fencing numbers within one millisecond, one for each host; keeps the numbers
 * below 2^53.
 */
const FENCES_PER_MS = 1_024;

export class FenceClock {
  readonly #hostOffset: number;
  #highestMs = 0;

  constructor(host: string) {
    this.#hostOffset = hashText(host) % FENCES_PER_MS;
  }

  /** Highest time drawn or received, which is sent to the peers. */
  get highestMs(): number {
    return this.#highestMs;
  }

  /** Merges the highest time of a peer. */
  recordHeard(unixMs: number): void {
    this.#highestMs = Math.max(this.#highestMs, unixMs);
  }

  /** Returns the next fencing number. */
  drawFence(wallUnixMs: number): number {
    this.#highestMs = Math.max(Math.floor(wallUnixMs), this.#highestMs + 1);
    return this.#highestMs * FENCES_PER_MS + this.#hostOffset;
  }
}
