/**
 * What this daemon knows of the load and the pace of upstreams: its own requests
 * there, and the upstreams' reports, which come with responses and age between
 * them.
 *
 * A daemon hears an upstream a few times a second, while load and pace change
 * within fractions of a second. An estimate therefore starts at the latest
 * report and approaches the mean of the recent ones as that report ages; the
 * mean in turn approaches the normal value when reports stay away.
 */
import { computeDecayFactor } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";

/** What an upstream says of its load in the head of a response. */
export interface LoadReport {
  /** Requests running or waiting there, including those of other daemons. */
  requests: number;
  /** Those of them that wait. */
  waiting: number;
  /** Requests that it runs concurrently; undefined if it does not say. */
  slots: number | undefined;
  /**
   * Duration of work there as a multiple of the normal one; undefined if it does
   * not say.
   */
  pace: number | undefined;
}

/** Known load of an upstream of a plain service. */
export interface ServiceLoad {
  /** Requests that this daemon has in flight there. */
  ownRunning: number;
  /**
   * Requests running or waiting there by the upstream's own report, including
   * those of other daemons.
   */
  reportedRunning: number;
  reportedAt: Milliseconds;
}

/** Estimated state of an upstream at a given time. */
export interface LoadEstimate {
  /** Requests running or waiting there, including this daemon's own. */
  requests: number;
  /** Whether it has reported waiting requests, or rejected one, just now. */
  isSaturated: boolean;
  /** Slots by its own report; undefined if it has not named them. */
  slots: number | undefined;
  /** Duration of work as a multiple of the normal one. */
  pace: number;
}

/** Half-life of a report of the load: some runs of about 43 ms. */
const LOAD_HALF_LIFE_MS = 150;
/** Half-life of a report of the pace, which changes in fractions of a second. */
const PACE_HALF_LIFE_MS = 300;
/** Half-life of the means: some reports at one every other second. */
const MEAN_HALF_LIFE_MS = 2_000;
/**
 * Half-lives of the means when no report arrives: an upstream that gets no
 * request because of them gets one again after some seconds.
 */
const LOAD_MEAN_HALF_LIFE_MS = 2_000;
const PACE_MEAN_HALF_LIFE_MS = 3_000;
/** Time for which an upstream that reported waiting requests is no first choice. */
const SATURATION_MS = 100;
/** Bounds of a reported pace, against faulty reports. */
const MIN_PACE = 0.1;
const MAX_PACE = 20;
const NORMAL_PACE = 1;

/** Mean over time of a reported value, which approaches a normal one unheard. */
class ForgettingMean {
  readonly #normal: number;
  readonly #halfLifeMs: Milliseconds;
  #mean: number;
  #updatedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(normal: number, halfLifeMs: Milliseconds) {
    this.#normal = normal;
    this.#halfLifeMs = halfLifeMs;
    this.#mean = normal;
  }

  recordValue(value: number, now: Milliseconds): void {
    const decay = computeDecayFactor(now - this.#updatedAt, MEAN_HALF_LIFE_MS);
    this.#mean = value + (this.#mean - value) * decay;
    this.#updatedAt = now;
  }

  computeMean(now: Milliseconds): number {
    const ageMs = now - this.#updatedAt;
    return moveTowards(this.#normal, this.#mean, ageMs, this.#halfLifeMs);
  }
}

interface UpstreamState extends ServiceLoad {
  slots: number | undefined;
  /** Requests of other daemons in the latest report. */
  othersRunning: number;
  othersMean: ForgettingMean;
  saturatedUntil: Milliseconds;
  /** Undefined until the upstream has reported a pace. */
  pace: { latest: number; reportedAt: Milliseconds } | undefined;
  paceMean: ForgettingMean;
}

export class ServiceLoads {
  readonly #states = new Map<string, UpstreamState>();

  get(upstreamId: string): ServiceLoad | undefined {
    return this.#states.get(upstreamId);
  }

  /** Returns whether the upstream has ever reported its pace. */
  hasPace(upstreamId: string): boolean {
    return this.#states.get(upstreamId)?.pace !== undefined;
  }

  recordStart(upstreamId: string): void {
    const state = this.#states.get(upstreamId) ?? createState();
    state.ownRunning += 1;
    this.#states.set(upstreamId, state);
  }

  recordEnd(upstreamId: string): void {
    const state = this.#states.get(upstreamId);
    if (state) state.ownRunning -= 1;
  }

  /**
   * Records a report; one from an upstream to which this daemon has sent nothing
   * is ignored. Returns whether the upstream reports a pace for the first time.
   */
  recordReport(
    upstreamId: string,
    report: LoadReport,
    now: Milliseconds,
  ): boolean {
    const state = this.#states.get(upstreamId);
    if (!state) return false;
    state.reportedRunning = report.requests;
    state.reportedAt = now;
    state.slots = report.slots ?? state.slots;
    state.othersRunning = Math.max(
      0,
      state.reportedRunning - state.ownRunning,
    );
    state.othersMean.recordValue(state.othersRunning, now);
    state.saturatedUntil = report.waiting > 0 ? now + SATURATION_MS : now;
    if (report.pace === undefined) return false;
    const isFirst = state.pace === undefined;
    const pace = Math.min(MAX_PACE, Math.max(MIN_PACE, report.pace));
    state.pace = { latest: pace, reportedAt: now };
    state.paceMean.recordValue(pace, now);
    return isFirst;
  }

  /** Records that the upstream rejected a request, since it is full. */
  recordRejection(upstreamId: string, now: Milliseconds): void {
    const state = this.#states.get(upstreamId);
    if (state) state.saturatedUntil = now + SATURATION_MS;
  }

  /** Returns the highest estimated pace; undefined if none was ever reported. */
  estimateHighestPace(now: Milliseconds): number | undefined {
    const paces = [...this.#states]
      .filter(([, { pace }]) => pace !== undefined)
      .map(([id]) => this.estimateLoad(id, now).pace);
    return paces.length === 0 ? undefined : Math.max(...paces);
  }

  /** Returns the estimated state of the upstream. */
  estimateLoad(upstreamId: string, now: Milliseconds): LoadEstimate {
    const state = this.#states.get(upstreamId);
    if (!state) {
      return {
        requests: 0,
        isSaturated: false,
        slots: undefined,
        pace: NORMAL_PACE,
      };
    }
    const others = moveTowards(
      state.othersMean.computeMean(now),
      state.othersRunning,
      now - state.reportedAt,
      LOAD_HALF_LIFE_MS,
    );
    const paceMean = state.paceMean.computeMean(now);
    return {
      requests: state.ownRunning + others,
      isSaturated: state.saturatedUntil > now,
      slots: state.slots,
      pace: state.pace === undefined ? NORMAL_PACE : moveTowards(
        paceMean,
        state.pace.latest,
        now - state.pace.reportedAt,
        PACE_HALF_LIFE_MS,
      ),
    };
  }
}

function createState(): UpstreamState {
  return {
    ownRunning: 0,
    reportedRunning: 0,
    reportedAt: Number.NEGATIVE_INFINITY,
    slots: undefined,
    othersRunning: 0,
    othersMean: new ForgettingMean(0, LOAD_MEAN_HALF_LIFE_MS),
    saturatedUntil: Number.NEGATIVE_INFINITY,
    pace: undefined,
    paceMean: new ForgettingMean(NORMAL_PACE, PACE_MEAN_HALF_LIFE_MS),
  };
}

/** Returns the mean, moved towards the latest value the more recent that is. */
function moveTowards(
  mean: number,
  latest: number,
  ageMs: Milliseconds,
  halfLifeMs: Milliseconds,
): number {
  return mean + (latest - mean) * computeDecayFactor(ageMs, halfLifeMs);
}
