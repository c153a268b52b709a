/**
 * A token bucket of bytes. Unused bytes accumulate up to the burst size; a
 * message may overdraw the bucket, which then refuses until it is positive
 * again.
 */
import type { Milliseconds } from "../structures.ts";

export class ByteTokenBucket {
  readonly #burstBytes: number;
  #bytes: number;
  #refilledAt: Milliseconds | undefined;

  constructor(burstBytes: number) {
    this.#burstBytes = burstBytes;
    this.#bytes = burstBytes;
  }

  /** Refills the bucket; returns whether a message may be sent now. */
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
