/**
 * The desk of one engine, kept by the daemon that gives its orders: admits
 * requests to the engine's batch, has their adapters loaded, and turns away at
 * once what can't be served in time. Load pattern: more distinct adapters than
 * slots and more prompts than the engine reads in time, from many daemons.
 */
import type { AdapterPlaces, Place } from "../placement/adapter_places.ts";
import { LOAD_LATENESS_MS } from "../placement/adapter_places.ts";
import { MAX_COMING } from "../placement/fetch_window.ts";
import type { Milliseconds } from "../structures.ts";
import type { BatchDemand, BatchRoom } from "./batch_room.ts";
import { RunPace } from "./run_pace.ts";

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
  NotHolder: "notHolder",
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
export type WantedOrder =
  | {
    kind: "load";
    model: string;
    adapter: string;
    adapterPath: string;
    version: number | undefined;
  }
  | { kind: "evict"; model: string; adapter: string; adapterPath: string };

/** Part of the time until the first token is late that an estimate may take here before another engine is tried. */
const SPREAD_SHARE = 0.65;
/** Part of that time that has to be lost on what is scarce here alone, before another engine is worth a further load. */
const MOVE_SHARE = 0.2;
/** Time after taking an engine over in which daemons tell of the runs that they have there. */
const ADOPTION_MS = 900;
/** Backlog of prompts beyond which a request waits here instead of in the engine. */
const MAX_BACKLOG_MS = 600;

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
  storeMs: Milliseconds;
}

interface Permit {
  adapterPath: string;
  expiresAt: Milliseconds;
  /** When it was granted; undefined for runs that were adopted. */
  grantedAt: Milliseconds | undefined;
  hasFirstToken: boolean;
}

export class EngineDesk {
  readonly places: AdapterPlaces;
  readonly room: BatchRoom;
  readonly #waiting = new Map<string, WaitingRequest>();
  readonly #permits = new Map<string, Permit>();
  /** Daemons that the engine has turned away, and until when. */
  readonly #backedOff = new Map<string, Milliseconds>();
  #answers: PermitAnswer[] = [];
  #evictableFrom = Number.NEGATIVE_INFINITY;
  readonly #pace = new RunPace();

  constructor(places: AdapterPlaces, room: BatchRoom) {
    this.places = places;
    this.room = room;
  }

  countWaiting(): number {
    return this.#waiting.size;
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
      this.#grantAgain(request);
      return;
    }
    if (this.#waiting.has(request.permitId)) return;
    const backoffMs = (this.#backedOff.get(request.holder) ?? now) - now;
    if (backoffMs > 0) {
      this.#answerDenial(request, DenialReason.Busy, backoffMs);
      return;
    }
    const denial = this.#findDenial(request, now);
    if (denial) {
      this.#refuse(request, denial, now);
      return;
    }
    this.#waiting.set(request.permitId, {
      request,
      arrivedAt: now,
      overdueAt: now + request.patienceMs,
    });
    this.pump(now);
  }

  /** Starts with an engine whose runs are not known yet: nothing is evicted until they are. */
  beginAdoption(now: Milliseconds): void {
    this.#evictableFrom = now + ADOPTION_MS;
  }

  /** Notes that every daemon has told of its runs. */
  endAdoption(now: Milliseconds): void {
    this.#evictableFrom = Math.min(this.#evictableFrom, now);
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
    this.room.adopt(permitId, permit, now);
    const place = this.places.getPlace(adapterPath);
    if (place) this.places.recordUse(place, permitId, now);
  }

  /** Gives back a permit whose run is over, and serves who waits for its place. */
  releasePermit(permitId: string, now: Milliseconds): void {
    this.#waiting.delete(permitId);
    const permit = this.#permits.get(permitId);
    if (!permit) return;
    this.#permits.delete(permitId);
    this.room.release(permitId);
    if (permit.hasFirstToken && permit.grantedAt !== undefined) {
      this.#pace.recordRun(now - permit.grantedAt);
    }
    const place = this.places.getPlace(permit.adapterPath);
    place?.permits.delete(permitId);
    if (place) place.lastUsedAt = Math.max(place.lastUsedAt, now);
    if (place?.permits.size === 0) this.#pace.recordIdle(now);
    this.pump(now);
  }

  recordFirstToken(permitId: string, now: Milliseconds): void {
    this.places.recordLoadInTime(now);
    const permit = this.#permits.get(permitId);
    const place = permit && this.places.getPlace(permit.adapterPath);
    if (place) this.places.recordConfirmed(place);
    if (permit) permit.hasFirstToken = true;
    this.room.recordFirstToken(permitId, now);
    this.pump(now);
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
    const place = permit && this.places.getPlace(permit.adapterPath);
    const isLoadLate = place !== undefined &&
      now - place.readyAt < LOAD_LATENESS_MS;
    if (isLoadLate && place.state === "resident") {
      this.places.recordLoadLate(place, delayMs, now);
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
    this.#backedOff.set(daemonId, now + backoffMs);
    for (const [permitId, { request }] of this.#waiting) {
      if (request.holder !== daemonId) continue;
      this.#waiting.delete(permitId);
      this.#answerDenial(request, DenialReason.Busy, backoffMs);
    }
  }

  tick(now: Milliseconds): void {
    this.places.completeLoads(now);
    for (const [daemonId, until] of this.#backedOff) {
      if (until <= now) this.#backedOff.delete(daemonId);
    }
    for (const [permitId, permit] of this.#permits) {
      if (permit.expiresAt <= now) this.releasePermit(permitId, now);
    }
    for (const [permitId, waiting] of this.#waiting) {
      if (waiting.overdueAt > now) continue;
      this.#waiting.delete(permitId);
      this.#refuse(waiting.request, DenialReason.Overdue, now);
    }
    this.pump(now);
  }

  /** Returns when the desk has to look again: a load is done, or a wait ends. */
  getNextDueAt(): Milliseconds {
    let dueAt = Number.POSITIVE_INFINITY;
    for (const place of this.places.listPlaces()) {
      if (place.state === "loading") dueAt = Math.min(dueAt, place.readyAt);
    }
    for (const { overdueAt } of this.#waiting.values()) {
      dueAt = Math.min(dueAt, overdueAt);
    }
    return dueAt;
  }

  /** Grants every place that is free, the most urgent request first. */
  pump(now: Milliseconds): void {
    for (const { request } of this.#listWaiting(now)) {
      if (!this.#isUsable(request)) continue;
      const isFree = this.room.hasRoomFor(request) &&
        this.room.estimateBacklogMs(now) <= MAX_BACKLOG_MS;
      if (isFree) this.#grant(request, now);
    }
  }

  /** Returns the next order that would let a waiting request run, or undefined. */
  findWantedOrder(
    canFetch: boolean,
    now: Milliseconds,
  ): WantedOrder | undefined {
    if (this.places.countComing() >= MAX_COMING) return undefined;
    for (const { request } of this.#listWaiting(now)) {
      const { adapterPath, model, adapter, version } = request;
      if (adapter === "" || this.#isUsable(request)) continue;
      const place = this.places.getPlace(adapterPath);
      if (place && place.state !== "resident") continue;
      if (!canFetch && this.places.isFetch(adapterPath)) continue;
      const load: WantedOrder = {
        kind: "load",
        model,
        adapter,
        adapterPath,
        version,
      };
      if (place || this.places.hasRoom()) return load;
      const evictable = this.#findEvictable(now);
      if (evictable) return buildEviction(evictable.adapterPath);
    }
    return undefined;
  }

  /** Returns the idle adapters that may be evicted now. */
  listEvictable(now: Milliseconds): Place[] {
    return now < this.#evictableFrom ? [] : this.places.listIdle(now);
  }

  /** Denies all that waits, when the engine is given up. */
  refuseAll(reason: DenialReason, now: Milliseconds): void {
    for (const { request } of this.#waiting.values()) {
      this.#refuse(request, reason, now);
    }
    this.#waiting.clear();
  }

  /** Forgets every permit, when the engine restarted and runs nothing. */
  clearPermits(): void {
    this.#permits.clear();
    this.room.clear();
  }

  /** Returns who waits: first those whose first token can still be in time, of these the most urgent, then the longest waiting. */
  #listWaiting(now: Milliseconds): WaitingRequest[] {
    const ranked = [...this.#waiting.values()].map((waiting) => ({
      waiting,
      lateRank: this.#canBeInTime(waiting, now) ? 0 : 1,
    }));
    ranked.sort((a, b) =>
      a.lateRank - b.lateRank ||
      a.waiting.request.priorityRank - b.waiting.request.priorityRank ||
      a.waiting.arrivedAt - b.waiting.arrivedAt
    );
    return ranked.map((each) => each.waiting);
  }

  #canBeInTime(
    { request, arrivedAt }: WaitingRequest,
    now: Milliseconds,
  ): boolean {
    const { adapterPath, adapter } = request;
    const place = this.places.getPlace(adapterPath);
    const loadMs = adapter === ""
      ? 0
      : place
      ? Math.max(0, place.readyAt - now)
      : this.places.estimateLoadMs(adapterPath);
    const firstTokenAt = now + loadMs + this.room.estimateOwnPrefillMs(request);
    return firstTokenAt <= arrivedAt + request.firstTokenBudgetMs;
  }

  #isUsable(request: PermitRequest): boolean {
    if (request.adapter === "") return true;
    const place = this.places.getPlace(request.adapterPath);
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
    const { localMs, loadMs, storeMs } = this.#estimateWaits(request, now);
    if (request.isLastChoice) {
      const placeMs = Math.max(localMs, loadMs + storeMs);
      return placeMs > request.patienceMs ? DenialReason.Busy : undefined;
    }
    const { firstTokenBudgetMs } = request;
    const hereMs = Math.max(localMs, loadMs) +
      this.room.estimateOwnPrefillMs(request);
    const isLate = hereMs > SPREAD_SHARE * firstTokenBudgetMs &&
      localMs > MOVE_SHARE * firstTokenBudgetMs;
    if (!isLate) return undefined;
    return this.#needsSlot(request, now)
      ? DenialReason.SlotsInUse
      : DenialReason.Busy;
  }

  #findEvictable(now: Milliseconds): Place | undefined {
    return now < this.#evictableFrom
      ? undefined
      : this.places.findEvictable(now);
  }

  /** Returns when the request's first token is expected, were it sent here. */
  estimateFirstTokenMs(
    request: PermitRequest,
    now: Milliseconds,
  ): Milliseconds {
    const { localMs, loadMs, storeMs } = this.#estimateWaits(request, now);
    return Math.max(localMs, loadMs + storeMs) +
      this.room.estimateOwnPrefillMs(request);
  }

  #estimateWaits(request: PermitRequest, now: Milliseconds): WaitEstimate {
    const readMs = this.room.estimateBacklogMs(now) +
      this.#sumWaitingPrefillMs(request);
    const fullMs = this.room.hasRoomFor(request)
      ? 0
      : this.#pace.runMs / Math.max(1, this.room.countRunning());
    const busyMs = Math.max(readMs, fullMs);
    if (!this.#isAbsent(request)) {
      const place = this.places.getPlace(request.adapterPath);
      const loadMs = place?.state === "loading"
        ? Math.max(0, place.readyAt - now)
        : 0;
      return { localMs: busyMs, loadMs, storeMs: 0 };
    }
    const { adapterPath } = request;
    const before = this.#countWaitingAbsent(request);
    const slotMs = this.#needsSlot(request, now)
      ? this.#pace.idleIntervalMs * (1 + before)
      : 0;
    const waitMs = Math.max(
      slotMs,
      this.places.estimateOwnQueueMs(adapterPath, before),
    );
    return {
      localMs: Math.max(busyMs, waitMs),
      loadMs: waitMs + this.places.estimateLoadMs(adapterPath),
      storeMs: this.places.estimateStoreQueueMs(adapterPath),
    };
  }

  /** Returns whether the request's adapter is neither here nor on its way. */
  #isAbsent({ adapter, adapterPath }: PermitRequest): boolean {
    return adapter !== "" && this.places.getPlace(adapterPath) === undefined;
  }

  #needsSlot(request: PermitRequest, now: Milliseconds): boolean {
    return this.#isAbsent(request) && !this.places.hasRoom() &&
      this.#findEvictable(now) === undefined;
  }

  /** Counts the other adapters that wait for a load here. */
  #countWaitingAbsent(request: PermitRequest): number {
    const absent = new Set<string>();
    for (const { request: other } of this.#waiting.values()) {
      const isOther = other.adapterPath !== request.adapterPath;
      if (isOther && this.#isAbsent(other)) absent.add(other.adapterPath);
    }
    return absent.size;
  }

  #sumWaitingPrefillMs(request: PermitRequest): Milliseconds {
    let sum = 0;
    for (const waiting of this.#waiting.values()) {
      const isBefore = waiting.request.priorityRank <= request.priorityRank;
      if (isBefore) sum += this.room.estimateOwnPrefillMs(waiting.request);
    }
    return sum;
  }

  #grant(request: PermitRequest, now: Milliseconds): void {
    const { permitId, adapterPath } = request;
    this.#waiting.delete(permitId);
    this.#permits.set(permitId, {
      adapterPath,
      expiresAt: now + request.lifetimeMs,
      grantedAt: now,
      hasFirstToken: false,
    });
    this.room.admit(permitId, request, now);
    const place = this.places.getPlace(adapterPath);
    if (place) this.places.recordUse(place, permitId, now);
    this.#grantAgain(request);
  }

  #grantAgain({ permitId, holder }: PermitRequest): void {
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
function hasVersion(place: Place, version: number | undefined): boolean {
  return version === undefined || place.version === undefined ||
    place.version >= version;
}

/** Returns the eviction of an adapter, named as `model/adapter`. */
export function buildEviction(adapterPath: string): WantedOrder {
  const separator = adapterPath.indexOf("/");
  return {
    kind: "evict",
    model: adapterPath.slice(0, separator),
    adapter: adapterPath.slice(separator + 1),
    adapterPath,
  };
}
