/** This daemon's share of the weight store: a rate of starts and a bound on loads in flight. */
import type { Milliseconds } from "../structures.ts";

/** Starts that may be saved up while nothing is loaded, as a span of the rate. */
const BURST_SECONDS = 1;

export interface StoreShare {
  loadsPerSecond: number;
  loadsInFlight: number;
}

export class StoreBudget {
  #share: StoreShare;
  #tokens = 1;
  #refilledAt: Milliseconds | undefined;
  #inFlight = 0;

  constructor(share: StoreShare) {
    this.#share = share;
  }

  setShare(share: StoreShare): void {
    this.#share = share;
  }

  /** Starts one load if the share allows it now. */
  tryStartLoad(now: Milliseconds): boolean {
    this.#refill(now);
    if (this.#tokens < 1 || this.#inFlight >= this.#share.loadsInFlight) {
      return false;
    }
    this.#tokens -= 1;
    this.#inFlight += 1;
    return true;
  }

  finishLoad(): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
  }

  /** Returns the time after which a load queued behind others would be loaded. */
  estimateWaitMs(queuedLoads: number, loadTimeMs: Milliseconds): Milliseconds {
    const missing = Math.max(0, queuedLoads + 1 - this.#tokens);
    return missing / this.#share.loadsPerSecond * 1_000 + loadTimeMs;
  }

  getInFlight(): number {
    return this.#inFlight;
  }

  #refill(now: Milliseconds): void {
    const elapsedMs = now - (this.#refilledAt ?? now);
    this.#refilledAt = now;
    const burst = Math.max(1, this.#share.loadsPerSecond * BURST_SECONDS);
    this.#tokens = Math.min(
      burst,
      this.#tokens + elapsedMs / 1_000 * this.#share.loadsPerSecond,
    );
  }
}
