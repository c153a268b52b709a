/** Bounds retries to a share of first attempts, so that retries never feed an overload. */

/** Retries allowed before any first attempt has been seen. */
const INITIAL_RETRIES = 10;
/** Retries that may be saved up. */
const MAX_SAVED_RETRIES = 100;

export class RetryBudget {
  readonly #ratio: number;
  #savedRetries = INITIAL_RETRIES;

  constructor(ratio: number) {
    this.#ratio = ratio;
  }

  recordFirstAttempt(): void {
    this.#savedRetries = Math.min(
      MAX_SAVED_RETRIES,
      this.#savedRetries + this.#ratio,
    );
  }

  /** Spends one retry if the budget allows it. */
  trySpend(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
