/**
 * One daemon's access to the weight store: asks the keeper of its failure
 * domain for permits, gives back what it took, and is that keeper itself when
 * the live daemons of the domain rank it first.
 */
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import { IdSource } from "../id_source.ts";
import { DEATH_AFTER_RATIO } from "../membership/failure_detector.ts";
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
  /** Keeper to which the permit is returned. */
  lenderId: string;
}

/** What a daemon wants to load. */
export interface StoreDemand {
  loads: number;
  /** Urgency of the most urgent load. */
  urgency: number;
}

/** Undisturbed loads that fit into the lifetime of a permit. */
const PERMIT_LIFETIME_LOADS = 8;
/** Time after which an unmet demand is sent again. */
const DEMAND_INTERVAL_MS = 250;
/** Age beyond which the keeper's report is not used. */
const STATUS_LIFETIME_MS = 1_000;
/** Change of urgency that is worth a message, as a factor. */
const MIN_URGENCY_RATIO = 1.5;

export class StorePermitClient {
  readonly #options: StorePermitClientOptions;
  #coordinator: StoreCoordinator | undefined;
  #previousCoordinatorId: string | undefined;
  #sent: StoreDemand & { to: string; at: Milliseconds } | undefined;
  #status: StoreStatusMessage | undefined;
  #statusAt = Number.NEGATIVE_INFINITY;
  readonly #ids: IdSource;

  constructor(options: StorePermitClientOptions) {
    this.#options = options;
    this.#ids = new IdSource(options);
  }

  /** Becomes or ceases to be the keeper as membership changes. */
  tick(now: Milliseconds): void {
    const { membership, selfId, failureDomain, emit } = this.#options;
    const coordinatorId = membership.getStoreKeeperId(failureDomain);
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
    this.#coordinator.tick(membership.listOtherStoreKeeperIds(), now);
  }

  /** Tells the keeper what this daemon wants to load, when that has changed. */
  updateDemand(demand: StoreDemand, now: Milliseconds): void {
    const { membership, failureDomain, emit } = this.#options;
    const to = membership.getStoreKeeperId(failureDomain);
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

  /** Takes a permit; returns undefined when it was borrowed for others of this domain. */
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

  /** Gives a permit back: after the load, or unused. */
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

  /** Returns the time after which a load queued behind others here would be done. */
  estimateWaitMs(
    queuedLoads: number,
    options: { isOverShare: boolean },
    now: Milliseconds,
  ): Milliseconds {
    const status = now - this.#statusAt <= STATUS_LIFETIME_MS
      ? this.#status
      : undefined;
    // A load that yields to nobody goes before those that other daemons queue.
    const loadsAhead = options.isOverShare
      ? Math.max(queuedLoads, status?.waitingLoads ?? 0)
      : queuedLoads;
    const rate = status?.loadsPerSecond ?? this.#computeShare().loadsPerSecond;
    return loadsAhead / rate * 1_000 + this.#options.settings.loadTimeMs;
  }

  /** Returns the permits that this daemon has given as a keeper. */
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

  /** Splits the store over the failure domains that have entry hosts. */
  #computeShare(): StoreShare {
    const { settings, membership, failureDomain } = this.#options;
    const domains = membership.listEntryDomains();
    const index = Math.max(0, domains.indexOf(failureDomain));
    const count = Math.max(1, domains.length);
    const spare = settings.storeLoadsInFlight % count;
    return {
      loadsPerSecond: settings.storeLoadsPerSecond / count,
      loadsInFlight: Math.floor(settings.storeLoadsInFlight / count) +
        (index < spare ? 1 : 0),
    };
  }

  #getPermitLifetimeMs(): Milliseconds {
    return this.#options.settings.loadTimeMs * PERMIT_LIFETIME_LOADS;
  }

  /** A previous keeper that is heard no more gave its last permit before its silence began. */
  #getStartWaitMs(): Milliseconds {
    const { membership, settings } = this.#options;
    const isPreviousLive = this.#previousCoordinatorId !== undefined &&
      membership.isPeerLive(this.#previousCoordinatorId);
    const silentMs = isPreviousLive
      ? 0
      : settings.peerTimeoutMs * DEATH_AFTER_RATIO;
    return Math.max(0, this.#getPermitLifetimeMs() - silentMs);
  }
}
