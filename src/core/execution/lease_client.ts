/**
 * Holder's side of the lease protocol. Groups leases by upstream, adapter, run
 * time limit and exclusivity; requests credits from owners while requests wait,
 * resends unanswered lease requests and returns idle credits.
 */
import { getPriorityRank, type Milliseconds } from "../structures.ts";
import type { LeaseGrantMessage, LeaseRefusalMessage } from "../messages.ts";
import { RetryReason } from "../outcomes.ts";
import type { ExecutionContext } from "./execution_context.ts";
import {
  type CreditReturn,
  LeaseGroup,
  type TakenCredit,
} from "./lease_group.ts";
import { LeaseGroupTable } from "./lease_group_table.ts";
import type { LiveRequest } from "./live_request.ts";

/** Callbacks for requests that get a credit or are refused one. */
export interface LeaseClientHandlers {
  /** Starts an attempt with a credit. */
  dispatch(
    request: LiveRequest,
    groupKey: string,
    credit: TakenCredit,
    now: Milliseconds,
  ): void;
  /** Finds another upstream for a request whose lease was refused. */
  reassign(
    request: LiveRequest,
    refusal: LeaseRefusalMessage,
    now: Milliseconds,
  ): void;
}

/**
 * Maximum number of granted lease ids that are remembered, to detect duplicate
 * grants.
 */
const MAX_SEEN_LEASES = 65_536;

export class LeaseClient {
  readonly #context: ExecutionContext;
  readonly #handlers: LeaseClientHandlers;
  readonly #groups = new LeaseGroupTable();
  readonly #groupKeysByLeaseRequest = new Map<string, string>();
  /** Leases granted to this daemon, oldest first. */
  readonly #seenLeaseIds = new Set<string>();

  constructor(context: ExecutionContext, handlers: LeaseClientHandlers) {
    this.#context = context;
    this.#handlers = handlers;
  }

  countHeldCredits(): number {
    return this.#groups.countCredits();
  }

  /** Queues the request for a credit on the upstream. */
  addWaiting(
    request: LiveRequest,
    upstreamId: string,
    now: Milliseconds,
  ): void {
    const exclusive = this.#context.isSuspect(request, now);
    const key = createGroupKey(request, upstreamId, exclusive);
    let group = this.#groups.get(key);
    if (!group) {
      group = new LeaseGroup(upstreamId, request.adapterKey);
      this.#groups.add(key, group);
    }
    request.apply("assigned");
    request.upstreamId = upstreamId;
    group.waitingRequestIds.push(request.id);
    this.dispatchWaiting(key, now);
  }

  /** Frees the credit of a run that has certainly ended. */
  freeCredit(groupKey: string, leaseId: string, now: Milliseconds): void {
    this.#groups.get(groupKey)?.freeCredit(leaseId, now);
  }

  /** Drops the credit of a run that may still be in progress. */
  abandonCredit(groupKey: string, leaseId: string): void {
    this.#groups.get(groupKey)?.abandonCredit(leaseId);
  }

  /** Drops all leases, after a pause of this process. */
  expireAll(): void {
    for (const [, group] of this.#groups.getAll()) {
      this.#clearPending(group);
      group.dropAll();
      for (const requestId of group.waitingRequestIds.splice(0)) {
        this.#context.requests.get(requestId)?.unassign();
        this.#context.countRetry(RetryReason.LeaseExpired);
      }
    }
  }

  /** Resends unanswered lease requests and returns idle credits. */
  tick(now: Milliseconds): void {
    for (const [key, group] of this.#groups.getAll()) {
      this.#tickGroup(key, group, now);
    }
  }

  /**
   * Handles a grant: a duplicate is ignored, one that is not awaited is
   * returned.
   */
  handleLeaseGrant(
    from: string,
    grant: LeaseGrantMessage,
    now: Milliseconds,
  ): void {
    const key = this.#groupKeysByLeaseRequest.get(grant.leaseRequestId);
    const group = key === undefined ? undefined : this.#groups.get(key);
    if (this.#seenLeaseIds.has(grant.leaseId)) return;
    this.#rememberLease(grant.leaseId);
    const isAwaited = group?.pending?.leaseRequestId === grant.leaseRequestId;
    if (key === undefined || !group || !isAwaited) {
      this.#sendReturn(from, grant.upstreamId, {
        leaseId: grant.leaseId,
        returnedCredits: grant.credits,
      });
      return;
    }
    this.#clearPending(group);
    const { leaseMarginMs } = this.#context.options.settings;
    group.addLease({ ...grant, ownerId: from }, leaseMarginMs, now);
    if (grant.loaded) this.#markStalled(group);
    this.dispatchWaiting(key, now);
  }

  /** Removes the waiting requests from their group, to be assigned again. */
  handleLeaseRefusal(refusal: LeaseRefusalMessage, now: Milliseconds): void {
    const key = this.#groupKeysByLeaseRequest.get(refusal.leaseRequestId);
    const group = key === undefined ? undefined : this.#groups.get(key);
    if (!group) return;
    this.#clearPending(group);
    for (const requestId of group.waitingRequestIds.splice(0)) {
      const request = this.#context.requests.get(requestId);
      if (request) this.#handlers.reassign(request, refusal, now);
    }
  }

  #tickGroup(key: string, group: LeaseGroup, now: Milliseconds): void {
    const { settings } = this.#context.options;
    this.#returnIdleCredits(group, now);
    const { pending } = group;
    const isUnanswered = pending !== undefined &&
      now - pending.sentAt >= settings.leaseReplyTimeoutMs;
    if (isUnanswered) {
      const isOwnerReachable =
        pending.ownerId === this.#context.options.selfId ||
        this.#context.options.membership.isPeerLive(pending.ownerId);
      if (isOwnerReachable) this.#sendLeaseRequest(key, group, now);
      else this.#handleOwnerUnreachable(group);
    }
    this.dispatchWaiting(key, now);
    if (group.isUnused()) this.#groups.remove(key);
  }

  #handleOwnerUnreachable(group: LeaseGroup): void {
    this.#clearPending(group);
    this.#context.countRetry(RetryReason.LeaseUnanswered);
    for (const requestId of group.waitingRequestIds.splice(0)) {
      const request = this.#context.requests.get(requestId);
      if (request) request.unassign();
    }
  }

  /**
   * Dispatches waiting requests to free credits, and requests credits for the
   * rest.
   */
  dispatchWaiting(key: string, now: Milliseconds): void {
    const group = this.#groups.get(key);
    if (!group) return;
    const exclusive = isExclusiveKey(key);
    while (group.waitingRequestIds.length > 0) {
      const credit = group.tryTakeCredit(exclusive, now);
      if (!credit) break;
      const request = this.#context.requests.get(
        group.waitingRequestIds.shift() ?? "",
      );
      if (request) this.#handlers.dispatch(request, key, credit, now);
      else group.freeCredit(credit.leaseId, now);
    }
    if (group.waitingRequestIds.length === 0) return;
    const wanted = Math.min(
      group.waitingRequestIds.length,
      this.#context.options.settings.maxLeaseCredits,
    );
    const hasRequestedEnough = group.pending !== undefined &&
      (exclusive || group.pending.credits >= wanted);
    if (!hasRequestedEnough) this.#sendLeaseRequest(key, group, now);
  }

  #sendLeaseRequest(
    key: string,
    group: LeaseGroup,
    now: Milliseconds,
  ): void {
    const requests = group.waitingRequestIds
      .map((id) => this.#context.requests.get(id))
      .filter((request) => request !== undefined);
    const first = requests[0];
    const view = this.#context.options.membership.getUpstreamView(
      group.upstreamId,
    );
    if (!first || !view) return;
    const exclusive = isExclusiveKey(key);
    const isResend = group.pending?.ownerId === view.ownerId;
    if (!isResend) this.#clearPending(group);
    const leaseRequestId = group.pending?.leaseRequestId ??
      this.#context.createId("leaseRequest");
    const credits = exclusive ? 1 : Math.min(
      requests.length,
      this.#context.options.settings.maxLeaseCredits,
    );
    group.pending = {
      leaseRequestId,
      ownerId: view.ownerId,
      sentAt: now,
      credits,
      exclusive,
    };
    this.#groupKeysByLeaseRequest.set(leaseRequestId, key);
    this.#context.options.emit({
      kind: "send",
      to: view.ownerId,
      message: {
        kind: "leaseRequest",
        leaseRequestId,
        upstreamId: group.upstreamId,
        adapterKey: group.adapterKey,
        credits,
        priorityRank: Math.min(
          ...requests.map((request) => getPriorityRank(request.route.priority)),
        ),
        customer: first.event.customer,
        remainingMs: Math.max(
          ...requests.map((request) => request.deadlineAt - now),
        ),
        maxRunMs: first.route.maxRunMs,
        exclusive,
        isCopy: requests.some((request) => request.wantsCopy),
        sentAtMs: now,
      },
    });
  }

  #rememberLease(leaseId: string): void {
    this.#seenLeaseIds.add(leaseId);
    if (this.#seenLeaseIds.size <= MAX_SEEN_LEASES) return;
    const [oldest] = this.#seenLeaseIds;
    if (oldest !== undefined) this.#seenLeaseIds.delete(oldest);
  }

  /**
   * Removes the request from the group that it waits in, and cancels the
   * group's lease request if no other request waits there.
   */
  detach(request: LiveRequest): void {
    if (request.state !== "leasing" || request.upstreamId === undefined) return;
    for (const exclusive of [false, true]) {
      const key = createGroupKey(request, request.upstreamId, exclusive);
      const group = this.#groups.get(key);
      if (!group) continue;
      group.removeWaiting(request.id);
      if (group.waitingRequestIds.length === 0) this.#cancelPending(group);
    }
  }

  #cancelPending(group: LeaseGroup): void {
    const { pending } = group;
    if (!pending) return;
    this.#context.options.emit({
      kind: "send",
      to: pending.ownerId,
      message: {
        kind: "leaseCancel",
        leaseRequestId: pending.leaseRequestId,
        upstreamId: group.upstreamId,
      },
    });
    this.#clearPending(group);
  }

  #clearPending(group: LeaseGroup): void {
    if (!group.pending) return;
    this.#groupKeysByLeaseRequest.delete(group.pending.leaseRequestId);
    group.pending = undefined;
  }

  #returnIdleCredits(group: LeaseGroup, now: Milliseconds): void {
    const view = this.#context.options.membership.getUpstreamView(
      group.upstreamId,
    );
    const idleMs = group.waitingRequestIds.length > 0
      ? Number.POSITIVE_INFINITY
      : this.#context.options.settings.leaseIdleMs;
    for (const credits of group.takeIdleCredits(idleMs, now)) {
      if (view) this.#sendReturn(view.ownerId, group.upstreamId, credits);
    }
  }

  #sendReturn(
    to: string,
    upstreamId: string,
    credits: CreditReturn,
  ): void {
    this.#context.options.emit({
      kind: "send",
      to,
      message: { kind: "leaseReturn", upstreamId, ...credits },
    });
  }

  #markStalled(group: LeaseGroup): void {
    for (const requestId of group.waitingRequestIds) {
      const request = this.#context.requests.get(requestId);
      if (request) request.hasStalled = true;
    }
  }

  /** Counts the credits held or requested on the upstream. */
  countLocalCredits(upstreamId: string): number {
    return this.#groups.countUpstreamCredits(upstreamId);
  }
}

const EXCLUSIVE_PREFIX = "!";

/**
 * Returns the key of the group that can serve the request. A lease covers runs
 * with one time limit only, since its owner relies on that limit.
 */
function createGroupKey(
  request: LiveRequest,
  upstreamId: string,
  exclusive: boolean,
): string {
  const prefix = exclusive ? EXCLUSIVE_PREFIX : "";
  const { adapterKey, route } = request;
  return `${prefix}${upstreamId}|${adapterKey}|${route.maxRunMs}`;
}

function isExclusiveKey(key: string): boolean {
  return key.startsWith(EXCLUSIVE_PREFIX);
}
