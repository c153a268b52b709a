/**
 * One daemon's access to the weight store: requests permits to load adapters
 * from the store coordinator of its failure domain and returns them. The daemon
 * runs the coordinator itself if membership selects it among the daemons of the
 * domain that are alive.
 */
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import { IdGenerator } from "../id_generator.ts";
import { DEAD_TIMEOUT_RATIO } from "../membership/failure_detector.ts";
import type { Membership } from "../membership/membership.ts";
import type {
  StoreDemandMessage,
  StorePermitMessage,
  StorePermitReturnMessage,
  StoreStatusMessage,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import { StoreCoordinator, type StoreShare } from "./store_coordinator.ts";

export interface StorePermitClientOptions {
  selfId: string;
  incarnation: string;
  failureDomain: string;
  settings: CoreSettings;
  membership: Membership;
  emit: (effect: Effect) => void;
}

/** A permit to start one load. */
export interface StorePermit {
  permitId: string;
  /** Coordinator that issued the permit and to which it is returned. */
  lenderId: string;
}

/** Loads for which a daemon needs permits. */
export interface StoreDemand {
  loads: number;
  /** Urgency of the most urgent load. */
  urgency: number;
}

/** Lifetime of a permit, as a multiple of the time of an undisturbed load. */
const PERMIT_LIFETIME_LOADS = 8;
/** Time after which an unmet demand is sent again. */
const DEMAND_INTERVAL_MS = 250;
/** Age beyond which the coordinator's status is not used. */
const STATUS_LIFETIME_MS = 1_000;
/**
 * Factor by which the urgency has to rise for the demand to be sent again
 * early.
 */
const MIN_URGENCY_RATIO = 1.5;

export class StorePermitClient {
  readonly #options: StorePermitClientOptions;
  #coordinator: StoreCoordinator | undefined;
  #previousCoordinatorId: string | undefined;
  #sent: StoreDemand & { to: string; at: Milliseconds } | undefined;
  #status: StoreStatusMessage | undefined;
  #statusAt = Number.NEGATIVE_INFINITY;
  readonly #ids: IdGenerator;

  constructor(options: StorePermitClientOptions) {
    this.#options = options;
    this.#ids = new IdGenerator(options);
  }

  /** Starts or stops the coordinator on this daemon as membership changes. */
  tick(now: Milliseconds): void {
    const { membership, selfId, failureDomain, emit } = this.#options;
    const coordinatorId = membership.getStoreCoordinatorId(failureDomain);
    if (coordinatorId !== selfId) {
      this.#coordinator = undefined;
      this.#previousCoordinatorId = coordinatorId;
      return;
    }
    const share = this.#computeShare();
    this.#coordinator ??= new StoreCoordinator(
      {
        selfId,
        failureDomain,
        permitLifetimeMs: this.#getPermitLifetimeMs(),
        startWaitMs: this.#getStartWaitMs(),
        emit,
        createId: (prefix) => this.#ids.createId(prefix),
      },
      share,
      now,
    );
    this.#coordinator.setShare(share);
    this.#coordinator.tick(membership.listOtherStoreCoordinatorIds(), now);
  }

  /** Sends the demand of this daemon to the coordinator, if it has changed. */
  updateDemand(demand: StoreDemand, now: Milliseconds): void {
    const { membership, failureDomain, emit } = this.#options;
    const to = membership.getStoreCoordinatorId(failureDomain);
    if (to === undefined || !this.#needsSending(demand, to, now)) return;
    this.#sent = { ...demand, to, at: now };
    emit({
      kind: "send",
      to,
      message: { kind: "storeDemand", ...demand, failureDomain },
    });
  }

  recordDemand(
    from: string,
    message: StoreDemandMessage,
    now: Milliseconds,
  ): void {
    this.#coordinator?.recordDemand(from, message, now);
  }

  /**
   * Accepts a permit. Returns undefined if another domain's coordinator has
   * lent it to the coordinator here, which forwards it.
   */
  acceptPermit(
    from: string,
    message: StorePermitMessage,
    now: Milliseconds,
  ): StorePermit | undefined {
    const { selfId } = this.#options;
    const isLoan = message.lenderId === from && from !== selfId &&
      this.#coordinator !== undefined;
    if (isLoan) {
      this.#coordinator?.acceptLoan(message, now);
      return undefined;
    }
    if (this.#sent) this.#sent.loads -= 1;
    return { permitId: message.permitId, lenderId: message.lenderId };
  }

  /** Returns a permit to its coordinator, after the load or unused. */
  returnPermit(permit: StorePermit, wasUsed: boolean): void {
    this.#options.emit({
      kind: "send",
      to: permit.lenderId,
      message: {
        kind: "storePermitReturn",
        permitId: permit.permitId,
        wasUsed,
      },
    });
  }

  recordReturn(message: StorePermitReturnMessage, now: Milliseconds): void {
    this.#coordinator?.recordReturn(message, now);
  }

  recordStatus(message: StoreStatusMessage, now: Milliseconds): void {
    this.#status = message;
    this.#statusAt = now;
  }

  /**
   * Estimates the time until a load is done that is queued behind others of
   * this daemon.
   */
  estimateWaitMs(
    queuedLoads: number,
    options: { isOverShare: boolean },
    now: Milliseconds,
  ): Milliseconds {
    const status = now - this.#statusAt <= STATUS_LIFETIME_MS
      ? this.#status
      : undefined;
    // A load for a customer within its share goes before those that other
    // daemons have queued.
    const loadsAhead = options.isOverShare
      ? Math.max(queuedLoads, status?.waitingLoads ?? 0)
      : queuedLoads;
    const rate = status?.loadsPerSecond ?? this.#computeShare().loadsPerSecond;
    return loadsAhead / rate * 1_000 + this.#options.settings.loadTimeMs;
  }

  /**
   * Returns the number of permits in use that the coordinator here has issued.
   */
  getInFlight(): number {
    return this.#coordinator?.getInFlight() ?? 0;
  }

  #needsSending(
    demand: StoreDemand,
    to: string,
    now: Milliseconds,
  ): boolean {
    const sent = this.#sent;
    if (demand.loads === 0) return (sent?.loads ?? 0) > 0;
    if (!sent || sent.to !== to || sent.loads !== demand.loads) return true;
    return now - sent.at >= DEMAND_INTERVAL_MS ||
      demand.urgency > sent.urgency * MIN_URGENCY_RATIO;
  }

  /**
   * Computes the share of this failure domain. The limits of the store are
   * split evenly over the domains that have entry hosts.
   */
  #computeShare(): StoreShare {
    const { settings, membership, failureDomain } = this.#options;
    const domains = membership.listEntryDomains();
    const index = Math.max(0, domains.indexOf(failureDomain));
    const count = Math.max(1, domains.length);
    const remainder = settings.storeLoadsInFlight % count;
    return {
      loadsPerSecond: settings.storeLoadsPerSecond / count,
      loadsInFlight: Math.floor(settings.storeLoadsInFlight / count) +
        (index < remainder ? 1 : 0),
    };
  }

  #getPermitLifetimeMs(): Milliseconds {
    return this.#options.settings.loadTimeMs * PERMIT_LIFETIME_LOADS;
  }

  /**
   * Returns how long permits of the previous coordinator may still be valid.
   * One that is no longer alive issued its last permit before the silence by
   * which it was found dead, so that this time counts towards the wait.
   */
  #getStartWaitMs(): Milliseconds {
    const { membership, settings } = this.#options;
    const isPreviousAlive = this.#previousCoordinatorId !== undefined &&
      membership.isPeerLive(this.#previousCoordinatorId);
    const silentMs = isPreviousAlive
      ? 0
      : settings.peerTimeoutMs * DEAD_TIMEOUT_RATIO;
    return Math.max(0, this.#getPermitLifetimeMs() - silentMs);
  }
}
