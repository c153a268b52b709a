/**
 * Paces this daemon's loads from the weight store: counts them over its engines, and
 * lets their number follow how long they take, here and at the other daemons.
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
  readonly #window = new FetchConcurrencyLimit();
  #engineCount = 0;
  #reportedLimit = 0;

  constructor(options: FetchLimiterOptions) {
    this.#options = options;
  }

  /** Loads that go at full speed together, as found here; undefined before any was seen. */
  get measuredLimit(): number | undefined {
    return this.#window.measuredLimit;
  }

  /** Sets the number of engines, over all daemons. */
  setEngineCount(engines: number): void {
    this.#engineCount = engines;
    this.#window.setEngineCount(engines);
  }

  /** Takes in what the other daemons have found. */
  recordPeerLimits(now: Milliseconds): void {
    const { fleet } = this.#options;
    this.#window.recordPeerLimits(fleet.listFullSpeedFetches(now));
  }

  /** Returns whether another load may start here. */
  computeShare(
    own: { fetches: number; heldEngines: number },
    now: Milliseconds,
  ): FetchShare {
    const { fleet } = this.#options;
    const aliveDaemons = fleet.countAlive(now);
    const owners = Math.max(1, Math.min(aliveDaemons, this.#engineCount));
    return this.#window.computeShare({
      ownFetches: own.fetches,
      peerFetches: fleet.isFullMesh() ? fleet.countFetches(now) : undefined,
      engineShare: Math.max(1, own.heldEngines) /
        Math.max(this.#engineCount, owners),
      owners: owners,
    });
  }

  /** Learns from the loads that a holder has seen done, or late. */
  recordLoads(owner: EngineOwner, now: Milliseconds): void {
    for (const observation of owner.admission.slots.takeObservations()) {
      this.#window.recordFetch(observation, now);
    }
    const fullSpeed = Math.round(this.#window.limit);
    if (fullSpeed === this.#reportedLimit) return;
    this.#reportedLimit = fullSpeed;
    this.#options.metrics.setGauge("full_speed_fetches", fullSpeed);
    this.#options.log.debug("fullSpeedFetchesChanged", {
      upstream: owner.engineId,
      fullSpeed,
    });
  }
}
