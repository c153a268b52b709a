/**
 * Decides whether a customer's request is within its allotment, which all hosts
 * share. Each host measures the rate that its callers offer for each limited
 * customer and reports it to one coordinator, which answers with the rates of
 * the whole fleet. Nothing waits for an answer: while a customer's offered rate
 * is below its limit, each request is admitted; above it, each host admits its
 * own proportion of the limit, as a token bucket that may go into debt by one
 * request.
 *
 * A moderate excess is admitted from a reserve of the whole fleet: the burst of
 * the allotment and a fraction of what the platform tolerates beyond it. Each
 * host follows the reserve by the fleet's offered rates.
 *
 * Load: a few customers send most of the load, through few hosts or all of
 * them, and one of them at times sends many times its usual. A request can cost
 * more than one host's part of the limit in a second. Demand swings round its
 * mean, and small customers send few requests a second, at random.
 *
 * A host that cannot reach a coordinator that hears the fleet divides what the
 * unheard hosts may spend by their number, so that the parts of a partitioned
 * fleet together admit no more than one limit.
 */
import {
  AllotmentUnit,
  type CustomerAllotment,
  type PublishedCustomer,
} from "../customers/customer_directory.ts";
import type { Milliseconds } from "../structures.ts";

/** Rates that one host offers, in units per second, by customer. */
export interface AllotmentReport {
  /** On the sender's clock; identifies the report. */
  reportedAt: Milliseconds;
  rates: [customer: string, ratePerS: number][];
}

/** The coordinator's answer to a report. */
export interface AllotmentTotals {
  /** As in the report. */
  reportedAt: Milliseconds;
  /** Hosts that have reported lately, the sender included. */
  hosts: number;
  /** Rates offered to these hosts together. */
  rates: [customer: string, ratePerS: number][];
}

export type AllotmentDecision =
  | { kind: "admitted" }
  | {
    kind: "rejected";
    /** Undefined if the request can never be admitted. */
    retryAfterMs: Milliseconds | undefined;
  };

/** What the platform tolerates beyond an allotment. */
export interface AllotmentTolerance {
  /** Time over which the platform sums up. */
  windowMs: Milliseconds;
  /** Fraction of rate x window + burst. */
  over: number;
  /** In the unit of the allotment. */
  slack: number;
}

const NO_TOLERANCE: AllotmentTolerance = { windowMs: 0, over: 0, slack: 0 };

/** What a host knows of the others. */
export interface AllotmentFleet {
  /** Hosts that share the limits, silent ones and this one included. */
  members: number;
  /** Whether this host has no seeds beside itself and knows nobody. */
  isSolitary: boolean;
}

/**
 * Time constant of the moving average of an offered rate. A shorter one takes
 * the chance that some requests arrive together for a higher rate.
 */
const RATE_PERIOD_MS = 2_000;
/**
 * Offered rate, as a fraction of the limit, up to which each request is
 * admitted. The rest is for what arrives until the fleet's rate is known.
 */
const FREE_FRACTION = 0.95;
/**
 * Requests of average cost by which a moving average may exceed the limit: a
 * small customer sends few requests a second, at random.
 */
const FREE_REQUESTS = 2;
/**
 * Fraction of the platform's tolerance that the reserve holds. The rest is for
 * what arrives until the fleet's rate is known.
 */
const RESERVE_FRACTION = 0.1;
/**
 * Offered rate, as a multiple of the limit, up to which the reserve is used. A
 * larger excess would have spent it before the hosts know.
 */
const MAX_RESERVE_RATE = 1.25;
/** Requests of average cost by which a moving average may exceed that rate. */
const RESERVE_REQUESTS = 4;
/**
 * Factor on a host's part of the limit while there is a reserve. The others
 * report their rates mostly just after an arrival, so that their moving averages
 * are too high.
 */
const PART_FACTOR = 1.1;
/** The same once the reserve is empty: what was admitted late is made up for. */
const EMPTY_PART_FACTOR = 1.03;
/** Least and largest capacity of a host's bucket, in seconds at its part. */
const MIN_BUCKET_S = 0.25;
const MAX_BUCKET_S = 1;
/** Weight of the latest request in the moving average of the cost. */
const COST_WEIGHT = 1 / 8;
/** Interval of reports while requests of limited customers arrive. */
const BUSY_REPORT_INTERVAL_MS = 400;
/** Interval of reports without any, by which the coordinator counts hosts. */
const IDLE_REPORT_INTERVAL_MS = 1_000;
/** Shortest interval between reports, when a rate rises fast. */
const MIN_REPORT_INTERVAL_MS = 50;
/** Rise of a rate, as a fraction of the limit, that is reported at once. */
const REPORTED_RISE = 0.015;
/** Age from which the totals of the fleet are no longer relied on. */
const TOTALS_LIFETIME_MS = 2_500;
/** Age from which a host that does not report is not counted. */
const HOST_LIFETIME_MS = 3_000;
/**
 * Time after the start in which a host that knows no other's rates admits up to
 * the whole limit, as it may be the only one that gets requests. Without that
 * bound, hosts that restart under many times the limit admit more than the
 * fleet's limit allows.
 */
const UNKNOWN_GRACE_MS = 1_500;
/**
 * Factor on the fraction of hosts that are heard: some are always restarting,
 * and their parts would be unused.
 */
const HEARD_FACTOR = 1.1;
/**
 * Factor on the time until a bucket is filled again: while requests stay away,
 * this host's rate decays before what it knows of the others does.
 */
const RETRY_FACTOR = 1.5;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 60_000;
/** Time after which an idle customer's state is dropped. */
const IDLE_LIFETIME_MS = 30_000;
/** Customers in one message; the largest rates come first. */
export const MAX_REPORTED_CUSTOMERS = 32;
/** Hosts that a coordinator keeps: more than any fleet has. */
const MAX_HOSTS = 2_000;

interface CustomerState {
  /** Moving average of the offered cost, per second. */
  ratePerS: number;
  /** Moving average of the cost of one request. */
  meanCost: number;
  updatedAt: Milliseconds;
  /** In units; undefined while the customer is below its limit. */
  level: number | undefined;
  refilledAt: Milliseconds;
}

/** What the whole fleet may spend beyond a customer's limit. */
interface Reserve {
  /** In units. */
  level: number;
  updatedAt: Milliseconds;
}

interface KnownFleet {
  /** Whether the rates that the others offer are known. */
  isFleetHeard: boolean;
  /** Rate offered to all other hosts. */
  othersPerS: number;
  /** Rate offered to this host at the time of `othersPerS`. */
  ownPerS: number;
  /** Number of hosts that offer these rates, this one included. */
  hosts: number;
  /** Fraction of the limits that the known hosts may spend. */
  fraction: number;
}

interface KnownTotals {
  /** When the report that they answer was sent. */
  at: Milliseconds;
  hosts: number;
  /** Rates offered to all other hosts. */
  others: Map<string, number>;
  /** Rates offered to this host at that time. */
  own: Map<string, number>;
}

export class CustomerAllotments {
  #table: ReadonlyMap<string, CustomerAllotment> = new Map();
  readonly #states = new Map<string, CustomerState>();
  /** Reserves of the customers that some host has heard of lately. */
  readonly #reserves = new Map<string, Reserve>();
  readonly #tolerance: AllotmentTolerance;
  #fleet: AllotmentFleet = { members: 1, isSolitary: false };
  #totals: KnownTotals | undefined;
  /** What was reported last, with its time. */
  #reported: { at: Milliseconds; rates: Map<string, number> } = {
    at: Number.NEGATIVE_INFINITY,
    rates: new Map(),
  };
  /** Reports without an answer yet. */
  readonly #pending = new Map<Milliseconds, Map<string, number>>();
  readonly #startedAt: Milliseconds;

  constructor(
    now: Milliseconds,
    tolerance: AllotmentTolerance = NO_TOLERANCE,
  ) {
    this.#startedAt = now;
    this.#tolerance = tolerance;
  }

  /** Whether any customer has a limit. */
  get isActive(): boolean {
    return this.#table.size > 0;
  }

  setCustomers(customers: readonly PublishedCustomer[]): void {
    this.#table = new Map(
      customers.flatMap(({ name, allotment }) =>
        allotment ? [[name, allotment] as const] : []
      ),
    );
    for (const customer of this.#reserves.keys()) {
      if (!this.#table.has(customer)) this.#reserves.delete(customer);
    }
  }

  setFleet(fleet: AllotmentFleet): void {
    this.#fleet = fleet;
  }

  /**
   * Decides on a request that has arrived.
   * @param draw a number from 0 to 1, different for each request. It spreads the
   * first admissions beyond the limit over the hosts, which would otherwise all
   * admit one request at once.
   */
  decideAdmission(
    customer: string,
    cost: number,
    draw: number,
    now: Milliseconds,
  ): AllotmentDecision {
    const allotment = this.#table.get(customer);
    if (!allotment) return { kind: "admitted" };
    if (!Number.isFinite(cost) || cost > Number.MAX_SAFE_INTEGER) {
      return { kind: "rejected", retryAfterMs: undefined };
    }
    const reserve = this.#updateReserve(customer, allotment, now);
    const state = this.#getState(customer, cost, now);
    // Without this request: the average just after an arrival is too high.
    const ownPerS = recordOffer(state, cost, now);
    const known = this.#getKnownFleet(customer, now);
    const limitPerS = allotment.ratePerS * known.fraction;
    const offeredPerS = state.ratePerS + known.othersPerS;
    // What one request of average cost adds to a moving average.
    const requestPerS = known.fraction * state.meanCost * 1_000 /
      RATE_PERIOD_MS;
    const freePerS = FREE_FRACTION * limitPerS + FREE_REQUESTS * requestPerS;
    const reservePerS = MAX_RESERVE_RATE * limitPerS +
      RESERVE_REQUESTS * requestPerS;
    if (
      offeredPerS <= freePerS || (reserve > 0 && offeredPerS <= reservePerS)
    ) {
      state.level = undefined;
      return { kind: "admitted" };
    }
    const dividedPerS = limitPerS *
      (reserve > 0 ? PART_FACTOR : EMPTY_PART_FACTOR);
    const partPerS = dividedPerS * ownPerS /
      (ownPerS + known.othersPerS || 1);
    // The others' rates are of an earlier time: a rise here since then is
    // expected at each of them as well.
    const expectedOthersPerS = known.othersPerS +
      Math.max(0, ownPerS - known.ownPerS) * (known.hosts - 1);
    const expectedPartPerS = dividedPerS * ownPerS /
      (ownPerS + expectedOthersPerS || 1);
    const bucketS = Math.min(
      MAX_BUCKET_S,
      Math.max(MIN_BUCKET_S, allotment.burst / allotment.ratePerS),
    );
    return takeFromBucket(
      state,
      { partPerS, expectedPartPerS, bucketS },
      { cost, draw },
      now,
    );
  }

  /** Returns whether a report is to be sent now. */
  needsReport(now: Milliseconds): boolean {
    const sinceMs = now - this.#reported.at;
    if (sinceMs < MIN_REPORT_INTERVAL_MS) return false;
    if (sinceMs >= IDLE_REPORT_INTERVAL_MS) return true;
    for (const [customer, { ratePerS }] of this.#states) {
      const limitPerS = this.#table.get(customer)?.ratePerS;
      if (limitPerS === undefined) continue;
      const rise = ratePerS - (this.#reported.rates.get(customer) ?? 0);
      if (rise > REPORTED_RISE * limitPerS) return true;
      if (rise !== 0 && sinceMs >= BUSY_REPORT_INTERVAL_MS) return true;
    }
    return false;
  }

  /** Returns the rates to report, which counts as sent. */
  takeReport(now: Milliseconds): AllotmentReport {
    const rates = new Map<string, number>();
    for (const [customer, state] of this.#states) {
      const isDropped = !this.#table.has(customer) ||
        now - state.updatedAt > IDLE_LIFETIME_MS;
      if (isDropped) this.#states.delete(customer);
      else {rates.set(
          customer,
          computeDecayed(state.ratePerS, now - state.updatedAt),
        );}
    }
    this.#reported = { at: now, rates };
    this.#pending.set(now, rates);
    for (const reportedAt of this.#pending.keys()) {
      if (now - reportedAt > TOTALS_LIFETIME_MS) {
        this.#pending.delete(reportedAt);
      }
    }
    return { reportedAt: now, rates: listLargest(rates) };
  }

  /** Records a coordinator's answer; one to an unknown report is ignored. */
  recordTotals(totals: AllotmentTotals, now: Milliseconds): void {
    const own = this.#pending.get(totals.reportedAt);
    if (!own) return;
    this.#pending.delete(totals.reportedAt);
    if (this.#totals && this.#totals.at > totals.reportedAt) return;
    // Up to here the rates known before hold.
    for (const [customer] of totals.rates) {
      const allotment = this.#table.get(customer);
      if (allotment) this.#updateReserve(customer, allotment, now);
    }
    const others = new Map(
      totals.rates.map(([customer, ratePerS]) => [
        customer,
        Math.max(0, ratePerS - (own.get(customer) ?? 0)),
      ]),
    );
    this.#totals = { at: totals.reportedAt, hosts: totals.hosts, others, own };
  }

  #getState(customer: string, cost: number, now: Milliseconds): CustomerState {
    const state = this.#states.get(customer) ?? {
      ratePerS: 0,
      meanCost: cost,
      updatedAt: now,
      level: undefined,
      refilledAt: now,
    };
    this.#states.set(customer, state);
    return state;
  }

  /**
   * Brings the fleet's reserve for the customer up to date, and returns it. A
   * customer that nobody has sent requests of lately has a full one.
   */
  #updateReserve(
    customer: string,
    allotment: CustomerAllotment,
    now: Milliseconds,
  ): number {
    const { windowMs, over, slack } = this.#tolerance;
    const { ratePerS, burst } = allotment;
    const tolerated = over * (ratePerS * windowMs / 1_000 + burst) + slack;
    const known = this.#getKnownFleet(customer, now);
    const { fraction } = known;
    // A host that does not know the fleet's rates cannot follow its reserve.
    const capacity = known.isFleetHeard
      ? fraction * (burst + RESERVE_FRACTION * tolerated)
      : 0;
    const reserve = this.#reserves.get(customer) ??
      { level: capacity, updatedAt: now };
    this.#reserves.set(customer, reserve);
    const state = this.#states.get(customer);
    const ownPerS = state
      ? computeDecayed(state.ratePerS, now - state.updatedAt)
      : 0;
    const limitPerS = fraction * ratePerS;
    const offeredPerS = ownPerS + known.othersPerS;
    // Without a reserve, the hosts admit no more than the limit.
    const spentPerS = reserve.level > 0
      ? offeredPerS
      : Math.min(offeredPerS, limitPerS);
    const elapsedS = Math.max(0, now - reserve.updatedAt) / 1_000;
    reserve.updatedAt = now;
    reserve.level = Math.min(
      capacity,
      Math.max(0, reserve.level + elapsedS * (limitPerS - spentPerS)),
    );
    return reserve.level;
  }

  /**
   * Returns what is known of the other hosts, and the fraction of the limits
   * that the known ones may spend.
   */
  #getKnownFleet(
    customer: string,
    now: Milliseconds,
  ): KnownFleet {
    const { members, isSolitary } = this.#fleet;
    if (isSolitary) {
      const alone = { othersPerS: 0, ownPerS: 0, hosts: 1 };
      return { isFleetHeard: true, ...alone, fraction: 1 };
    }
    const totals = this.#totals;
    if (totals && now - totals.at < TOTALS_LIFETIME_MS) {
      const heard = HEARD_FACTOR * totals.hosts / Math.max(1, members);
      return {
        isFleetHeard: true,
        othersPerS: totals.others.get(customer) ?? 0,
        ownPerS: totals.own.get(customer) ?? 0,
        hosts: totals.hosts,
        fraction: Math.min(1, heard),
      };
    }
    const isStarting = now - this.#startedAt < UNKNOWN_GRACE_MS;
    return {
      isFleetHeard: false,
      othersPerS: 0,
      ownPerS: 0,
      hosts: members,
      fraction: isStarting ? 1 : 1 / Math.max(2, members),
    };
  }
}

/**
 * Updates the offered rate, which counts rejected requests too. Returns the rate
 * before.
 */
function recordOffer(
  state: CustomerState,
  cost: number,
  now: Milliseconds,
): number {
  const ratePerS = computeDecayed(state.ratePerS, now - state.updatedAt);
  state.ratePerS = ratePerS + cost * 1_000 / RATE_PERIOD_MS;
  state.meanCost += COST_WEIGHT * (cost - state.meanCost);
  state.updatedAt = now;
  return ratePerS;
}

/** Spends the cost from the customer's bucket on this host, if it is not empty. */
function takeFromBucket(
  state: CustomerState,
  { partPerS, expectedPartPerS, bucketS }: {
    partPerS: number;
    /** The part once the others' rates are known; for the time to come back. */
    expectedPartPerS: number;
    bucketS: number;
  },
  { cost, draw }: { cost: number; draw: number },
  now: Milliseconds,
): AllotmentDecision {
  if (state.level === undefined) {
    state.level = MIN_BUCKET_S * partPerS - draw * cost;
  } else {
    const elapsedS = Math.max(0, now - state.refilledAt) / 1_000;
    // At least a request, or a host with few requests would lose what
    // its bucket does not hold until the next one.
    const capacity = Math.max(bucketS * partPerS, state.meanCost);
    state.level = Math.min(capacity, state.level + elapsedS * partPerS);
  }
  state.refilledAt = now;
  if (state.level > 0) {
    state.level -= cost;
    return { kind: "admitted" };
  }
  // The caller may come back to another host, whose bucket differs by a request.
  const waitMs = expectedPartPerS > 0
    ? RETRY_FACTOR * (cost - state.level) / expectedPartPerS * 1_000
    : MAX_RETRY_AFTER_MS;
  return {
    kind: "rejected",
    retryAfterMs: Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, waitMs),
    ),
  };
}

/** Sums up the rates that hosts report, as their coordinator. */
export class AllotmentCoordinator {
  readonly #reports = new Map<
    string,
    { at: Milliseconds; rates: Map<string, number> }
  >();

  handleReport(
    from: string,
    report: AllotmentReport,
    now: Milliseconds,
  ): AllotmentTotals {
    const isNew = !this.#reports.has(from);
    if (!isNew || this.#reports.size < MAX_HOSTS) {
      this.#reports.set(from, { at: now, rates: new Map(report.rates) });
    }
    const totals = new Map<string, number>();
    for (const [host, { at, rates }] of this.#reports) {
      const ageMs = now - at;
      if (ageMs > HOST_LIFETIME_MS) {
        this.#reports.delete(host);
        continue;
      }
      // A silent host may go on spending its part until it is not counted.
      for (const [customer, ratePerS] of rates) {
        totals.set(customer, (totals.get(customer) ?? 0) + ratePerS);
      }
    }
    return {
      reportedAt: report.reportedAt,
      hosts: this.#reports.size,
      rates: listLargest(totals),
    };
  }

  countHosts(): number {
    return this.#reports.size;
  }
}

function computeDecayed(ratePerS: number, elapsedMs: Milliseconds): number {
  return ratePerS * Math.exp(-Math.max(0, elapsedMs) / RATE_PERIOD_MS);
}

function listLargest(
  rates: ReadonlyMap<string, number>,
): [customer: string, ratePerS: number][] {
  return [...rates]
    .map(([customer, ratePerS]): [string, number] => [
      customer,
      Math.round(ratePerS * 10) / 10,
    ])
    .filter(([, ratePerS]) => ratePerS > 0)
    .sort(([, a], [, b]) => b - a)
    .slice(0, MAX_REPORTED_CUSTOMERS);
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
