/** Rows of the bench, computed from what became of each request. */
import type { Deployment, WorkloadRequest } from "./workloads.ts";

/** What became of one request. */
export interface RequestRecord {
  request: WorkloadRequest;
  deadlineMs: number;
  /** Whether it waited for a load, answered or refused. */
  hasStalled: boolean;
  dispatchedAt?: number;
  /** At the caller. */
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
  const toEngines = records.filter(({ request }) => request.adapter !== "");
  const stalled = toEngines.filter(({ hasStalled }) => hasStalled);
  const served = records.filter((record) => record.completedAt !== undefined);
  const good = served.filter(isInTime);
  return {
    policy: options.policy,
    loadStallShare: toRounded(stalled.length / toEngines.length),
    loadStallP95Ms: toWholeMs(computePercentile(
      stalled.filter((record) => record.dispatchedAt !== undefined)
        .map((record) => record.dispatchedAt! - record.request.at),
      0.95,
    )),
    batchFill: toRounded(options.batchFill),
    goodput: toRounded(good.length / measuredSeconds),
    refused: records.filter((record) => record.refusal !== undefined).length,
    lateShare: toRounded((served.length - good.length) / records.length),
    loads: options.loads,
    firstTokenP95Ms: toWholeMs(computePercentile(
      served.filter(({ request }) => request.adapter !== "")
        .map((record) => record.firstTokenAt! - record.request.at),
      0.95,
    )),
    fairness: toRounded(computeFairness(computeShares(records, deployment))),
  };
}

/** Returns each customer's requests in time as a part of its max-min fair share of all of them. */
export function computeShares(
  records: RequestRecord[],
  deployment: Deployment,
): number[] {
  const toEngines = records.filter(({ request }) => request.adapter !== "");
  const demands = deployment.customers.map(({ name, share }) => ({
    share,
    offered: toEngines.filter(({ request }) => request.customer === name)
      .length,
    served:
      toEngines.filter((record) =>
        record.request.customer === name && record.completedAt !== undefined &&
        isInTime(record)
      ).length,
  }));
  const fair = computeFairAmounts(demands);
  return demands.map(({ served }, index) => served / Math.max(1, fair[index]!));
}

/** Fills demands evenly by share until all that was served is given out. */
function computeFairAmounts(
  demands: { share: number; offered: number; served: number }[],
): number[] {
  const fair = demands.map(() => 0);
  const open = new Set(demands.keys());
  let left = demands.reduce((sum, { served }) => sum + served, 0);
  while (left > 1e-6 && open.size > 0) {
    const shares = [...open].reduce((sum, i) => sum + demands[i]!.share, 0);
    const level = Math.min(
      left / shares,
      ...[...open].map((i) =>
        (demands[i]!.offered - fair[i]!) / demands[i]!.share
      ),
    );
    for (const index of [...open]) {
      const { share, offered } = demands[index]!;
      fair[index]! += level * share;
      left -= level * share;
      if (offered - fair[index]! < 1e-6) open.delete(index);
    }
  }
  return fair;
}

/** Jain's index. */
function computeFairness(shares: number[]): number {
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share * share, 0);
  return squares === 0 ? 0 : sum * sum / (shares.length * squares);
}

function isInTime(record: RequestRecord): boolean {
  return record.firstTokenAt !== undefined &&
    record.firstTokenAt - record.request.at <= record.deadlineMs;
}

function computePercentile(values: number[], part: number): number {
  if (values.length === 0) return 0;
  values.sort((a, b) => a - b);
  return values[Math.min(values.length - 1, Math.floor(values.length * part))]!;
}

function toRounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

function toWholeMs(value: number): number {
  return Math.round(value);
}
