/**
 * Whether the upstreams of a failure domain can be reached from here. Load pattern:
 * a failure domain is cut off silently for some seconds; every attempt at one of its
 * upstreams costs a connect time-out, and each upstream would be found out alone and
 * tried again soon. One failure counts for all of them while no peer of that failure
 * domain is heard; the first heartbeat from there ends it.
 */
import type { Milliseconds } from "../structures.ts";

/** Time after which one more attempt is made: a failure domain may have no peer that could be heard. */
const PROBE_INTERVAL_MS = 3_000;

export class DomainReachability {
  /** When an attempt failed last, by failure domain; none since a success. */
  readonly #failedAt = new Map<string, Milliseconds>();

  recordUnreachable(failureDomain: string, now: Milliseconds): void {
    this.#failedAt.set(failureDomain, now);
  }

  recordReached(failureDomain: string): void {
    this.#failedAt.delete(failureDomain);
  }

  /** @param hasAlivePeer whether a peer in the failure domain is heard. */
  isUnreachable(
    failureDomain: string,
    hasAlivePeer: boolean,
    now: Milliseconds,
  ): boolean {
    const failedAt = this.#failedAt.get(failureDomain);
    return failedAt !== undefined && !hasAlivePeer &&
      now - failedAt < PROBE_INTERVAL_MS;
  }

  /** Returns the upstreams that can be reached, or all where none can. */
  selectReachable<T extends { failureDomain: string }>(
    upstreams: readonly T[],
    isHeard: (failureDomain: string) => boolean,
    now: Milliseconds,
  ): readonly T[] {
    const cutOff = new Set(
      [...this.#failedAt.keys()].filter((failureDomain) =>
        this.isUnreachable(failureDomain, isHeard(failureDomain), now)
      ),
    );
    if (cutOff.size === 0) return upstreams;
    const reachable = upstreams.filter((each) =>
      !cutOff.has(each.failureDomain)
    );
    return reachable.length > 0 ? reachable : upstreams;
  }
}
