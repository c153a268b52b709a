/**
 * How many loads from the weight store go at full speed together, found out from
 * how long the own ones take. Load pattern: far more adapters are asked for than
 * engines hold; the store gives each load its full speed up to a number that
 * nobody publishes and that differs from site to site, and beyond it all loads grow
 * longer in proportion. The estimate rises with each load that was done in time
 * beside its host's share of others, and falls when one was late there. Hosts
 * tell each other what they have found, and agree.
 */
import type { Milliseconds } from "../structures.ts";

/** What is known of one load from the weight store. */
export interface FetchObservation {
  orderedAt: Milliseconds;
  /** Loads that were on the way with it, as far as was known, itself included. */
  crowd: number;
  /** Time that it took, or has taken so far. */
  durationMs: Milliseconds;
  /** Whether the adapter is there: otherwise it will take longer still. */
  isDone: boolean;
  /** Whether the host had its share on the way with it. */
  isLast: boolean;
  /** Whether its host had no other on the way, and the others one each at most. */
  isOnlyOwn: boolean;
}

/** What a host knows of loads on their way. */
export interface FetchCount {
  /** Its own. */
  ownFetches: number;
  /** Those that others say they have; undefined where not all are heard. */
  peerFetches: number | undefined;
  /** Its share of the engines, as a part of all; at least one engine's. */
  engineShare: number;
  /** Hosts that hold engines. */
  owners: number;
}

/** What follows for the next load of a host. */
export interface FetchShare {
  /** Loads on their way over all hosts, as far as can be told. */
  fleetFetches: number;
  /** How many of these go at full speed together. */
  fetchLimit: number;
  canFetch: boolean;
  /** Whether the host has its share on the way with one more. */
  isAtHostShare: boolean;
  /** Whether it has none on the way, and the others have one each at most. */
  isAtMinConcurrency: boolean;
  /** Loads at once that an engine can count on. */
  fetchesPerEngine: number;
}

/** First estimate, before any load has told: the least and the part of an engine's of the users' first sites. */
const MIN_INITIAL_LIMIT = 8;
const INITIAL_LIMIT_PER_ENGINE = 0.65;
/** Adapters on their way to one engine, at most: the platform's bound. */
export const MAX_LOADING = 4;
/** Loads that one host may have on the way in any case, while the store has room. */
const MIN_HOST_FETCH_CAP = 3;
/** The same in parts of an even share: demand is uneven. */
const HOST_SHARE_FACTOR = 1.5;
/** Longest duration of a load at full speed, in parts of the quickest one: the look at a load comes up to a quarter late. */
const MAX_FULL_SPEED_RATIO = 1.25;
/** Part of the estimate beyond which loads on the way may be the cause of a long one. */
const CONGESTED_FRACTION = 0.5;
/** Loads in time, one after the other, after which the estimate is taken for much too low. */
const FAST_GROWTH_STREAK = 16;
/** Growth for a load in time before any was late, as a part of the estimate: each host has a few on the way, so that these double it. */
const SLOW_START_GROWTH = 0.3;
/** The same after a streak of loads in time, and for a load that the host had alone: then it sees few. */
const FAST_GROWTH = 0.12;
/** Growth for any other load in time, as a part of the estimate. */
const NORMAL_GROWTH = 0.04;
/** Parts of the estimate that are kept when a load was late: as much as it was late by, within these. */
const MIN_DECREASE_FACTOR = 0.5;
const MAX_DECREASE_FACTOR = 0.85;
/** The same part down to which the estimate does not fall below the first one. */
const MILD_DECREASE_FACTOR = 0.75;
/** Least estimate: one load after the other. */
const MIN_LIMIT = 1;
/** Part of the way to the mean of what others have found that a host goes each time it hears of it. */
const PEER_AVERAGING_WEIGHT = 0.3;
/** Duration of a load at full speed before any was seen; the users' sheets give 250 and 288 ms. */
const INITIAL_MIN_DURATION_MS = 290;
/** Time for which the quickest load is remembered, in two halves: long against a load, short against a day's changes. */
const MIN_DURATION_BUCKET_MS = 15_000;
/** Time for which the figure of the users' sheets counts as well, which may be wrong here. */
const INITIAL_MIN_DURATION_LIFETIME_MS = 3_000;

export class FetchConcurrencyLimit {
  #limit = MIN_INITIAL_LIMIT;
  #initialLimit = MIN_INITIAL_LIMIT;
  #hasLocalSamples = false;
  /** Whether a load was late. */
  #hasSeenLateLoad = false;
  /** Loads in time since the last late one. */
  #onTimeStreak = 0;
  #decreasedAt = Number.NEGATIVE_INFINITY;
  #minDurationMs = Number.POSITIVE_INFINITY;
  #previousMinDurationMs = Number.POSITIVE_INFINITY;
  #bucketStartedAt: Milliseconds | undefined;
  /** When a load was seen first. */
  #firstSampleAt: Milliseconds | undefined;
  #engineCount = 1;

  /** Loads that go at full speed together, as far as is known. */
  get limit(): number {
    return this.#limit;
  }

  /** The same where it rests on this host's own loads, to be told to others. */
  get measuredLimit(): number | undefined {
    return this.#hasLocalSamples ? this.#limit : undefined;
  }

  /** Takes in what the others have found: each sees a few loads only. */
  recordPeerLimits(findings: readonly number[]): void {
    if (findings.length === 0) return;
    const mean = findings.reduce((sum, each) => sum + each, 0) /
      findings.length;
    this.#limit += PEER_AVERAGING_WEIGHT * (mean - this.#limit);
  }

  /** Sets the number of engines, by which the first estimate goes. */
  setEngineCount(engines: number): void {
    this.#engineCount = Math.max(1, engines);
    if (this.#hasLocalSamples) return;
    this.#initialLimit = Math.max(
      MIN_INITIAL_LIMIT,
      INITIAL_LIMIT_PER_ENGINE * engines,
    );
    this.#limit = this.#initialLimit;
  }

  /** Returns whether a host may start a load, and beside how many. */
  computeShare(count: FetchCount): FetchShare {
    const share = this.#limit * count.engineShare;
    return {
      fleetFetches: estimateFleetFetches(count),
      fetchLimit: this.#limit,
      canFetch: this.#canFetch(count),
      isAtHostShare: count.ownFetches + 1 >= share ||
        !this.#canFetch({ ...count, ownFetches: count.ownFetches + 1 }),
      isAtMinConcurrency: count.ownFetches === 0 &&
        estimateFleetFetches(count) < count.owners,
      fetchesPerEngine: Math.min(
        MAX_LOADING,
        Math.max(1, this.#limit / this.#engineCount),
      ),
    };
  }

  /** What others have on the way is known late, so each host keeps to a few, and each gets on with one and with its even share. */
  #canFetch(count: FetchCount): boolean {
    const share = this.#limit * count.engineShare;
    return count.ownFetches === 0 || count.ownFetches < Math.floor(share) ||
      (estimateFleetFetches(count) < this.#limit &&
        count.ownFetches <
          Math.max(MIN_HOST_FETCH_CAP, HOST_SHARE_FACTOR * share));
  }

  recordFetch(fetch: FetchObservation, now: Milliseconds): void {
    const crowding = Math.max(1, fetch.crowd / this.#limit);
    const alikeMs = fetch.durationMs / crowding;
    // Where each host has one on the way at most, none can be quicker.
    const isAtFullSpeed = fetch.isOnlyOwn || fetch.crowd <= this.#limit;
    if (fetch.isDone && isAtFullSpeed) {
      this.#recordFullSpeedDuration(fetch.durationMs, now);
    }
    const quickestMs = this.#getMinDurationMs(now);
    const isLong = alikeMs > MAX_FULL_SPEED_RATIO * quickestMs;
    const isTelling = fetch.isLast ||
      (isLong && fetch.crowd > CONGESTED_FRACTION * this.#limit);
    if (!isTelling || (!isLong && !fetch.isDone)) return;
    this.#hasLocalSamples = true;
    if (isLong) {
      this.#recordLateLoad(
        MAX_FULL_SPEED_RATIO * quickestMs / alikeMs,
        fetch.orderedAt,
        now,
      );
      return;
    }
    this.#onTimeStreak += 1;
    // No more can be on the way: the platform bounds them by engine.
    const most = MAX_LOADING * this.#engineCount;
    this.#limit = Math.min(
      Math.max(most, this.#limit),
      this.#limit + this.#computeGrowth(fetch.isOnlyOwn),
    );
  }

  #computeGrowth(isOnlyOwn: boolean): number {
    if (!this.#hasSeenLateLoad) return SLOW_START_GROWTH * this.#limit;
    const isStreak = this.#onTimeStreak > FAST_GROWTH_STREAK;
    const growth = isStreak || isOnlyOwn ? FAST_GROWTH : NORMAL_GROWTH;
    return growth * this.#limit;
  }

  /** Lowers the estimate, once for all loads that were on the way together. */
  #recordLateLoad(
    part: number,
    orderedAt: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#onTimeStreak = 0;
    this.#hasSeenLateLoad = true;
    if (orderedAt < this.#decreasedAt) return;
    this.#decreasedAt = now;
    const kept = Math.min(
      MAX_DECREASE_FACTOR,
      Math.max(MIN_DECREASE_FACTOR, part),
    );
    // What others have on the way is known late: a load that is a little late tells nothing against the first estimate.
    const least = part > MILD_DECREASE_FACTOR
      ? Math.min(this.#initialLimit, this.#limit)
      : MIN_LIMIT;
    this.#limit = Math.max(least, kept * this.#limit);
  }

  #getMinDurationMs(now: Milliseconds): Milliseconds {
    this.#firstSampleAt ??= now;
    const seenMs = Math.min(this.#minDurationMs, this.#previousMinDurationMs);
    const isEarly =
      now - this.#firstSampleAt < INITIAL_MIN_DURATION_LIFETIME_MS;
    return isEarly || !Number.isFinite(seenMs)
      ? Math.min(seenMs, INITIAL_MIN_DURATION_MS)
      : seenMs;
  }

  #recordFullSpeedDuration(durationMs: Milliseconds, now: Milliseconds): void {
    this.#bucketStartedAt ??= now;
    if (now - this.#bucketStartedAt >= MIN_DURATION_BUCKET_MS) {
      this.#bucketStartedAt = now;
      if (Number.isFinite(this.#minDurationMs)) {
        this.#previousMinDurationMs = this.#minDurationMs;
      }
      this.#minDurationMs = Number.POSITIVE_INFINITY;
    }
    this.#minDurationMs = Math.min(this.#minDurationMs, durationMs);
  }
}

/** Where others are not heard, each is taken to have as many on the way for each of its engines as this one. */
function estimateFleetFetches(
  { ownFetches: own, peerFetches: others, engineShare }: FetchCount,
): number {
  return others === undefined ? own / engineShare : own + others;
}
