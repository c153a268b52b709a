/**
 * The leases that this daemon holds or asks for, by upstream, adapter, longest
 * run and whether the run is alone. Asks owners for credits while requests wait,
 * repeats what is not answered and returns what is not used.
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

/** What the book asks of its surroundings. */
export interface LeaseClientHandlers {
  /** Starts an attempt under a credit. */
  dispatch(
    request: LiveRequest,
    holdingKey: string,
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

/** Granted leases remembered, to tell repeated grants from new ones. */
const MAX_SEEN_LEASES = 65_536;

export class LeaseClient {
  readonly #context: ExecutionContext;
  readonly #handlers: LeaseClientHandlers;
  readonly #groups = new LeaseGroupTable();
  readonly #groupKeysByLeaseRequest = new Map<string, string>();
  /** Leases that were granted to this daemon, the latest last. */
  readonly #seenLeaseIds = new Set<string>();

  constructor(context: ExecutionContext, handlers: LeaseClientHandlers) {
    this.#context = context;
    this.#handlers = handlers;
  }

  countHeldCredits(): number {
    return this.#groups.countCredits();
  }

  /** Lets the request wait for a credit on the upstream. */
  addWaiting(
    request: LiveRequest,
    upstreamId: string,
    now: Milliseconds,
  ): void {
    const exclusive = this.#context.isSuspect(request, now);
    const key = createGroupKey(request, upstreamId, exclusive);
    let holding = this.#groups.get(key);
    if (!holding) {
      holding = new LeaseGroup(upstreamId, request.adapterKey);
      this.#groups.add(key, holding);
    }
    request.apply("assigned");
    request.upstreamId = upstreamId;
    holding.waitingRequestIds.push(request.id);
    this.dispatchWaiting(key, now);
  }

  /** Frees the credit of a run that is certainly over. */
  freeCredit(holdingKey: string, leaseId: string, now: Milliseconds): void {
    this.#groups.get(holdingKey)?.freeCredit(leaseId, now);
  }

  /** Forgets the credit of a run that may still go on. */
  abandonCredit(holdingKey: string, leaseId: string): void {
    this.#groups.get(holdingKey)?.abandonCredit(leaseId);
  }

  /** Drops every lease held, after a pause of this process. */
  expireAll(): void {
    for (const [, holding] of this.#groups.getAll()) {
      this.#clearPending(holding);
      holding.dropAll();
      for (const requestId of holding.waitingRequestIds.splice(0)) {
        this.#context.requests.get(requestId)?.unassign();
        this.#context.countRetry(RetryReason.LeaseExpired);
      }
    }
  }

  /** Asks again for what was not answered and returns idle credits. */
  tick(now: Milliseconds): void {
    for (const [key, holding] of this.#groups.getAll()) {
      this.#tickGroup(key, holding, now);
    }
  }

  /** Takes a grant; one that was not waited for is returned, a repeated one ignored. */
  handleLeaseGrant(
    from: string,
    grant: LeaseGrantMessage,
    now: Milliseconds,
  ): void {
    const key = this.#groupKeysByLeaseRequest.get(grant.leaseRequestId);
    const holding = key === undefined ? undefined : this.#groups.get(key);
    if (this.#seenLeaseIds.has(grant.leaseId)) return;
    this.#rememberLease(grant.leaseId);
    const isAwaited = holding?.pending?.leaseRequestId === grant.leaseRequestId;
    if (key === undefined || !holding || !isAwaited) {
      this.#sendReturn(from, grant.upstreamId, {
        leaseId: grant.leaseId,
        returnedCredits: grant.credits,
      });
      return;
    }
    this.#clearPending(holding);
    const { leaseMarginMs } = this.#context.options.settings;
    holding.addLease({ ...grant, ownerId: from }, leaseMarginMs, now);
    if (grant.loaded) this.#markStalled(holding);
    this.dispatchWaiting(key, now);
  }

  /** Hands the waiting requests back for another choice. */
  handleLeaseRefusal(refusal: LeaseRefusalMessage, now: Milliseconds): void {
    const key = this.#groupKeysByLeaseRequest.get(refusal.leaseRequestId);
    const holding = key === undefined ? undefined : this.#groups.get(key);
    if (!holding) return;
    this.#clearPending(holding);
    for (const requestId of holding.waitingRequestIds.splice(0)) {
      const request = this.#context.requests.get(requestId);
      if (request) this.#handlers.reassign(request, refusal, now);
    }
  }

  #tickGroup(key: string, holding: LeaseGroup, now: Milliseconds): void {
    const { settings } = this.#context.options;
    this.#returnIdleCredits(holding, now);
    const { pending } = holding;
    const isUnanswered = pending !== undefined &&
      now - pending.sentAt >= settings.leaseReplyTimeoutMs;
    if (isUnanswered) {
      const isOwnerReachable =
        pending.ownerId === this.#context.options.selfId ||
        this.#context.options.membership.isPeerLive(pending.ownerId);
      if (isOwnerReachable) this.#sendLeaseRequest(key, holding, now);
      else this.#handleOwnerUnreachable(holding);
    }
    this.dispatchWaiting(key, now);
    if (holding.isUnused()) this.#groups.remove(key);
  }

  #handleOwnerUnreachable(holding: LeaseGroup): void {
    this.#clearPending(holding);
    this.#context.countRetry(RetryReason.LeaseUnanswered);
    for (const requestId of holding.waitingRequestIds.splice(0)) {
      const request = this.#context.requests.get(requestId);
      if (request) request.unassign();
    }
  }

  /** Dispatches what the credits at hand allow and asks for the rest. */
  dispatchWaiting(key: string, now: Milliseconds): void {
    const holding = this.#groups.get(key);
    if (!holding) return;
    const exclusive = isExclusiveKey(key);
    while (holding.waitingRequestIds.length > 0) {
      const credit = holding.tryTakeCredit(exclusive, now);
      if (!credit) break;
      const request = this.#context.requests.get(
        holding.waitingRequestIds.shift() ?? "",
      );
      if (request) this.#handlers.dispatch(request, key, credit, now);
      else holding.freeCredit(credit.leaseId, now);
    }
    if (holding.waitingRequestIds.length === 0) return;
    const wanted = Math.min(
      holding.waitingRequestIds.length,
      this.#context.options.settings.maxLeaseCredits,
    );
    const hasRequestedEnough = holding.pending !== undefined &&
      (exclusive || holding.pending.credits >= wanted);
    if (!hasRequestedEnough) this.#sendLeaseRequest(key, holding, now);
  }

  #sendLeaseRequest(
    key: string,
    holding: LeaseGroup,
    now: Milliseconds,
  ): void {
    const requests = holding.waitingRequestIds
      .map((id) => this.#context.requests.get(id))
      .filter((request) => request !== undefined);
    const first = requests[0];
    const view = this.#context.options.membership.getUpstreamView(
      holding.upstreamId,
    );
    if (!first || !view) return;
    const exclusive = isExclusiveKey(key);
    const isRepeat = holding.pending?.ownerId === view.ownerId;
    if (!isRepeat) this.#clearPending(holding);
    const leaseRequestId = holding.pending?.leaseRequestId ??
      this.#context.createId("leaseRequest");
    const credits = exclusive ? 1 : Math.min(
      requests.length,
      this.#context.options.settings.maxLeaseCredits,
    );
    holding.pending = {
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
        upstreamId: holding.upstreamId,
        adapterKey: holding.adapterKey,
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

  /** Takes the request out of the holding in which it waits. */
  detach(request: LiveRequest): void {
    if (request.state !== "leasing" || request.upstreamId === undefined) return;
    for (const exclusive of [false, true]) {
      const key = createGroupKey(request, request.upstreamId, exclusive);
      const holding = this.#groups.get(key);
      if (!holding) continue;
      holding.removeWaiting(request.id);
      if (holding.waitingRequestIds.length === 0) this.#cancelPending(holding);
    }
  }

  #cancelPending(holding: LeaseGroup): void {
    const { pending } = holding;
    if (!pending) return;
    this.#context.options.emit({
      kind: "send",
      to: pending.ownerId,
      message: {
        kind: "leaseCancel",
        leaseRequestId: pending.leaseRequestId,
        upstreamId: holding.upstreamId,
      },
    });
    this.#clearPending(holding);
  }

  #clearPending(holding: LeaseGroup): void {
    if (!holding.pending) return;
    this.#groupKeysByLeaseRequest.delete(holding.pending.leaseRequestId);
    holding.pending = undefined;
  }

  #returnIdleCredits(holding: LeaseGroup, now: Milliseconds): void {
    const view = this.#context.options.membership.getUpstreamView(
      holding.upstreamId,
    );
    const idleMs = holding.waitingRequestIds.length > 0
      ? Number.POSITIVE_INFINITY
      : this.#context.options.settings.leaseIdleMs;
    for (const credits of holding.takeIdleCredits(idleMs, now)) {
      if (view) this.#sendReturn(view.ownerId, holding.upstreamId, credits);
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

  #markStalled(holding: LeaseGroup): void {
    for (const requestId of holding.waitingRequestIds) {
      const request = this.#context.requests.get(requestId);
      if (request) request.hasStalled = true;
    }
  }

  /** Returns the credits held or asked for on the upstream. */
  countLocalCredits(upstreamId: string): number {
    return this.#groups.countUpstreamCredits(upstreamId);
  }
}

const EXCLUSIVE_PREFIX = "!";

/**
 * Returns the key of the holding that can serve the request. A lease covers
 * runs of one longest time only, for its owner counts on that time.
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
