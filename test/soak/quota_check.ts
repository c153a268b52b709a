/**
 * Checks that the load of a customer that reaches upstreams stays within its
 * quota in each window, from when all gateways have the quota.
 */

/** The platform's bound: `bounds.quota_window_s`, `quota_over`, `quota_slack`. */
const WINDOW_MS = 8_000;
const TOLERANCE_FACTOR = 1.25;
const SLACK = 110_000;

export interface QuotaPeriod {
  /** Units per second, and the burst in units. */
  limit: number;
  /** From when all gateways had the limit, and until when they had no other. */
  from: number;
  until: number;
}

/** Returns the windows' violations; runs are in any order. */
export function checkQuota(
  period: QuotaPeriod,
  runs: readonly { at: number; cost: number }[],
): string[] {
  const { limit, from, until } = period;
  const bound = (limit * WINDOW_MS / 1_000 + limit) * TOLERANCE_FACTOR + SLACK;
  const relevant = runs
    .filter(({ at }) => at >= from && at < until)
    .sort((a, b) => a.at - b.at);
  let largest = 0;
  let sum = 0;
  let first = 0;
  for (const { at, cost } of relevant) {
    sum += cost;
    for (; at - (relevant[first]?.at ?? at) >= WINDOW_MS; first += 1) {
      sum -= relevant[first]?.cost ?? 0;
    }
    largest = Math.max(largest, sum);
  }
  if (largest <= bound) return [];
  return [
    `${largest} units in a window of ${WINDOW_MS} ms, bound ${bound} at ${limit}/s`,
  ];
}
