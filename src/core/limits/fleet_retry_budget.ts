/**
 * This daemon's part of the fleet-wide retry budget of each service. The
 * platform limits the retries of all daemons together, over a time window: a
 * fraction of the requests, and a fixed slack for each service. This keeps
 * retries from amplifying an overload when many requests fail at once. Each
 * daemon uses the fraction of its own requests and an equal part of the slack,
 * or none of it while it does not know how many others there are.
 */
import type { FleetView } from "../fleet/fleet_view.ts";
import type { Milliseconds } from "../structures.ts";

export interface FleetRetryBudgetOptions {
  /** Retries per request in a window. */
  ratio: number;
  windowMs: Milliseconds;
  /** Additional retries per window, for all daemons together. */
  slack: number;
}

/**
 * Fraction of the budget that is used: the windows over which the platform
 * counts retries are not aligned with those of this daemon.
 */
const USED_FRACTION = 0.6;

/**
 * Time for which a silent daemon is assumed to use its part of the slack: a cut
 * may last for minutes.
 */
const SHARING_MEMORY_MS = 600_000;

interface ServiceWindow {
  arrivals: Milliseconds[];
  retries: Milliseconds[];
}

export class FleetRetryBudget {
  readonly #options: FleetRetryBudgetOptions;
  readonly #windows = new Map<string, ServiceWindow>();

  constructor(options: FleetRetryBudgetOptions) {
    this.#options = options;
  }

  recordArrival(service: string, now: Milliseconds): void {
    this.#getWindow(service, now).arrivals.push(now);
  }

  /**
   * Takes one retry from the service's budget; returns false if none is left.
   * @param daemons see countSharingDaemons.
   */
  trySpend(
    service: string,
    daemons: number | undefined,
    now: Milliseconds,
  ): boolean {
    const window = this.#getWindow(service, now);
    const { ratio, slack } = this.#options;
    const ownSlack = daemons === undefined ? 0 : slack / Math.max(1, daemons);
    const allowed = USED_FRACTION * (ratio * window.arrivals.length + ownSlack);
    if (window.retries.length + 1 > Math.max(1, allowed)) return false;
    window.retries.push(now);
    return true;
  }

  #getWindow(service: string, now: Milliseconds): ServiceWindow {
    const window = this.#windows.get(service) ?? { arrivals: [], retries: [] };
    this.#windows.set(service, window);
    const since = now - this.#options.windowMs;
    trimBefore(window.arrivals, since);
    trimBefore(window.retries, since);
    return window;
  }
}

/**
 * Returns the number of daemons that share the slack, silent ones included;
 * undefined if it is not known.
 */
export function countSharingDaemons(
  fleet: FleetView,
  now: Milliseconds,
): number | undefined {
  return fleet.isIsolated(now)
    ? undefined
    : fleet.countSharing(now, SHARING_MEMORY_MS);
}

function trimBefore(times: Milliseconds[], since: Milliseconds): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) <= since) count += 1;
  if (count > 0) times.splice(0, count);
}
