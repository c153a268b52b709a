/**
 * Lease requests that an owner has queued, and the order in which it serves
 * them.
 */
import type { LeaseRequestMessage } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

export interface WaitingLeaseRequest {
  holder: string;
  request: LeaseRequestMessage;
  arrivedAt: Milliseconds;
  deadlineAt: Milliseconds;
  /** Whether the request has waited for its adapter to be loaded. */
  hasWaitedForLoad: boolean;
}

export class LeaseQueue {
  readonly #waiting = new Map<string, WaitingLeaseRequest>();

  /**
   * Adds a request, or replaces the queued one of the same identifier unless
   * that was sent later. The first arrival time is kept.
   */
  addOrReplace(waiting: WaitingLeaseRequest): void {
    const id = waiting.request.leaseRequestId;
    const earlier = this.#waiting.get(id);
    const isOutdated = earlier !== undefined &&
      waiting.request.sentAtMs < earlier.request.sentAtMs;
    if (isOutdated) return;
    this.#waiting.set(id, {
      ...waiting,
      arrivedAt: earlier?.arrivedAt ?? waiting.arrivedAt,
      hasWaitedForLoad: earlier?.hasWaitedForLoad ?? waiting.hasWaitedForLoad,
    });
  }

  has(leaseRequestId: string): boolean {
    return this.#waiting.has(leaseRequestId);
  }

  remove(leaseRequestId: string): void {
    this.#waiting.delete(leaseRequestId);
  }

  /** Removes and returns the requests whose deadline has passed. */
  removeExpired(now: Milliseconds): WaitingLeaseRequest[] {
    return this.#removeWhere((waiting) => waiting.deadlineAt <= now);
  }

  /** Removes and returns the requests for the adapter. */
  removeByAdapter(adapterKey: string): WaitingLeaseRequest[] {
    return this.#removeWhere((waiting) =>
      waiting.request.adapterKey === adapterKey
    );
  }

  removeAll(): WaitingLeaseRequest[] {
    return this.#removeWhere(() => true);
  }

  /**
   * Returns the requests in the order in which they are served: those of
   * customers within their fair share first, then by priority, then by
   * deadline.
   */
  getOrdered(
    isOverShare: (customer: string) => boolean,
  ): WaitingLeaseRequest[] {
    return [...this.#waiting.values()].sort((a, b) =>
      Number(isOverShare(a.request.customer)) -
        Number(isOverShare(b.request.customer)) ||
      a.request.priorityRank - b.request.priorityRank ||
      a.deadlineAt - b.deadlineAt
    );
  }

  /** Returns the requests in the order of their arrival. */
  list(): Iterable<WaitingLeaseRequest> {
    return this.#waiting.values();
  }

  /** Returns the adapters that requests wait for. */
  getAdapterKeys(): Set<string> {
    const keys = new Set<string>();
    for (const waiting of this.#waiting.values()) {
      keys.add(waiting.request.adapterKey);
    }
    return keys;
  }

  get size(): number {
    return this.#waiting.size;
  }

  #removeWhere(
    isRemoved: (waiting: WaitingLeaseRequest) => boolean,
  ): WaitingLeaseRequest[] {
    const removed: WaitingLeaseRequest[] = [];
    for (const [id, waiting] of this.#waiting) {
      if (!isRemoved(waiting)) continue;
      this.#waiting.delete(id);
      removed.push(waiting);
    }
    return removed;
  }
}
