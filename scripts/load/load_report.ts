/**
 * Results of a load run: latency histograms, answers by outcome and refusals by
 * reason.
 */
import hdr from "hdr-histogram-js";

const US_PER_MS = 1_000;
const HIGHEST_US = 3_600_000_000;
const PERCENTILES = [50, 95, 99] as const;

/** Summary of a latency histogram, in milliseconds. */
export interface LatencySummary {
  count: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
  maxMs: number;
}

export interface LoadSummary {
  sent: number;
  /** Requests that were due while the maximum number was in flight. */
  notSent: number;
  outcomes: Record<string, number>;
  refusals: Record<string, number>;
  firstToken: LatencySummary;
  betweenTokens: LatencySummary;
}

export class LoadReport {
  readonly #firstToken = hdr.build({ highestTrackableValue: HIGHEST_US });
  readonly #betweenTokens = hdr.build({ highestTrackableValue: HIGHEST_US });
  readonly #outcomes = new Map<string, number>();
  readonly #refusals = new Map<string, number>();
  #sent = 0;
  #notSent = 0;

  recordSent(): void {
    this.#sent += 1;
  }

  recordNotSent(): void {
    this.#notSent += 1;
  }

  recordFirstToken(latencyMs: number): void {
    this.#firstToken.recordValue(Math.round(latencyMs * US_PER_MS));
  }

  recordBetweenTokens(latencyMs: number): void {
    this.#betweenTokens.recordValue(Math.round(latencyMs * US_PER_MS));
  }

  recordOutcome(outcome: string): void {
    addOne(this.#outcomes, outcome);
  }

  recordRefusal(reason: string): void {
    addOne(this.#refusals, reason);
  }

  describe(): LoadSummary {
    return {
      sent: this.#sent,
      notSent: this.#notSent,
      outcomes: Object.fromEntries(this.#outcomes),
      refusals: Object.fromEntries(this.#refusals),
      firstToken: describeLatency(this.#firstToken),
      betweenTokens: describeLatency(this.#betweenTokens),
    };
  }
}

function addOne(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function describeLatency(histogram: hdr.Histogram): LatencySummary {
  const [p50Ms = 0, p95Ms = 0, p99Ms = 0] = PERCENTILES.map((percentile) =>
    histogram.getValueAtPercentile(percentile) / US_PER_MS
  );
  return {
    count: histogram.totalCount,
    p50Ms,
    p95Ms,
    p99Ms,
    maxMs: histogram.totalCount === 0 ? 0 : histogram.maxValue / US_PER_MS,
  };
}
