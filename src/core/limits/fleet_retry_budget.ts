/**
 * Bounds how often this daemon sends a request on to another upstream, by
 * service. The platform bounds repeats over all daemons together: a share of
 * the requests of a window, and a slack for each service. Load pattern: many
 * failures at once, when repeats would feed the overload. Each daemon spends
 * the share of its own requests and its part of the slack.
 */
import type { Milliseconds } from "../structures.ts";

export interface FleetRetryBudgetOptions {
  /** Repeats per request of a window. */
  ratio: number;
  windowMs: Milliseconds;
  /** Repeats per window beyond that, over all daemons. */
  slack: number;
}

/** Part of the bound that is used: the windows of the judges slide over ours. */
const USED_FRACTION = 0.6;

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

  /** Spends one repeat if the allowance has it. */
  trySpend(
    service: string,
    aliveDaemons: number,
    now: Milliseconds,
  ): boolean {
    const window = this.#getWindow(service, now);
    const { ratio, slack } = this.#options;
    const allowed = USED_FRACTION *
      (ratio * window.arrivals.length + slack / Math.max(1, aliveDaemons));
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

function trimBefore(times: Milliseconds[], since: Milliseconds): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) <= since) count += 1;
  if (count > 0) times.splice(0, count);
}
