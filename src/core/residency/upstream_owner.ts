/**
 * The owner of one upstream: keeps its slots, orders loads and evictions and
 * grants leases. An adapter is evicted only when no lease on it, granted here
 * or by an earlier owner, can still cover a run.
 */
import { ownerChart, type OwnerState } from "../../charts/owner_chart.ts";
import type { CoreSettings } from "../core_settings.ts";
import type { Effect, UpstreamOrder } from "../effects.ts";
import type { OrderResult } from "../events.ts";
import { hashText } from "../hashing.ts";
import type {
  HandoverMessage,
  LeaseRequestMessage,
  UpstreamDigest,
} from "../messages.ts";
import { LeaseRefusalReason } from "../outcomes.ts";
import {
  Fencing,
  type HostStructure,
  type Milliseconds,
  PoolKind,
  type PoolStructure,
  type UpstreamStateStructure,
} from "../structures.ts";
import type { AdapterPopularity } from "./adapter_popularity.ts";
import { LeaseLedger } from "./lease_ledger.ts";
import { LeaseQueue, type WaitingLeaseRequest } from "./lease_queue.ts";
import { SlotTable } from "./slot_table.ts";
import type { StoreBudget } from "./store_budget.ts";

export interface UpstreamOwnerOptions {
  selfId: string;
  incarnation: string;
  host: HostStructure;
  pool: PoolStructure;
  settings: CoreSettings;
  popularity: AdapterPopularity;
  storeBudget: StoreBudget;
  /** Longest run of any route to the pool. */
  maxRunMs: Milliseconds;
  emit: (effect: Effect) => void;
}

/** An upstream as its owner describes it to operators. */
export interface OwnedUpstreamDescription {
  upstreamId: string;
  state: OwnerState;
  up: boolean;
  fencing: number;
  slots: { adapterKey: string; state: string }[];
  capacity: number;
  leases: { holder: string; adapterKey: string; credits: number }[];
  creditsInUse: number;
  batchSize: number;
  waiting: number;
  evictionAllowedInMs: number;
}

interface PendingOrder {
  order: UpstreamOrder;
}

interface Reading {
  state: UpstreamStateStructure;
  readAt: Milliseconds;
}

/** Part of a fencing number that tells apart daemons that claim at once. */
const FENCING_SPREAD = 65_536;
/** Time for which an adapter whose load failed is not loaded again. */
const LOAD_RETRY_DELAY_MS = 500;
/** Time after which a deposed owner reads the upstream again. */
const DEPOSED_RETRY_MS = 2_000;
/** Readings that may fail in a row before the upstream counts as down. */
const MAX_FAILED_READINGS = 2;

export class UpstreamOwner {
  readonly #options: UpstreamOwnerOptions;
  readonly #slots: SlotTable;
  readonly #ledger = new LeaseLedger();
  readonly #queue = new LeaseQueue();
  readonly #orders = new Map<string, PendingOrder>();
  readonly #loadFailedAt = new Map<string, Milliseconds>();
  #state: OwnerState = ownerChart.initial;
  #stateSince: Milliseconds;
  #fencing = 0;
  #reading: Reading | undefined;
  #pendingRead: { readId: string; startedAt: Milliseconds } | undefined;
  #lastReadStartedAt = Number.NEGATIVE_INFINITY;
  #failedReadings = 0;
  #handover: HandoverMessage | undefined;
  /** Fencing number that the upstream reported before it was claimed. */
  #fencingBeforeClaim = 0;
  #evictionAllowedAt = Number.POSITIVE_INFINITY;
  /** No run that an earlier owner permitted starts after this time. */
  #predecessorWindowEndsAt = Number.POSITIVE_INFINITY;
  #lastId = 0;

  constructor(options: UpstreamOwnerOptions, now: Milliseconds) {
    this.#options = options;
    this.#slots = new SlotTable(options.pool.slots);
    this.#stateSince = now;
  }

  get upstreamId(): string {
    return this.#options.host.id;
  }

  isUp(): boolean {
    return this.#reading !== undefined &&
      this.#failedReadings < MAX_FAILED_READINGS;
  }

  isOwning(): boolean {
    return this.#state === "owning";
  }

  /** Answers a lease request with a grant or refusal, now or later. */
  requestLease(
    holder: string,
    request: LeaseRequestMessage,
    now: Milliseconds,
  ): void {
    const granted = this.#ledger.getByRequestId(request.leaseRequestId);
    if (granted) {
      this.#renewGrant(granted.leaseId, holder, request, now);
      return;
    }
    const refusal = this.#findRefusal(request, now);
    if (refusal) {
      this.#refuse(holder, request, refusal, now);
      return;
    }
    if (!this.#queue.has(request.leaseRequestId)) {
      this.#options.popularity.recordRequests(
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
    this.#pump(now);
  }

  cancelLeaseRequest(leaseRequestId: string, now: Milliseconds): void {
    this.#queue.remove(leaseRequestId);
    const granted = this.#ledger.getByRequestId(leaseRequestId);
    if (granted) this.returnLease(granted.leaseId, granted.credits, now);
  }

  returnLease(leaseId: string, credits: number, now: Milliseconds): void {
    this.#ledger.returnCredits(leaseId, credits);
    this.#pump(now);
  }

  /** Takes over the leases of the previous owner, which grants nothing any more. */
  acceptHandover(handover: HandoverMessage, now: Milliseconds): void {
    const windowMs = this.#options.settings.leaseWindowMs +
      this.#options.settings.leaseMarginMs;
    for (const lease of handover.leases) {
      this.#ledger.addLease({
        leaseId: lease.leaseId,
        leaseRequestId: "",
        holder: lease.holder,
        adapterKey: lease.adapterKey,
        credits: lease.credits,
        exclusive: false,
        windowEndsAt: now + Math.min(windowMs, lease.remainingMs),
        safeUntil: now + lease.remainingMs,
      });
    }
    this.#handover = handover;
    this.#trustHandoverIfDirect(now);
    this.#pump(now);
  }

  describeHandover(now: Milliseconds): HandoverMessage {
    return {
      kind: "handover",
      upstreamId: this.upstreamId,
      upstreamIncarnation: this.#reading?.state.incarnation ?? "",
      fencing: this.#fencing,
      leases: this.#ledger.describeForHandover(now),
    };
  }

  /** Refuses all that waits, before ownership is given up. */
  release(reason: LeaseRefusalReason, now: Milliseconds): void {
    for (const waiting of this.#queue.removeAll()) {
      this.#refuse(waiting.holder, waiting.request, reason, now);
    }
    for (const pending of this.#orders.values()) {
      if (pending.order.kind === "load") this.#options.storeBudget.finishLoad();
    }
    this.#orders.clear();
  }

  recordState(
    readId: string,
    state: UpstreamStateStructure,
    now: Milliseconds,
  ): void {
    if (this.#pendingRead?.readId !== readId) return;
    const readAt = this.#pendingRead.startedAt;
    this.#pendingRead = undefined;
    this.#failedReadings = 0;
    const hasRestarted = this.#reading !== undefined &&
      this.#reading.state.incarnation !== state.incarnation;
    if (hasRestarted) this.#handleRestart(now);
    this.#reading = { state, readAt };
    if (this.#state === "owning" && state.fencing > this.#fencing) {
      this.#depose(now);
      return;
    }
    this.#slots.reconcile(state, readAt, now);
    this.#dropIdleLeases(readAt);
    if (this.#state === "reading") this.#claim(now);
    this.#pump(now);
  }

  recordStateUnread(
    readId: string,
    isRefused: boolean,
    now: Milliseconds,
  ): void {
    if (this.#pendingRead?.readId !== readId) return;
    this.#pendingRead = undefined;
    this.#failedReadings = isRefused
      ? MAX_FAILED_READINGS
      : this.#failedReadings + 1;
    if (this.isUp()) return;
    this.#refuseAll(LeaseRefusalReason.UpstreamDown, now);
  }

  /** Records the end of an order; returns false when it was not given here. */
  recordOrderEnd(
    orderId: string,
    result: OrderResult,
    now: Milliseconds,
  ): boolean {
    const pending = this.#orders.get(orderId);
    if (!pending) return false;
    this.#orders.delete(orderId);
    switch (pending.order.kind) {
      case "claim":
        this.#recordClaimEnd(result, now);
        break;
      case "load":
        this.#options.storeBudget.finishLoad();
        this.#recordLoadEnd(pending.order.adapterKey, result, now);
        break;
      case "evict":
        this.#applyOrderResult(pending.order.adapterKey, result, now);
        break;
    }
    if (result.kind === "refusedByFencing" && this.#state === "owning") {
      this.#depose(now);
    }
    this.#pump(now);
    return true;
  }

  /** Reads the state when due, drops what has expired and serves the queue. */
  tick(now: Milliseconds): void {
    const { settings } = this.#options;
    const isRetryDue = this.#state === "deposed" &&
      now - this.#stateSince >= DEPOSED_RETRY_MS;
    if (isRetryDue) this.#enter("reading", now);
    this.#ledger.dropExpired(now);
    for (const waiting of this.#queue.removeOverdue(now)) {
      this.#refuse(
        waiting.holder,
        waiting.request,
        LeaseRefusalReason.DeadlineUnreachable,
        now,
      );
    }
    const isReadDue = this.#pendingRead === undefined &&
      now - this.#lastReadStartedAt >= settings.stateReadIntervalMs;
    if (isReadDue) this.#readState(now);
    this.#pump(now);
  }

  describeDigest(now: Milliseconds): UpstreamDigest {
    return {
      upstreamId: this.upstreamId,
      residents: this.#slots.getByState("resident").map((slot) =>
        slot.adapterKey
      ),
      loading: this.#slots.getByState("loading").map((slot) => slot.adapterKey),
      creditsInUse: this.#ledger.getCreditsInUse(),
      waiting: this.#queue.size,
      victimValue: this.#getVictimValue(now),
      leaving: this.#isLeaving(),
      up: this.isUp() && this.#state === "owning",
    };
  }

  describe(now: Milliseconds): OwnedUpstreamDescription {
    const allowedInMs = this.#evictionAllowedAt - now;
    return {
      upstreamId: this.upstreamId,
      state: this.#state,
      up: this.isUp(),
      fencing: this.#fencing,
      slots: this.#slots.getSlots().map((slot) => ({
        adapterKey: slot.adapterKey,
        state: slot.state,
      })),
      capacity: this.#slots.getCapacity(),
      leases: this.#ledger.getLeases().map((lease) => ({
        holder: lease.holder,
        adapterKey: lease.adapterKey,
        credits: lease.credits,
      })),
      creditsInUse: this.#ledger.getCreditsInUse(),
      batchSize: this.#options.pool.batchSize,
      waiting: this.#queue.size,
      evictionAllowedInMs: Number.isFinite(allowedInMs)
        ? Math.max(0, Math.round(allowedInMs))
        : -1,
    };
  }

  #findRefusal(
    request: LeaseRequestMessage,
    now: Milliseconds,
  ): LeaseRefusalReason | undefined {
    if (this.#state !== "owning") return LeaseRefusalReason.Claiming;
    if (!this.isUp()) return LeaseRefusalReason.UpstreamDown;
    if (this.#isLeaving()) return LeaseRefusalReason.Leaving;
    const isFull =
      this.#queue.size >= this.#options.settings.maxQueuedLeaseRequests &&
      !this.#queue.has(request.leaseRequestId);
    if (isFull) return LeaseRefusalReason.QueueFull;
    if (this.#hasLoadFailedLately(request.adapterKey, now)) {
      return LeaseRefusalReason.LoadFailed;
    }
    if (this.#estimateLoadWaitMs(request.adapterKey) > request.remainingMs) {
      return LeaseRefusalReason.DeadlineUnreachable;
    }
    return undefined;
  }

  #isLeaving(): boolean {
    return this.#options.host.state === "leaving" ||
      this.#reading?.state.leaving === true;
  }

  #isService(): boolean {
    return this.#options.pool.kind === PoolKind.Service;
  }

  /** Grants what can be granted and orders the loads that the rest waits for. */
  #pump(now: Milliseconds): void {
    if (!this.#canGrant(now)) return;
    for (const waiting of this.#queue.getOrdered()) {
      if (this.#isService()) {
        this.#tryGrant(waiting, now);
        continue;
      }
      const slot = this.#slots.getSlot(waiting.request.adapterKey);
      if (slot?.state === "resident") this.#tryGrant(waiting, now);
      else if (!slot) this.#tryLoad(waiting, now);
      else if (slot.state === "loading") waiting.hasWaitedForLoad = true;
    }
  }

  #canGrant(now: Milliseconds): boolean {
    if (this.#state !== "owning" || !this.isUp() || this.#isLeaving()) {
      return false;
    }
    const age = now - (this.#reading?.readAt ?? Number.NEGATIVE_INFINITY);
    return age <= this.#options.settings.ownershipValidityMs;
  }

  #tryGrant(waiting: WaitingLeaseRequest, now: Milliseconds): void {
    const { request, holder } = waiting;
    const room = this.#options.pool.batchSize - this.#ledger.getCreditsInUse();
    if (room <= 0 || this.#ledger.hasExclusiveLease()) return;
    if (request.exclusive && this.#ledger.getCreditsInUse() > 0) return;
    const credits = request.exclusive ? 1 : Math.min(room, request.credits);
    const { settings } = this.#options;
    const windowEndsAt = now + settings.leaseWindowMs + settings.leaseMarginMs;
    const leaseId = this.#createId("lease");
    this.#ledger.addLease({
      leaseId,
      leaseRequestId: request.leaseRequestId,
      holder,
      adapterKey: request.adapterKey,
      credits,
      exclusive: request.exclusive,
      windowEndsAt,
      safeUntil: windowEndsAt + request.maxRunMs,
    });
    this.#queue.remove(request.leaseRequestId);
    this.#sendGrant(leaseId, holder, request, {
      credits,
      loaded: waiting.hasWaitedForLoad,
    });
  }

  /** Answers a repeated request with the grant that its first sending was given. */
  #renewGrant(
    leaseId: string,
    holder: string,
    request: LeaseRequestMessage,
    now: Milliseconds,
  ): void {
    const lease = this.#ledger.getByRequestId(request.leaseRequestId);
    if (!lease || !this.#canGrant(now)) return;
    const { settings } = this.#options;
    lease.windowEndsAt = now + settings.leaseWindowMs + settings.leaseMarginMs;
    lease.safeUntil = lease.windowEndsAt + request.maxRunMs;
    this.#sendGrant(leaseId, holder, request, {
      credits: lease.credits,
      loaded: false,
    });
  }

  #sendGrant(
    leaseId: string,
    holder: string,
    request: LeaseRequestMessage,
    grant: { credits: number; loaded: boolean },
  ): void {
    this.#options.emit({
      kind: "send",
      to: holder,
      message: {
        kind: "leaseGrant",
        leaseRequestId: request.leaseRequestId,
        leaseId,
        upstreamId: this.upstreamId,
        adapterKey: request.adapterKey,
        credits: grant.credits,
        windowMs: this.#options.settings.leaseWindowMs,
        exclusive: request.exclusive,
        upstreamIncarnation: this.#reading?.state.incarnation ?? "",
        loaded: grant.loaded,
      },
    });
  }

  #tryLoad(waiting: WaitingLeaseRequest, now: Milliseconds): void {
    const { adapterKey } = waiting.request;
    waiting.hasWaitedForLoad = true;
    if (!this.#slots.hasFreeSlot()) {
      this.#tryEvict(now);
      return;
    }
    if (!this.#options.storeBudget.tryStartLoad(now)) return;
    this.#slots.addLoading(adapterKey, now);
    this.#giveOrder({ kind: "load", adapterKey });
  }

  /** Orders one eviction unless one is under way. */
  #tryEvict(now: Milliseconds): void {
    if (this.#slots.getByState("evicting").length > 0) return;
    const victim = this.#findVictim(now);
    if (victim === undefined) return;
    this.#slots.apply(victim, "evictOrdered", now);
    this.#giveOrder({ kind: "evict", adapterKey: victim });
  }

  /** Returns the resident adapter of least value that is certainly not in use. */
  #findVictim(now: Milliseconds): string | undefined {
    const wanted = this.#queue.getAdapterKeys();
    let victim: string | undefined;
    let victimScore = Number.POSITIVE_INFINITY;
    for (const slot of this.#slots.getByState("resident")) {
      if (wanted.has(slot.adapterKey)) continue;
      if (!this.#isEvictable(slot.adapterKey, now)) continue;
      const score = this.#options.popularity.getScore(slot.adapterKey, now);
      if (score >= victimScore) continue;
      victim = slot.adapterKey;
      victimScore = score;
    }
    return victim;
  }

  /** Returns whether no run on the adapter can be going on or start. */
  #isEvictable(adapterKey: string, now: Milliseconds): boolean {
    if (this.#ledger.hasLeases(adapterKey)) return false;
    if (now >= this.#evictionAllowedAt) return true;
    const idleSince = this.#predecessorWindowEndsAt +
      this.#options.settings.engineReportLagMs;
    return this.#reading !== undefined && this.#reading.readAt >= idleSince &&
      getInFlight(this.#reading.state, adapterKey) === 0;
  }

  #getVictimValue(now: Milliseconds): number {
    if (this.#slots.hasFreeSlot()) return 0;
    let value = Number.POSITIVE_INFINITY;
    for (const slot of this.#slots.getByState("resident")) {
      const score = this.#options.popularity.getScore(slot.adapterKey, now);
      value = Math.min(value, score);
    }
    return Number.isFinite(value) ? value : 0;
  }

  #dropIdleLeases(readAt: Milliseconds): void {
    if (this.#isService() || !this.#reading) return;
    const lagMs = this.#options.settings.engineReportLagMs;
    for (const entry of this.#reading.state.residents) {
      if (entry.inFlight > 0) continue;
      this.#ledger.dropIdle(entry.adapterKey, readAt, lagMs);
    }
  }

  #readState(now: Milliseconds): void {
    const readId = this.#createId("read");
    this.#pendingRead = { readId, startedAt: now };
    this.#lastReadStartedAt = now;
    this.#options.emit({
      kind: "readUpstreamState",
      upstreamId: this.upstreamId,
      upstreamKind: this.#options.pool.kind,
      address: this.#options.host.address,
      readId,
    });
  }

  /** Claims the upstream with a fencing number above the highest that it reports. */
  #claim(now: Milliseconds): void {
    this.#enter("claiming", now);
    const highest = Math.max(this.#fencing, this.#reading?.state.fencing ?? 0);
    const epoch = Math.floor(highest / FENCING_SPREAD) + 1;
    this.#fencingBeforeClaim = this.#reading?.state.fencing ?? 0;
    const spread = hashText(this.#options.selfId) % FENCING_SPREAD;
    this.#fencing = epoch * FENCING_SPREAD + spread;
    if (this.#isService()) {
      this.#recordClaimEnd({ kind: "done" }, now);
      return;
    }
    this.#giveOrder({ kind: "claim" });
  }

  #recordClaimEnd(result: OrderResult, now: Milliseconds): void {
    if (this.#state !== "claiming") return;
    if (result.kind !== "done") {
      this.#enter("reading", now);
      return;
    }
    this.#enter("owning", now);
    if (Number.isFinite(this.#evictionAllowedAt)) return;
    const { settings, maxRunMs } = this.#options;
    this.#predecessorWindowEndsAt = now + settings.ownershipValidityMs +
      settings.leaseWindowMs + settings.leaseMarginMs;
    this.#evictionAllowedAt = this.#predecessorWindowEndsAt + maxRunMs;
    this.#trustHandoverIfDirect(now);
  }

  /**
   * Lifts the wait for a predecessor's leases when the upstream shows that the
   * daemon that handed over was the last one to claim it.
   */
  #trustHandoverIfDirect(now: Milliseconds): void {
    if (this.#state !== "owning" || !this.#handover) return;
    const isDirect = this.#options.pool.fencing === Fencing.Checked &&
      this.#handover.fencing === this.#fencingBeforeClaim;
    if (!isDirect) return;
    this.#evictionAllowedAt = Math.min(this.#evictionAllowedAt, now);
    this.#predecessorWindowEndsAt = Math.min(
      this.#predecessorWindowEndsAt,
      now,
    );
  }

  #recordLoadEnd(
    adapterKey: string,
    result: OrderResult,
    now: Milliseconds,
  ): void {
    this.#applyOrderResult(adapterKey, result, now);
    if (result.kind !== "failed") return;
    this.#loadFailedAt.set(adapterKey, now);
    this.#options.emit({
      kind: "count",
      counter: "load_failed",
      tag: this.upstreamId,
    });
    for (const waiting of this.#queue.removeByAdapter(adapterKey)) {
      this.#refuse(
        waiting.holder,
        waiting.request,
        LeaseRefusalReason.LoadFailed,
        now,
      );
    }
  }

  #applyOrderResult(
    adapterKey: string,
    result: OrderResult,
    now: Milliseconds,
  ): void {
    switch (result.kind) {
      case "done":
        this.#slots.apply(adapterKey, "orderDone", now);
        break;
      case "failed":
      case "refusedByFencing":
        this.#slots.apply(adapterKey, "orderFailed", now);
        break;
      case "unknown":
        this.#slots.apply(adapterKey, "orderUnknown", now);
        break;
    }
  }

  /** An upstream that restarted runs nothing and holds nothing. */
  #handleRestart(now: Milliseconds): void {
    this.#ledger.dropAll();
    this.#slots.applyToAll("upstreamRestarted", now);
    this.#loadFailedAt.clear();
    const next = ownerChart.getNext(this.#state, "upstreamRestarted");
    if (next) this.#enter(next, now);
  }

  #depose(now: Milliseconds): void {
    this.#enter("deposed", now);
    this.#evictionAllowedAt = Number.POSITIVE_INFINITY;
    this.#predecessorWindowEndsAt = Number.POSITIVE_INFINITY;
    this.#options.emit({
      kind: "count",
      counter: "owner_deposed",
      tag: this.upstreamId,
    });
    this.#refuseAll(LeaseRefusalReason.NotOwner, now);
  }

  #enter(state: OwnerState, now: Milliseconds): void {
    this.#state = state;
    this.#stateSince = now;
  }

  #giveOrder(order: UpstreamOrder): void {
    const orderId = this.#createId("order");
    this.#orders.set(orderId, { order });
    this.#options.emit({
      kind: "order",
      orderId,
      upstreamId: this.upstreamId,
      address: this.#options.host.address,
      fencing: this.#fencing,
      order,
    });
  }

  #hasLoadFailedLately(adapterKey: string, now: Milliseconds): boolean {
    const failedAt = this.#loadFailedAt.get(adapterKey);
    if (failedAt === undefined) return false;
    if (now - failedAt < LOAD_RETRY_DELAY_MS) return true;
    this.#loadFailedAt.delete(adapterKey);
    return false;
  }

  #estimateLoadWaitMs(adapterKey: string): Milliseconds {
    if (this.#isService() || this.#slots.getSlot(adapterKey)) return 0;
    const missing = [...this.#queue.getAdapterKeys()].filter((key) =>
      this.#slots.getSlot(key) === undefined
    );
    return this.#options.storeBudget.estimateWaitMs(
      missing.length,
      this.#options.settings.loadTimeMs,
    );
  }

  #refuseAll(reason: LeaseRefusalReason, now: Milliseconds): void {
    for (const waiting of this.#queue.removeAll()) {
      this.#refuse(waiting.holder, waiting.request, reason, now);
    }
  }

  #refuse(
    holder: string,
    request: LeaseRequestMessage,
    reason: LeaseRefusalReason,
    _now: Milliseconds,
  ): void {
    this.#options.emit({
      kind: "count",
      counter: "lease_refused",
      tag: reason,
    });
    this.#options.emit({
      kind: "send",
      to: holder,
      message: {
        kind: "leaseRefusal",
        leaseRequestId: request.leaseRequestId,
        upstreamId: this.upstreamId,
        adapterKey: request.adapterKey,
        reason,
        retryAfterMs: this.#estimateLoadWaitMs(request.adapterKey) + 100,
        ownerId: this.#state === "owning" ? this.#options.selfId : "",
      },
    });
  }

  #createId(prefix: string): string {
    this.#lastId += 1;
    const { selfId, incarnation } = this.#options;
    return `${prefix}/${selfId}/${incarnation}/${this.upstreamId}/${this.#lastId}`;
  }
}

function getInFlight(
  state: UpstreamStateStructure,
  adapterKey: string,
): number {
  return state.residents.find((entry) => entry.adapterKey === adapterKey)
    ?.inFlight ?? 0;
}
