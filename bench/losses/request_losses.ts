/**
 * Classifies the requests in the log of the gateways by outcome: on time, late,
 * refused or failed, late ones by the step that took most of the time. Counts
 * them by route and second of arrival.
 */
import * as z from "zod";
import type { LogRecord } from "../../src/cli/request_trace.ts";

/** The last log record of a request, which gives its outcome. */
const outcomeRecordSchema = z.object({
  time: z.string(),
  event: z.enum(["requestServed", "requestDecision"]),
  route: z.string(),
  verdict: z.enum(["deliver", "withhold", "refuse", "fail"]),
  reason: z.string(),
  objectiveMs: z.number(),
  sentMs: z.number().nullish(),
  firstByteMs: z.number().nullish(),
  elapsedMs: z.number(),
  questions: z.number().default(0),
});
type OutcomeRecord = z.infer<typeof outcomeRecordSchema>;

/** Outcome of a request; late ones by the step that took longer. */
export const RequestOutcome = {
  OnTime: "in time",
  LateBeforeDispatch: "late: waited for a place",
  LateAtUpstream: "late: upstream's first event",
  LateWholeResponse: "late: whole answer",
  Refused: "refused",
  DeadlineExceeded: "failed: not done by its deadline",
  ResponseInterrupted: "failed: broken off",
  UpstreamError: "failed by its upstream",
} as const;
export type RequestOutcome =
  (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** The requests of one route that arrived within one second. */
export interface OutcomeRow {
  route: string;
  /** Seconds from the arrival of the first logged request; -1 in a sum. */
  second: number;
  requests: number;
  counts: Map<RequestOutcome, number>;
  /** Permits requested for them, and assignments without a permit. */
  permitCount: number;
}

/**
 * Counts the requests whose outcome is in the log, sorted by route and second
 * of arrival.
 */
export function countOutcomes(records: readonly LogRecord[]): OutcomeRow[] {
  const outcomeRecords = records.flatMap((record) => {
    const { data } = outcomeRecordSchema.safeParse(record);
    return data ? [{ ...data, arrivedAt: computeArrivalTime(data) }] : [];
  });
  const startedAt = Math.min(
    ...outcomeRecords.map((record) => record.arrivedAt),
  );
  const rows = new Map<string, OutcomeRow>();
  for (const outcomeRecord of outcomeRecords) {
    const second = Math.floor((outcomeRecord.arrivedAt - startedAt) / 1_000);
    const { route } = outcomeRecord;
    const key = `${route} ${second}`;
    const row = rows.get(key) ??
      { route, second, requests: 0, counts: new Map(), permitCount: 0 };
    const outcome = classifyOutcome(outcomeRecord);
    row.requests += 1;
    row.permitCount += outcomeRecord.questions;
    row.counts.set(outcome, (row.counts.get(outcome) ?? 0) + 1);
    rows.set(key, row);
  }
  return [...rows.values()].sort((a, b) =>
    a.route.localeCompare(b.route) || a.second - b.second
  );
}

/** Sums the rows of each route over time, the busiest route first. */
export function sumByRoute(rows: readonly OutcomeRow[]): OutcomeRow[] {
  const sums = new Map<string, OutcomeRow>();
  for (const row of rows) {
    const sum = sums.get(row.route) ??
      { ...row, second: -1, requests: 0, counts: new Map(), permitCount: 0 };
    sum.requests += row.requests;
    sum.permitCount += row.permitCount;
    for (const [outcome, count] of row.counts) {
      sum.counts.set(outcome, (sum.counts.get(outcome) ?? 0) + count);
    }
    sums.set(row.route, sum);
  }
  return [...sums.values()].sort((a, b) => b.requests - a.requests);
}

/** Returns a row as one line of text, without the outcomes that are 0. */
export function formatOutcomeRow(row: OutcomeRow): string {
  const name = row.second < 0 ? row.route : `${row.route} ${row.second} s`;
  const counts = Object.values(RequestOutcome).flatMap((outcome) => {
    const count = row.counts.get(outcome);
    return count === undefined ? [] : [`${outcome} ${count}`];
  });
  const permitCount = (row.permitCount / row.requests).toFixed(2);
  return `${name}: ${row.requests} requests, ${counts.join(", ")}; ` +
    `${permitCount} questions each`;
}

function classifyOutcome(outcomeRecord: OutcomeRecord): RequestOutcome {
  const { verdict, reason } = outcomeRecord;
  switch (verdict) {
    case "refuse":
      return RequestOutcome.Refused;
    case "fail":
      return reason === "deadline"
        ? RequestOutcome.DeadlineExceeded
        : RequestOutcome.ResponseInterrupted;
    case "withhold":
      return RequestOutcome.UpstreamError;
    case "deliver":
      return /^status [45]/.test(reason)
        ? RequestOutcome.UpstreamError
        : classifyDelivered(outcomeRecord);
  }
}

function classifyDelivered(outcomeRecord: OutcomeRecord): RequestOutcome {
  const { objectiveMs, elapsedMs, firstByteMs, sentMs } = outcomeRecord;
  if (firstByteMs === null || firstByteMs === undefined) {
    return elapsedMs <= objectiveMs
      ? RequestOutcome.OnTime
      : RequestOutcome.LateWholeResponse;
  }
  if (firstByteMs <= objectiveMs) return RequestOutcome.OnTime;
  return (sentMs ?? 0) > firstByteMs / 2
    ? RequestOutcome.LateBeforeDispatch
    : RequestOutcome.LateAtUpstream;
}

function computeArrivalTime({ time, elapsedMs }: OutcomeRecord): number {
  return Date.parse(time) - elapsedMs;
}
