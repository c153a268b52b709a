/**
 * Upstreams that a request must not be sent to, permanently or until a given
 * time.
 */
import type { Milliseconds } from "../structures.ts";

export class UpstreamExclusions {
  readonly #excludedUntil = new Map<string, Milliseconds>();

  /** Excludes an upstream for the rest of the request's lifetime. */
  add(upstreamId: string): void {
    this.#excludedUntil.set(upstreamId, Number.POSITIVE_INFINITY);
  }

  /** Excludes an upstream until the given time, or longer if it already is. */
  addUntil(upstreamId: string, until: Milliseconds): void {
    const known = this.#excludedUntil.get(upstreamId) ??
      Number.NEGATIVE_INFINITY;
    this.#excludedUntil.set(upstreamId, Math.max(known, until));
  }

  has(upstreamId: string, now: Milliseconds): boolean {
    const until = this.#excludedUntil.get(upstreamId);
    return until !== undefined && now < until;
  }

  /**
   * Returns whether any upstream has been excluded, also if only for a time.
   */
  hasAny(): boolean {
    return this.#excludedUntil.size > 0;
  }

  /**
   * Returns whether an upstream is excluded for the rest of the request's
   * lifetime.
   */
  hasPermanent(): boolean {
    for (const until of this.#excludedUntil.values()) {
      if (until === Number.POSITIVE_INFINITY) return true;
    }
    return false;
  }
}
