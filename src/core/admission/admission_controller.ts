/**
 * The desk of one engine, kept by the daemon that gives its orders: admits
 * requests to the engine's batch, has their adapters loaded, and turns away at
 * once what can't be served in time. Load pattern: more distinct adapters than
 * slots and more prompts than the engine reads in time, from many daemons.
 */
import type { AdapterSlot, AdapterSlots } from "../placement/adapter_slots.ts";
import { MAX_LOAD_LATENESS_MS } from "../placement/adapter_slots.ts";
import { MAX_LOADING } from "../placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../structures.ts";
import type { BatchCapacity, BatchDemand } from "./batch_capacity.ts";
import { RunEstimator } from "./run_estimator.ts";

/** A request for a place in an engine's batch. */
export interface PermitRequest extends BatchDemand {
  permitId: string;
  /** Daemon that asks. */
  holder: string;
  model: string;
  /** Empty for the base model. */
  adapter: string;
  /** Version that must run it; undefined when none is declared. */
  version?: number | undefined;
  /** 0 is the most urgent. */
  priorityRank: number;
  /** Time that a place is worth waiting for. */
  patienceMs: Milliseconds;
  /** Time left until the first token is late. */
  firstTokenBudgetMs: Milliseconds;
  /** Time after which the request can't be running any more. */
  lifetimeMs: Milliseconds;
  /** Whether no other engine is to be tried, so that it waits here. */
  isLastChoice: boolean;
}

export const DenialReason = {
  /** Every adapter slot is in use. */
  SlotsInUse: "slotsInUse",
  /** The batch, or what is to be read before, is too long. */
  Busy: "busy",
  /** This daemon does not give the engine's orders. */
  NotOwner: "notHolder",
  /** The wait ended without a place. */
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
    /** After which a place is expected. */
    retryAfterMs: Milliseconds;
    /** Who gives the engine's orders, as far as one knows that does not. */
    knownHolder?: string;
  };

/** A run that goes on at an engine whose holder has changed. */
export interface AdoptedRun extends BatchDemand {
  permitId: string;
  /** Time after which it can't be running any more. */
  lifetimeMs: Milliseconds;
}

/** The next order that the engine should get. */
export type EngineOrder =
  | {
    kind: "load";
    model: string;
    adapter: string;
    adapterPath: string;
    version: number | undefined;
  }
  | { kind: "evict"; model: string; adapter: string; adapterPath: string };

/** Part of the time until the first token is late that an estimate may take here before another engine is tried. */
const SPILLOVER_TOTAL_FRACTION = 0.65;
/** Part of that time that has to be lost on what is scarce here alone, before another engine is worth a further load. */
const SPILLOVER_LOCAL_FRACTION = 0.2;
/** Time after taking an engine over in which daemons tell of the runs that they have there. */
const ADOPTION_TIMEOUT_MS = 900;
/** Backlog of prompts beyond which a request waits here instead of in the engine. */
const MAX_PREFILL_BACKLOG_MS = 600;

interface WaitingRequest {
  request: PermitRequest;
  arrivedAt: Milliseconds;
  overdueAt: Milliseconds;
}

/** How long a request would wait here, by what for. */
interface WaitEstimate {
  /** For what is scarce at this engine: its reading, its batch, its slots, its loads. */
  localMs: Milliseconds;
  /** Until its adapter is there, with the loads before its own here. */
  loadMs: Milliseconds;
  /** For the loads elsewhere that the weight store is busy with. */
  storeQueueMs: Milliseconds;
}

interface Permit {
  adapterPath: string;
  expiresAt: Milliseconds;
  /** When it was granted; undefined for runs that were adopted. */
  grantedAt: Milliseconds | undefined;
  hasFirstToken: boolean;
}

export class AdmissionController {
  readonly slots: AdapterSlots;
  readonly batch: BatchCapacity;
  readonly #waitingRequests = new Map<string, WaitingRequest>();
  readonly #permits = new Map<string, Permit>();
  /** Daemons that the engine has turned away, and until when. */
  readonly #backoffUntil = new Map<string, Milliseconds>();
  #answers: PermitAnswer[] = [];
  #evictionAllowedAt = Number.NEGATIVE_INFINITY;
  readonly #runEstimator = new RunEstimator();

  constructor(places: AdapterSlots, room: BatchCapacity) {
    this.slots = places;
    this.batch = room;
  }

  countWaiting(): number {
    return this.#waitingRequests.size;
  }

  /** Returns the answers that are due, and forgets them. */
  takeAnswers(): PermitAnswer[] {
    const answers = this.#answers;
    this.#answers = [];
    return answers;
  }

  /** Takes a request in; the answer comes now or later. */
  requestPermit(request: PermitRequest, now: Milliseconds): void {
    if (this.#permits.has(request.permitId)) {
      this.#answerGrant(request);
      return;
    }
    if (this.#waitingRequests.has(request.permitId)) return;
    const backoffMs = (this.#backoffUntil.get(request.holder) ?? now) - now;
    if (backoffMs > 0) {
      this.#answerDenial(request, DenialReason.Busy, backoffMs);
      return;
    }
    const denial = this.#findDenial(request, now);
    if (denial) {
      this.#refuse(request, denial, now);
      return;
    }
    this.#waitingRequests.set(request.permitId, {
      request,
      arrivedAt: now,
      overdueAt: now + request.patienceMs,
    });
    this.grantWaiting(now);
  }

  /** Starts with an engine whose runs are not known yet: nothing is evicted until they are. */
  beginAdoption(now: Milliseconds): void {
    this.#evictionAllowedAt = now + ADOPTION_TIMEOUT_MS;
  }

  /** Notes that every daemon has told of its runs. */
  endAdoption(now: Milliseconds): void {
    this.#evictionAllowedAt = Math.min(this.#evictionAllowedAt, now);
  }

  /** Counts a run that an earlier holder permitted, or nobody. */
  adoptPermit(permit: AdoptedRun, now: Milliseconds): void {
    if (this.#permits.has(permit.permitId)) return;
    const { permitId, adapterPath } = permit;
    this.#permits.set(permitId, {
      adapterPath,
      expiresAt: now + permit.lifetimeMs,
      grantedAt: undefined,
      hasFirstToken: true,
    });
    this.batch.admitPrefilled(permitId, permit, now);
    const place = this.slots.getSlot(adapterPath);
    if (place) this.slots.recordUse(place, permitId, now);
  }

  /** Gives back a permit whose run is over, and serves who waits for its place. */
  releasePermit(permitId: string, now: Milliseconds): void {
    this.#waitingRequests.delete(permitId);
    const permit = this.#permits.get(permitId);
    if (!permit) return;
    this.#permits.delete(permitId);
    this.batch.release(permitId);
    if (permit.hasFirstToken && permit.grantedAt !== undefined) {
      this.#runEstimator.recordRun(now - permit.grantedAt);
    }
    const place = this.slots.getSlot(permit.adapterPath);
    place?.permitIds.delete(permitId);
    if (place) place.lastUsedAt = Math.max(place.lastUsedAt, now);
    if (place?.permitIds.size === 0) this.#runEstimator.recordSlotReleased(now);
    this.grantWaiting(now);
  }

  recordFirstToken(permitId: string, now: Milliseconds): void {
    this.slots.recordLoadOnTime(now);
    const permit = this.#permits.get(permitId);
    const place = permit && this.slots.getSlot(permit.adapterPath);
    if (place) this.slots.recordLoadConfirmed(place);
    if (permit) permit.hasFirstToken = true;
    this.batch.recordFirstToken(permitId, now);
    this.grantWaiting(now);
  }

  /**
   * Takes back a permit that the engine did not honour. Returns whether the
   * adapter was ordered so lately that its load may not be done.
   */
  recordNotReady(
    permitId: string,
    delayMs: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const permit = this.#permits.get(permitId);
    const place = permit && this.slots.getSlot(permit.adapterPath);
    const isLoadLate = place !== undefined &&
      now - place.readyAt < MAX_LOAD_LATENESS_MS;
    if (isLoadLate && place.state === "resident") {
      this.slots.recordLoadLate(place, delayMs, now);
    }
    this.releasePermit(permitId, now);
    return isLoadLate;
  }

  /** Notes that the engine wants no request of a daemon for the given time: none of its own waits on here. */
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

  tick(now: Milliseconds): void {
    this.slots.completeLoads(now);
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
  }

  /** Returns when the desk has to look again: a load is done, or a wait ends. */
  getNextTickAt(): Milliseconds {
    let dueAt = Number.POSITIVE_INFINITY;
    for (const place of this.slots.listSlots()) {
      if (place.state === "loading") dueAt = Math.min(dueAt, place.readyAt);
    }
    for (const { overdueAt } of this.#waitingRequests.values()) {
      dueAt = Math.min(dueAt, overdueAt);
    }
    return dueAt;
  }

  /** Grants every place that is free, the most urgent request first. */
  grantWaiting(now: Milliseconds): void {
    for (const { request } of this.#listWaiting(now)) {
      if (!this.#isAdapterReady(request)) continue;
      const isFree = this.batch.hasCapacityFor(request) &&
        this.batch.estimatePrefillBacklogMs(now) <= MAX_PREFILL_BACKLOG_MS;
      if (isFree) this.#grant(request, now);
    }
  }

  /** Returns the next order that would let a waiting request run, or undefined. */
  findNextOrder(
    canFetch: boolean,
    now: Milliseconds,
  ): EngineOrder | undefined {
    if (this.slots.countLoading() >= MAX_LOADING) return undefined;
    for (const { request } of this.#listWaiting(now)) {
      const { adapterPath, model, adapter, version } = request;
      if (adapter === "" || this.#isAdapterReady(request)) continue;
      const place = this.slots.getSlot(adapterPath);
      if (place && place.state !== "resident") continue;
      if (!canFetch && this.slots.needsFetch(adapterPath)) continue;
      const load: EngineOrder = {
        kind: "load",
        model,
        adapter,
        adapterPath,
        version,
      };
      if (place || this.slots.hasFreeSlot()) return load;
      const evictable = this.#findEvictionVictim(now);
      if (evictable) return buildEvictionOrder(evictable.adapterPath);
    }
    return undefined;
  }

  /** Returns the idle adapters that may be evicted now. */
  listEvictable(now: Milliseconds): AdapterSlot[] {
    return now < this.#evictionAllowedAt ? [] : this.slots.listIdle(now);
  }

  /** Denies all that waits, when the engine is given up. */
  refuseAll(reason: DenialReason, now: Milliseconds): void {
    for (const { request } of this.#waitingRequests.values()) {
      this.#refuse(request, reason, now);
    }
    this.#waitingRequests.clear();
  }

  /** Forgets every permit, when the engine restarted and runs nothing. */
  clearPermits(): void {
    this.#permits.clear();
    this.batch.clear();
  }

  /** Returns who waits: first those whose first token can still be in time, of these the most urgent, then the longest waiting. */
  #listWaiting(now: Milliseconds): WaitingRequest[] {
    const ranked = [...this.#waitingRequests.values()].map((waiting) => ({
      waiting,
      lateRank: this.#canMeetDeadline(waiting, now) ? 0 : 1,
    }));
    ranked.sort((a, b) =>
      a.lateRank - b.lateRank ||
      a.waiting.request.priorityRank - b.waiting.request.priorityRank ||
      a.waiting.arrivedAt - b.waiting.arrivedAt
    );
    return ranked.map((each) => each.waiting);
  }

  #canMeetDeadline(
    { request, arrivedAt }: WaitingRequest,
    now: Milliseconds,
  ): boolean {
    const { adapterPath, adapter } = request;
    const place = this.slots.getSlot(adapterPath);
    const loadMs = adapter === ""
      ? 0
      : place
      ? Math.max(0, place.readyAt - now)
      : this.slots.estimateLoadMs(adapterPath);
    const firstTokenAt = now + loadMs + this.batch.estimatePrefillMs(request);
    return firstTokenAt <= arrivedAt + request.firstTokenBudgetMs;
  }

  #isAdapterReady(request: PermitRequest): boolean {
    if (request.adapter === "") return true;
    const place = this.slots.getSlot(request.adapterPath);
    return place?.state === "resident" && hasVersion(place, request.version);
  }

  /**
   * Another engine is worth a try only for what is long here: a load from the weight
   * store takes as long everywhere, and each copy of an adapter costs one.
   */
  #findDenial(
    request: PermitRequest,
    now: Milliseconds,
  ): DenialReason | undefined {
    const { localMs, loadMs, storeQueueMs: storeMs } = this.#estimateWaits(
      request,
      now,
    );
    if (request.isLastChoice) {
      const placeMs = Math.max(localMs, loadMs + storeMs);
      return placeMs > request.patienceMs ? DenialReason.Busy : undefined;
    }
    const { firstTokenBudgetMs } = request;
    const hereMs = Math.max(localMs, loadMs) +
      this.batch.estimatePrefillMs(request);
    const isLate = hereMs > SPILLOVER_TOTAL_FRACTION * firstTokenBudgetMs &&
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

  /** Returns when the request's first token is expected, were it sent here. */
  estimateFirstTokenMs(
    request: PermitRequest,
    now: Milliseconds,
  ): Milliseconds {
    const { localMs, loadMs, storeQueueMs: storeMs } = this.#estimateWaits(
      request,
      now,
    );
    return Math.max(localMs, loadMs + storeMs) +
      this.batch.estimatePrefillMs(request);
  }

  #estimateWaits(request: PermitRequest, now: Milliseconds): WaitEstimate {
    const readMs = this.batch.estimatePrefillBacklogMs(now) +
      this.#estimateQueuedPrefillMs(request);
    const fullMs = this.batch.hasCapacityFor(request)
      ? 0
      : this.#runEstimator.meanRunMs / Math.max(1, this.batch.countRunning());
    const busyMs = Math.max(readMs, fullMs);
    if (!this.#needsLoad(request)) {
      const place = this.slots.getSlot(request.adapterPath);
      const loadMs = place?.state === "loading"
        ? Math.max(0, place.readyAt - now)
        : 0;
      return { localMs: busyMs, loadMs, storeQueueMs: 0 };
    }
    const { adapterPath } = request;
    const before = this.#countLoadsAhead(request);
    const slotMs = this.#isBlockedOnSlot(request, now)
      ? this.#runEstimator.slotReleaseIntervalMs * (1 + before)
      : 0;
    const waitMs = Math.max(
      slotMs,
      this.slots.estimateEngineQueueMs(adapterPath, before),
    );
    return {
      localMs: Math.max(busyMs, waitMs),
      loadMs: waitMs + this.slots.estimateLoadMs(adapterPath),
      storeQueueMs: this.slots.estimateStoreQueueMs(adapterPath),
    };
  }

  /** Returns whether the request's adapter is neither here nor on its way. */
  #needsLoad({ adapter, adapterPath }: PermitRequest): boolean {
    return adapter !== "" && this.slots.getSlot(adapterPath) === undefined;
  }

  #isBlockedOnSlot(request: PermitRequest, now: Milliseconds): boolean {
    return this.#needsLoad(request) && !this.slots.hasFreeSlot() &&
      this.#findEvictionVictim(now) === undefined;
  }

  /** Counts the other adapters that wait for a load here. */
  #countLoadsAhead(request: PermitRequest): number {
    const absent = new Set<string>();
    for (const { request: other } of this.#waitingRequests.values()) {
      const isOther = other.adapterPath !== request.adapterPath;
      if (isOther && this.#needsLoad(other)) absent.add(other.adapterPath);
    }
    return absent.size;
  }

  #estimateQueuedPrefillMs(request: PermitRequest): Milliseconds {
    let sum = 0;
    for (const waiting of this.#waitingRequests.values()) {
      const isBefore = waiting.request.priorityRank <= request.priorityRank;
      if (isBefore) sum += this.batch.estimatePrefillMs(waiting.request);
    }
    return sum;
  }

  #grant(request: PermitRequest, now: Milliseconds): void {
    const { permitId, adapterPath } = request;
    this.#waitingRequests.delete(permitId);
    this.#permits.set(permitId, {
      adapterPath,
      expiresAt: now + request.lifetimeMs,
      grantedAt: now,
      hasFirstToken: false,
    });
    this.batch.admit(permitId, request, now);
    const place = this.slots.getSlot(adapterPath);
    if (place) this.slots.recordUse(place, permitId, now);
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

/** A version that was not told fits any; the engine itself checks a declared one. */
function hasVersion(place: AdapterSlot, version: number | undefined): boolean {
  return version === undefined || place.version === undefined ||
    place.version >= version;
}

/** Returns the eviction of an adapter, named as `model/adapter`. */
export function buildEvictionOrder(adapterPath: string): EngineOrder {
  const separator = adapterPath.indexOf("/");
  return {
    kind: "evict",
    model: adapterPath.slice(0, separator),
    adapter: adapterPath.slice(separator + 1),
    adapterPath,
  };
}
