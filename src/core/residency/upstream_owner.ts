/**
 * The owner of one upstream: tracks its slots, orders loads and evictions and
 * grants leases. An adapter is evicted only when no run on it, under a lease
 * granted here or by a previous owner, can be in progress or start.
 */
import type { OrderResult } from "../events.ts";
import type {
  HandoverMessage,
  LeaseRequestMessage,
  UpstreamDigest,
} from "../messages.ts";
import { LeaseRefusalReason } from "../outcomes.ts";
import type {
  HostStructure,
  Milliseconds,
  PoolStructure,
  UpstreamStateStructure,
} from "../structures.ts";
import { LeaseGranter } from "./lease_granter.ts";
import { LeaseQueue, type WaitingLeaseRequest } from "./lease_queue.ts";
import { LeaseRefuser } from "./lease_refuser.ts";
import { PendingOrders } from "./pending_orders.ts";
import {
  OwnerContext,
  type UpstreamConfiguration,
  type UpstreamOwnerOptions,
} from "./owner_context.ts";
import { OwnershipClaim } from "./ownership_claim.ts";
import {
  buildUpstreamDigest,
  type DescribedParts,
  describeOwner,
  type OwnedUpstreamDescription,
} from "./owner_description.ts";
import { SlotLoader } from "./slot_loader.ts";
import type { StoreDemand, StorePermit } from "./store_permit_client.ts";
import { UpstreamReader } from "./upstream_reader.ts";

export class UpstreamOwner {
  readonly #context: OwnerContext;
  readonly #orders: PendingOrders;
  readonly #reader: UpstreamReader;
  readonly #claim: OwnershipClaim;
  readonly #queue = new LeaseQueue();
  readonly #granter: LeaseGranter;
  readonly #loader: SlotLoader;
  readonly #refuser: LeaseRefuser;

  constructor(options: UpstreamOwnerOptions, now: Milliseconds) {
    const context = new OwnerContext(options);
    const orders = new PendingOrders(context);
    const reader = new UpstreamReader(context);
    const queue = this.#queue;
    this.#context = context;
    this.#orders = orders;
    this.#reader = reader;
    this.#claim = new OwnershipClaim(context, { orders, reader }, now);
    this.#granter = new LeaseGranter(context, { queue, reader });
    this.#loader = new SlotLoader(context, {
      queue,
      leases: this.#granter.leases,
      orders,
      claim: this.#claim,
    });
    this.#refuser = new LeaseRefuser(context, {
      queue,
      reader,
      claim: this.#claim,
      loader: this.#loader,
    });
  }

  get upstreamId(): string {
    return this.#context.upstreamId;
  }

  get host(): HostStructure {
    return this.#context.options.host;
  }

  get pool(): PoolStructure {
    return this.#context.options.pool;
  }

  isUp(): boolean {
    return this.#reader.isUp();
  }

  isOwning(): boolean {
    return this.#claim.isOwning();
  }

  /** Answers a lease request with a grant or refusal, now or later. */
  requestLease(
    holder: string,
    request: LeaseRequestMessage,
    now: Milliseconds,
  ): void {
    const canGrant = this.#canGrant(now);
    if (this.#granter.tryRenewGrant(holder, request, { canGrant, now })) return;
    this.#recordDemand(request, now);
    const redirectTarget = this.isOwning()
      ? this.#findRedirectTarget(request)
      : undefined;
    if (redirectTarget !== undefined) {
      this.#redirectRequest(holder, request, redirectTarget, now);
      return;
    }
    const refusal = this.#refuser.findRefusal(request, now);
    if (refusal) {
      this.#refuser.refuse(holder, request, refusal, now);
      return;
    }
    if (!this.#queue.has(request.leaseRequestId)) {
      this.#context.options.popularity.recordRequests(
        request.adapterKey,
        request.credits,
        now,
      );
    }
    this.#queue.addOrReplace({
      holder,
      request,
      arrivedAt: now,
      deadlineAt: now + request.remainingMs,
      hasWaitedForLoad: false,
    });
    this.#serveQueue(now);
  }

  /**
   * Returns the loads from the weight store that this upstream's queue needs.
   */
  computeDemand(now: Milliseconds): StoreDemand {
    return this.#context.isService() || !this.#canGrant(now)
      ? { loads: 0, urgency: 0 }
      : this.#loader.computeDemand(now);
  }

  /**
   * Starts the most urgent load under the permit; returns false if none can
   * start.
   */
  tryStartLoad(permit: StorePermit, now: Milliseconds): boolean {
    if (!this.#canGrant(now)) return false;
    this.#redirectWaiting(now);
    return this.#loader.tryStartLoad(permit, now);
  }

  cancelLeaseRequest(leaseRequestId: string, now: Milliseconds): void {
    this.#queue.remove(leaseRequestId);
    this.#granter.cancelGrant(leaseRequestId);
    this.#serveQueue(now);
  }

  returnLease(
    leaseId: string,
    returnedCredits: number,
    now: Milliseconds,
  ): void {
    this.#granter.leases.returnCredits(leaseId, returnedCredits);
    this.#serveQueue(now);
  }

  /** Applies a newer revision of the tables or of the host list. */
  updateConfiguration(configuration: UpstreamConfiguration): void {
    this.#context.updateConfiguration(configuration);
    this.#loader.slots.setCapacity(configuration.pool.slots);
  }

  /** Records that another daemon considers itself the owner, too. */
  recordOtherOwner(now: Milliseconds): void {
    this.#claim.recordOtherOwner(now);
  }

  /**
   * Takes over the leases of the previous owner, which has stopped granting.
   */
  acceptHandover(handover: HandoverMessage, now: Milliseconds): void {
    this.#granter.acceptHandover(handover, now);
    this.#claim.acceptHandover(handover, now);
    this.#serveQueue(now);
  }

  describeHandover(now: Milliseconds): HandoverMessage {
    return {
      kind: "handover",
      upstreamId: this.upstreamId,
      upstreamIncarnation: this.#reader.getIncarnation(),
      fencing: this.#claim.fencing,
      leases: this.#granter.leases.describeForHandover(now),
      ...this.#claim.describePredecessorWait(now),
    };
  }

  /**
   * Refuses the queued requests and returns the permits, before ownership ends.
   */
  release(reason: LeaseRefusalReason, now: Milliseconds): void {
    this.#refuseAll(reason, now);
    this.#orders.removeAll();
    this.#loader.returnPermits();
  }

  recordState(
    readId: string,
    state: UpstreamStateStructure,
    now: Milliseconds,
  ): void {
    const recorded = this.#reader.recordState(readId, state);
    if (!recorded) return;
    if (recorded.hasRestarted) this.#handleRestart(now);
    if (this.#claim.isSuperseded(state)) {
      this.#depose(now);
      return;
    }
    const hasExternalChange = this.#loader.slots.reconcile(
      state,
      recorded.reading.readAt,
      now,
    );
    if (hasExternalChange) this.#claim.recordExternalChange(now);
    if (this.#hasUnleasedRuns(state, now)) this.#claim.recordOtherOwner(now);
    this.#granter.dropIdleLeases();
    this.#claim.claimIfRead(now);
    this.#serveQueue(now);
  }

  recordStateReadFailure(
    readId: string,
    isRefused: boolean,
    now: Milliseconds,
  ): void {
    if (!this.#reader.recordReadFailure(readId, isRefused)) return;
    if (this.isUp()) return;
    this.#refuseAll(LeaseRefusalReason.UpstreamDown, now);
  }

  /**
   * Records the result of an order; returns false if this owner did not give
   * it.
   */
  recordOrderEnd(
    orderId: string,
    result: OrderResult,
    now: Milliseconds,
  ): boolean {
    const order = this.#orders.removeOrder(orderId);
    if (!order) return false;
    switch (order.kind) {
      case "claim":
        this.#claim.recordClaimEnd(result, now);
        break;
      case "load":
        if (this.#loader.recordLoadEnd(order.adapterKey, result, now)) {
          this.#refuseWaiting(order.adapterKey, now);
        }
        break;
      case "evict":
        this.#loader.recordEvictionEnd(order.adapterKey, result, now);
        break;
    }
    if (result.kind === "refusedByFencing" && this.isOwning()) {
      this.#depose(now);
    }
    this.#serveQueue(now);
    return true;
  }

  /**
   * Reads the upstream's state when due, drops expired leases and requests, and
   * serves the queue.
   */
  tick(now: Milliseconds): void {
    this.#claim.tick(now);
    this.#granter.leases.dropExpired(now);
    for (const waiting of this.#queue.removeExpired(now)) {
      this.#refuser.refuse(
        waiting.holder,
        waiting.request,
        LeaseRefusalReason.DeadlineUnreachable,
        now,
      );
    }
    this.#reader.tick(now);
    this.#serveQueue(now);
  }

  buildDigest(now: Milliseconds): UpstreamDigest {
    return buildUpstreamDigest(this.#getDescribedParts(), now);
  }

  describe(now: Milliseconds): OwnedUpstreamDescription {
    return describeOwner(this.#getDescribedParts(), now);
  }

  #getDescribedParts(): DescribedParts {
    return {
      context: this.#context,
      claim: this.#claim,
      reader: this.#reader,
      queue: this.#queue,
      leases: this.#granter.leases,
      loader: this.#loader,
    };
  }

  /**
   * Returns whether the upstream reports runs on an adapter that this owner has
   * not leased recently enough to explain them.
   */
  #hasUnleasedRuns(state: UpstreamStateStructure, now: Milliseconds): boolean {
    const { settings } = this.#context.options;
    const maxReportDelayMs = settings.engineReportLagMs +
      2 * settings.stateReadIntervalMs;
    let hasUnleased = false;
    for (const { adapterKey, inFlight } of state.residents) {
      const slot = this.#loader.slots.getSlot(adapterKey);
      if (!slot) continue;
      if (this.#granter.leases.hasLeases(adapterKey)) slot.lastLeasedAt = now;
      const usedAt = Math.max(slot.lastUsedAt, slot.lastLeasedAt);
      if (inFlight > 0 && now - usedAt > maxReportDelayMs) hasUnleased = true;
    }
    return hasUnleased;
  }

  #recordDemand(request: LeaseRequestMessage, now: Milliseconds): void {
    const { creditShares, loadShares } = this.#context.options;
    creditShares.recordDemand(request.customer, now);
    const isAbsent = !this.#loader.slots.isResident(request.adapterKey);
    if (isAbsent) loadShares.recordDemand(request.customer, now);
  }

  /**
   * Grants the queued requests that can be granted, and marks those that wait
   * for a load.
   */
  #serveQueue(now: Milliseconds): void {
    if (!this.#canGrant(now)) return;
    const { creditShares } = this.#context.options;
    const isOverShare = (customer: string) =>
      creditShares.isOverShare(customer, now);
    for (const waiting of this.#queue.getOrdered(isOverShare)) {
      this.#serveRequest(waiting, now);
    }
  }

  #serveRequest(waiting: WaitingLeaseRequest, now: Milliseconds): void {
    const hasNoPredecessorRun = this.#claim.hasNoPredecessorRun(now);
    if (this.#context.isService()) {
      this.#granter.tryGrant(waiting, hasNoPredecessorRun, now);
      return;
    }
    const slot = this.#loader.slots.getSlot(waiting.request.adapterKey);
    if (slot?.state === "resident") {
      slot.lastUsedAt = now;
      this.#granter.tryGrant(waiting, hasNoPredecessorRun, now);
    } else if (slot?.state !== "evicting") waiting.hasWaitedForLoad = true;
  }

  /**
   * Returns the upstream to which a request for an adapter without a slot is
   * redirected.
   */
  #findRedirectTarget(request: LeaseRequestMessage): string | undefined {
    const { policy, findRedirectTarget } = this.#context.options;
    const isLocal = !policy.redirects || this.#context.isService() ||
      request.isCopy || this.#loader.slots.getSlot(request.adapterKey);
    return isLocal ? undefined : findRedirectTarget(request.adapterKey);
  }

  #redirectWaiting(now: Milliseconds): void {
    for (const { holder, request } of [...this.#queue.list()]) {
      const redirectTarget = this.#findRedirectTarget(request);
      if (redirectTarget === undefined) continue;
      this.#queue.remove(request.leaseRequestId);
      this.#redirectRequest(holder, request, redirectTarget, now);
    }
  }

  #redirectRequest(
    holder: string,
    request: LeaseRequestMessage,
    upstreamId: string,
    now: Milliseconds,
  ): void {
    const reason = LeaseRefusalReason.Redirected;
    this.#refuser.refuse(holder, request, reason, now, upstreamId);
  }

  #canGrant(now: Milliseconds): boolean {
    return this.isOwning() && this.isUp() && !this.#reader.isLeaving() &&
      this.#reader.isCurrent(now);
  }

  /**
   * Drops leases and residents: an upstream that has restarted has no runs and
   * no adapters.
   */
  #handleRestart(now: Milliseconds): void {
    this.#granter.leases.dropAll();
    this.#loader.recordRestart(now);
    this.#claim.recordRestart(now);
  }

  #depose(now: Milliseconds): void {
    this.#claim.depose(now);
    this.#refuseAll(LeaseRefusalReason.NotOwner, now);
  }

  #refuseWaiting(adapterKey: string, now: Milliseconds): void {
    for (const waiting of this.#queue.removeByAdapter(adapterKey)) {
      this.#refuser.refuse(
        waiting.holder,
        waiting.request,
        LeaseRefusalReason.LoadFailed,
        now,
      );
    }
  }

  #refuseAll(reason: LeaseRefusalReason, now: Milliseconds): void {
    for (const waiting of this.#queue.removeAll()) {
      this.#refuser.refuse(waiting.holder, waiting.request, reason, now);
    }
  }
}
