/**
 * Grants leases on one upstream within its batch capacity, and cancels grants.
 */
import type { HandoverMessage, LeaseRequestMessage } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import { GrantedLeases } from "./granted_leases.ts";
import type { LeaseQueue, WaitingLeaseRequest } from "./lease_queue.ts";
import type { OwnerContext } from "./owner_context.ts";
import type { UpstreamReader } from "./upstream_reader.ts";

export class LeaseGranter {
  readonly leases = new GrantedLeases();
  readonly #context: OwnerContext;
  readonly #queue: LeaseQueue;
  readonly #reader: UpstreamReader;

  constructor(
    context: OwnerContext,
    parts: { queue: LeaseQueue; reader: UpstreamReader },
  ) {
    this.#context = context;
    this.#queue = parts.queue;
    this.#reader = parts.reader;
  }

  /**
   * Grants as many of the requested credits as the batch has capacity for;
   * without capacity, the request stays queued. An exclusive lease is granted
   * only while nothing else can be running on the upstream, and rules out other
   * leases.
   */
  tryGrant(
    waiting: WaitingLeaseRequest,
    hasNoPredecessorRun: boolean,
    now: Milliseconds,
  ): void {
    const { request, holder } = waiting;
    const { settings, pool } = this.#context.options;
    const freeCredits = pool.batchSize - this.leases.getCreditsInUse();
    if (freeCredits <= 0 || this.leases.hasExclusiveLease()) return;
    const isUpstreamIdle = this.leases.getCreditsInUse() === 0 &&
      hasNoPredecessorRun;
    if (request.exclusive && !isUpstreamIdle) return;
    const credits = request.exclusive
      ? 1
      : Math.min(freeCredits, request.credits);
    const windowEndsAt = now + settings.leaseWindowMs + settings.leaseMarginMs;
    this.#context.options.creditShares.recordUsage(
      request.customer,
      credits,
      now,
    );
    const leaseId = this.#context.createId("lease");
    this.leases.addLease({
      leaseId,
      leaseRequestId: request.leaseRequestId,
      holder,
      adapterKey: request.adapterKey,
      credits,
      returnedCredits: 0,
      exclusive: request.exclusive,
      windowEndsAt,
      expiresAt: windowEndsAt + request.maxRunMs,
    });
    this.#queue.remove(request.leaseRequestId);
    this.#sendGrant(leaseId, holder, request, {
      credits,
      loaded: waiting.hasWaitedForLoad,
    });
  }

  /**
   * Answers a retransmitted request by sending its grant again with a new
   * window, if the owner may grant leases now. Returns false if the request has
   * no grant.
   */
  tryRenewGrant(
    holder: string,
    request: LeaseRequestMessage,
    options: { canGrant: boolean; now: Milliseconds },
  ): boolean {
    const lease = this.leases.getByRequestId(request.leaseRequestId);
    if (!lease) return false;
    if (!options.canGrant) return true;
    const { settings } = this.#context.options;
    lease.windowEndsAt = options.now + settings.leaseWindowMs +
      settings.leaseMarginMs;
    lease.expiresAt = lease.windowEndsAt + request.maxRunMs;
    this.#sendGrant(lease.leaseId, holder, request, {
      credits: lease.credits,
      loaded: false,
    });
    return true;
  }

  /** Removes the lease granted to a request that its sender has cancelled. */
  cancelGrant(leaseRequestId: string): void {
    const granted = this.leases.getByRequestId(leaseRequestId);
    if (granted) this.leases.removeLease(granted.leaseId);
  }

  /** Takes over the leases of the previous owner. */
  acceptHandover(handover: HandoverMessage, now: Milliseconds): void {
    const { settings } = this.#context.options;
    const windowMs = settings.leaseWindowMs + settings.leaseMarginMs;
    for (const lease of handover.leases) {
      this.leases.addLease({
        leaseId: lease.leaseId,
        leaseRequestId: "",
        holder: lease.holder,
        adapterKey: lease.adapterKey,
        credits: lease.credits,
        returnedCredits: lease.returnedCredits,
        exclusive: lease.exclusive,
        windowEndsAt: now + Math.min(windowMs, lease.remainingMs),
        expiresAt: now + lease.remainingMs,
      });
    }
  }

  /**
   * Drops the leases on adapters without a running request in the last reading,
   * if their window ended long enough before it.
   */
  dropIdleLeases(): void {
    const reading = this.#reader.getReading();
    if (this.#context.isService() || !reading) return;
    const lagMs = this.#context.options.settings.engineReportLagMs;
    for (const entry of reading.state.residents) {
      if (entry.inFlight > 0) continue;
      this.leases.dropIdle(entry.adapterKey, reading.readAt, lagMs);
    }
  }

  #sendGrant(
    leaseId: string,
    holder: string,
    request: LeaseRequestMessage,
    grant: { credits: number; loaded: boolean },
  ): void {
    this.#context.options.emit({
      kind: "send",
      to: holder,
      message: {
        kind: "leaseGrant",
        leaseRequestId: request.leaseRequestId,
        leaseId,
        upstreamId: this.#context.upstreamId,
        adapterKey: request.adapterKey,
        credits: grant.credits,
        windowMs: this.#context.options.settings.leaseWindowMs,
        requestSentAtMs: request.sentAtMs,
        exclusive: request.exclusive,
        upstreamIncarnation: this.#reader.getIncarnation(),
        loaded: grant.loaded,
      },
    });
  }
}
