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
  own: number;
  /** Those that others say they have; undefined where not all are heard. */
  others: number | undefined;
  /** Its share of the engines, as a part of all; at least one engine's. */
  engineShare: number;
  /** Hosts that hold engines. */
  holders: number;
}

/** What follows for the next load of a host. */
export interface FetchShare {
  /** Loads on their way over all hosts, as far as can be told. */
  fleetFetches: number;
  /** How many of these go at full speed together. */
  fullSpeedFetches: number;
  canFetch: boolean;
  /** Whether the host has its share on the way with one more. */
  isLast: boolean;
  /** Whether it has none on the way, and the others have one each at most. */
  isOnlyOwn: boolean;
  /** Loads at once that an engine can count on. */
  perEngine: number;
}

/** First estimate, before any load has told: the least and the part of an engine's of the users' first sites. */
const FIRST_LEAST = 8;
const FIRST_PER_ENGINE = 0.65;
/** Adapters on their way to one engine, at most: the platform's bound. */
export const MAX_COMING = 4;
/** Loads that one host may have on the way in any case, while the store has room. */
const MIN_OWN_FETCHES = 3;
/** The same in parts of an even share: demand is uneven. */
const OWN_SHARES = 1.5;
/** Longest duration of a load at full speed, in parts of the quickest one: the look at a load comes up to a quarter late. */
const FLAT_RATIO = 1.25;
/** Part of the estimate beyond which loads on the way may be the cause of a long one. */
const CROWDED_SHARE = 0.5;
/** Loads in time, one after the other, after which the estimate is taken for much too low. */
const OPENING_STREAK = 16;
/** Growth for a load in time before any was late, as a part of the estimate: each host has a few on the way, so that these double it. */
const FIRST_GROWTH = 0.3;
/** The same after a streak of loads in time, and for a load that the host had alone: then it sees few. */
const OPENING_GROWTH = 0.12;
/** Growth for any other load in time, as a part of the estimate. */
const GROWTH = 0.04;
/** Parts of the estimate that are kept when a load was late: as much as it was late by, within these. */
const LEAST_KEPT = 0.5;
const MOST_KEPT = 0.85;
/** The same part down to which the estimate does not fall below the first one. */
const MILD_PART = 0.75;
/** Least estimate: one load after the other. */
const LEAST = 1;
/** Part of the way to the mean of what others have found that a host goes each time it hears of it. */
const AGREEMENT = 0.3;
/** Duration of a load at full speed before any was seen; the users' sheets give 250 and 288 ms. */
const FIRST_QUICKEST_MS = 290;
/** Time for which the quickest load is remembered, in two halves: long against a load, short against a day's changes. */
const QUICKEST_HALF_MS = 15_000;
/** Time for which the figure of the users' sheets counts as well, which may be wrong here. */
const FIRST_QUICKEST_COUNTS_MS = 3_000;

export class FetchWindow {
  #fullSpeed = FIRST_LEAST;
  #first = FIRST_LEAST;
  #hasEvidence = false;
  /** Whether a load was late. */
  #hasBeenLate = false;
  /** Loads in time since the last late one. */
  #streak = 0;
  #cutAt = Number.NEGATIVE_INFINITY;
  #quickestMs = Number.POSITIVE_INFINITY;
  #quickestBeforeMs = Number.POSITIVE_INFINITY;
  #halfBeganAt: Milliseconds | undefined;
  /** When a load was seen first. */
  #firstSeenAt: Milliseconds | undefined;
  #engines = 1;

  /** Loads that go at full speed together, as far as is known. */
  get fullSpeed(): number {
    return this.#fullSpeed;
  }

  /** The same where it rests on this host's own loads, to be told to others. */
  get found(): number | undefined {
    return this.#hasEvidence ? this.#fullSpeed : undefined;
  }

  /** Takes in what the others have found: each sees a few loads only. */
  recordFindings(findings: readonly number[]): void {
    if (findings.length === 0) return;
    const mean = findings.reduce((sum, each) => sum + each, 0) /
      findings.length;
    this.#fullSpeed += AGREEMENT * (mean - this.#fullSpeed);
  }

  /** Sets the number of engines, by which the first estimate goes. */
  setEngines(engines: number): void {
    this.#engines = Math.max(1, engines);
    if (this.#hasEvidence) return;
    this.#first = Math.max(FIRST_LEAST, FIRST_PER_ENGINE * engines);
    this.#fullSpeed = this.#first;
  }

  /** Returns whether a host may start a load, and beside how many. */
  computeShare(count: FetchCount): FetchShare {
    const share = this.#fullSpeed * count.engineShare;
    return {
      fleetFetches: estimateFleet(count),
      fullSpeedFetches: this.#fullSpeed,
      canFetch: this.#canFetch(count),
      isLast: count.own + 1 >= share ||
        !this.#canFetch({ ...count, own: count.own + 1 }),
      isOnlyOwn: count.own === 0 && estimateFleet(count) < count.holders,
      perEngine: Math.min(
        MAX_COMING,
        Math.max(1, this.#fullSpeed / this.#engines),
      ),
    };
  }

  /** What others have on the way is known late, so each host keeps to a few, and each gets on with one and with its even share. */
  #canFetch(count: FetchCount): boolean {
    const share = this.#fullSpeed * count.engineShare;
    return count.own === 0 || count.own < Math.floor(share) ||
      (estimateFleet(count) < this.#fullSpeed &&
        count.own < Math.max(MIN_OWN_FETCHES, OWN_SHARES * share));
  }

  recordFetch(fetch: FetchObservation, now: Milliseconds): void {
    const crowding = Math.max(1, fetch.crowd / this.#fullSpeed);
    const alikeMs = fetch.durationMs / crowding;
    // Where each host has one on the way at most, none can be quicker.
    const isAtFullSpeed = fetch.isOnlyOwn || fetch.crowd <= this.#fullSpeed;
    if (fetch.isDone && isAtFullSpeed) {
      this.#recordQuickest(fetch.durationMs, now);
    }
    const quickestMs = this.#getQuickestMs(now);
    const isLong = alikeMs > FLAT_RATIO * quickestMs;
    const isTelling = fetch.isLast ||
      (isLong && fetch.crowd > CROWDED_SHARE * this.#fullSpeed);
    if (!isTelling || (!isLong && !fetch.isDone)) return;
    this.#hasEvidence = true;
    if (isLong) {
      this.#cut(FLAT_RATIO * quickestMs / alikeMs, fetch.orderedAt, now);
      return;
    }
    this.#streak += 1;
    // No more can be on the way: the platform bounds them by engine.
    const most = MAX_COMING * this.#engines;
    this.#fullSpeed = Math.min(
      Math.max(most, this.#fullSpeed),
      this.#fullSpeed + this.#computeGrowth(fetch.isOnlyOwn),
    );
  }

  #computeGrowth(isOnlyOwn: boolean): number {
    if (!this.#hasBeenLate) return FIRST_GROWTH * this.#fullSpeed;
    const isStreak = this.#streak > OPENING_STREAK;
    const growth = isStreak || isOnlyOwn ? OPENING_GROWTH : GROWTH;
    return growth * this.#fullSpeed;
  }

  /** Lowers the estimate, once for all loads that were on the way together. */
  #cut(part: number, orderedAt: Milliseconds, now: Milliseconds): void {
    this.#streak = 0;
    this.#hasBeenLate = true;
    if (orderedAt < this.#cutAt) return;
    this.#cutAt = now;
    const kept = Math.min(MOST_KEPT, Math.max(LEAST_KEPT, part));
    // What others have on the way is known late: a load that is a little late tells nothing against the first estimate.
    const least = part > MILD_PART
      ? Math.min(this.#first, this.#fullSpeed)
      : LEAST;
    this.#fullSpeed = Math.max(least, kept * this.#fullSpeed);
  }

  #getQuickestMs(now: Milliseconds): Milliseconds {
    this.#firstSeenAt ??= now;
    const seenMs = Math.min(this.#quickestMs, this.#quickestBeforeMs);
    const isEarly = now - this.#firstSeenAt < FIRST_QUICKEST_COUNTS_MS;
    return isEarly || !Number.isFinite(seenMs)
      ? Math.min(seenMs, FIRST_QUICKEST_MS)
      : seenMs;
  }

  #recordQuickest(durationMs: Milliseconds, now: Milliseconds): void {
    this.#halfBeganAt ??= now;
    if (now - this.#halfBeganAt >= QUICKEST_HALF_MS) {
      this.#halfBeganAt = now;
      if (Number.isFinite(this.#quickestMs)) {
        this.#quickestBeforeMs = this.#quickestMs;
      }
      this.#quickestMs = Number.POSITIVE_INFINITY;
    }
    this.#quickestMs = Math.min(this.#quickestMs, durationMs);
  }
}

/** Where others are not heard, each is taken to have as many on the way for each of its engines as this one. */
function estimateFleet({ own, others, engineShare }: FetchCount): number {
  return others === undefined ? own / engineShare : own + others;
}
