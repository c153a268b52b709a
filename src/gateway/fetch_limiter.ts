/**
 * Limits the concurrent fetches (loads of adapters from the weight store) of
 * this daemon's engines. The limit adapts to how long fetches take, here and at
 * the other daemons.
 */
import type { FleetView } from "../core/fleet/fleet_view.ts";
import type { EngineOwner } from "../core/ordering/engine_owner.ts";
import {
  FetchConcurrencyLimit,
  type FetchShare,
} from "../core/placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

export interface FetchLimiterOptions {
  fleet: FleetView;
  log: DecisionLog;
  metrics: GatewayMetrics;
}

export class FetchLimiter {
  readonly #options: FetchLimiterOptions;
  readonly #concurrencyLimit = new FetchConcurrencyLimit();
  #engineCount = 0;
  #reportedLimit = 0;

  constructor(options: FetchLimiterOptions) {
    this.#options = options;
  }

  /**
   * Number of concurrent fetches that the weight store serves at full speed, as
   * measured here; undefined before the first measurement.
   */
  get measuredLimit(): number | undefined {
    return this.#concurrencyLimit.measuredLimit;
  }

  /** Sets the number of engines of all daemons together. */
  setEngineCount(engines: number): void {
    this.#engineCount = engines;
    this.#concurrencyLimit.setEngineCount(engines);
  }

  /** Records the limits that the other daemons have measured. */
  recordPeerLimits(now: Milliseconds): void {
    const { fleet } = this.#options;
    this.#concurrencyLimit.recordPeerLimits(fleet.listFullSpeedFetches(now));
  }

  /**
   * Returns this daemon's share of the concurrent fetches, and whether another
   * one may start here.
   */
  computeShare(
    own: { fetches: number; heldEngines: number },
    now: Milliseconds,
  ): FetchShare {
    const { fleet } = this.#options;
    const aliveDaemons = fleet.countAlive(now);
    const owners = Math.max(1, Math.min(aliveDaemons, this.#engineCount));
    return this.#concurrencyLimit.computeShare({
      ownFetches: own.fetches,
      peerFetches: fleet.isFullMesh() ? fleet.countFetches(now) : undefined,
      engineShare: Math.max(1, own.heldEngines) /
        Math.max(this.#engineCount, owners),
      owners,
    });
  }

  /**
   * Updates the limit from the fetches that an engine's owner saw complete, or
   * saw overdue.
   */
  recordLoads(owner: EngineOwner, now: Milliseconds): void {
    for (const observation of owner.admission.slots.takeObservations()) {
      this.#concurrencyLimit.recordFetch(observation, now);
    }
    const fullSpeed = Math.round(this.#concurrencyLimit.limit);
    if (fullSpeed === this.#reportedLimit) return;
    this.#reportedLimit = fullSpeed;
    this.#options.metrics.setGauge("full_speed_fetches", fullSpeed);
    this.#options.log.debug("fullSpeedFetchesChanged", {
      upstream: owner.engineId,
      fullSpeed,
    });
  }
}
