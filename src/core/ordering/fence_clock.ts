/**
 * Draws fencing numbers that rise over holders which may not hear each other: a
 * hybrid logical clock of the wall clock and of the highest number heard. Two
 * holders of one engine draw at least a term apart, far more than wall clocks
 * differ; the low digits tell hosts apart.
 */
import { hashText } from "../hashing.ts";

/** Numbers for hosts within one millisecond; keeps the number below 2^53. */
const FENCES_PER_MS = 1_024;

export class FenceClock {
  readonly #hostOffset: number;
  #highestMs = 0;

  constructor(host: string) {
    this.#hostOffset = hashText(host) % FENCES_PER_MS;
  }

  /** Highest time drawn or heard, to be told to peers. */
  get highestMs(): number {
    return this.#highestMs;
  }

  /** Takes over the time that a peer has told. */
  recordHeard(unixMs: number): void {
    this.#highestMs = Math.max(this.#highestMs, unixMs);
  }

  /** Returns the next fencing number. */
  drawFence(wallUnixMs: number): number {
    this.#highestMs = Math.max(Math.floor(wallUnixMs), this.#highestMs + 1);
    return this.#highestMs * FENCES_PER_MS + this.#hostOffset;
  }
}
