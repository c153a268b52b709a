/** Computes the rows of the benchmark from the outcomes of its requests. */
import type { Deployment, WorkloadRequest } from "./workloads.ts";

/** Times and outcome of one request. */
export interface RequestRecord {
  request: WorkloadRequest;
  deadlineMs: number;
  /** Whether it waited for an adapter load, served or refused. */
  hasStalled: boolean;
  dispatchedAt?: number;
  /** When the first token reached the caller. */
  firstTokenAt?: number;
  completedAt?: number;
  refusal?: string;
}

export interface PolicyRow {
  policy: string;
  loadStallShare: number;
  loadStallP95Ms: number | null;
  batchFill: number | null;
  goodput: number | null;
  refused: number | null;
  lateShare: number | null;
  loads: number;
  firstTokenP95Ms: number | null;
  fairness: number | null;
}

export function computeRow(options: {
  policy: string;
  deployment: Deployment;
  records: RequestRecord[];
  measuredSeconds: number;
  batchFill: number;
  loads: number;
}): PolicyRow {
  const { records, deployment, measuredSeconds } = options;
  const engineRequests = records.filter(({ request }) =>
    request.adapter !== ""
  );
  const stalled = engineRequests.filter(({ hasStalled }) => hasStalled);
  const served = records.filter((record) => record.completedAt !== undefined);
  const onTime = served.filter(isWithinDeadline);
  return {
    policy: options.policy,
    loadStallShare: toRounded(stalled.length / engineRequests.length),
    loadStallP95Ms: toWholeMs(computePercentile(
      stalled.filter((record) => record.dispatchedAt !== undefined)
        .map((record) => record.dispatchedAt! - record.request.at),
      0.95,
    )),
    batchFill: toRounded(options.batchFill),
    goodput: toRounded(onTime.length / measuredSeconds),
    refused: records.filter((record) => record.refusal !== undefined).length,
    lateShare: toRounded((served.length - onTime.length) / records.length),
    loads: options.loads,
    firstTokenP95Ms: toWholeMs(computePercentile(
      served.filter(({ request }) => request.adapter !== "")
        .map((record) => record.firstTokenAt! - record.request.at),
      0.95,
    )),
    fairness: toRounded(
      computeJainIndex(computeFairShareRatios(records, deployment)),
    ),
  };
}

/**
 * Returns for each customer its requests served within the deadline, as a
 * fraction of its max-min fair share of all such requests.
 */
export function computeFairShareRatios(
  records: RequestRecord[],
  deployment: Deployment,
): number[] {
  const engineRequests = records.filter(({ request }) =>
    request.adapter !== ""
  );
  const demands = deployment.customers.map(({ name, share }) => ({
    share,
    offered: engineRequests.filter(({ request }) => request.customer === name)
      .length,
    served:
      engineRequests.filter((record) =>
        record.request.customer === name && record.completedAt !== undefined &&
        isWithinDeadline(record)
      ).length,
  }));
  const fairAmounts = computeMaxMinFairShares(demands);
  return demands.map(({ served }, index) =>
    served / Math.max(1, fairAmounts[index]!)
  );
}

/**
 * Divides the served requests among the customers by weighted max-min fairness
 * (progressive filling).
 */
function computeMaxMinFairShares(
  demands: { share: number; offered: number; served: number }[],
): number[] {
  const fairAmounts = demands.map(() => 0);
  const unsatisfied = new Set(demands.keys());
  let remaining = demands.reduce((sum, { served }) => sum + served, 0);
  while (remaining > 1e-6 && unsatisfied.size > 0) {
    const shareSum = [...unsatisfied].reduce(
      (sum, i) => sum + demands[i]!.share,
      0,
    );
    const increment = Math.min(
      remaining / shareSum,
      ...[...unsatisfied].map((i) =>
        (demands[i]!.offered - fairAmounts[i]!) / demands[i]!.share
      ),
    );
    for (const index of [...unsatisfied]) {
      const { share, offered } = demands[index]!;
      fairAmounts[index]! += increment * share;
      remaining -= increment * share;
      if (offered - fairAmounts[index]! < 1e-6) unsatisfied.delete(index);
    }
  }
  return fairAmounts;
}

/** Computes Jain's fairness index. */
function computeJainIndex(ratios: number[]): number {
  const sum = ratios.reduce((total, ratio) => total + ratio, 0);
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
  return squares === 0 ? 0 : sum * sum / (ratios.length * squares);
}

function isWithinDeadline(record: RequestRecord): boolean {
  return record.firstTokenAt !== undefined &&
    record.firstTokenAt - record.request.at <= record.deadlineMs;
}

function computePercentile(values: number[], quantile: number): number {
  if (values.length === 0) return 0;
  values.sort((a, b) => a - b);
  return values[
    Math.min(values.length - 1, Math.floor(values.length * quantile))
  ]!;
}

function toRounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

function toWholeMs(value: number): number {
  return Math.round(value);
}
