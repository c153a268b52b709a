/**
 * Upstreams that turned a request of this host away and named a time for which
 * they want no other from it. Load pattern: an upstream beyond its capacity,
 * which each request that still reaches it keeps there. The time holds for this
 * host and that start of the upstream alone; while it runs, requests go
 * elsewhere, and where every upstream has named one, callers are told at once
 * when the first of them takes requests again.
 */
import type { Milliseconds } from "../structures.ts";

/** An upstream, and the start of it that is meant. */
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

  /** Notes that the upstream wants no request for the given time; a shorter time does not end a longer one. */
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

  /** Returns the time for which the upstream still wants no request, 0 when it takes them. */
  getRemainingMs(upstream: UpstreamInstance, now: Milliseconds): Milliseconds {
    const backoff = this.#backoffs.get(upstream.id);
    const isSameStart = backoff?.bornAtUnixMs === upstream.bornAtUnixMs;
    return backoff && isSameStart ? Math.max(0, backoff.until - now) : 0;
  }

  /** Returns the upstreams that take requests of this host. */
  listAvailable<Upstream extends UpstreamInstance>(
    upstreams: readonly Upstream[],
    now: Milliseconds,
  ): Upstream[] {
    return upstreams.filter((each) => this.getRemainingMs(each, now) === 0);
  }

  /** Returns the time until one of the upstreams takes requests again; undefined where there is none. */
  getShortestRemainingMs(
    upstreams: readonly UpstreamInstance[],
    now: Milliseconds,
  ): Milliseconds | undefined {
    if (upstreams.length === 0) return undefined;
    return Math.min(...upstreams.map((each) => this.getRemainingMs(each, now)));
  }
}
