/**
 * Paces this daemon's loads from the weight store: counts them over its engines, and
 * lets their number follow how long they take, here and at the other daemons.
 */
import type { FleetView } from "../core/fleet/fleet_view.ts";
import type { EngineHolder } from "../core/ordering/engine_holder.ts";
import {
  FetchConcurrencyLimit,
  type FetchShare,
} from "../core/placement/fetch_window.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

export interface FetchPacerOptions {
  fleet: FleetView;
  log: DecisionLog;
  metrics: GatewayMetrics;
}

export class FetchPacer {
  readonly #options: FetchPacerOptions;
  readonly #window = new FetchConcurrencyLimit();
  #engineCount = 0;
  #toldFullSpeed = 0;

  constructor(options: FetchPacerOptions) {
    this.#options = options;
  }

  /** Loads that go at full speed together, as found here; undefined before any was seen. */
  get found(): number | undefined {
    return this.#window.measuredLimit;
  }

  /** Sets the number of engines, over all daemons. */
  setEngines(engines: number): void {
    this.#engineCount = engines;
    this.#window.setEngineCount(engines);
  }

  /** Takes in what the other daemons have found. */
  followPeers(now: Milliseconds): void {
    const { fleet } = this.#options;
    this.#window.recordPeerLimits(fleet.listFullSpeedFetches(now));
  }

  /** Returns whether another load may start here. */
  computeShare(
    own: { fetches: number; heldEngines: number },
    now: Milliseconds,
  ): FetchShare {
    const { fleet } = this.#options;
    const living = fleet.countLiving(now);
    const holders = Math.max(1, Math.min(living, this.#engineCount));
    return this.#window.computeShare({
      ownFetches: own.fetches,
      peerFetches: fleet.isFullMesh() ? fleet.countFetches(now) : undefined,
      engineShare: Math.max(1, own.heldEngines) /
        Math.max(this.#engineCount, holders),
      owners: holders,
    });
  }

  /** Learns from the loads that a holder has seen done, or late. */
  followLoads(holder: EngineHolder, now: Milliseconds): void {
    for (const observation of holder.desk.slots.takeObservations()) {
      this.#window.recordFetch(observation, now);
    }
    const fullSpeed = Math.round(this.#window.limit);
    if (fullSpeed === this.#toldFullSpeed) return;
    this.#toldFullSpeed = fullSpeed;
    this.#options.metrics.setGauge("full_speed_fetches", fullSpeed);
    this.#options.log.debug("fullSpeedFetchesChanged", {
      upstream: holder.engineId,
      fullSpeed,
    });
  }
}
