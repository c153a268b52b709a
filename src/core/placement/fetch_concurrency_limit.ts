/**
 * Adaptive concurrency limit for fetches from the weight store. Far more
 * adapters are requested than engines hold. The store serves fetches at full
 * speed up to a number that is not published and differs from site to site;
 * beyond it, all fetches take proportionally longer. The limit is an estimate
 * of that number, derived from how long this host's own fetches take: it rises
 * with each fetch that was on time while the host had its share of the limit in
 * flight, and falls when a fetch was late. Hosts exchange their estimates,
 * and thus converge.
 */
import type { Milliseconds } from "../structures.ts";

/** An observed fetch from the weight store. */
export interface FetchObservation {
  orderedAt: Milliseconds;
  /**
   * Fetches in flight at the same time, as far as was known, including this
   * one.
   */
  concurrentFetches: number;
  /** Time that it took, or has taken so far. */
  durationMs: Milliseconds;
  /**
   * Whether the adapter is loaded; otherwise the fetch will take longer still.
   */
  isDone: boolean;
  /**
   * Whether the host had its share of the limit in flight, including this one.
   */
  isAtHostShare: boolean;
  /**
   * Whether its host had no other fetch in flight, and the other hosts at most
   * one each.
   */
  isAtMinConcurrency: boolean;
}

/** Fetches in flight, as known to one host. */
export interface FetchCount {
  /** Fetches of this host. */
  ownFetches: number;
  /**
   * Fetches that the other hosts report; undefined when not all of them are
   * heard.
   */
  peerFetches: number | undefined;
  /**
   * Fraction of all engines that this host owns, at least that of one engine.
   */
  engineShare: number;
  /** Number of hosts that own engines. */
  owners: number;
}

/** Conditions for the next fetch of a host. */
export interface FetchShare {
  /** Estimated fetches in flight over all hosts. */
  fleetFetches: number;
  /** How many of these run at full speed at the same time. */
  fetchLimit: number;
  canFetch: boolean;
  /** Whether one more fetch brings the host to its share of the limit. */
  isAtHostShare: boolean;
  /**
   * Whether the host has no fetch in flight, and the others have at most one
   * each.
   */
  isAtMinConcurrency: boolean;
  /** Concurrent fetches that each engine can count on. */
  fetchesPerEngine: number;
}

/**
 * Initial limit, before any fetch was observed: a minimum, and a number per
 * engine, both taken from the users' first sites.
 */
const MIN_INITIAL_LIMIT = 8;
const INITIAL_LIMIT_PER_ENGINE = 0.65;
/** Maximum number of loads in progress per engine, set by the platform. */
export const MAX_LOADING = 4;
/** Fetches that every host may have in flight while the store has capacity. */
const MIN_HOST_FETCH_CAP = 3;
/** The same as a multiple of an even share, since demand is uneven. */
const HOST_SHARE_FACTOR = 1.5;
/**
 * Longest duration of a fetch at full speed, as a multiple of the shortest one:
 * completion is detected up to a quarter late.
 */
const MAX_FULL_SPEED_RATIO = 1.25;
/**
 * Fraction of the limit above which the fetches in flight may explain a long
 * one.
 */
const CONGESTED_FRACTION = 0.5;
/**
 * Consecutive fetches on time after which the limit is considered much too low.
 */
const FAST_GROWTH_STREAK = 16;
/**
 * Growth with each fetch on time until the first late one, as a fraction of the
 * limit. As in TCP's slow start, the few fetches that each host has in flight
 * double it.
 */
const SLOW_START_GROWTH = 0.3;
/**
 * Growth with each fetch on time after a streak of them, and for a fetch that
 * the host had alone in flight, since it then observes few.
 */
const FAST_GROWTH = 0.12;
/** Growth with any other fetch on time, as a fraction of the limit. */
const NORMAL_GROWTH = 0.04;
/**
 * Bounds of the factor by which a late fetch lowers the limit. Within them, the
 * factor is the inverse of the lateness.
 */
const MIN_DECREASE_FACTOR = 0.5;
const MAX_DECREASE_FACTOR = 0.85;
/**
 * Factor above which a decrease does not take the limit below its initial
 * value.
 */
const MILD_DECREASE_FACTOR = 0.75;
/** Lowest limit: one fetch at a time. */
const MIN_LIMIT = 1;
/** Weight of the mean of the peers' limits in each update from them. */
const PEER_AVERAGING_WEIGHT = 0.3;
/**
 * Duration of a fetch at full speed before any was observed; the site
 * specifications give 250 and 288 ms.
 */
const INITIAL_MIN_DURATION_MS = 290;
/**
 * Length of each of the two buckets in which the shortest duration is kept:
 * long compared with a fetch, short compared with the changes in a day.
 */
const MIN_DURATION_BUCKET_MS = 15_000;
/**
 * Time for which the specified duration counts as well; it may be wrong for
 * this site.
 */
const INITIAL_MIN_DURATION_LIFETIME_MS = 3_000;

export class FetchConcurrencyLimit {
  #limit = MIN_INITIAL_LIMIT;
  #initialLimit = MIN_INITIAL_LIMIT;
  #hasLocalSamples = false;
  /** Whether any fetch was late. */
  #hasSeenLateFetch = false;
  /** Fetches on time since the last late one. */
  #onTimeStreak = 0;
  #decreasedAt = Number.NEGATIVE_INFINITY;
  #minDurationMs = Number.POSITIVE_INFINITY;
  #previousMinDurationMs = Number.POSITIVE_INFINITY;
  #bucketStartedAt: Milliseconds | undefined;
  /** When the first fetch was observed. */
  #firstSampleAt: Milliseconds | undefined;
  #engineCount = 1;

  /** Estimated number of fetches that run at full speed at the same time. */
  get limit(): number {
    return this.#limit;
  }

  /**
   * The limit to publish to peers; undefined until it rests on this host's own
   * fetches.
   */
  get measuredLimit(): number | undefined {
    return this.#hasLocalSamples ? this.#limit : undefined;
  }

  /**
   * Moves the limit towards the mean of the peers' limits, since each host
   * observes few fetches.
   */
  recordPeerLimits(limits: readonly number[]): void {
    if (limits.length === 0) return;
    const mean = limits.reduce((sum, each) => sum + each, 0) /
      limits.length;
    this.#limit += PEER_AVERAGING_WEIGHT * (mean - this.#limit);
  }

  /** Sets the number of engines, which determines the initial limit. */
  setEngineCount(engineCount: number): void {
    this.#engineCount = Math.max(1, engineCount);
    if (this.#hasLocalSamples) return;
    this.#initialLimit = Math.max(
      MIN_INITIAL_LIMIT,
      INITIAL_LIMIT_PER_ENGINE * engineCount,
    );
    this.#limit = this.#initialLimit;
  }

  /**
   * Returns whether a host may start a fetch, and the conditions that it would
   * run under.
   */
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

  /**
   * The peers' fetches are known with a delay, so each host is limited to a
   * few. Every host may have one in flight, and as many as its even share.
   */
  #canFetch(count: FetchCount): boolean {
    const share = this.#limit * count.engineShare;
    return count.ownFetches === 0 || count.ownFetches < Math.floor(share) ||
      (estimateFleetFetches(count) < this.#limit &&
        count.ownFetches <
          Math.max(MIN_HOST_FETCH_CAP, HOST_SHARE_FACTOR * share));
  }

  recordFetch(fetch: FetchObservation, now: Milliseconds): void {
    const contention = Math.max(1, fetch.concurrentFetches / this.#limit);
    const normalizedMs = fetch.durationMs / contention;
    // With at most one fetch per host in flight, none can be faster.
    const isAtFullSpeed = fetch.isAtMinConcurrency ||
      fetch.concurrentFetches <= this.#limit;
    if (fetch.isDone && isAtFullSpeed) {
      this.#recordFullSpeedDuration(fetch.durationMs, now);
    }
    const minDurationMs = this.#getMinDurationMs(now);
    const isLate = normalizedMs > MAX_FULL_SPEED_RATIO * minDurationMs;
    const isSignificant = fetch.isAtHostShare ||
      (isLate && fetch.concurrentFetches > CONGESTED_FRACTION * this.#limit);
    if (!isSignificant || (!isLate && !fetch.isDone)) return;
    this.#hasLocalSamples = true;
    if (isLate) {
      this.#recordLateFetch(
        MAX_FULL_SPEED_RATIO * minDurationMs / normalizedMs,
        fetch.orderedAt,
        now,
      );
      return;
    }
    this.#onTimeStreak += 1;
    // More can't be in flight, since the platform limits the loads per engine.
    const maxLimit = MAX_LOADING * this.#engineCount;
    this.#limit = Math.min(
      Math.max(maxLimit, this.#limit),
      this.#limit + this.#computeGrowth(fetch.isAtMinConcurrency),
    );
  }

  #computeGrowth(isAtMinConcurrency: boolean): number {
    if (!this.#hasSeenLateFetch) return SLOW_START_GROWTH * this.#limit;
    const isStreak = this.#onTimeStreak > FAST_GROWTH_STREAK;
    const growth = isStreak || isAtMinConcurrency ? FAST_GROWTH : NORMAL_GROWTH;
    return growth * this.#limit;
  }

  /**
   * Lowers the limit, once for all fetches that were in flight at the same
   * time.
   */
  #recordLateFetch(
    factor: number,
    orderedAt: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#onTimeStreak = 0;
    this.#hasSeenLateFetch = true;
    if (orderedAt < this.#decreasedAt) return;
    this.#decreasedAt = now;
    const boundedFactor = Math.min(
      MAX_DECREASE_FACTOR,
      Math.max(MIN_DECREASE_FACTOR, factor),
    );
    // The peers' fetches are known with a delay, so a fetch that is a little
    // late is no evidence against the initial limit.
    const minLimit = factor > MILD_DECREASE_FACTOR
      ? Math.min(this.#initialLimit, this.#limit)
      : MIN_LIMIT;
    this.#limit = Math.max(minLimit, boundedFactor * this.#limit);
  }

  #getMinDurationMs(now: Milliseconds): Milliseconds {
    this.#firstSampleAt ??= now;
    const observedMs = Math.min(
      this.#minDurationMs,
      this.#previousMinDurationMs,
    );
    const isEarly =
      now - this.#firstSampleAt < INITIAL_MIN_DURATION_LIFETIME_MS;
    return isEarly || !Number.isFinite(observedMs)
      ? Math.min(observedMs, INITIAL_MIN_DURATION_MS)
      : observedMs;
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

/**
 * Where not all peers are heard, each is assumed to have as many fetches in
 * flight per engine as this host.
 */
function estimateFleetFetches(
  { ownFetches, peerFetches, engineShare }: FetchCount,
): number {
  return peerFetches === undefined
    ? ownFetches / engineShare
    : ownFetches + peerFetches;
}
