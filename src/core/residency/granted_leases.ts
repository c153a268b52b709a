/** Leases that an owner has granted on one upstream, and when each expires. */
import type { LeaseHandoverStructure } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

export interface GrantedLease {
  leaseId: string;
  leaseRequestId: string;
  holder: string;
  adapterKey: string;
  /** Credits that the holder has not returned. */
  credits: number;
  /** Credits that the holder has returned since the grant. */
  returnedCredits: number;
  exclusive: boolean;
  /** No run starts under the lease after this time. */
  windowEndsAt: Milliseconds;
  /** Every run under the lease has ended by this time. */
  expiresAt: Milliseconds;
}

export class GrantedLeases {
  readonly #leases = new Map<string, GrantedLease>();
  readonly #credits = new Map<string, number>();
  #creditsInUse = 0;

  /** Adds a lease, unless it was added before. */
  addLease(lease: GrantedLease): void {
    if (this.#leases.has(lease.leaseId)) return;
    this.#leases.set(lease.leaseId, lease);
    this.#changeCredits(lease.adapterKey, lease.credits);
  }

  getByRequestId(leaseRequestId: string): GrantedLease | undefined {
    for (const lease of this.#leases.values()) {
      if (lease.leaseRequestId === leaseRequestId) return lease;
    }
    return undefined;
  }

  /**
   * Records returned credits. They are given as the total returned since the
   * grant, so that a duplicate or reordered message changes nothing. The lease
   * is removed when no credit is left.
   */
  returnCredits(leaseId: string, returnedCredits: number): void {
    const lease = this.#leases.get(leaseId);
    if (!lease || returnedCredits <= lease.returnedCredits) return;
    const returned = Math.min(
      returnedCredits - lease.returnedCredits,
      lease.credits,
    );
    lease.credits -= returned;
    lease.returnedCredits += returned;
    this.#changeCredits(lease.adapterKey, -returned);
    if (lease.credits === 0) this.#leases.delete(leaseId);
  }

  /** Removes a lease that its holder never used. */
  removeLease(leaseId: string): void {
    this.#dropWhere((lease) => lease.leaseId === leaseId);
  }

  /** Drops the leases under which no run can be in progress any more. */
  dropExpired(now: Milliseconds): void {
    this.#dropWhere((lease) => now >= lease.expiresAt);
  }

  /**
   * Drops the leases on an adapter that the upstream reports idle, if their
   * window ended at least the report's lag before the report was read. Under
   * any other lease, a run may have started that the report does not count.
   */
  dropIdle(adapterKey: string, readAt: Milliseconds, lagMs: number): void {
    this.#dropWhere((lease) =>
      lease.adapterKey === adapterKey && readAt >= lease.windowEndsAt + lagMs
    );
  }

  /** Drops every lease, after a restart of the upstream has ended all runs. */
  dropAll(): void {
    this.#dropWhere(() => true);
  }

  hasLeases(adapterKey: string): boolean {
    return (this.#credits.get(adapterKey) ?? 0) > 0;
  }

  hasExclusiveLease(): boolean {
    for (const lease of this.#leases.values()) {
      if (lease.exclusive) return true;
    }
    return false;
  }

  getCreditsInUse(): number {
    return this.#creditsInUse;
  }

  getLeases(): GrantedLease[] {
    return [...this.#leases.values()];
  }

  /** Returns the leases in the form that is handed over to the next owner. */
  describeForHandover(now: Milliseconds): LeaseHandoverStructure[] {
    return this.getLeases().map((lease) => ({
      leaseId: lease.leaseId,
      exclusive: lease.exclusive,
      holder: lease.holder,
      adapterKey: lease.adapterKey,
      credits: lease.credits,
      returnedCredits: lease.returnedCredits,
      remainingMs: Math.max(0, lease.expiresAt - now),
    }));
  }

  #dropWhere(shouldDrop: (lease: GrantedLease) => boolean): void {
    for (const lease of this.#leases.values()) {
      if (!shouldDrop(lease)) continue;
      this.#leases.delete(lease.leaseId);
      this.#changeCredits(lease.adapterKey, -lease.credits);
    }
  }

  #changeCredits(adapterKey: string, change: number): void {
    const credits = (this.#credits.get(adapterKey) ?? 0) + change;
    if (credits > 0) this.#credits.set(adapterKey, credits);
    else this.#credits.delete(adapterKey);
    this.#creditsInUse += change;
  }
}
