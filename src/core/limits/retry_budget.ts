/**
 * Limits retries to a fraction of first attempts, so that they never amplify an
 * overload.
 */

/** Retries available before the first attempt of any request. */
const INITIAL_RETRIES = 10;
/** Maximum number of retries that can accumulate. */
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

  /** Takes one retry from the budget; returns false if none is left. */
  trySpend(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
