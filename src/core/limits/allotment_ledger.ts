/**
 * The coordinator's side of customers' allotments. Every host assigns an equal
 * fraction of all limits to one coordinator at a time, for a lease. The
 * coordinator keeps a token bucket for each customer, filled at the sum of the
 * fractions that are assigned to it, and grants amounts out of it. As a
 * fraction is never assigned twice at a time, several coordinators, as in a
 * partitioned fleet, together grant no more than one would.
 */
import type { CustomerAllotment } from "../customers/customer_directory.ts";
import type { Milliseconds } from "../structures.ts";

/** The limited customers of the configuration, by name. */
export type AllotmentTable = ReadonlyMap<string, CustomerAllotment>;

/** Proof of when a coordinator last answered, by that coordinator's clock. */
export interface LedgerStamp {
  /** Incarnation of the coordinator. */
  issuer: string;
  issuedAt: Milliseconds;
}

/** What a host needs for a customer. */
export type WantedAmount = [customer: string, first: number, total: number];

export interface AllotmentRequest {
  /** On the sender's clock; identifies the request. */
  requestedAt: Milliseconds;
  /** Number of hosts that the sender counts. */
  members: number;
  /** Absent unless the sender assigns its fraction to the receiver. */
  assignment?: { stamp: LedgerStamp; leaseMs: Milliseconds } | undefined;
  wanted: WantedAmount[];
}

/**
 * Amount granted to a customer, and the time after which the rest may be
 * granted: 0 if there is no rest, negative if it exceeds the limit itself.
 */
export type GrantedAmount = [
  customer: string,
  amount: number,
  waitMs: Milliseconds,
];

export interface AllotmentGrant {
  /** As in the request. */
  requestedAt: Milliseconds;
  /** Number of hosts that the coordinator counts. */
  members: number;
  stamp: LedgerStamp;
  granted: GrantedAmount[];
}

/** In place of the time to wait for an amount that is never granted. */
export const NEVER = -1;

/**
 * Factor on rate and burst, for the fractions of hosts that are down and for
 * grants that expire unused. With the 0.5 s for which a grant holds and
 * OVERDRAFT_RATIO it stays within 1.25 times the limit in 8 s: for a burst of
 * 0, 1.08 x (8.5 + 0.25) x rate + 0.05 x 8 x rate is 9.85 x rate, of 10.
 */
const LIMIT_FACTOR = 1.08;
/** Least capacity of a bucket, in seconds at its rate. */
const MIN_CAPACITY_S = 0.25;
/**
 * Largest overdraft by one grant: a part of the 110,000 units that the platform
 * allows beyond the limit, as requests of up to 50,000 tokens may exceed a
 * customer's whole burst.
 */
export const OVERDRAFT = 100_000;
/** Further overdraft, as a ratio of the amount that the limit allows in 8 s. */
const OVERDRAFT_RATIO = 0.05;
const WINDOW_S = 8;
/** Longest time to wait that is named; beyond it a customer gains nothing. */
const MAX_NAMED_WAIT_MS = 60 * 60 * 1_000;
/** Time to wait at a coordinator to which nothing is assigned (any more). */
const UNASSIGNED_WAIT_MS = 1_000;
/** Bounds memory: beyond any fleet of the platform (900 hosts). */
const MAX_ASSIGNMENTS = 2_000;
/** Longest lease that is accepted. */
export const MAX_LEASE_MS = 30_000;

interface Assignment {
  fraction: number;
  expiresAt: Milliseconds;
}

interface Pool {
  allotment: CustomerAllotment;
  level: number;
}

export class AllotmentLedger {
  readonly #incarnation: string;
  readonly #assignments = new Map<string, Assignment>();
  readonly #pools = new Map<string, Pool>();
  #advancedAt = 0;
  /** Sum of the fractions assigned when the buckets were last filled. */
  #fraction = 0;

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /** Sum of the fractions that hosts have assigned. */
  get fraction(): number {
    return this.#fraction;
  }

  /**
   * Applies a host's assignment and grants what it asks for.
   * @param members number of hosts that this coordinator counts.
   */
  handleRequest(
    from: string,
    request: AllotmentRequest,
    { table, members }: { table: AllotmentTable; members: number },
    now: Milliseconds,
  ): AllotmentGrant {
    this.#advance(table, now);
    this.#recordAssignment(from, request, members, now);
    return {
      requestedAt: request.requestedAt,
      members,
      stamp: { issuer: this.#incarnation, issuedAt: now },
      granted: request.wanted.map((wanted) => this.#grant(wanted)),
    };
  }

  #recordAssignment(
    from: string,
    request: AllotmentRequest,
    members: number,
    now: Milliseconds,
  ): void {
    const { assignment } = request;
    if (!assignment || assignment.stamp.issuer !== this.#incarnation) return;
    const { stamp, leaseMs } = assignment;
    // The lease began after this coordinator issued the stamp, however long the
    // request was under way or lay unread.
    const expiresAt = Math.min(stamp.issuedAt, now) +
      Math.min(leaseMs, MAX_LEASE_MS);
    const known = this.#assignments.get(from);
    if (expiresAt <= now || expiresAt <= (known?.expiresAt ?? 0)) return;
    if (!known && this.#assignments.size >= MAX_ASSIGNMENTS) return;
    const fraction = 1 / Math.max(1, request.members, members);
    this.#assignments.set(from, { fraction, expiresAt });
    this.#fraction = this.#sumFractions(now);
  }

  #sumFractions(now: Milliseconds): number {
    let sum = 0;
    for (const [host, { fraction, expiresAt }] of this.#assignments) {
      if (expiresAt <= now) this.#assignments.delete(host);
      else sum += fraction;
    }
    return Math.min(1, sum);
  }

  /** Fills the buckets for the time since the last call. */
  #advance(table: AllotmentTable, now: Milliseconds): void {
    const elapsedS = Math.max(0, now - this.#advancedAt) / 1_000;
    this.#advancedAt = Math.max(this.#advancedAt, now);
    const before = this.#fraction;
    this.#fraction = this.#sumFractions(now);
    const filled = Math.min(before, this.#fraction) * elapsedS * LIMIT_FACTOR;
    for (const name of this.#pools.keys()) {
      if (!table.has(name)) this.#pools.delete(name);
    }
    for (const [name, allotment] of table) {
      const pool = this.#pools.get(name) ?? { allotment, level: 0 };
      this.#pools.set(name, pool);
      if (pool.allotment !== allotment) {
        // A debt from a higher limit would block the customer for long.
        pool.level = Math.max(pool.level, -WINDOW_S * allotment.ratePerS);
        pool.allotment = allotment;
      }
      pool.level = Math.min(
        computeCapacity(allotment) * this.#fraction,
        pool.level + filled * allotment.ratePerS,
      );
    }
  }

  #grant([name, first, total]: WantedAmount): GrantedAmount {
    const pool = this.#pools.get(name);
    if (!pool) return [name, 0, UNASSIGNED_WAIT_MS];
    const { allotment } = pool;
    const overdraft = computeOverdraft(allotment) * this.#fraction;
    const available = pool.level > 0 ? pool.level + overdraft : 0;
    const amount = total <= pool.level
      ? total
      : first <= available
      ? Math.max(first, pool.level)
      : 0;
    pool.level -= amount;
    if (amount >= total) return [name, amount, 0];
    const next = Math.min(first, total - amount);
    return [name, amount, this.#computeWaitMs(pool, next)];
  }

  /**
   * Returns the time until the bucket grants a request of the given cost, such
   * as the first of those that are waiting.
   */
  #computeWaitMs({ level, allotment }: Pool, cost: number): Milliseconds {
    const capacity = computeCapacity(allotment);
    const overdraft = computeOverdraft(allotment);
    if (cost > capacity + overdraft) return NEVER;
    const fraction = this.#fraction;
    const isUnassigned = fraction === 0 ||
      cost > (capacity + overdraft) * fraction;
    if (isUnassigned) return UNASSIGNED_WAIT_MS;
    const needed = Math.max(0, cost - overdraft * fraction) - level;
    const ratePerMs = allotment.ratePerS * fraction * LIMIT_FACTOR / 1_000;
    const waitMs = Math.max(1, Math.ceil(needed / ratePerMs));
    return Math.min(MAX_NAMED_WAIT_MS, waitMs);
  }
}

function computeCapacity({ ratePerS, burst }: CustomerAllotment): number {
  return LIMIT_FACTOR * Math.max(burst, MIN_CAPACITY_S * ratePerS);
}

function computeOverdraft({ ratePerS, burst }: CustomerAllotment): number {
  return OVERDRAFT + OVERDRAFT_RATIO * (WINDOW_S * ratePerS + burst);
}
