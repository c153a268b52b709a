/**
 * Judges upstreams by their own answers, since health checks may lie either way.
 * Load pattern: a part of the upstreams fails some requests, hangs, sheds or
 * turns slow while it reports itself healthy. Failures decay, so an upstream
 * that recovers is found out by the few requests that still reach it. Peers tell
 * each other of failing upstreams: all that is seen together shows a part that fails
 * where each host alone sees a few.
 */
import { computeDecay } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";

/** How one attempt at an upstream ended, as far as it speaks of the upstream. */
export const HealthSignal = {
  Answered: "answered",
  /** It failed the request, or broke it off. */
  Failed: "failed",
  /** It rejected the request without running it. */
  Rejected: "rejected",
  /** No connection came about. */
  Unreachable: "unreachable",
} as const;
export type HealthSignal = (typeof HealthSignal)[keyof typeof HealthSignal];

/** Time in which what was seen loses half of its weight. */
const HALF_LIFE_MS = 4_000;
/** Answers that an upstream is credited with before any was seen. */
const PRIOR_SUCCESSES = 3;
/** Time for which an upstream that can't be reached is passed over. */
const UNREACHABLE_AVOIDANCE_MS = 1_500;
/** Share of failures below which an upstream counts as sound, so that old ones do not keep it out. */
const NEGLIGIBLE_FAILURE_RATE = 0.05;
/** Share of failures from which an upstream is taken for ill. */
const UNHEALTHY_FAILURE_RATE = 0.35;
/** The same share over all hosts, which see more requests and so tell it sooner from chance. */
const UNHEALTHY_FLEET_FAILURE_RATE = 0.22;
/** Failures over all hosts below which that share tells nothing. */
const MIN_FLEET_FAILURES = 3;
/** Hosts that must have seen a failure: one alone may have a bad path to it. */
const MIN_REPORTING_HOSTS = 2;
/** Failures from which a host tells its peers of an upstream. */
const MIN_PUBLISHED_FAILURES = 0.5;

/** What a host has seen of an upstream that fails requests, recent ones foremost. */
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
  /** What peers have seen of failing upstreams. */
  #reported: ReadonlyMap<string, ReportedOutcomes> = new Map();

  recordSignal(
    upstreamId: string,
    sign: HealthSignal,
    now: Milliseconds,
  ): void {
    const record = this.#updateCounts(upstreamId, now);
    switch (sign) {
      case HealthSignal.Answered:
        record.answered += 1;
        record.avoidedUntil = now;
        break;
      case HealthSignal.Failed:
        record.failed += 1;
        break;
      case HealthSignal.Rejected:
        record.failed += 0.5;
        break;
      case HealthSignal.Unreachable:
        record.failed += 1;
        record.avoidedUntil = now + UNREACHABLE_AVOIDANCE_MS;
        break;
    }
  }

  /** Returns the share of attempts that fail there, 0 to 1, recent ones foremost. */
  getFailureRate(upstreamId: string, now: Milliseconds): number {
    if (!this.#counts.has(upstreamId)) return 0;
    const { answered, failed } = this.#updateCounts(upstreamId, now);
    const share = failed / (answered + failed + PRIOR_SUCCESSES);
    return share < NEGLIGIBLE_FAILURE_RATE ? 0 : share;
  }

  /** Returns what this host has seen of upstreams that fail requests, to be told to peers. */
  listFailing(now: Milliseconds): OutcomeReport[] {
    return [...this.#counts.keys()].flatMap((upstreamId): OutcomeReport[] => {
      const { failed, answered } = this.#updateCounts(upstreamId, now);
      return failed < MIN_PUBLISHED_FAILURES
        ? []
        : [[upstreamId, roundCount(failed), roundCount(answered)]];
    });
  }

  /** Takes in what each living peer tells; replaces what was told before. */
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

  /** Returns whether requests go elsewhere where they can. */
  isAvoided(upstreamId: string, now: Milliseconds): boolean {
    if (this.#isUnhealthyFleetWide(upstreamId, now)) return true;
    const record = this.#counts.get(upstreamId);
    if (!record) return false;
    return record.avoidedUntil > now ||
      this.getFailureRate(upstreamId, now) >= UNHEALTHY_FAILURE_RATE;
  }

  /** Returns whether all hosts together see the upstream fail too many requests. */
  #isUnhealthyFleetWide(upstreamId: string, now: Milliseconds): boolean {
    const reported = this.#reported.get(upstreamId);
    if (!reported) return false;
    const own = this.#counts.has(upstreamId)
      ? this.#updateCounts(upstreamId, now)
      : { failed: 0, answered: 0 };
    const hosts = reported.hosts +
      (own.failed >= MIN_PUBLISHED_FAILURES ? 1 : 0);
    const failed = reported.failed + own.failed;
    const all = failed + reported.answered + own.answered;
    return hosts >= MIN_REPORTING_HOSTS && failed >= MIN_FLEET_FAILURES &&
      failed / (all + PRIOR_SUCCESSES) >= UNHEALTHY_FLEET_FAILURE_RATE;
  }

  #updateCounts(upstreamId: string, now: Milliseconds): OutcomeCounts {
    const record = this.#counts.get(upstreamId) ??
      { answered: 0, failed: 0, updatedAt: now, avoidedUntil: now };
    const decay = computeDecay(now - record.updatedAt, HALF_LIFE_MS);
    record.answered *= decay;
    record.failed *= decay;
    record.updatedAt = now;
    this.#counts.set(upstreamId, record);
    return record;
  }
}

/** Rounds a decayed count for a message. */
function roundCount(count: number): number {
  return Math.round(count * 10) / 10;
}
