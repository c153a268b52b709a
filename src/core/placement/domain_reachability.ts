/**
 * Tracks whether the upstreams of a failure domain are reachable from this
 * host. During a silent network partition of some seconds, every attempt at one
 * of the domain's upstreams costs a connect timeout, and each upstream would be
 * detected separately and soon be tried again. Therefore one failed attempt
 * counts for all upstreams of the failure domain while no heartbeat from a peer
 * there arrives. The first heartbeat from there ends it.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Time after which an attempt is made again, since a failure domain may have no
 * peer that could send heartbeats.
 */
const PROBE_INTERVAL_MS = 3_000;

export class DomainReachability {
  /**
   * Time of the last failed attempt, by failure domain; removed after a
   * success.
   */
  readonly #failedAt = new Map<string, Milliseconds>();

  recordUnreachable(failureDomain: string, now: Milliseconds): void {
    this.#failedAt.set(failureDomain, now);
  }

  recordReached(failureDomain: string): void {
    this.#failedAt.delete(failureDomain);
  }

  /** @param hasAlivePeer whether heartbeats from a peer in the domain arrive. */
  isUnreachable(
    failureDomain: string,
    hasAlivePeer: boolean,
    now: Milliseconds,
  ): boolean {
    const failedAt = this.#failedAt.get(failureDomain);
    return failedAt !== undefined && !hasAlivePeer &&
      now - failedAt < PROBE_INTERVAL_MS;
  }

  /** Returns the reachable upstreams, or all of them if none is reachable. */
  selectReachable<T extends { failureDomain: string }>(
    upstreams: readonly T[],
    hasAlivePeer: (failureDomain: string) => boolean,
    now: Milliseconds,
  ): readonly T[] {
    const unreachable = new Set(
      [...this.#failedAt.keys()].filter((failureDomain) =>
        this.isUnreachable(failureDomain, hasAlivePeer(failureDomain), now)
      ),
    );
    if (unreachable.size === 0) return upstreams;
    const reachable = upstreams.filter((each) =>
      !unreachable.has(each.failureDomain)
    );
    return reachable.length > 0 ? reachable : upstreams;
  }
}
