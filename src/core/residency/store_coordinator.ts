/**
 * Issues the permits for loads from the weight store within one failure
 * domain's share of the store's limits. One daemon of the domain runs it.
 * Permits that its domain does not use are lent one by one to the coordinators
 * of other domains. A permit counts against the domain that issued it until it
 * is returned or expires, so that domains cut off from each other never exceed
 * the store's limits together.
 */
import type { Effect } from "../effects.ts";
import type {
  StoreDemandMessage,
  StorePermitMessage,
  StorePermitReturnMessage,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/** A failure domain's share of the weight store's limits. */
export interface StoreShare {
  loadsPerSecond: number;
  loadsInFlight: number;
}

export interface StoreCoordinatorOptions {
  selfId: string;
  failureDomain: string;
  /** Time after which a permit that was not returned expires. */
  permitLifetimeMs: Milliseconds;
  /** Time until the permits of the previous coordinator have expired. */
  startWaitMs: Milliseconds;
  emit: (effect: Effect) => void;
  createId: (prefix: string) => string;
}

interface Demand {
  loads: number;
  urgency: number;
  receivedAt: Milliseconds;
}

/** Burst size of the token bucket, in seconds at the domain's rate. */
const BURST_SECONDS = 1;
/** Time after which a demand that is not repeated is dropped. */
const DEMAND_LIFETIME_MS = 1_000;
/**
 * Time between two demands to the same lenders, unless the demand has grown.
 */
const BORROW_INTERVAL_MS = 100;
/** Window over which the rate of permits is measured. */
const RATE_SPAN_MS = 3_000;

export class StoreCoordinator {
  readonly #options: StoreCoordinatorOptions;
  readonly #startedAt: Milliseconds;
  readonly #demands = new Map<string, Demand>();
  /** Demands of other failure domains, by the coordinator that sends them. */
  readonly #loanDemands = new Map<string, Demand>();
  readonly #permits = new Map<string, Milliseconds>();
  readonly #grantedAt: Milliseconds[] = [];
  #share: StoreShare;
  #tokens = 0;
  #refilledAt: Milliseconds;
  #requestedLoads = 0;
  #requestedAt = Number.NEGATIVE_INFINITY;

  constructor(
    options: StoreCoordinatorOptions,
    share: StoreShare,
    now: Milliseconds,
  ) {
    this.#options = options;
    this.#share = share;
    this.#startedAt = now;
    this.#refilledAt = now;
  }

  setShare(share: StoreShare): void {
    this.#share = share;
  }

  /**
   * Records the demand of a daemon of the domain or of another domain's
   * coordinator.
   */
  recordDemand(
    from: string,
    message: StoreDemandMessage,
    now: Milliseconds,
  ): void {
    const { loads, urgency, failureDomain } = message;
    const isOwn = failureDomain === this.#options.failureDomain;
    const demands = isOwn ? this.#demands : this.#loanDemands;
    if (loads === 0) demands.delete(from);
    else demands.set(from, { loads, urgency, receivedAt: now });
    this.#issuePermits(now);
    if (isOwn) this.#sendStatus(from, now);
  }

  /**
   * Forwards a borrowed permit to the daemon of the most urgent demand, or
   * returns it unused if there is none.
   */
  acceptLoan(permit: StorePermitMessage, now: Milliseconds): void {
    const to = findMostUrgent(this.#demands);
    if (to === undefined) {
      this.#send(permit.lenderId, {
        kind: "storePermitReturn",
        permitId: permit.permitId,
        wasUsed: false,
      });
      return;
    }
    this.#countIssued(this.#demands, to);
    this.#grantedAt.push(now);
    this.#send(to, permit);
  }

  /** Records the return of a permit; an unused one may be issued again. */
  recordReturn(message: StorePermitReturnMessage, now: Milliseconds): void {
    if (!this.#permits.delete(message.permitId)) return;
    if (!message.wasUsed) this.#tokens += 1;
    this.#issuePermits(now);
  }

  /**
   * Drops expired demands and permits, issues permits, and asks the lenders for
   * those that this domain cannot issue.
   */
  tick(lenders: readonly string[], now: Milliseconds): void {
    dropExpired(this.#demands, now);
    dropExpired(this.#loanDemands, now);
    for (const [permitId, expiresAt] of this.#permits) {
      if (now >= expiresAt) this.#permits.delete(permitId);
    }
    while (now - (this.#grantedAt[0] ?? now) > RATE_SPAN_MS) {
      this.#grantedAt.shift();
    }
    this.#issuePermits(now);
    this.#borrow(lenders, now);
  }

  getInFlight(): number {
    return this.#permits.size;
  }

  #issuePermits(now: Milliseconds): void {
    this.#refill(now);
    while (this.#canIssue(now)) {
      const own = findMostUrgent(this.#demands);
      const to = own ?? findMostUrgent(this.#loanDemands);
      if (to === undefined) return;
      this.#countIssued(
        own === undefined ? this.#loanDemands : this.#demands,
        to,
      );
      this.#issuePermit(to, now);
    }
  }

  /**
   * Returns whether a permit can be issued. None is while loads permitted by
   * the previous coordinator may be in progress.
   */
  #canIssue(now: Milliseconds): boolean {
    return now - this.#startedAt >= this.#options.startWaitMs &&
      this.#tokens >= 1 && this.#permits.size < this.#share.loadsInFlight;
  }

  #issuePermit(to: string, now: Milliseconds): void {
    const permitId = this.#options.createId("permit");
    this.#tokens -= 1;
    this.#permits.set(permitId, now + this.#options.permitLifetimeMs);
    this.#grantedAt.push(now);
    this.#send(to, {
      kind: "storePermit",
      permitId,
      lenderId: this.#options.selfId,
    });
  }

  #countIssued(demands: Map<string, Demand>, from: string): void {
    const demand = demands.get(from);
    if (!demand) return;
    demand.loads -= 1;
    if (demand.loads <= 0) demands.delete(from);
  }

  #borrow(lenders: readonly string[], now: Milliseconds): void {
    const loads = sumLoads(this.#demands);
    if (loads === 0 && this.#requestedLoads === 0) return;
    const isRepeat = loads <= this.#requestedLoads && loads > 0;
    if (isRepeat && now - this.#requestedAt < BORROW_INTERVAL_MS) return;
    this.#requestedLoads = loads;
    this.#requestedAt = now;
    const mostUrgent = findMostUrgent(this.#demands);
    for (const lender of lenders) {
      this.#send(lender, {
        kind: "storeDemand",
        loads,
        urgency: this.#demands.get(mostUrgent ?? "")?.urgency ?? 0,
        failureDomain: this.#options.failureDomain,
      });
    }
  }

  #sendStatus(to: string, now: Milliseconds): void {
    const recent = this.#grantedAt.filter((at) => now - at <= RATE_SPAN_MS);
    this.#send(to, {
      kind: "storeStatus",
      waitingLoads: sumLoads(this.#demands),
      loadsPerSecond: Math.max(
        this.#share.loadsPerSecond,
        recent.length * 1_000 / RATE_SPAN_MS,
      ),
    });
  }

  #refill(now: Milliseconds): void {
    const burst = Math.max(1, this.#share.loadsPerSecond * BURST_SECONDS);
    const elapsedSeconds = (now - this.#refilledAt) / 1_000;
    this.#refilledAt = now;
    this.#tokens = Math.min(
      burst,
      this.#tokens + elapsedSeconds * this.#share.loadsPerSecond,
    );
  }

  #send(
    to: string,
    message: Extract<Effect, { kind: "send" }>["message"],
  ): void {
    this.#options.emit({ kind: "send", to, message });
  }
}

function findMostUrgent(demands: Map<string, Demand>): string | undefined {
  let best: string | undefined;
  let urgency = -1;
  for (const [from, demand] of demands) {
    if (demand.urgency <= urgency) continue;
    best = from;
    urgency = demand.urgency;
  }
  return best;
}

function sumLoads(demands: Map<string, Demand>): number {
  let loads = 0;
  for (const demand of demands.values()) loads += demand.loads;
  return loads;
}

function dropExpired(demands: Map<string, Demand>, now: Milliseconds): void {
  for (const [from, demand] of demands) {
    if (now - demand.receivedAt > DEMAND_LIFETIME_MS) demands.delete(from);
  }
}
