/**
 * Interchangeable leases that this daemon holds on one upstream, for one
 * adapter and one run time limit, and the requests that wait for their credits.
 */
import type { LeaseGrantMessage } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

interface HeldLease {
  ownerId: string;
  leaseId: string;
  returned: number;
  free: number;
  running: number;
  exclusive: boolean;
  dispatchUntil: Milliseconds;
  idleSince: Milliseconds;
  upstreamIncarnation: string;
}

/** A credit in use by one run. */
export interface TakenCredit {
  /** Daemon that granted the lease. */
  ownerId: string;
  leaseId: string;
  exclusive: boolean;
  dispatchUntil: Milliseconds;
  upstreamIncarnation: string;
}

/** Credits to return to the owner. */
export interface CreditReturn {
  leaseId: string;
  /** Total of the lease's credits returned so far, these included. */
  returnedCredits: number;
}

/** A lease request that the owner has not answered. */
export interface PendingLeaseRequest {
  leaseRequestId: string;
  ownerId: string;
  sentAt: Milliseconds;
  credits: number;
  exclusive: boolean;
}

export class LeaseGroup {
  readonly upstreamId: string;
  readonly adapterKey: string;
  readonly waitingRequestIds: string[] = [];
  pending: PendingLeaseRequest | undefined;
  readonly #leases = new Map<string, HeldLease>();

  constructor(upstreamId: string, adapterKey: string) {
    this.upstreamId = upstreamId;
    this.adapterKey = adapterKey;
  }

  addLease(
    grant: LeaseGrantMessage & { ownerId: string },
    marginMs: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#leases.set(grant.leaseId, {
      ownerId: grant.ownerId,
      leaseId: grant.leaseId,
      returned: 0,
      free: grant.credits,
      running: 0,
      exclusive: grant.exclusive,
      dispatchUntil: grant.requestSentAtMs + grant.windowMs - marginMs,
      idleSince: now,
      upstreamIncarnation: grant.upstreamIncarnation,
    });
  }

  /**
   * Takes a credit of a lease whose dispatch window is open, if there is one.
   */
  tryTakeCredit(
    exclusive: boolean,
    now: Milliseconds,
  ): TakenCredit | undefined {
    for (const lease of this.#leases.values()) {
      if (lease.free === 0 || now >= lease.dispatchUntil) continue;
      if (lease.exclusive !== exclusive) continue;
      lease.free -= 1;
      lease.running += 1;
      return {
        ownerId: lease.ownerId,
        leaseId: lease.leaseId,
        exclusive: lease.exclusive,
        dispatchUntil: lease.dispatchUntil,
        upstreamIncarnation: lease.upstreamIncarnation,
      };
    }
    return undefined;
  }

  /** Frees the credit of a run that has ended. */
  freeCredit(leaseId: string, now: Milliseconds): void {
    const lease = this.#leases.get(leaseId);
    if (!lease || lease.running === 0) return;
    lease.running -= 1;
    lease.free += 1;
    lease.idleSince = now;
  }

  /**
   * Drops the credit of a run that may still be in progress, without returning
   * it: the owner waits until the run must have ended.
   */
  abandonCredit(leaseId: string): void {
    const lease = this.#leases.get(leaseId);
    if (!lease || lease.running === 0) return;
    lease.running -= 1;
    this.#dropIfEmpty(lease);
  }

  /**
   * Removes and returns the free credits that are idle, past their dispatch
   * window or exclusive.
   */
  takeIdleCredits(idleMs: Milliseconds, now: Milliseconds): CreditReturn[] {
    const returns: CreditReturn[] = [];
    for (const lease of this.#leases.values()) {
      if (lease.free === 0) continue;
      const isIdle = lease.exclusive || now - lease.idleSince >= idleMs;
      if (!isIdle && now < lease.dispatchUntil) continue;
      lease.returned += lease.free;
      lease.free = 0;
      returns.push({
        leaseId: lease.leaseId,
        returnedCredits: lease.returned,
      });
      this.#dropIfEmpty(lease);
    }
    return returns;
  }

  /** Drops all leases without returning their credits. */
  dropAll(): void {
    this.#leases.clear();
    this.pending = undefined;
  }

  countCredits(): number {
    let credits = this.pending?.credits ?? 0;
    for (const lease of this.#leases.values()) {
      credits += lease.free + lease.running;
    }
    return credits;
  }

  isUnused(): boolean {
    return this.#leases.size === 0 && this.waitingRequestIds.length === 0 &&
      this.pending === undefined;
  }

  removeWaiting(requestId: string): void {
    const index = this.waitingRequestIds.indexOf(requestId);
    if (index >= 0) this.waitingRequestIds.splice(index, 1);
  }

  #dropIfEmpty(lease: HeldLease): void {
    if (lease.free === 0 && lease.running === 0) {
      this.#leases.delete(lease.leaseId);
    }
  }
}
