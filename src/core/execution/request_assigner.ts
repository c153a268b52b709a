/**
 * Assigns requests to upstreams, and reassigns them when an owner refuses the
 * lease.
 */
import type { LeaseRefusalMessage } from "../messages.ts";
import {
  LeaseRefusalReason,
  Outcome,
  RefusalReason,
  RetryReason,
} from "../outcomes.ts";
import {
  type RankedUpstream,
  Residency,
  type UpstreamCandidate,
} from "../routing/upstream_selector.ts";
import {
  HostState,
  type HostStructure,
  type Milliseconds,
  type PoolStructure,
} from "../structures.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  type ExecutionContext,
} from "./execution_context.ts";
import { listShortlist } from "../routing/upstream_shortlist.ts";
import type { LeaseClient } from "./lease_client.ts";
import type { LiveRequest } from "./live_request.ts";
import type { RequestFinisher } from "./request_finisher.ts";
import type { UpstreamExclusions } from "./upstream_exclusions.ts";

/** Maximum time that a request waits while no upstream of its pool is ready. */
const UPSTREAM_WAIT_MS = 3_000;

/** The pool, adapter and exclusions for which upstreams are ranked. */
interface RankTarget {
  pool: PoolStructure;
  adapterKey: string;
  excluded: UpstreamExclusions;
}

/**
 * Time after arrival from which a redirection counts as a stall for an adapter
 * load.
 */
const REDIRECT_STALL_MS = 50;

export class RequestAssigner {
  readonly #context: ExecutionContext;
  readonly #leases: LeaseClient;
  readonly #finisher: RequestFinisher;

  constructor(
    context: ExecutionContext,
    parts: { leases: LeaseClient; finisher: RequestFinisher },
  ) {
    this.#context = context;
    this.#leases = parts.leases;
    this.#finisher = parts.finisher;
  }

  /**
   * Assigns the request to the best upstream, or refuses it when none is left.
   */
  assign(request: LiveRequest, now: Milliseconds): void {
    const ranked = this.#rankForRequest(request, now);
    const best = ranked[0];
    if (!best) {
      this.#waitOrRefuse(request, now);
      return;
    }
    request.noUpstreamSince = undefined;
    request.awaitsLoad = best.residency !== Residency.Resident;
    request.wantsCopy = request.hasBeenRedirected ||
      request.excludedUpstreams.hasAny() ||
      (best.residency === Residency.Absent &&
        ranked.some(({ residency }) => residency !== Residency.Absent));
    this.#leases.addWaiting(request, best.candidate.host.id, now);
  }

  /**
   * Leaves the request waiting for a limited time, then refuses it. Refuses it
   * at once if an upstream is permanently excluded for it.
   */
  #waitOrRefuse(request: LiveRequest, now: Milliseconds): void {
    request.noUpstreamSince ??= now;
    const mayBecomeReady = !request.excludedUpstreams.hasPermanent() &&
      now - request.noUpstreamSince < UPSTREAM_WAIT_MS;
    if (mayBecomeReady) return;
    this.#finisher.refuse(request, RefusalReason.NoUpstream, {
      outcome: Outcome.NotRun,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    }, now);
  }

  /** Returns the upstreams that can serve the adapter now, best first. */
  rank(
    pool: PoolStructure,
    adapterKey: string,
    excluded: UpstreamExclusions,
    now: Milliseconds,
  ): RankedUpstream[] {
    const hosts = this.#context.options.membership.getPoolUpstreams(pool);
    return this.#rankHosts(hosts, { pool, adapterKey, excluded }, now);
  }

  /**
   * Ranks a shortlist of the pool, or the whole pool if nothing on the list is
   * ready.
   */
  #rankForRequest(request: LiveRequest, now: Milliseconds): RankedUpstream[] {
    const { pool, adapterKey, excludedUpstreams: excluded } = request;
    const { membership } = this.#context.options;
    const hosts = membership.getPoolUpstreams(pool);
    const target = { pool, adapterKey, excluded };
    const shortlist = listShortlist(hosts, {
      adapterUpstreamIds: membership.getAdapterUpstreamIds(adapterKey),
      key: adapterKey === "" ? request.id : adapterKey,
      getPoolHost: (id) => membership.getPoolUpstream(pool, id),
    });
    const ranked = this.#rankHosts(shortlist, target, now);
    if (ranked.length > 0 || shortlist === hosts) return ranked;
    return this.#rankHosts(hosts, target, now);
  }

  #rankHosts(
    hosts: Iterable<HostStructure>,
    target: RankTarget,
    now: Milliseconds,
  ): RankedUpstream[] {
    const { pool, adapterKey, excluded } = target;
    const { membership } = this.#context.options;
    const candidates: UpstreamCandidate[] = [];
    for (const host of hosts) {
      if (host.state === HostState.Leaving) continue;
      if (excluded.has(host.id, now)) continue;
      const view = membership.getUpstreamView(host.id);
      if (!view || !view.digest.up || view.digest.leaving) continue;
      candidates.push({
        host,
        ownerId: view.ownerId,
        digest: view.digest,
        localCredits: this.#leases.countLocalCredits(host.id),
      });
    }
    return this.#context.options.policy.rankUpstreams(candidates, {
      pool,
      adapterKey,
      failureDomain: this.#context.options.failureDomain,
    });
  }

  /**
   * Excludes an upstream until its owner has had time to read the upstream's
   * state again.
   */
  excludeTemporarily(
    request: LiveRequest,
    upstreamId: string,
    now: Milliseconds,
  ): void {
    request.excludedUpstreams.addUntil(
      upstreamId,
      this.#computeExclusionEnd(now),
    );
  }

  #computeExclusionEnd(now: Milliseconds): Milliseconds {
    return now + 2 * this.#context.options.settings.stateReadIntervalMs;
  }

  /**
   * Handles the refusal of a lease: waits, tries another upstream or refuses
   * the request.
   */
  reassignRefused(
    request: LiveRequest,
    refusal: LeaseRefusalMessage,
    now: Milliseconds,
  ): void {
    request.unassign();
    this.#context.countRetry(getRetryReason(refusal.reason));
    switch (refusal.reason) {
      case LeaseRefusalReason.NotOwner:
      case LeaseRefusalReason.Claiming:
      case LeaseRefusalReason.Stopping:
        return;
      case LeaseRefusalReason.Leaving:
      case LeaseRefusalReason.UpstreamDown:
        this.excludeTemporarily(request, refusal.upstreamId, now);
        this.assign(request, now);
        return;
      case LeaseRefusalReason.LoadFailed:
        request.loadFailures += 1;
        request.excludedUpstreams.add(refusal.upstreamId);
        if (request.loadFailures < this.#context.options.settings.maxAttempts) {
          this.#assignOrRefuse(request, RefusalReason.LoadFailed, refusal, now);
        } else {
          this.#finisher.refuse(request, RefusalReason.LoadFailed, {
            outcome: Outcome.NotRun,
            retryAfterMs: refusal.retryAfterMs,
          }, now);
        }
        return;
      case LeaseRefusalReason.Redirected:
        request.hasBeenRedirected = true;
        request.hasStalled ||= now - request.arrivedAt > REDIRECT_STALL_MS;
        request.wantsCopy = true;
        this.#leases.addWaiting(request, refusal.redirectUpstreamId, now);
        return;
      case LeaseRefusalReason.DeadlineUnreachable:
        // All upstreams load from the same weight store, so another one would
        // not meet the deadline either.
        this.#finisher.refuse(request, RefusalReason.DeadlineUnreachable, {
          outcome: Outcome.NotRun,
          retryAfterMs: refusal.retryAfterMs,
        }, now);
        return;
      case LeaseRefusalReason.QueueFull:
        request.excludedUpstreams.add(refusal.upstreamId);
        this.#assignOrRefuse(request, RefusalReason.Overloaded, refusal, now);
        return;
    }
  }

  #assignOrRefuse(
    request: LiveRequest,
    reason: RefusalReason,
    refusal: LeaseRefusalMessage,
    now: Milliseconds,
  ): void {
    if (this.#rankForRequest(request, now).length > 0) {
      this.assign(request, now);
      return;
    }
    this.#finisher.refuse(request, reason, {
      outcome: Outcome.NotRun,
      retryAfterMs: refusal.retryAfterMs,
    }, now);
  }
}

/** Returns the retry reason that is counted for a refused lease. */
function getRetryReason(reason: LeaseRefusalReason): RetryReason {
  switch (reason) {
    case LeaseRefusalReason.NotOwner:
      return RetryReason.NotOwner;
    case LeaseRefusalReason.LoadFailed:
      return RetryReason.LoadFailed;
    case LeaseRefusalReason.Claiming:
    case LeaseRefusalReason.Leaving:
    case LeaseRefusalReason.UpstreamDown:
    case LeaseRefusalReason.DeadlineUnreachable:
    case LeaseRefusalReason.Redirected:
    case LeaseRefusalReason.QueueFull:
    case LeaseRefusalReason.Stopping:
      return RetryReason.LeaseRefused;
  }
}
