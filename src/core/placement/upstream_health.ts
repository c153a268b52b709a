/**
 * Passive health checks: rates upstreams by the outcome of requests, since
 * active health checks can be wrong in both directions. Some upstreams fail
 * some requests, hang, shed load or become slow while they report themselves
 * healthy. Failure counts decay, so that the few requests that still reach an
 * upstream show its recovery. Hosts report failing upstreams to each other: the
 * combined counts reveal a failure rate of which each host alone sees too few
 * failures.
 */
import { computeDecayFactor } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";

/** Outcome of one attempt, as far as it concerns the health of the upstream. */
export const HealthSignal = {
  Answered: "answered",
  /** The upstream failed the request or aborted it. */
  Failed: "failed",
  /** The upstream rejected the request without running it. */
  Rejected: "rejected",
  /** No connection could be established. */
  Unreachable: "unreachable",
} as const;
export type HealthSignal = (typeof HealthSignal)[keyof typeof HealthSignal];

/** Half-life of the counts. */
const HALF_LIFE_MS = 4_000;
/** Successful answers that are assumed before any was observed. */
const PRIOR_SUCCESSES = 3;
/** Time for which an unreachable upstream is avoided. */
const UNREACHABLE_AVOIDANCE_MS = 1_500;
/**
 * Failure rate that counts as zero, so that old failures don't exclude an
 * upstream.
 */
const NEGLIGIBLE_FAILURE_RATE = 0.05;
/** Failure rate from which an upstream is unhealthy. */
const UNHEALTHY_FAILURE_RATE = 0.35;
/**
 * The same rate over all hosts, which see more requests and so distinguish it
 * sooner from chance.
 */
const UNHEALTHY_FLEET_FAILURE_RATE = 0.22;
/** Failures over all hosts below which that rate is not significant. */
const MIN_FLEET_FAILURES = 3;
/**
 * Hosts that must have seen failures, since the network path of a single one
 * may be bad.
 */
const MIN_REPORTING_HOSTS = 2;
/** Failures from which a host reports an upstream to its peers. */
const MIN_PUBLISHED_FAILURES = 0.5;

/** Decayed counts of a host for an upstream that fails requests. */
export type OutcomeReport = [
  upstreamId: string,
  failed: number,
  answered: number,
];

interface ReportedOutcomes {
  hosts: number;
  failed: number;
  answered: number;
}

interface OutcomeCounts {
  answered: number;
  failed: number;
  updatedAt: Milliseconds;
  avoidedUntil: Milliseconds;
}

export class UpstreamHealth {
  readonly #counts = new Map<string, OutcomeCounts>();
  /** Combined reports of the peers on failing upstreams. */
  #reported: ReadonlyMap<string, ReportedOutcomes> = new Map();

  recordSignal(
    upstreamId: string,
    signal: HealthSignal,
    now: Milliseconds,
  ): void {
    const counts = this.#updateCounts(upstreamId, now);
    switch (signal) {
      case HealthSignal.Answered:
        counts.answered += 1;
        counts.avoidedUntil = now;
        break;
      case HealthSignal.Failed:
        counts.failed += 1;
        break;
      case HealthSignal.Rejected:
        counts.failed += 0.5;
        break;
      case HealthSignal.Unreachable:
        counts.failed += 1;
        counts.avoidedUntil = now + UNREACHABLE_AVOIDANCE_MS;
        break;
    }
  }

  /** Returns the decayed rate of failed attempts, 0 to 1. */
  getFailureRate(upstreamId: string, now: Milliseconds): number {
    if (!this.#counts.has(upstreamId)) return 0;
    const { answered, failed } = this.#updateCounts(upstreamId, now);
    const rate = failed / (answered + failed + PRIOR_SUCCESSES);
    return rate < NEGLIGIBLE_FAILURE_RATE ? 0 : rate;
  }

  /** Returns this host's counts for failing upstreams, to be sent to peers. */
  listFailing(now: Milliseconds): OutcomeReport[] {
    return [...this.#counts.keys()].flatMap((upstreamId): OutcomeReport[] => {
      const { failed, answered } = this.#updateCounts(upstreamId, now);
      return failed < MIN_PUBLISHED_FAILURES
        ? []
        : [[upstreamId, roundCount(failed), roundCount(answered)]];
    });
  }

  /**
   * Replaces the reports of the peers with those of all peers that are alive.
   */
  recordReports(reports: readonly (readonly OutcomeReport[])[]): void {
    const reported = new Map<string, ReportedOutcomes>();
    for (const [upstreamId, failed, answered] of reports.flat()) {
      const before = reported.get(upstreamId) ??
        { hosts: 0, failed: 0, answered: 0 };
      reported.set(upstreamId, {
        hosts: before.hosts + 1,
        failed: before.failed + failed,
        answered: before.answered + answered,
      });
    }
    this.#reported = reported;
  }

  /** Returns whether requests should go to other upstreams if possible. */
  isAvoided(upstreamId: string, now: Milliseconds): boolean {
    if (this.#isUnhealthyFleetWide(upstreamId, now)) return true;
    const counts = this.#counts.get(upstreamId);
    if (!counts) return false;
    return counts.avoidedUntil > now ||
      this.getFailureRate(upstreamId, now) >= UNHEALTHY_FAILURE_RATE;
  }

  /** Returns whether the upstream's failure rate over all hosts is too high. */
  #isUnhealthyFleetWide(upstreamId: string, now: Milliseconds): boolean {
    const reported = this.#reported.get(upstreamId);
    if (!reported) return false;
    const ownCounts = this.#counts.has(upstreamId)
      ? this.#updateCounts(upstreamId, now)
      : { failed: 0, answered: 0 };
    const hosts = reported.hosts +
      (ownCounts.failed >= MIN_PUBLISHED_FAILURES ? 1 : 0);
    const failed = reported.failed + ownCounts.failed;
    const attempts = failed + reported.answered + ownCounts.answered;
    return hosts >= MIN_REPORTING_HOSTS && failed >= MIN_FLEET_FAILURES &&
      failed / (attempts + PRIOR_SUCCESSES) >= UNHEALTHY_FLEET_FAILURE_RATE;
  }

  #updateCounts(upstreamId: string, now: Milliseconds): OutcomeCounts {
    const counts = this.#counts.get(upstreamId) ??
      { answered: 0, failed: 0, updatedAt: now, avoidedUntil: now };
    const decay = computeDecayFactor(now - counts.updatedAt, HALF_LIFE_MS);
    counts.answered *= decay;
    counts.failed *= decay;
    counts.updatedAt = now;
    this.#counts.set(upstreamId, counts);
    return counts;
  }
}

/** Rounds a decayed count for a message. */
function roundCount(count: number): number {
  return Math.round(count * 10) / 10;
}
