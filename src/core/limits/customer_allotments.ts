/**
 * Decides whether a customer's request is within its allotment, which all hosts
 * share. A host spends what a coordinator has granted it (allotment_ledger.ts);
 * a request for which nothing is left waits briefly while the host asks. Each
 * host assigns its own fraction of the limits to the coordinator that it
 * prefers, and to another only after the lease at the first one has ended. A
 * host that reaches no other coordinates its own fraction.
 */
import type {
  CustomerAllotment,
  PublishedCustomer,
} from "../customers/customer_directory.ts";
import { AllotmentUnit } from "../customers/customer_directory.ts";
import { findRendezvousWinner } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";
import {
  type AllotmentGrant,
  AllotmentLedger,
  type AllotmentRequest,
  type AllotmentTable,
  type LedgerStamp,
  MAX_LEASE_MS,
  NEVER,
  OVERDRAFT,
  type WantedAmount,
} from "./allotment_ledger.ts";

/** Time for which a grant may be spent, from the request for it. */
export const GRANT_LIFETIME_MS = 500;
/** Longest time for which a request waits for a grant. */
export const MAX_WAIT_MS = 400;
/** Requests of a customer that may wait at a host; bounds memory. */
const MAX_WAITING = 256;
/**
 * Time within which a coordinator answers, also on a host with a quarter of a
 * core; an unanswered request is sent again.
 */
const ANSWER_MS = 150;
/** Unanswered requests in a row after which another coordinator is asked. */
const MAX_UNANSWERED = 2;
/** Time for which an unresponsive coordinator is not preferred. */
const EXCLUDE_MS = 2_000;
/** Time for which an answer shows that the coordinator is alive. */
const ANSWERED_MS = 2_000;
/** Shortest time between two requests for a customer after a shortage. */
const REPEAT_MS = 100;
/** Longest time for which a shortage is remembered without asking again. */
const MAX_SHORTAGE_MS = 1_000;
/**
 * Retry-After when no coordinator answered: about the time in which the lease
 * at a lost coordinator ends.
 */
const NO_ANSWER_RETRY_MS = 2_000;
/** Least lease, and what each host adds to it so that a coordinator of hundreds of hosts has a few hundred renewals a second. */
const MIN_LEASE_MS = 2_000;
const LEASE_MS_PER_HOST = 15;
/** Renewals in the time of a lease: three may be lost. */
const RENEWALS_PER_LEASE = 5;
/** Time over which the rate of a customer at this host is averaged. */
const RATE_PERIOD_MS = 1_000;
/** Time after its last request for which a customer's state is kept. */
const FORGET_MS = 10_000;
/** Time for which a busy host asks in advance, and the stock below which it does. */
const STOCK_MS = 300;
const LOW_STOCK_MS = 150;
/**
 * Requests in STOCK_MS below which nothing is asked for in advance, as most of
 * it would expire.
 */
const MIN_STOCK_REQUESTS = 2;
/** Time for which a count of hosts that others reported is used. */
const HEARD_MEMBERS_MS = 30_000;
/** Hosts assumed by a host that has heard of nobody but has seeds. */
const UNKNOWN_MEMBERS = 1_000;
/** Bounds the size of a request to one datagram. */
const MAX_WANTED = 24;
const COORDINATOR_KEY = "customer allotments";

export type AllotmentDecision =
  | { kind: "admitted" }
  /** Decided by a later call, under the given number. */
  | { kind: "waiting"; id: number }
  /** `retryAfterMs` is undefined if the limit never admits such a request. */
  | { kind: "rejected"; retryAfterMs: Milliseconds | undefined };

export interface SettledRequest {
  id: number;
  decision: Exclude<AllotmentDecision, { kind: "waiting" }>;
}

/** What this host knows of the others. */
export interface AllotmentPeers {
  /** Alive peers that take part. */
  candidates: readonly string[];
  /** Number of hosts, including this one and silent ones. */
  members: number;
  /** Whether this host has no seeds other than itself. */
  isSolitary: boolean;
  /** Number of seeds other than this host. */
  seeds: number;
  /** Whether this host is stopping, and should coordinate nothing. */
  isStopping: boolean;
}

export interface OutgoingRequest {
  to: string;
  request: AllotmentRequest;
}

interface Stock {
  grants: { amount: number; expiresAt: Milliseconds }[];
  waiting: { id: number; cost: number; endsAt: Milliseconds }[];
  /** Average cost of requests per ms, and their number per ms. */
  costRate: number;
  requestRate: number;
  ratedAt: Milliseconds;
  usedAt: Milliseconds;
  /** No request is sent for the customer before. */
  askAt: Milliseconds;
  /** Time until which nothing is left for the customer. */
  shortUntil: Milliseconds;
  /** When a request that is rejected next should be admitted. */
  retryAt: Milliseconds;
}

interface PendingRequest {
  to: string;
  /** By customer, the last waiting request that was counted. */
  lastIds: Map<string, number>;
}

interface Coordinator {
  stamp: LedgerStamp | undefined;
  answeredAt: Milliseconds;
  unanswered: number;
  excludedUntil: Milliseconds;
  renewedAt: Milliseconds;
}

const EMPTY_TABLE: AllotmentTable = new Map();

export class CustomerAllotments {
  readonly #selfId: string;
  readonly #ledger: AllotmentLedger;
  readonly #startedAt: Milliseconds;
  readonly #stocks = new Map<string, Stock>();
  readonly #coordinators = new Map<string, Coordinator>();
  /** By time of request, which is different for each. */
  readonly #pending = new Map<Milliseconds, PendingRequest>();
  #table: AllotmentTable = EMPTY_TABLE;
  #peers: AllotmentPeers = {
    candidates: [],
    members: 1,
    isSolitary: false,
    seeds: 1,
    isStopping: false,
  };
  /** Largest number of hosts that another reported, and when. */
  #heardMembers: { count: number; at: Milliseconds } | undefined;
  /** Where this host's fraction is assigned. */
  #assignment: { to: string; until: Milliseconds } | undefined;
  /** The preferred coordinator, until what it was chosen by has changed. */
  #preferred: string | undefined;
  #lastId = 0;
  #lastRequestedAt = Number.NEGATIVE_INFINITY;

  constructor(
    { selfId, incarnation }: { selfId: string; incarnation: string },
    now: Milliseconds,
  ) {
    this.#selfId = selfId;
    this.#ledger = new AllotmentLedger(incarnation);
    this.#startedAt = now;
  }

  /** Whether any customer is limited. */
  get isActive(): boolean {
    return this.#table.size > 0;
  }

  /** Sum of the fractions of the limits that hosts have assigned to this one. */
  get coordinatedFraction(): number {
    return this.#ledger.fraction;
  }

  /** Sets the limits of a new configuration, which apply at once. */
  setCustomers(customers: readonly PublishedCustomer[]): void {
    this.#table = new Map(
      customers.flatMap(({ name, allotment }) =>
        allotment ? [[name, allotment] as const] : []
      ),
    );
  }

  setPeers(peers: AllotmentPeers): void {
    this.#peers = peers;
    this.#preferred = undefined;
  }

  /** The coordinator that was asked last; undefined if none was needed. */
  get coordinator(): string | undefined {
    return this.#preferred;
  }

  /** Decides on a request that has arrived. */
  decideAdmission(
    customer: string,
    cost: number,
    now: Milliseconds,
  ): AllotmentDecision {
    if (!this.#table.has(customer)) return { kind: "admitted" };
    if (!Number.isFinite(cost) || cost > Number.MAX_SAFE_INTEGER) {
      return { kind: "rejected", retryAfterMs: undefined };
    }
    const stock = this.#getStock(customer, now);
    if (stock.waiting.length === 0 && this.#trySpend(stock, cost, now)) {
      return { kind: "admitted" };
    }
    if (now < stock.shortUntil) {
      const retryAfterMs = Math.max(REPEAT_MS, stock.retryAt - now);
      stock.retryAt += this.#computeFillMs(customer, cost);
      return { kind: "rejected", retryAfterMs };
    }
    if (stock.waiting.length >= MAX_WAITING) {
      return { kind: "rejected", retryAfterMs: MAX_WAIT_MS };
    }
    this.#lastId += 1;
    const id = this.#lastId;
    stock.waiting.push({ id, cost, endsAt: now + MAX_WAIT_MS });
    return { kind: "waiting", id };
  }

  /**
   * Returns the waiting requests that are decided now, and the requests that
   * are to be sent to coordinators.
   */
  advance(
    now: Milliseconds,
  ): { settled: SettledRequest[]; outgoing: OutgoingRequest[] } {
    const settled = this.#settleWaiting(now);
    const outgoing = this.#planRequests(now);
    const isOwn = ({ to }: OutgoingRequest) => to === this.#selfId;
    for (const { to, request } of outgoing.filter(isOwn)) {
      const grant = this.handleRequest(to, request, now);
      settled.push(...this.recordGrant(to, grant, now));
    }
    return { settled, outgoing: outgoing.filter((each) => !isOwn(each)) };
  }

  #settleWaiting(now: Milliseconds): SettledRequest[] {
    const settled: SettledRequest[] = [];
    for (const [customer, stock] of this.#stocks) {
      const isLimited = this.#table.has(customer);
      while (stock.waiting.length > 0) {
        const [{ id, cost, endsAt } = { id: 0, cost: 0, endsAt: 0 }] =
          stock.waiting;
        if (!isLimited || this.#trySpend(stock, cost, now)) {
          settled.push({ id, decision: { kind: "admitted" } });
        } else if (endsAt <= now) {
          const isAnswered = stock.retryAt > now;
          const retryAfterMs = isAnswered
            ? Math.max(REPEAT_MS, stock.retryAt - now)
            : NO_ANSWER_RETRY_MS;
          if (isAnswered) stock.retryAt += this.#computeFillMs(customer, cost);
          settled.push({ id, decision: { kind: "rejected", retryAfterMs } });
        } else break;
        stock.waiting.shift();
      }
      const isIdle = stock.waiting.length === 0 &&
        now - stock.usedAt > FORGET_MS;
      if (isIdle) this.#stocks.delete(customer);
    }
    return settled;
  }

  #planRequests(now: Milliseconds): OutgoingRequest[] {
    if (!this.isActive) return [];
    this.#expirePending(now);
    const preferred = this.#preferred ?? this.#selectCoordinator(now);
    this.#preferred = preferred;
    const outgoing: OutgoingRequest[] = [];
    const targets = new Set([preferred]);
    // Until the lease ends, the fraction of this host, and probably of others,
    // is at the coordinator before.
    const assigned = this.#assignment;
    if (assigned && assigned.until > now) {
      const { excludedUntil } = this.#getCoordinator(assigned.to);
      if (excludedUntil <= now) targets.add(assigned.to);
    }
    const wanted = this.#listWanted(now);
    for (const to of targets) {
      const coordinator = this.#getCoordinator(to);
      const isPending = [...this.#pending.values()]
        .some((each) => each.to === to);
      const sinceRenewalMs = now - coordinator.renewedAt;
      const isFirst = this.#assignment?.to !== to && this.#canAssign(to, now);
      const isDue = to === preferred &&
        (sinceRenewalMs >= this.#computeLeaseMs() / RENEWALS_PER_LEASE ||
          (isFirst && sinceRenewalMs >= REPEAT_MS));
      const needsAnswer = wanted.length > 0 && !isPending;
      if (!isDue && !needsAnswer) continue;
      outgoing.push({
        to,
        request: this.#buildRequest(
          to,
          to === preferred,
          needsAnswer ? wanted : [],
          now,
        ),
      });
    }
    return outgoing;
  }

  /** Answers another host's, or this host's own, request as a coordinator. */
  handleRequest(
    from: string,
    request: AllotmentRequest,
    now: Milliseconds,
  ): AllotmentGrant {
    this.#recordMembers(request.members, now);
    const grant = this.#ledger.handleRequest(
      from,
      request,
      { table: this.#table, members: this.#countMembers(now) },
      now,
    );
    return { ...grant, members: this.#peers.members };
  }

  /**
   * Adds what a coordinator has granted; returns the waiting requests that its
   * answer decides.
   */
  recordGrant(
    from: string,
    grant: AllotmentGrant,
    now: Milliseconds,
  ): SettledRequest[] {
    const pending = this.#pending.get(grant.requestedAt);
    if (pending?.to !== from) return [];
    this.#pending.delete(grant.requestedAt);
    this.#recordMembers(grant.members, now);
    const coordinator = this.#getCoordinator(from);
    coordinator.stamp = grant.stamp;
    coordinator.answeredAt = now;
    coordinator.unanswered = 0;
    const expiresAt = grant.requestedAt + GRANT_LIFETIME_MS;
    for (const [customer, amount] of grant.granted) {
      const isUsable = amount > 0 && expiresAt > now &&
        pending.lastIds.has(customer);
      if (!isUsable) continue;
      this.#getStock(customer, now).grants.push({ amount, expiresAt });
    }
    const settled = this.#settleWaiting(now);
    for (const [customer, , waitMs] of grant.granted) {
      const lastId = pending.lastIds.get(customer);
      const isAwaited = [...this.#pending.values()]
        .some(({ lastIds }) => lastIds.has(customer));
      if (waitMs === 0 || lastId === undefined || isAwaited) continue;
      settled.push(...this.#refuseShort(customer, lastId, waitMs, now));
    }
    return settled;
  }

  /**
   * Rejects the requests for which the coordinators have nothing and that can't
   * wait until they have.
   */
  #refuseShort(
    customer: string,
    lastId: number,
    waitMs: Milliseconds,
    now: Milliseconds,
  ): SettledRequest[] {
    const stock = this.#getStock(customer, now);
    if (waitMs === NEVER) {
      const rejected = stock.waiting.shift();
      return rejected
        ? [{
          id: rejected.id,
          decision: { kind: "rejected", retryAfterMs: undefined },
        }]
        : [];
    }
    stock.askAt = now + Math.max(REPEAT_MS, Math.min(waitMs, MAX_SHORTAGE_MS));
    const isShort = (each: Stock["waiting"][number]) =>
      each.id <= lastId && each.endsAt <= stock.askAt;
    const rejected = stock.waiting.filter(isShort);
    stock.waiting = stock.waiting.filter((each) => !isShort(each));
    stock.retryAt = now + Math.max(waitMs, REPEAT_MS);
    const settled = rejected.map(({ id, cost }): SettledRequest => {
      const retryAfterMs = stock.retryAt - now;
      // Each is to come back after those before it.
      stock.retryAt += this.#computeFillMs(customer, cost);
      return { id, decision: { kind: "rejected", retryAfterMs } };
    });
    // A larger request may be short where others are not.
    if (rejected.some(({ cost }) => cost <= OVERDRAFT)) {
      stock.shortUntil = stock.askAt;
    }
    return settled;
  }

  /** Returns the time in which the limit allows the cost. */
  #computeFillMs(customer: string, cost: number): Milliseconds {
    const ratePerS = this.#table.get(customer)?.ratePerS;
    return ratePerS ? cost / ratePerS * 1_000 : 0;
  }

  #buildRequest(
    to: string,
    isPreferred: boolean,
    wanted: WantedAmount[],
    now: Milliseconds,
  ): AllotmentRequest {
    // Different for each request also if two are sent in one millisecond.
    const requestedAt = Math.max(now, this.#lastRequestedAt + 0.001);
    this.#lastRequestedAt = requestedAt;
    const lastIds = new Map(
      wanted.map(([customer]) =>
        [customer, this.#stocks.get(customer)?.waiting.at(-1)?.id ?? 0] as const
      ),
    );
    this.#pending.set(requestedAt, { to, lastIds });
    const coordinator = this.#getCoordinator(to);
    const { stamp } = coordinator;
    const isAssignable = isPreferred && this.#canAssign(to, now);
    const leaseMs = this.#computeLeaseMs();
    if (isAssignable) {
      this.#assignment = { to, until: requestedAt + leaseMs };
    }
    if (isPreferred) coordinator.renewedAt = now;
    return {
      requestedAt,
      // What others count is not passed on: it would never be forgotten.
      members: this.#peers.members,
      assignment: isAssignable && stamp ? { stamp, leaseMs } : undefined,
      wanted,
    };
  }

  /**
   * Returns whether this host's fraction is assigned nowhere else, and the
   * coordinator's stamp is recent.
   */
  #canAssign(to: string, now: Milliseconds): boolean {
    const { stamp, answeredAt } = this.#getCoordinator(to);
    const isRecent = now - answeredAt < this.#computeLeaseMs() / 2;
    if (stamp === undefined || !isRecent) return false;
    // The process before this one may have assigned it until then.
    const restartLeaseMs = Math.min(MAX_LEASE_MS, this.#computeLeaseMs());
    const isFree = this.#peers.isSolitary ||
      now - this.#startedAt >= restartLeaseMs;
    const assigned = this.#assignment;
    return isFree && (!assigned || assigned.to === to || assigned.until <= now);
  }

  #computeLeaseMs(): Milliseconds {
    const leaseMs = MIN_LEASE_MS + LEASE_MS_PER_HOST * this.#peers.members;
    return Math.min(MAX_LEASE_MS, leaseMs);
  }

  #listWanted(now: Milliseconds): WantedAmount[] {
    const wanted: WantedAmount[] = [];
    for (const [customer, stock] of this.#stocks) {
      if (wanted.length >= MAX_WANTED) break;
      if (stock.askAt > now || !this.#table.has(customer)) continue;
      const needed = stock.waiting.reduce((sum, { cost }) => sum + cost, 0);
      const held = sumGrants(stock, now);
      updateRates(stock, now);
      const isBusy = stock.requestRate * STOCK_MS >= MIN_STOCK_REQUESTS;
      const isLow = held < stock.costRate * LOW_STOCK_MS;
      const ahead = isBusy && isLow ? stock.costRate * STOCK_MS : 0;
      const total = needed + ahead - held;
      if (total <= 0) continue;
      // Only for a request that waits may the limit be overdrawn.
      const first = Math.max(0, (stock.waiting[0]?.cost ?? 0) - held);
      wanted.push([customer, first, total]);
    }
    return wanted;
  }

  #expirePending(now: Milliseconds): void {
    for (const [requestedAt, { to }] of this.#pending) {
      if (now - requestedAt < ANSWER_MS) continue;
      this.#pending.delete(requestedAt);
      const coordinator = this.#getCoordinator(to);
      coordinator.unanswered += 1;
      if (coordinator.unanswered < MAX_UNANSWERED) continue;
      coordinator.unanswered = 0;
      coordinator.excludedUntil = now + EXCLUDE_MS;
      this.#preferred = undefined;
    }
  }

  #selectCoordinator(now: Milliseconds): string {
    const isUsable = (id: string): boolean =>
      (this.#coordinators.get(id)?.excludedUntil ?? 0) <= now;
    const ids = new Set(this.#peers.candidates.filter(isUsable));
    for (const [id, { answeredAt }] of this.#coordinators) {
      if (now - answeredAt < ANSWERED_MS && isUsable(id)) ids.add(id);
      else if (now - answeredAt > MAX_LEASE_MS && isUsable(id)) {
        if (!ids.has(id) && id !== this.#assignment?.to) {
          this.#coordinators.delete(id);
        }
      }
    }
    if (!this.#peers.isStopping) ids.add(this.#selfId);
    const winner = findRendezvousWinner(
      COORDINATOR_KEY,
      [...ids].map((id) => ({ id })),
    );
    return winner?.id ?? this.#selfId;
  }

  #getCoordinator(id: string): Coordinator {
    const coordinator = this.#coordinators.get(id) ?? {
      stamp: undefined,
      answeredAt: Number.NEGATIVE_INFINITY,
      unanswered: 0,
      excludedUntil: Number.NEGATIVE_INFINITY,
      renewedAt: Number.NEGATIVE_INFINITY,
    };
    this.#coordinators.set(id, coordinator);
    return coordinator;
  }

  #recordMembers(count: number, now: Milliseconds): void {
    const known = this.#heardMembers;
    const isReplaced = !known || count >= known.count ||
      now - known.at > HEARD_MEMBERS_MS;
    if (isReplaced) this.#heardMembers = { count, at: now };
  }

  /** Returns the number of hosts among which the limits are divided. */
  #countMembers(now: Milliseconds): number {
    const { members, isSolitary, seeds } = this.#peers;
    const heard = this.#heardMembers;
    const heardCount = heard && now - heard.at <= HEARD_MEMBERS_MS
      ? heard.count
      : 0;
    const count = Math.max(members, seeds + 1, heardCount);
    const isUnknown = !isSolitary && members <= 1 && heardCount <= 1;
    return isUnknown ? UNKNOWN_MEMBERS : count;
  }

  /** Takes the cost from the oldest grants; returns false if they are too small. */
  #trySpend(stock: Stock, cost: number, now: Milliseconds): boolean {
    if (sumGrants(stock, now) < cost) return false;
    let rest = cost;
    for (const grant of stock.grants) {
      const taken = Math.min(rest, grant.amount);
      grant.amount -= taken;
      rest -= taken;
    }
    stock.grants = stock.grants.filter(({ amount }) => amount > 0);
    updateRates(stock, now);
    stock.costRate += cost / RATE_PERIOD_MS;
    stock.requestRate += 1 / RATE_PERIOD_MS;
    stock.usedAt = now;
    return true;
  }

  #getStock(customer: string, now: Milliseconds): Stock {
    const stock = this.#stocks.get(customer) ?? {
      grants: [],
      waiting: [],
      costRate: 0,
      requestRate: 0,
      ratedAt: now,
      usedAt: now,
      askAt: Number.NEGATIVE_INFINITY,
      shortUntil: Number.NEGATIVE_INFINITY,
      retryAt: Number.NEGATIVE_INFINITY,
    };
    this.#stocks.set(customer, stock);
    return stock;
  }
}

function updateRates(stock: Stock, now: Milliseconds): void {
  const elapsedMs = Math.max(0, now - stock.ratedAt);
  const decay = Math.exp(-elapsedMs / RATE_PERIOD_MS);
  stock.costRate *= decay;
  stock.requestRate *= decay;
  stock.ratedAt = now;
}

/** Drops expired grants and returns the sum of the others. */
function sumGrants(stock: Stock, now: Milliseconds): number {
  stock.grants = stock.grants.filter(({ expiresAt }) => expiresAt > now);
  return stock.grants.reduce((sum, { amount }) => sum + amount, 0);
}

/**
 * Returns what a request counts for. Token counts that are missing or unusable
 * count as the tokens of a request that declares none.
 */
export function computeRequestCost(
  allotment: CustomerAllotment,
  promptTokens: number,
  outputTokens: number,
): number {
  switch (allotment.unit) {
    case AllotmentUnit.Requests:
      return 1;
    case AllotmentUnit.Tokens: {
      const tokens = promptTokens + outputTokens;
      return tokens > 0 ? tokens : allotment.plainTokens;
    }
  }
}
