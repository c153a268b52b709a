/**
 * Order in which requests are served that wait for one engine.
 *
 * Requests that are equally urgent, which is all of them on most engines, are
 * served in time before late, then by arrival. Otherwise priority comes first,
 * then the time that is left.
 *
 * Load: requests with a short objective become late while they wait, and would
 * then wait behind less urgent ones with a long objective until they are
 * rejected.
 */
import type { Milliseconds } from "../structures.ts";
import type { Urgency } from "./urgency.ts";

/**
 * How much sooner the wait of a late request must end than a request in time
 * becomes late for the late one to be served first. At 300 ms, twice as many
 * requests of the replayed load were late.
 */
const LATE_YIELD_MS = 1_000;

export interface OrderedRequest {
  urgency: Urgency;
  arrivedAt: Milliseconds;
  /** Until when a grant leads to a first token in time. */
  onTimeUntil: Milliseconds;
  /** When the request is denied. */
  overdueAt: Milliseconds;
}

/** Returns the requests in the order in which they are to be served. */
export function rankWaiting<Request extends OrderedRequest>(
  requests: readonly Request[],
  now: Milliseconds,
): Request[] {
  const mixedRanks = listMixedRanks(requests);
  const ranked = requests.map((request) => {
    const isOnTime = now <= request.onTimeUntil;
    return {
      request,
      rank: request.urgency.priorityRank,
      lateRank: isOnTime ? 0 : 1,
      serveBy: isOnTime
        ? request.onTimeUntil
        : request.overdueAt + LATE_YIELD_MS,
    };
  });
  ranked.sort((a, b) =>
    a.rank - b.rank ||
    (mixedRanks.has(a.rank)
      ? a.serveBy - b.serveBy
      : a.lateRank - b.lateRank) ||
    a.request.arrivedAt - b.request.arrivedAt
  );
  return ranked.map((each) => each.request);
}

/** Returns the priorities whose requests have different objectives. */
function listMixedRanks(requests: readonly OrderedRequest[]): Set<number> {
  const objectives = new Map<number, Milliseconds>();
  const mixed = new Set<number>();
  for (const { urgency } of requests) {
    const { priorityRank, latencyObjectiveMs = 0 } = urgency;
    const known = objectives.get(priorityRank);
    if (known === undefined) objectives.set(priorityRank, latencyObjectiveMs);
    else if (known !== latencyObjectiveMs) mixed.add(priorityRank);
  }
  return mixed;
}
