/**
 * Sorts the requests of a gateways' log by what became of them and by the step that
 * cost most: which of them were late, refused or failed, in which second and why.
 */
import * as z from "zod";
import type { LogRecord } from "../../src/cli/request_trace.ts";

/** What the last line of one request says. */
const conclusionSchema = z.object({
  time: z.string(),
  event: z.enum(["requestServed", "requestDecision"]),
  route: z.string(),
  verdict: z.enum(["deliver", "refuse", "fail"]),
  reason: z.string(),
  objectiveMs: z.number(),
  sentMs: z.number().nullish(),
  firstByteMs: z.number().nullish(),
  elapsedMs: z.number(),
  questions: z.number().default(0),
});
type Conclusion = z.infer<typeof conclusionSchema>;

/** What became of a request; late ones by the step that took longer. */
export const Loss = {
  InTime: "in time",
  LateWaiting: "late: waited for a place",
  LateAtUpstream: "late: upstream's first event",
  LateInFull: "late: whole answer",
  Refused: "refused",
  Stretched: "failed: not done by its deadline",
  Cut: "failed: broken off",
  Failed: "failed by its upstream",
} as const;
export type Loss = (typeof Loss)[keyof typeof Loss];

/** The requests of one route that came in one second. */
export interface LossRow {
  route: string;
  /** Seconds since the first request of the log. */
  second: number;
  requests: number;
  counts: Map<Loss, number>;
  /** Questions for a place that were asked for them. */
  questions: number;
}

/** Counts the concluded requests of a log by route and second of their arrival, in this order. */
export function countLosses(records: readonly LogRecord[]): LossRow[] {
  const concluded = records.flatMap((record) => {
    const { data } = conclusionSchema.safeParse(record);
    return data ? [{ ...data, arrivedAt: getArrival(data) }] : [];
  });
  const startedAt = Math.min(...concluded.map((each) => each.arrivedAt));
  const rows = new Map<string, LossRow>();
  for (const conclusion of concluded) {
    const second = Math.floor((conclusion.arrivedAt - startedAt) / 1_000);
    const { route } = conclusion;
    const key = `${route} ${second}`;
    const row = rows.get(key) ??
      { route, second, requests: 0, counts: new Map(), questions: 0 };
    const loss = classifyLoss(conclusion);
    row.requests += 1;
    row.questions += conclusion.questions;
    row.counts.set(loss, (row.counts.get(loss) ?? 0) + 1);
    rows.set(key, row);
  }
  return [...rows.values()].sort((a, b) =>
    a.route.localeCompare(b.route) || a.second - b.second
  );
}

/** Adds up the rows of each route. */
export function sumByRoute(rows: readonly LossRow[]): LossRow[] {
  const sums = new Map<string, LossRow>();
  for (const row of rows) {
    const sum = sums.get(row.route) ??
      { ...row, second: -1, requests: 0, counts: new Map(), questions: 0 };
    sum.requests += row.requests;
    sum.questions += row.questions;
    for (const [loss, count] of row.counts) {
      sum.counts.set(loss, (sum.counts.get(loss) ?? 0) + count);
    }
    sums.set(row.route, sum);
  }
  return [...sums.values()].sort((a, b) => b.requests - a.requests);
}

/** Returns a row as one line; what did not happen is left out. */
export function formatLossRow(row: LossRow): string {
  const name = row.second < 0 ? row.route : `${row.route} ${row.second} s`;
  const counts = Object.values(Loss).flatMap((loss) => {
    const count = row.counts.get(loss);
    return count === undefined ? [] : [`${loss} ${count}`];
  });
  const questions = (row.questions / row.requests).toFixed(2);
  return `${name}: ${row.requests} requests, ${counts.join(", ")}; ` +
    `${questions} questions each`;
}

function classifyLoss(conclusion: Conclusion): Loss {
  const { verdict, reason } = conclusion;
  switch (verdict) {
    case "refuse":
      return Loss.Refused;
    case "fail":
      return reason === "deadline" ? Loss.Stretched : Loss.Cut;
    case "deliver":
      return /^status [45]/.test(reason)
        ? Loss.Failed
        : classifyDelivered(conclusion);
  }
}

function classifyDelivered(conclusion: Conclusion): Loss {
  const { objectiveMs, elapsedMs, firstByteMs, sentMs } = conclusion;
  if (firstByteMs === null || firstByteMs === undefined) {
    return elapsedMs <= objectiveMs ? Loss.InTime : Loss.LateInFull;
  }
  if (firstByteMs <= objectiveMs) return Loss.InTime;
  return (sentMs ?? 0) > firstByteMs / 2
    ? Loss.LateWaiting
    : Loss.LateAtUpstream;
}

function getArrival({ time, elapsedMs }: Conclusion): number {
  return Date.parse(time) - elapsedMs;
}
