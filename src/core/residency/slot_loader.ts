/** Loads and evictions on one upstream: which adapter takes which slot, and when. */
import type { OrderResult } from "../events.ts";
import type { Milliseconds } from "../structures.ts";
import type { LeaseLedger } from "./lease_ledger.ts";
import type { LeaseQueue, WaitingLeaseRequest } from "./lease_queue.ts";
import type { OrderBook } from "./order_book.ts";
import type { OwnerContext } from "./owner_context.ts";
import type { OwnershipClaim } from "./ownership_claim.ts";
import { SlotTable } from "./slot_table.ts";

export interface SlotLoaderParts {
  queue: LeaseQueue;
  ledger: LeaseLedger;
  orders: OrderBook;
  claim: OwnershipClaim;
}

/** Time for which an adapter whose load failed is not loaded again. */
const LOAD_RETRY_DELAY_MS = 500;

export class SlotLoader {
  readonly slots: SlotTable;
  readonly #context: OwnerContext;
  readonly #parts: SlotLoaderParts;
  readonly #loadFailedAt = new Map<string, Milliseconds>();

  constructor(context: OwnerContext, parts: SlotLoaderParts) {
    this.#context = context;
    this.#parts = parts;
    this.slots = new SlotTable(context.options.pool.slots);
  }

  /** Orders the load that the request waits for, or the eviction that makes room for it. */
  tryLoad(waiting: WaitingLeaseRequest, now: Milliseconds): void {
    const { adapterKey } = waiting.request;
    waiting.hasWaitedForLoad = true;
    if (!this.slots.hasFreeSlot()) {
      this.#tryEvict(now);
      return;
    }
    if (!this.#context.options.storeBudget.tryStartLoad(now)) return;
    this.slots.addLoading(adapterKey, now);
    this.#giveOrder({ kind: "load", adapterKey });
  }

  /** Records the end of a load; returns whether it failed. */
  recordLoadEnd(
    adapterKey: string,
    result: OrderResult,
    now: Milliseconds,
  ): boolean {
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
        this.slots.apply(adapterKey, "orderDone", now);
        break;
      case "failed":
      case "refusedByFencing":
        this.slots.apply(adapterKey, "orderFailed", now);
        break;
      case "unknown":
        this.slots.apply(adapterKey, "orderUnknown", now);
        break;
    }
  }

  /** An upstream that restarted holds nothing. */
  recordRestart(now: Milliseconds): void {
    this.slots.applyToAll("upstreamRestarted", now);
    this.#loadFailedAt.clear();
  }

  hasLoadFailedLately(adapterKey: string, now: Milliseconds): boolean {
    const failedAt = this.#loadFailedAt.get(adapterKey);
    if (failedAt === undefined) return false;
    if (now - failedAt < LOAD_RETRY_DELAY_MS) return true;
    this.#loadFailedAt.delete(adapterKey);
    return false;
  }

  /** Returns the time until the adapter would be resident; 0 when it has a slot. */
  estimateLoadWaitMs(adapterKey: string): Milliseconds {
    if (this.#context.isService() || this.slots.getSlot(adapterKey)) return 0;
    const missing = [...this.#parts.queue.getAdapterKeys()].filter((key) =>
      this.slots.getSlot(key) === undefined
    );
    const { storeBudget, settings } = this.#context.options;
    return storeBudget.estimateWaitMs(missing.length, settings.loadTimeMs);
  }

  /** Returns the score of the resident adapter that is worth least; 0 with a free slot. */
  getVictimValue(now: Milliseconds): number {
    if (this.slots.hasFreeSlot()) return 0;
    const { popularity } = this.#context.options;
    let value = Number.POSITIVE_INFINITY;
    for (const slot of this.slots.getByState("resident")) {
      value = Math.min(value, popularity.getScore(slot.adapterKey, now));
    }
    return Number.isFinite(value) ? value : 0;
  }

  /** Orders one eviction unless one is under way. */
  #tryEvict(now: Milliseconds): void {
    if (this.slots.getByState("evicting").length > 0) return;
    const victim = this.#findVictim(now);
    if (victim === undefined) return;
    this.slots.apply(victim, "evictOrdered", now);
    this.#giveOrder({ kind: "evict", adapterKey: victim });
  }

  /** Returns the resident adapter of least value that is certainly not in use. */
  #findVictim(now: Milliseconds): string | undefined {
    const wanted = this.#parts.queue.getAdapterKeys();
    let victim: string | undefined;
    let victimScore = Number.POSITIVE_INFINITY;
    for (const slot of this.slots.getByState("resident")) {
      if (wanted.has(slot.adapterKey)) continue;
      if (!this.#isEvictable(slot.adapterKey, now)) continue;
      const score = this.#context.options.popularity.getScore(
        slot.adapterKey,
        now,
      );
      if (score >= victimScore) continue;
      victim = slot.adapterKey;
      victimScore = score;
    }
    return victim;
  }

  /** Returns whether no run on the adapter can be going on or start. */
  #isEvictable(adapterKey: string, now: Milliseconds): boolean {
    return !this.#parts.ledger.hasLeases(adapterKey) &&
      this.#parts.claim.isFreeOfPredecessors(adapterKey, now);
  }

  #giveOrder(order: { kind: "load" | "evict"; adapterKey: string }): void {
    this.#parts.orders.giveOrder(order, this.#parts.claim.fencing);
  }
}
