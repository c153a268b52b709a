/** A token bucket of bytes: saves up what is not used, to a bound, and may be overdrawn once. */
import type { Milliseconds } from "../structures.ts";

export class ByteTokenBucket {
  readonly #burstBytes: number;
  #bytes: number;
  #refilledAt: Milliseconds | undefined;

  constructor(burstBytes: number) {
    this.#burstBytes = burstBytes;
    this.#bytes = burstBytes;
  }

  /** Returns whether anything may be sent now. */
  hasBytes(bytesPerSecond: number, now: Milliseconds): boolean {
    const elapsedMs = now - (this.#refilledAt ?? now);
    this.#refilledAt = now;
    this.#bytes = Math.min(
      this.#burstBytes,
      this.#bytes + elapsedMs / 1_000 * bytesPerSecond,
    );
    return this.#bytes > 0;
  }

  take(bytes: number): void {
    this.#bytes -= bytes;
  }
}
