/**
 * Backoff times of upstreams that rejected a request of this host. An upstream
 * that is over capacity stays so with each request that still reaches it. A
 * backoff applies to requests of this host to this instance of the upstream
 * only. Until it ends, requests go to other upstreams; if all upstreams are in
 * backoff, callers are told at once when the first one accepts requests again.
 */
import type { Milliseconds } from "../structures.ts";

/** An upstream, and which start of its process is meant. */
export interface UpstreamInstance {
  id: string;
  /** Unix time of its start; 0 when unknown. */
  bornAtUnixMs: number;
}

interface Backoff {
  bornAtUnixMs: number;
  until: Milliseconds;
}

export class UpstreamBackoff {
  readonly #backoffs = new Map<string, Backoff>();

  /**
   * Records that the upstream accepts no requests for the given time. A shorter
   * backoff does not end a longer one.
   */
  recordBackoff(
    upstream: UpstreamInstance,
    retryAfterMs: Milliseconds,
    now: Milliseconds,
  ): void {
    for (const [id, backoff] of this.#backoffs) {
      if (backoff.until <= now) this.#backoffs.delete(id);
    }
    const until = now + Math.max(
      retryAfterMs,
      this.getRemainingMs(upstream, now),
    );
    this.#backoffs.set(upstream.id, {
      bornAtUnixMs: upstream.bornAtUnixMs,
      until,
    });
  }

  /**
   * Returns how long the upstream still accepts no requests; 0 when it does.
   */
  getRemainingMs(upstream: UpstreamInstance, now: Milliseconds): Milliseconds {
    const backoff = this.#backoffs.get(upstream.id);
    const isSameInstance = backoff?.bornAtUnixMs === upstream.bornAtUnixMs;
    return backoff && isSameInstance ? Math.max(0, backoff.until - now) : 0;
  }

  /** Returns the upstreams that accept requests of this host. */
  listAvailable<Upstream extends UpstreamInstance>(
    upstreams: readonly Upstream[],
    now: Milliseconds,
  ): Upstream[] {
    return upstreams.filter((each) => this.getRemainingMs(each, now) === 0);
  }

  /**
   * Returns the time until the first of the upstreams accepts requests;
   * undefined if there are none.
   */
  getShortestRemainingMs(
    upstreams: readonly UpstreamInstance[],
    now: Milliseconds,
  ): Milliseconds | undefined {
    if (upstreams.length === 0) return undefined;
    return Math.min(...upstreams.map((each) => this.getRemainingMs(each, now)));
  }
}
