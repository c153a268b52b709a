/**
 * Judges upstreams by their own answers, since health checks may lie either way.
 * Load pattern: a part of the upstreams fails some requests, hangs, sheds or
 * turns slow while it reports itself healthy. Failures decay, so an upstream
 * that recovers is found out by the few requests that still reach it.
 */
import type { Milliseconds } from "../structures.ts";

/** How one attempt at an upstream ended, as far as it speaks of the upstream. */
export const HealthSign = {
  Answered: "answered",
  /** It failed the request, or broke it off. */
  Failed: "failed",
  /** It rejected the request without running it. */
  Rejected: "rejected",
  /** No connection came about. */
  Unreachable: "unreachable",
} as const;
export type HealthSign = (typeof HealthSign)[keyof typeof HealthSign];

/** Time in which what was seen loses half of its weight. */
const HALF_LIFE_MS = 4_000;
/** Answers that an upstream is credited with before any was seen. */
const PRIOR_ANSWERS = 3;
/** Time for which an upstream that can't be reached is passed over. */
const UNREACHABLE_PAUSE_MS = 1_500;
/** Share of failures below which an upstream counts as sound, so that old ones do not keep it out. */
const NEGLIGIBLE_SHARE = 0.05;
/** Share of failures from which an upstream is taken for ill. */
const ILL_FAILURE_SHARE = 0.35;

interface Record {
  answered: number;
  failed: number;
  updatedAt: Milliseconds;
  avoidedUntil: Milliseconds;
}

export class UpstreamHealth {
  readonly #records = new Map<string, Record>();

  recordSign(upstreamId: string, sign: HealthSign, now: Milliseconds): void {
    const record = this.#updateRecord(upstreamId, now);
    switch (sign) {
      case HealthSign.Answered:
        record.answered += 1;
        record.avoidedUntil = now;
        break;
      case HealthSign.Failed:
        record.failed += 1;
        break;
      case HealthSign.Rejected:
        record.failed += 0.5;
        break;
      case HealthSign.Unreachable:
        record.failed += 1;
        record.avoidedUntil = now + UNREACHABLE_PAUSE_MS;
        break;
    }
  }

  /** Returns the share of attempts that fail there, 0 to 1, recent ones foremost. */
  getFailureShare(upstreamId: string, now: Milliseconds): number {
    if (!this.#records.has(upstreamId)) return 0;
    const { answered, failed } = this.#updateRecord(upstreamId, now);
    const share = failed / (answered + failed + PRIOR_ANSWERS);
    return share < NEGLIGIBLE_SHARE ? 0 : share;
  }

  /** Returns whether requests go elsewhere where they can. */
  isAvoided(upstreamId: string, now: Milliseconds): boolean {
    const record = this.#records.get(upstreamId);
    if (!record) return false;
    return record.avoidedUntil > now ||
      this.getFailureShare(upstreamId, now) >= ILL_FAILURE_SHARE;
  }

  #updateRecord(upstreamId: string, now: Milliseconds): Record {
    const record = this.#records.get(upstreamId) ??
      { answered: 0, failed: 0, updatedAt: now, avoidedUntil: now };
    const decay = 0.5 ** ((now - record.updatedAt) / HALF_LIFE_MS);
    record.answered *= decay;
    record.failed *= decay;
    record.updatedAt = now;
    this.#records.set(upstreamId, record);
    return record;
  }
}
