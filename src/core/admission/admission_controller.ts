/**
 * Admission controller of one engine, run by the engine's owner: admits
 * requests to the engine's batch, selects the adapters to load and evict for
 * them, and denies at once what can't be served in time. It is built for more
 * distinct adapters than slots, and for more prompt tokens than the engine can
 * prefill in time, from many daemons.
 */
import type { AdapterSlot, AdapterSlots } from "../placement/adapter_slots.ts";
import { MAX_LOAD_LATENESS_MS } from "../placement/adapter_slots.ts";
import { MAX_LOADING } from "../placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../structures.ts";
import type { BatchCapacity, BatchDemand } from "./batch_capacity.ts";
import {
  type CustomerRequest,
  type CustomerTurn,
  CustomerTurns,
  hasSeveralCustomers,
  isHeldBack,
  rankByTurn,
} from "./customer_turns.ts";
import { PauseLimit } from "./pause_limit.ts";
import { MAX_PREFILL_BACKLOG_MS, PrefillShare } from "./prefill_share.ts";
import { type Reservation, RoomReservation } from "./room_reservation.ts";
import { RunEstimator } from "./run_estimator.ts";
import { compareUrgency, GrantTurns } from "./urgency.ts";
import { rankWaiting } from "./waiting_order.ts";

/** A request for permission to run on an engine. */
export interface PermitRequest extends BatchDemand, CustomerRequest {
  permitId: string;
  /** Daemon that asks for the permit and would hold it. */
  holder: string;
  model: string;
  /** Empty for the base model. */
  adapter: string;
  /** Required version of the adapter; undefined when none is declared. */
  version?: number | undefined;
  /** Longest time to wait for the permit. */
  patienceMs: Milliseconds;
  /** Time left until the first token is late. */
  firstTokenBudgetMs: Milliseconds;
  /**
   * Longest pause between events that the caller accepts; undefined if the
   * route declares none, or an older gateway sent the request.
   */
  interTokenObjectiveMs?: Milliseconds | undefined;
  /** Time after which the request can't be running any more. */
  lifetimeMs: Milliseconds;
  /** Whether no other engine will be tried, so that the request waits here. */
  isLastChoice: boolean;
}

export const DenialReason = {
  /** Every adapter slot is in use. */
  SlotsInUse: "slotsInUse",
  /** The batch is full or the prefill backlog too long. */
  Busy: "busy",
  /** This daemon is not the engine's owner. */
  NotOwner: "notHolder",
  /** The wait ended without a permit. */
  Overdue: "overdue",
} as const;
export type DenialReason = (typeof DenialReason)[keyof typeof DenialReason];

export type PermitAnswer =
  | { kind: "granted"; permitId: string; holder: string }
  | {
    kind: "denied";
    permitId: string;
    holder: string;
    reason: DenialReason;
    /** Time after which a permit is expected to be available. */
    retryAfterMs: Milliseconds;
    /**
     * The engine's owner, if it is known to a daemon that denies the request
     * because it is not the owner itself.
     */
    knownHolder?: string;
  };

/** A running request at an engine whose owner has changed. */
export interface AdoptedRun extends BatchDemand {
  permitId: string;
  /** Time after which it can't be running any more. */
  lifetimeMs: Milliseconds;
}

/** The next order to give to the engine. */
export type EngineOrder =
  | {
    kind: "load";
    model: string;
    adapter: string;
    adapterPath: string;
    version: number | undefined;
  }
  | { kind: "evict"; model: string; adapter: string; adapterPath: string };

/**
 * A request is sent to another engine only if its first token would take longer
 * here than this fraction of its remaining budget.
 */
const SPILLOVER_TOTAL_FRACTION = 0.65;
/**
 * A request is also sent to another engine only if the waits that are specific
 * to this engine take longer than this fraction of the budget, since another
 * copy of the adapter costs one more load.
 */
const SPILLOVER_LOCAL_FRACTION = 0.2;
/**
 * Time after a change of owner in which daemons report the requests that they
 * run on the engine. Nothing is evicted before it has passed.
 */
const ADOPTION_TIMEOUT_MS = 900;
/**
 * Fraction of the expected wait for the requests ahead that is taken for
 * certain: the interval between grants is an average of the last few.
 */
const CERTAIN_TURN_FRACTION = 0.95;

interface WaitingRequest {
  request: PermitRequest;
  arrivedAt: Milliseconds;
  overdueAt: Milliseconds;
}

/** A waiting request in the order of service. */
type RankedRequest = WaitingRequest & CustomerTurn;

/** Expected wait of a request at this engine, by cause. */
interface WaitEstimate {
  /**
   * For the engine's own resources: prefill, batch slots, adapter slots and
   * loads.
   */
  localMs: Milliseconds;
  /**
   * For the request's adapter, including the loads ahead of it at this engine.
   */
  loadMs: Milliseconds;
  /** For fetches of other engines from the weight store. */
  storeQueueMs: Milliseconds;
}

interface Permit {
  adapterPath: string;
  expiresAt: Milliseconds;
  /** When it was granted; undefined for adopted runs. */
  grantedAt: Milliseconds | undefined;
  hasFirstToken: boolean;
  interTokenObjectiveMs: Milliseconds | undefined;
}

export class AdmissionController {
  readonly slots: AdapterSlots;
  readonly batch: BatchCapacity;
  readonly #waitingRequests = new Map<string, WaitingRequest>();
  readonly #permits = new Map<string, Permit>();
  /** Until when the engine accepts no requests of a daemon, by daemon. */
  readonly #backoffUntil = new Map<string, Milliseconds>();
  #answers: PermitAnswer[] = [];
  /** Whether an order was asked for since the last tick. */
  #wasAskedForOrder = true;
  #lastTickAt = Number.NEGATIVE_INFINITY;
  /**
   * Since when the owner has not been able to give orders, for example because
   * the engine loads its base model; undefined while it is.
   */
  #blockedSince: Milliseconds | undefined;
  #evictionAllowedAt = Number.NEGATIVE_INFINITY;
  readonly #runEstimator = new RunEstimator();
  readonly #turns = new GrantTurns();
  readonly #customerTurns = new CustomerTurns();
  /**
   * Grants before an earlier, equally urgent request of another customer, since
   * they were last taken.
   */
  #earlyGrants = 0;
  readonly #reservation = new RoomReservation();
  readonly #prefillShare = new PrefillShare();
  readonly #pauseLimit = new PauseLimit();

  constructor(slots: AdapterSlots, batch: BatchCapacity) {
    this.slots = slots;
    this.batch = batch;
  }

  countWaiting(): number {
    return this.#waitingRequests.size;
  }

  /** Returns the pending answers and removes them. */
  takeAnswers(): PermitAnswer[] {
    const answers = this.#answers;
    this.#answers = [];
    return answers;
  }

  /**
   * Returns how many grants were given before an earlier, equally urgent request
   * of another customer, and counts anew.
   */
  takeEarlyGrants(): number {
    const count = this.#earlyGrants;
    this.#earlyGrants = 0;
    return count;
  }

  /** Accepts a request for a permit; its answer is ready now or later. */
  requestPermit(request: PermitRequest, now: Milliseconds): void {
    if (this.#permits.has(request.permitId)) {
      this.#answerGrant(request);
      return;
    }
    if (this.#waitingRequests.has(request.permitId)) return;
    if (request.patienceMs <= 0) {
      this.#refuse(request, DenialReason.Overdue, now);
      return;
    }
    const backoffMs = (this.#backoffUntil.get(request.holder) ?? now) - now;
    if (backoffMs > 0) {
      this.#answerDenial(request, DenialReason.Busy, backoffMs);
      return;
    }
    this.#prefillShare.recordArrival(request, now);
    const denial = this.#findDenial(request, now);
    if (!denial || request.isLastChoice) {
      this.#reservation.recordArrival(request, now);
      this.#customerTurns.recordArrival(request, now);
    }
    if (denial) {
      this.#refuse(request, denial, now);
      return;
    }
    if (!this.#hasEquallyUrgentWaiting(request)) {
      this.#turns.recordFirstWaiting(request, now);
    }
    if (!this.#hasCustomerWaiting(request)) {
      this.#customerTurns.recordFirstWaiting(request, now);
    }
    this.#waitingRequests.set(request.permitId, {
      request,
      arrivedAt: now,
      overdueAt: now + request.patienceMs,
    });
    this.grantWaiting(now);
  }

  /**
   * Begins to collect the running requests of an engine after a change of
   * owner. Nothing is evicted until they are known.
   */
  beginAdoption(now: Milliseconds): void {
    this.#blockedSince = undefined;
    this.#wasAskedForOrder = true;
    this.#evictionAllowedAt = now + ADOPTION_TIMEOUT_MS;
  }

  /** Records that every daemon has reported its running requests. */
  endAdoption(now: Milliseconds): void {
    this.#evictionAllowedAt = Math.min(this.#evictionAllowedAt, now);
  }

  /**
   * Counts a run that a former owner permitted, or that started without a
   * permit.
   */
  adoptPermit(permit: AdoptedRun, now: Milliseconds): void {
    if (this.#permits.has(permit.permitId)) return;
    const { permitId, adapterPath } = permit;
    this.#permits.set(permitId, {
      adapterPath,
      expiresAt: now + permit.lifetimeMs,
      grantedAt: undefined,
      hasFirstToken: true,
      interTokenObjectiveMs: undefined,
    });
    this.batch.admitPrefilled(permitId, permit, now);
    const slot = this.slots.getSlot(adapterPath);
    if (slot) this.slots.recordUse(slot, permitId, now);
  }

  /**
   * Releases the permit of a run that has ended and grants its capacity to
   * waiting requests.
   *
   * @param longestPauseMs longest pause between two events of the run, if it
   * was a stream whose route declares an objective for it.
   */
  releasePermit(
    permitId: string,
    now: Milliseconds,
    longestPauseMs?: Milliseconds,
  ): void {
    this.#waitingRequests.delete(permitId);
    const permit = this.#permits.get(permitId);
    if (!permit) return;
    if (longestPauseMs !== undefined) this.#recordPause(longestPauseMs);
    this.#permits.delete(permitId);
    this.batch.release(permitId);
    this.#reservation.recordRelease(permitId, now);
    if (permit.hasFirstToken && permit.grantedAt !== undefined) {
      this.#runEstimator.recordRun(now - permit.grantedAt);
    }
    const slot = this.slots.getSlot(permit.adapterPath);
    slot?.permitIds.delete(permitId);
    if (slot) slot.lastUsedAt = Math.max(slot.lastUsedAt, now);
    if (slot?.permitIds.size === 0) this.#runEstimator.recordSlotReleased(now);
    this.grantWaiting(now);
  }

  /** Adapts the number of running requests to the pauses that callers accept. */
  #recordPause(longestPauseMs: Milliseconds): void {
    let objectiveMs = Number.POSITIVE_INFINITY;
    for (const { interTokenObjectiveMs } of this.#permits.values()) {
      if (interTokenObjectiveMs === undefined) continue;
      objectiveMs = Math.min(objectiveMs, interTokenObjectiveMs);
    }
    if (objectiveMs === Number.POSITIVE_INFINITY) return;
    this.#pauseLimit.recordPause(longestPauseMs, {
      objectiveMs,
      running: this.batch.countRunning(),
      batchSize: this.batch.batchSize,
    });
    this.batch.setMaxRunning(this.#pauseLimit.maxRunning);
  }

  recordFirstToken(permitId: string, now: Milliseconds): void {
    this.slots.recordLoadOnTime(now);
    const permit = this.#permits.get(permitId);
    const slot = permit && this.slots.getSlot(permit.adapterPath);
    if (slot) this.slots.recordLoadConfirmed(slot);
    if (permit) permit.hasFirstToken = true;
    this.batch.recordFirstToken(permitId, now);
    this.grantWaiting(now);
  }

  /**
   * Releases a permit whose request the engine did not run. Returns whether the
   * adapter was ordered so recently that its load may still be in progress.
   */
  recordNotReady(
    permitId: string,
    delayMs: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const permit = this.#permits.get(permitId);
    const slot = permit && this.slots.getSlot(permit.adapterPath);
    const isLoadLate = slot !== undefined &&
      now - slot.readyAt < MAX_LOAD_LATENESS_MS;
    if (isLoadLate && slot.state === "resident") {
      this.slots.recordLoadLate(slot, delayMs, now);
    }
    this.releasePermit(permitId, now);
    return isLoadLate;
  }

  /**
   * Records that the engine accepts no requests of a daemon for the given time,
   * and denies those of that daemon that are waiting.
   */
  recordBackoff(
    daemonId: string,
    backoffMs: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#backoffUntil.set(daemonId, now + backoffMs);
    for (const [permitId, { request }] of this.#waitingRequests) {
      if (request.holder !== daemonId) continue;
      this.#waitingRequests.delete(permitId);
      this.#answerDenial(request, DenialReason.Busy, backoffMs);
    }
  }

  /** Called before each time at which the owner may give an order. */
  tick(now: Milliseconds): void {
    this.slots.completeLoads(now);
    this.#updateBlock(now);
    for (const [daemonId, until] of this.#backoffUntil) {
      if (until <= now) this.#backoffUntil.delete(daemonId);
    }
    for (const [permitId, permit] of this.#permits) {
      if (permit.expiresAt <= now) this.releasePermit(permitId, now);
    }
    for (const [permitId, waiting] of this.#waitingRequests) {
      if (waiting.overdueAt > now) continue;
      this.#waitingRequests.delete(permitId);
      this.#refuse(waiting.request, DenialReason.Overdue, now);
    }
    this.grantWaiting(now);
    this.#redirectWaiting(now);
  }

  /** An owner that can't give orders asks for none between two ticks. */
  #updateBlock(now: Milliseconds): void {
    if (!this.#wasAskedForOrder) this.#blockedSince ??= this.#lastTickAt;
    this.#wasAskedForOrder = false;
    this.#lastTickAt = now;
  }

  /** Returns for how long the owner has not been able to give orders. */
  #getBlockMs(now: Milliseconds): Milliseconds {
    return now - (this.#blockedSince ?? now);
  }

  /**
   * Denies the requests that wait for a load which the owner can't order, and
   * that another engine may still serve in time.
   */
  #redirectWaiting(now: Milliseconds): void {
    const blockMs = this.#getBlockMs(now);
    if (blockMs === 0) return;
    for (const { request, arrivedAt } of this.#waitingRequests.values()) {
      const { firstTokenBudgetMs, isLastChoice } = request;
      // An order takes some milliseconds, in which no other is given.
      const isShort = blockMs <= SPILLOVER_LOCAL_FRACTION * firstTokenBudgetMs;
      if (isShort || isLastChoice || !this.#needsLoad(request)) continue;
      const denial = this.#findDenial({
        ...request,
        firstTokenBudgetMs: firstTokenBudgetMs - (now - arrivedAt),
      }, now);
      if (!denial) continue;
      this.#waitingRequests.delete(request.permitId);
      this.#refuse(request, denial, now);
    }
  }

  /**
   * Returns when the next tick is due: a load is expected to complete, or a
   * wait ends.
   */
  getNextTickAt(): Milliseconds {
    let dueAt = Number.POSITIVE_INFINITY;
    for (const slot of this.slots.listSlots()) {
      if (slot.state === "loading") dueAt = Math.min(dueAt, slot.readyAt);
    }
    for (const { overdueAt } of this.#waitingRequests.values()) {
      dueAt = Math.min(dueAt, overdueAt);
    }
    return dueAt;
  }

  /**
   * Grants permits to waiting requests, the most urgent first, while the engine
   * has capacity. Requests that are less urgent than one that finds no room
   * leave it what is released, and so do equally urgent ones of customers that
   * are ahead of its customer.
   */
  grantWaiting(now: Milliseconds): void {
    let hasGranted = true;
    while (hasGranted) hasGranted = this.#grantUntilTurn(now);
  }

  /**
   * Grants permits until another class of requests has its turn; returns
   * whether one has.
   */
  #grantUntilTurn(now: Milliseconds): boolean {
    const waiting = this.#listWaiting(now).filter(({ request }) =>
      this.#isAdapterReady(request)
    );
    const turn = this.#findTurn(waiting);
    if (turn) {
      if (this.#tryGrant(turn.request, now)) return true;
      if (this.#turns.tryHold(turn.request, now)) return false;
    }
    let blocked: RankedRequest | undefined;
    let isHoldOver = false;
    for (const ranked of waiting) {
      const { request } = ranked;
      if (blocked && compareUrgency(blocked.request, request) < 0) continue;
      if (blocked && !isHoldOver && isHeldBack(blocked, ranked)) {
        isHoldOver = !this.#customerTurns.tryHold(blocked.request, now);
        if (!isHoldOver) continue;
      }
      const reserved = this.#computeReservation(request, now);
      if (this.#tryGrant(request, now, reserved)) {
        const next = this.#findTurn(waiting);
        if (next && next !== turn) return true;
      } else if (!blocked || compareUrgency(request, blocked.request) < 0) {
        blocked = ranked;
        isHoldOver = false;
      }
    }
    return false;
  }

  /**
   * Returns the request that is to be granted next because enough more
   * urgent ones were granted while requests of its class waited.
   */
  #findTurn(waiting: readonly RankedRequest[]): RankedRequest | undefined {
    return waiting.find(({ request }) =>
      this.#waitingRequests.has(request.permitId) &&
      this.#turns.isDue(request)
    );
  }

  #canQueuePrefill(request: PermitRequest, now: Milliseconds): boolean {
    const backlogMs = this.batch.estimatePrefillBacklogMs(now);
    return backlogMs <= MAX_PREFILL_BACKLOG_MS &&
      backlogMs <= this.#prefillShare.computeMaxBacklogMs(
          request,
          this.batch.estimatePrefillMs(request),
          now,
        );
  }

  #computeReservation(
    request: PermitRequest,
    now: Milliseconds,
  ): Reservation {
    return this.#reservation.computeReservation(request, this.batch.room, now);
  }

  /** Grants the permit if the engine has capacity; returns whether it has. */
  #tryGrant(
    request: PermitRequest,
    now: Milliseconds,
    reserved?: Reservation,
  ): boolean {
    const hasCapacity = this.batch.hasCapacityFor(request, reserved) &&
      this.#canQueuePrefill(request, now);
    if (hasCapacity) this.#grant(request, now);
    return hasCapacity;
  }

  /**
   * Returns the next order that would let a waiting request run, or undefined.
   */
  findNextOrder(
    canFetch: boolean,
    now: Milliseconds,
  ): EngineOrder | undefined {
    this.#wasAskedForOrder = true;
    this.#blockedSince = undefined;
    if (this.slots.countLoading() >= MAX_LOADING) return undefined;
    for (const { request } of this.#listWaiting(now)) {
      const { adapterPath, model, adapter, version } = request;
      if (adapter === "" || this.#isAdapterReady(request)) continue;
      const slot = this.slots.getSlot(adapterPath);
      if (slot && slot.state !== "resident") continue;
      if (!canFetch && this.slots.needsFetch(adapterPath)) continue;
      const load: EngineOrder = {
        kind: "load",
        model,
        adapter,
        adapterPath,
        version,
      };
      if (slot || this.slots.hasFreeSlot()) return load;
      const victim = this.#findEvictionVictim(now);
      if (victim) return buildEvictionOrder(victim.adapterPath);
    }
    return undefined;
  }

  /** Returns the idle adapters that may be evicted now. */
  listEvictable(now: Milliseconds): AdapterSlot[] {
    return now < this.#evictionAllowedAt ? [] : this.slots.listIdle(now);
  }

  /**
   * Returns the eviction that frees an adapter slot for later loads, or
   * undefined if enough are free, requests wait or no adapter is idle.
   */
  findSpareEviction(now: Milliseconds): EngineOrder | undefined {
    if (!this.slots.needsSpareSlot() || this.countWaiting() > 0) {
      return undefined;
    }
    const victim = this.#findEvictionVictim(now);
    return victim && buildEvictionOrder(victim.adapterPath);
  }

  /**
   * Denies all waiting requests when the daemon gives up ownership of the
   * engine.
   */
  refuseAll(reason: DenialReason, now: Milliseconds): void {
    for (const { request } of this.#waitingRequests.values()) {
      this.#refuse(request, reason, now);
    }
    this.#waitingRequests.clear();
  }

  /**
   * Removes every permit after a restart of the engine, which then runs
   * nothing.
   */
  clearPermits(): void {
    this.#permits.clear();
    this.#turns.clear();
    this.#customerTurns.clear();
    this.#reservation.clear();
    this.#pauseLimit.clear();
    this.batch.setMaxRunning(undefined);
    this.batch.clear();
  }

  /** Returns the waiting requests in the order in which they are to be served. */
  #listWaiting(now: Milliseconds): RankedRequest[] {
    const ranked = rankWaiting(
      [...this.#waitingRequests.values()].map((waiting) => {
        const { request, arrivedAt, overdueAt } = waiting;
        const onTimeUntil = arrivedAt + request.firstTokenBudgetMs -
          this.#estimateGrantToFirstTokenMs(request, now);
        return {
          waiting,
          request,
          urgency: request,
          arrivedAt,
          onTimeUntil,
          overdueAt,
        };
      }),
      now,
    );
    if (!hasSeveralCustomers(ranked)) return ranked.map((each) => each.waiting);
    return rankByTurn(
      ranked,
      this.#customerTurns,
      ({ onTimeUntil }) => now <= onTimeUntil,
      now,
    ).map(({ waiting, startTag }) => ({ ...waiting.waiting, startTag }));
  }

  /**
   * Returns the equally urgent requests that are served before this one;
   * undefined if all that wait are, as no customers take turns.
   */
  #findEqualAhead(
    request: PermitRequest,
    now: Milliseconds,
  ): ReadonlySet<PermitRequest> | undefined {
    let hasSeveral = false;
    for (const { request: other } of this.#waitingRequests.values()) {
      hasSeveral ||= other.customer !== request.customer;
    }
    if (!hasSeveral) return undefined;
    const equal = [...this.#waitingRequests.values()]
      .map((each) => each.request)
      .filter((other) =>
        other.permitId !== request.permitId &&
        compareUrgency(other, request) === 0
      );
    const startTags = this.#customerTurns
      .computeStartTags([...equal, request], now);
    const ownTag = startTags.at(-1) ?? 0;
    return new Set(
      equal.filter((_, index) => (startTags[index] ?? 0) <= ownTag),
    );
  }

  /** Estimates the time from an immediate grant to the first token. */
  #estimateGrantToFirstTokenMs(
    request: PermitRequest,
    now: Milliseconds,
  ): Milliseconds {
    const { adapterPath, adapter } = request;
    const slot = this.slots.getSlot(adapterPath);
    const loadMs = adapter === ""
      ? 0
      : slot
      ? Math.max(0, slot.readyAt - now)
      : this.slots.estimateLoadMs(adapterPath);
    return loadMs + this.batch.estimatePrefillMs(request);
  }

  #isAdapterReady(request: PermitRequest): boolean {
    if (request.adapter === "") return true;
    const slot = this.slots.getSlot(request.adapterPath);
    return slot?.state === "resident" && hasVersion(slot, request.version);
  }

  /**
   * Only waits that are specific to this engine justify trying another one: a
   * fetch from the weight store takes as long everywhere, and each further copy
   * of an adapter costs one.
   */
  #findDenial(
    request: PermitRequest,
    now: Milliseconds,
  ): DenialReason | undefined {
    const { localMs, loadMs, storeQueueMs } = this.#estimateWaits(
      request,
      now,
    );
    if (request.isLastChoice) {
      const permitWaitMs = Math.max(localMs, loadMs + storeQueueMs);
      return permitWaitMs > request.patienceMs ? DenialReason.Busy : undefined;
    }
    const { firstTokenBudgetMs } = request;
    const firstTokenMs = Math.max(localMs, loadMs) +
      this.batch.estimatePrefillMs(request);
    const isLate =
      firstTokenMs > SPILLOVER_TOTAL_FRACTION * firstTokenBudgetMs &&
      localMs > SPILLOVER_LOCAL_FRACTION * firstTokenBudgetMs;
    if (!isLate) return undefined;
    return this.#isBlockedOnSlot(request, now)
      ? DenialReason.SlotsInUse
      : DenialReason.Busy;
  }

  #findEvictionVictim(now: Milliseconds): AdapterSlot | undefined {
    return now < this.#evictionAllowedAt
      ? undefined
      : this.slots.findEvictionVictim(now);
  }

  /**
   * Returns when the first token of the request is expected if it runs here.
   */
  estimateFirstTokenMs(
    request: PermitRequest,
    now: Milliseconds,
  ): Milliseconds {
    const { localMs, loadMs, storeQueueMs } = this.#estimateWaits(
      request,
      now,
    );
    return Math.max(localMs, loadMs + storeQueueMs) +
      this.batch.estimatePrefillMs(request);
  }

  #estimateWaits(request: PermitRequest, now: Milliseconds): WaitEstimate {
    const equalAhead = this.#findEqualAhead(request, now);
    const prefillMs = this.batch.estimatePrefillBacklogMs(now) +
      this.#estimateQueuedPrefillMs(request, equalAhead);
    const batchSlotMs = this.batch.hasCapacityFor(request)
      ? 0
      : this.#runEstimator.meanRunMs / Math.max(1, this.batch.countRunning());
    const capacityMs = Math.max(
      prefillMs,
      batchSlotMs,
      this.#estimateTurnMs(request, equalAhead, now),
    );
    if (!this.#needsLoad(request)) {
      const slot = this.slots.getSlot(request.adapterPath);
      const loadMs = slot?.state === "loading"
        ? Math.max(0, slot.readyAt - now)
        : 0;
      return { localMs: capacityMs, loadMs, storeQueueMs: 0 };
    }
    const { adapterPath } = request;
    const loadsAhead = this.#countLoadsAhead(request);
    const slotMs = this.#isBlockedOnSlot(request, now)
      ? this.#runEstimator.slotReleaseIntervalMs * (1 + loadsAhead)
      : 0;
    // A block of unknown end is expected to last as long again; a request that
    // has no other engine waits for its end.
    const blockMs = request.isLastChoice ? 0 : this.#getBlockMs(now);
    const waitMs = Math.max(
      slotMs,
      blockMs,
      this.slots.estimateEngineQueueMs(adapterPath, loadsAhead),
    );
    return {
      localMs: Math.max(capacityMs, waitMs),
      loadMs: waitMs + this.slots.estimateLoadMs(adapterPath),
      storeQueueMs: this.slots.estimateStoreQueueMs(adapterPath),
    };
  }

  #hasEquallyUrgentWaiting(request: PermitRequest): boolean {
    for (const { request: other } of this.#waitingRequests.values()) {
      if (compareUrgency(other, request) === 0) return true;
    }
    return false;
  }

  #hasCustomerWaiting({ customer }: PermitRequest): boolean {
    for (const { request: other } of this.#waitingRequests.values()) {
      if (other.customer === customer) return true;
    }
    return false;
  }

  /**
   * Returns how long the request waits for the equally urgent ones before it,
   * at the rate at which these are served while requests of other urgency wait
   * too or room is reserved for them; 0 if neither is so.
   */
  #estimateTurnMs(
    request: PermitRequest,
    equalAhead: ReadonlySet<PermitRequest> | undefined,
    now: Milliseconds,
  ): Milliseconds {
    let equalCount = 0;
    let hasCompetitor = this.#computeReservation(request, now).tokens > 0;
    for (const { request: other } of this.#waitingRequests.values()) {
      if (other.permitId === request.permitId) continue;
      if (compareUrgency(other, request) !== 0) hasCompetitor = true;
      else if (!equalAhead || equalAhead.has(other)) equalCount += 1;
    }
    return hasCompetitor && equalCount > 0
      ? CERTAIN_TURN_FRACTION * equalCount *
        this.#turns.estimateIntervalMs(request)
      : 0;
  }

  /** Returns whether the request's adapter is neither loaded nor loading. */
  #needsLoad({ adapter, adapterPath }: PermitRequest): boolean {
    return adapter !== "" && this.slots.getSlot(adapterPath) === undefined;
  }

  #isBlockedOnSlot(request: PermitRequest, now: Milliseconds): boolean {
    return this.#needsLoad(request) && !this.slots.hasFreeSlot() &&
      this.#findEvictionVictim(now) === undefined;
  }

  /** Counts the other adapters that wait for a load here. */
  #countLoadsAhead(request: PermitRequest): number {
    const paths = new Set<string>();
    for (const { request: other } of this.#waitingRequests.values()) {
      const isOther = other.adapterPath !== request.adapterPath;
      if (isOther && this.#needsLoad(other)) paths.add(other.adapterPath);
    }
    return paths.size;
  }

  #estimateQueuedPrefillMs(
    request: PermitRequest,
    equalAhead: ReadonlySet<PermitRequest> | undefined,
  ): Milliseconds {
    let sum = 0;
    for (const { request: other } of this.#waitingRequests.values()) {
      const isAhead = other.permitId !== request.permitId &&
        other.priorityRank <= request.priorityRank &&
        (!equalAhead || equalAhead.has(other) ||
          compareUrgency(other, request) !== 0);
      if (isAhead) sum += this.batch.estimatePrefillMs(other);
    }
    return sum;
  }

  #grant(request: PermitRequest, now: Milliseconds): void {
    const { permitId, adapterPath } = request;
    const arrivedAt = this.#waitingRequests.get(permitId)?.arrivedAt ?? now;
    this.#waitingRequests.delete(permitId);
    this.#permits.set(permitId, {
      adapterPath,
      expiresAt: now + request.lifetimeMs,
      grantedAt: now,
      hasFirstToken: false,
      interTokenObjectiveMs: request.interTokenObjectiveMs,
    });
    this.batch.admit(permitId, request, now);
    this.#reservation.recordGrant(permitId, request, now);
    this.#customerTurns.recordGrant(request, now);
    const slot = this.slots.getSlot(adapterPath);
    if (slot) this.slots.recordUse(slot, permitId, now);
    const passed: PermitRequest[] = [];
    let isEarly = false;
    for (const waiting of this.#waitingRequests.values()) {
      const { request: other } = waiting;
      if (!this.#isAdapterReady(other)) continue;
      const urgency = compareUrgency(request, other);
      if (urgency < 0) passed.push(other);
      isEarly ||= urgency === 0 && waiting.arrivedAt < arrivedAt &&
        other.customer !== request.customer;
    }
    if (isEarly) this.#earlyGrants += 1;
    this.#turns.recordGrant(request, passed, now);
    this.#answerGrant(request);
  }

  #answerGrant({ permitId, holder }: PermitRequest): void {
    this.#answers.push({ kind: "granted", permitId, holder });
  }

  #refuse(
    request: PermitRequest,
    reason: DenialReason,
    now: Milliseconds,
  ): void {
    this.#answerDenial(
      request,
      reason,
      this.estimateFirstTokenMs(request, now),
    );
  }

  #answerDenial(
    { permitId, holder }: PermitRequest,
    reason: DenialReason,
    retryAfterMs: Milliseconds,
  ): void {
    this.#answers.push({
      kind: "denied",
      permitId,
      holder,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }
}

/**
 * An adapter of unknown version satisfies any requirement; the engine itself
 * checks a declared version.
 */
function hasVersion(slot: AdapterSlot, version: number | undefined): boolean {
  return version === undefined || slot.version === undefined ||
    slot.version >= version;
}

/** Returns the order to evict an adapter, given as `model/adapter`. */
export function buildEvictionOrder(adapterPath: string): EngineOrder {
  const separator = adapterPath.indexOf("/");
  return {
    kind: "evict",
    model: adapterPath.slice(0, separator),
    adapter: adapterPath.slice(separator + 1),
    adapterPath,
  };
}
