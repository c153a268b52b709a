/**
 * Tells whether this host is cut off from all upstreams, or from those of one
 * service, while its callers and peers still reach it. Every attempt would cost
 * a connect timeout, so failed connections to some upstreams stand for all of
 * them, if there is one in each failure domain: a single domain may be lost.
 * Answers on connections that already exist don't count, as these may live on
 * while new ones are refused. The first new connection ends the state.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Upstreams that must be found unreachable, with none reached in between: a
 * single one may have crashed.
 */
const MIN_UNREACHABLE = 2;
/** Age up to which a failed connection counts towards the beginning of a cut. */
const EVIDENCE_LIFETIME_MS = 3_000;

function countDomains(upstreams: readonly PathUpstream[]): number {
  return new Set(upstreams.map(({ failureDomain }) => failureDomain)).size;
}

/** Evidence on a set of upstreams, none of which was reached since its first part. */
class PathState {
  readonly #failedAt = new Map<string, Milliseconds>();
  #cutOffSince: Milliseconds | undefined;

  get cutOffSince(): Milliseconds | undefined {
    return this.#cutOffSince;
  }

  recordUnreachable(
    upstreamId: string,
    upstreams: readonly PathUpstream[],
    now: Milliseconds,
  ): void {
    this.#failedAt.set(upstreamId, now);
    const unreachable = upstreams.filter(({ id }) => {
      const failedAt = this.#failedAt.get(id);
      return failedAt !== undefined && now - failedAt <= EVIDENCE_LIFETIME_MS;
    });
    const needed = Math.min(MIN_UNREACHABLE, upstreams.length);
    const isCutOff = needed > 0 && unreachable.length >= needed &&
      countDomains(unreachable) === countDomains(upstreams);
    if (isCutOff) this.#cutOffSince ??= now;
  }
}

/** An upstream that accepts requests. */
export interface PathUpstream {
  id: string;
  failureDomain: string;
}

/** The upstreams that a failed connection may stand for. */
export interface PathUpstreams {
  ofService: readonly PathUpstream[];
  ofAllServices: readonly PathUpstream[];
}

export class ServiceReachability {
  /** Undefined while no connection has failed since the last one that did not. */
  #host: PathState | undefined;
  readonly #services = new Map<string, PathState>();

  /** Records a new connection; returns whether it ended a cut. */
  recordReached(service: string): boolean {
    const wasCutOff = this.isCutOff(service);
    this.#host = undefined;
    this.#services.delete(service);
    return wasCutOff;
  }

  /**
   * Records a connection that could not be established; returns whether the
   * service counts as cut off from now on.
   */
  recordUnreachable(
    service: string,
    upstreamId: string,
    upstreams: PathUpstreams,
    now: Milliseconds,
  ): boolean {
    const wasCutOff = this.isCutOff(service);
    const state = this.#services.get(service) ?? new PathState();
    this.#services.set(service, state);
    state.recordUnreachable(upstreamId, upstreams.ofService, now);
    this.#host ??= new PathState();
    this.#host.recordUnreachable(upstreamId, upstreams.ofAllServices, now);
    return !wasCutOff && this.isCutOff(service);
  }

  isCutOff(service: string): boolean {
    return this.getCutOffSince(service) !== undefined;
  }

  /** Returns when the service was found cut off; undefined if it isn't. */
  getCutOffSince(service: string): Milliseconds | undefined {
    return this.#services.get(service)?.cutOffSince ?? this.#host?.cutOffSince;
  }
}
