/**
 * Decides which adapters are loaded into the slots of one upstream and which
 * are evicted for them, and orders it.
 */
import type { OrderResult } from "../events.ts";
import type { Milliseconds } from "../structures.ts";
import type { GrantedLeases } from "./granted_leases.ts";
import type { LeaseQueue } from "./lease_queue.ts";
import type { LeaseRequestMessage } from "../messages.ts";
import type { StoreDemand, StorePermit } from "./store_permit_client.ts";
import type { PendingOrders } from "./pending_orders.ts";
import type { OwnerContext } from "./owner_context.ts";
import type { OwnershipClaim } from "./ownership_claim.ts";
import { type Slot, SlotTable } from "./slot_table.ts";

export interface SlotLoaderParts {
  queue: LeaseQueue;
  leases: GrantedLeases;
  orders: PendingOrders;
  claim: OwnershipClaim;
}

/** Time for which an adapter whose load failed is not loaded again. */
const LOAD_RETRY_DELAY_MS = 500;

/** Victim value reported while no adapter can be evicted. */
const NO_VICTIM_VALUE = 1_000;
/**
 * Time to the deadline below which a load would come too late, as a multiple of
 * the load time.
 */
const MIN_SLACK_LOAD_TIMES = 2;
/** Time to the deadline at which the urgency of a load is half its maximum. */
const HALF_URGENCY_SLACK_MS = 2_000;

/**
 * Factor on the urgency of a load for a customer above its fair share, so that
 * the loads of other customers go first.
 */
const OVER_SHARE_URGENCY_FACTOR = 0.01;

interface WantedLoad {
  adapterKey: string;
  /** Customer of the first request that waits for the load. */
  customer: string;
  urgency: number;
}

export class SlotLoader {
  readonly slots: SlotTable;
  readonly #context: OwnerContext;
  readonly #parts: SlotLoaderParts;
  /** Permits of the loads in progress, by adapter. */
  readonly #permits = new Map<string, StorePermit>();
  /** Loads that wait for an eviction, by the adapter that is being evicted. */
  readonly #nextLoads = new Map<
    string,
    { adapterKey: string; permit: StorePermit }
  >();
  readonly #loadFailedAt = new Map<string, Milliseconds>();

  constructor(context: OwnerContext, parts: SlotLoaderParts) {
    this.#context = context;
    this.#parts = parts;
    this.slots = new SlotTable(context.options.pool.slots);
  }

  /**
   * Returns how many loads requests wait for, limited to the slots that are
   * free or could be freed by an eviction, with the highest urgency.
   */
  computeDemand(now: Milliseconds): StoreDemand {
    const wanted = this.#listWanted(now);
    const [mostUrgent] = wanted;
    if (!mostUrgent) return { loads: 0, urgency: 0 };
    const startableLoads = this.slots.countFreeSlots() - this.#nextLoads.size +
      this.#countEvictable(now);
    const loads = Math.max(0, Math.min(wanted.length, startableLoads));
    return { loads, urgency: loads === 0 ? 0 : mostUrgent.urgency };
  }

  /**
   * Orders the most urgent load, or the eviction that frees a slot for it;
   * returns false if neither is possible.
   */
  tryStartLoad(permit: StorePermit, now: Milliseconds): boolean {
    const [mostUrgent] = this.#listWanted(now);
    if (!mostUrgent) return false;
    const { adapterKey, customer } = mostUrgent;
    const { loadShares } = this.#context.options;
    const hasFreeSlot = this.slots.countFreeSlots() > this.#nextLoads.size;
    if (hasFreeSlot) {
      loadShares.recordUsage(customer, 1, now);
      this.#permits.set(adapterKey, permit);
      this.slots.addLoading(adapterKey, now);
      this.#giveOrder({ kind: "load", adapterKey }, now);
      return true;
    }
    const victim = this.#findVictim(now);
    if (victim === undefined) return false;
    this.#context.options.popularity.recordEviction(victim);
    loadShares.recordUsage(customer, 1, now);
    this.#nextLoads.set(victim, { adapterKey, permit });
    this.slots.applyTrigger(victim, "evictOrdered", now);
    this.#giveOrder({ kind: "evict", adapterKey: victim }, now);
    return true;
  }

  /**
   * Records the result of an eviction and orders the load that waited for it.
   */
  recordEvictionEnd(
    adapterKey: string,
    result: OrderResult,
    now: Milliseconds,
  ): void {
    this.applyOrderResult(adapterKey, result, now);
    const nextLoad = this.#nextLoads.get(adapterKey);
    if (!nextLoad) return;
    this.#nextLoads.delete(adapterKey);
    const canLoad = result.kind === "done" && this.slots.hasFreeSlot() &&
      this.slots.getSlot(nextLoad.adapterKey) === undefined;
    if (!canLoad) {
      this.#context.options.store.returnPermit(nextLoad.permit, false);
      return;
    }
    this.#permits.set(nextLoad.adapterKey, nextLoad.permit);
    this.slots.addLoading(nextLoad.adapterKey, now);
    this.#giveOrder({ kind: "load", adapterKey: nextLoad.adapterKey }, now);
  }

  /** Returns every permit, when the ownership ends. */
  returnPermits(): void {
    const { store } = this.#context.options;
    for (const { permit } of this.#nextLoads.values()) {
      store.returnPermit(permit, false);
    }
    for (const permit of this.#permits.values()) {
      store.returnPermit(permit, true);
    }
    this.#nextLoads.clear();
    this.#permits.clear();
  }

  /** Records the result of a load; returns whether it failed. */
  recordLoadEnd(
    adapterKey: string,
    result: OrderResult,
    now: Milliseconds,
  ): boolean {
    const permit = this.#permits.get(adapterKey);
    this.#permits.delete(adapterKey);
    if (permit) this.#context.options.store.returnPermit(permit, true);
    this.applyOrderResult(adapterKey, result, now);
    if (result.kind !== "failed") return false;
    this.#loadFailedAt.set(adapterKey, now);
    this.#context.options.emit({
      kind: "count",
      counter: "load_failed",
      tag: this.#context.upstreamId,
    });
    return true;
  }

  applyOrderResult(
    adapterKey: string,
    result: OrderResult,
    now: Milliseconds,
  ): void {
    switch (result.kind) {
      case "done":
        this.slots.applyTrigger(adapterKey, "orderDone", now);
        break;
      case "failed":
      case "refusedByFencing":
        this.slots.applyTrigger(adapterKey, "orderFailed", now);
        break;
      case "unknown":
        this.slots.applyTrigger(adapterKey, "orderUnknown", now);
        break;
    }
  }

  /**
   * Records that the upstream has restarted, after which no adapter is loaded.
   */
  recordRestart(now: Milliseconds): void {
    for (const slot of this.slots.getByState("resident")) {
      this.#context.options.popularity.recordEviction(slot.adapterKey);
    }
    this.slots.applyTriggerToAll("upstreamRestarted", now);
    this.#loadFailedAt.clear();
  }

  hasLoadFailedRecently(adapterKey: string, now: Milliseconds): boolean {
    const failedAt = this.#loadFailedAt.get(adapterKey);
    if (failedAt === undefined) return false;
    if (now - failedAt < LOAD_RETRY_DELAY_MS) return true;
    this.#loadFailedAt.delete(adapterKey);
    return false;
  }

  /**
   * Estimates the time until the request's adapter is resident; 0 if it has a
   * slot.
   */
  estimateLoadWaitMs(
    request: LeaseRequestMessage,
    now: Milliseconds,
  ): Milliseconds {
    const { adapterKey, customer } = request;
    if (this.#context.isService() || this.slots.getSlot(adapterKey)) return 0;
    const { loadShares, store } = this.#context.options;
    const isOverShare = loadShares.isOverShare(customer, now);
    const loadsAhead = this.#listWanted(now).filter((load) =>
      load.adapterKey !== adapterKey &&
      (isOverShare || !loadShares.isOverShare(load.customer, now))
    );
    return store.estimateWaitMs(
      loadsAhead.length,
      { isOverShare },
      now,
    );
  }

  /**
   * Returns the adapters that are being loaded or that queued requests wait
   * for.
   */
  listPendingLoads(): string[] {
    const pending = new Set(
      this.slots.getByState("loading").map((slot) => slot.adapterKey),
    );
    for (const adapterKey of this.#parts.queue.getAdapterKeys()) {
      if (!this.slots.isResident(adapterKey)) pending.add(adapterKey);
    }
    return [...pending];
  }

  /**
   * Returns the value of the adapter that one more load would evict, after the
   * loads already waiting have evicted those of less value; 0 if a slot is
   * left.
   */
  getVictimValue(now: Milliseconds): number {
    const loadsAhead = this.#listWanted(now).length + this.#nextLoads.size -
      this.slots.countFreeSlots();
    if (loadsAhead < 0) return 0;
    const retentionValues = this.slots.getByState("resident")
      .filter((slot) => this.#isEvictable(slot.adapterKey, now))
      .map((slot) => this.#computeRetentionValue(slot, now))
      .sort((a, b) => a - b);
    return retentionValues[loadsAhead] ?? NO_VICTIM_VALUE;
  }

  #computeRetentionValue(slot: Slot, now: Milliseconds): number {
    const { policy, popularity } = this.#context.options;
    return policy.computeRetentionValue(slot, popularity, now);
  }

  /**
   * Returns the loads that requests wait for, most urgent first, without those
   * that wait for an eviction or would come too late.
   */
  #listWanted(now: Milliseconds): WantedLoad[] {
    const planned = new Set<string>();
    for (const plan of this.#nextLoads.values()) planned.add(plan.adapterKey);
    const wanted = new Map<string, WantedLoad>();
    const { loadShares, settings } = this.#context.options;
    for (const { request, deadlineAt } of this.#parts.queue.list()) {
      const { adapterKey } = request;
      if (this.slots.getSlot(adapterKey) || planned.has(adapterKey)) continue;
      const isTooLate = deadlineAt - now <
        settings.loadTimeMs * MIN_SLACK_LOAD_TIMES;
      if (isTooLate) continue;
      const load = wanted.get(adapterKey) ??
        { adapterKey, customer: request.customer, urgency: 0 };
      load.urgency += computeUrgency(request, deadlineAt - now) *
        (loadShares.isOverShare(request.customer, now)
          ? OVER_SHARE_URGENCY_FACTOR
          : 1);
      wanted.set(adapterKey, load);
    }
    return [...wanted.values()].sort((a, b) => b.urgency - a.urgency);
  }

  #countEvictable(now: Milliseconds): number {
    const wanted = this.#parts.queue.getAdapterKeys();
    return this.slots.getByState("resident").filter((slot) =>
      !wanted.has(slot.adapterKey) && this.#isEvictable(slot.adapterKey, now)
    ).length;
  }

  /**
   * Returns the resident adapter of least value that no request waits for and
   * that is certainly not in use.
   */
  #findVictim(now: Milliseconds): string | undefined {
    const wanted = this.#parts.queue.getAdapterKeys();
    let victim: string | undefined;
    let victimValue = Number.POSITIVE_INFINITY;
    for (const slot of this.slots.getByState("resident")) {
      if (wanted.has(slot.adapterKey)) continue;
      if (!this.#isEvictable(slot.adapterKey, now)) continue;
      const value = this.#computeRetentionValue(slot, now);
      if (value >= victimValue) continue;
      victim = slot.adapterKey;
      victimValue = value;
    }
    return victim;
  }

  /** Returns whether no run on the adapter can be in progress or start. */
  #isEvictable(adapterKey: string, now: Milliseconds): boolean {
    return !this.#parts.leases.hasLeases(adapterKey) &&
      this.#parts.claim.hasNoPredecessorRunOn(adapterKey, now);
  }

  #giveOrder(
    order: { kind: "load" | "evict"; adapterKey: string },
    now: Milliseconds,
  ): void {
    this.#parts.orders.giveOrder(order, this.#parts.claim.fencing, now);
  }
}

/**
 * Weighs a waiting request by its credits, its priority and the time to its
 * deadline.
 */
function computeUrgency(
  request: LeaseRequestMessage,
  slackMs: Milliseconds,
): number {
  return request.credits / (1 + request.priorityRank) /
    (HALF_URGENCY_SLACK_MS + slackMs);
}
