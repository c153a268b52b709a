/** Upstreams that a request is not sent to: for good, or until they may be ready again. */
import type { Milliseconds } from "../structures.ts";

export class UpstreamExclusions {
  readonly #until = new Map<string, Milliseconds>();

  /** Excludes an upstream for the rest of the request. */
  add(upstreamId: string): void {
    this.#until.set(upstreamId, Number.POSITIVE_INFINITY);
  }

  /** Excludes an upstream for a time, unless it is excluded for longer. */
  addUntil(upstreamId: string, until: Milliseconds): void {
    const known = this.#until.get(upstreamId) ?? Number.NEGATIVE_INFINITY;
    this.#until.set(upstreamId, Math.max(known, until));
  }

  has(upstreamId: string, now: Milliseconds): boolean {
    const until = this.#until.get(upstreamId);
    return until !== undefined && now < until;
  }

  /** Returns whether any upstream was excluded, for a time or for good. */
  hasAny(): boolean {
    return this.#until.size > 0;
  }

  /** Returns whether an upstream is excluded for the rest of the request. */
  hasPermanent(): boolean {
    for (const until of this.#until.values()) {
      if (until === Number.POSITIVE_INFINITY) return true;
    }
    return false;
  }
}
