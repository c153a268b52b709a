/**
 * Turns of customers whose equally urgent requests wait for one engine. It is
 * start-time fair queueing by tokens: each customer has a finish tag that its
 * grants advance, and the request with the lowest start tag is next. A customer
 * that was idle starts at the engine's virtual time, so that neither idleness
 * nor the use of an idle engine counts for or against it.
 *
 * Load: one customer sends many times the load of the others, at an engine that
 * is short of capacity. In the order of arrival it takes the engine in
 * proportion to what it sends, and beyond that where its prompts are short and
 * the others' are long.
 */
import { computeDecayFactor } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";
import { compareUrgency, type Urgency } from "./urgency.ts";

/**
 * Part of the engine that is divided in proportion to what the customers offer;
 * the rest is divided evenly. No customer's served fraction then falls below
 * this part of the overall one, however much it sends; the requirement is a
 * quarter, the rest covers the error of the measured demand.
 */
const PROPORTIONAL_PART = 0.3;
/** Half-life of the tokens that a customer has offered. */
const DEMAND_HALF_LIFE_MS = 5_000;
/** Time after its last request in which a customer counts as present. */
const PRESENCE_MS = 10_000;
/**
 * Tokens by which a waiting customer may be behind the engine's virtual time.
 * It limits what a customer is given at once after it could not be served for a
 * while, for example because its adapter was not loaded.
 */
const MAX_LAG_TOKENS = 40_000;
/**
 * How far other customers may be ahead of a request that finds no room, as a
 * fraction of its tokens, for theirs to be granted before it. Without a lead,
 * each long prompt would hold the room at every turn.
 */
const MAX_LEAD_FRACTION = 0.25;
/**
 * Time for which room is held for a request that finds none. An engine full of
 * long runs releases hardly any for seconds: beside a burst of short requests it
 * served 0.99 of the tokens with 150 ms and 0.94 with 300 ms.
 */
const HOLD_MS = 150;
/**
 * Most tokens that a request counts for, more than any engine holds. Callers
 * state them, and a larger number would make all tags equal.
 */
const MAX_REQUEST_TOKENS = 1_000_000;
/** Maximum number of customers; their names come from messages of peers. */
const MAX_CUSTOMERS = 64;

/** What a customer's turn depends on. */
export interface CustomerRequest extends Urgency {
  /**
   * Hash of the customer's name; undefined where there are no customers, or if
   * an older gateway sent the request. All of these count as one customer.
   */
  customer?: number | undefined;
  promptTokens: number;
  outputTokens: number;
}

/** A waiting request and its place among those of other customers. */
export interface CustomerTurn {
  request: CustomerRequest;
  /**
   * Virtual time at which the request's service starts; undefined while all
   * requests that wait are one customer's.
   */
  startTag?: number | undefined;
}

interface CustomerState {
  /** Virtual time at which what the customer was granted has been served. */
  finishTag: number;
  /** Offered tokens; a sum that decays with the half-life. */
  offeredTokens: number;
  arrivedAt: Milliseconds;
  /** Until when the engine's room is held for the customer. */
  heldUntil: Milliseconds | undefined;
}

export class CustomerTurns {
  readonly #customers = new Map<number | undefined, CustomerState>();
  /** Highest start tag of any grant. */
  #virtualTime = 0;

  /** Records the demand of a request. */
  recordArrival(request: CustomerRequest, now: Milliseconds): void {
    const state = this.#getState(request.customer, now);
    state.offeredTokens = state.offeredTokens * computeDemandDecay(state, now) +
      sumTokens(request);
    state.arrivedAt = now;
  }

  /** Records a request whose customer has no other that waits. */
  recordFirstWaiting(request: CustomerRequest, now: Milliseconds): void {
    const state = this.#getState(request.customer, now);
    state.finishTag = Math.max(state.finishTag, this.#virtualTime);
  }

  recordGrant(request: CustomerRequest, now: Milliseconds): void {
    const state = this.#getState(request.customer, now);
    const startTag = this.#getStartTag(state);
    const computeWeight = this.#createWeights(now);
    state.finishTag = startTag + sumTokens(request) / computeWeight(state);
    state.heldUntil = undefined;
    this.#virtualTime = Math.max(this.#virtualTime, startTag);
  }

  /**
   * Holds the engine's room for a request that finds none. Returns false once
   * it has been held long enough; its customer then starts anew at the engine's
   * virtual time.
   */
  tryHold(request: CustomerRequest, now: Milliseconds): boolean {
    const state = this.#getState(request.customer, now);
    state.heldUntil ??= now + HOLD_MS;
    if (now < state.heldUntil) return true;
    state.heldUntil = undefined;
    state.finishTag = Math.max(state.finishTag, this.#virtualTime);
    return false;
  }

  /**
   * Returns the start tags of requests, those of one customer in the order in
   * which they are given.
   */
  computeStartTags(
    requests: readonly CustomerRequest[],
    now: Milliseconds,
  ): number[] {
    const computeWeight = this.#createWeights(now);
    const next = new Map<number | undefined, { tag: number; weight: number }>();
    return requests.map((request) => {
      const { customer } = request;
      let own = next.get(customer);
      if (!own) {
        const state = this.#customers.get(customer);
        own = {
          tag: state ? this.#getStartTag(state) : this.#virtualTime,
          weight: computeWeight(state),
        };
        next.set(customer, own);
      }
      const startTag = own.tag;
      own.tag += sumTokens(request) / own.weight;
      return startTag;
    });
  }

  countCustomers(): number {
    return this.#customers.size;
  }

  clear(): void {
    this.#customers.clear();
    this.#virtualTime = 0;
  }

  #getStartTag({ finishTag }: CustomerState): number {
    return Math.max(finishTag, this.#virtualTime - MAX_LAG_TOKENS);
  }

  /** Returns each customer's weight, 1 on average over those present. */
  #createWeights(
    now: Milliseconds,
  ): (state: CustomerState | undefined) => number {
    if (this.#customers.size < 2) return () => 1;
    let sum = 0;
    let count = 0;
    for (const state of this.#customers.values()) {
      if (now - state.arrivedAt > PRESENCE_MS) continue;
      sum += state.offeredTokens * computeDemandDecay(state, now);
      count += 1;
    }
    const mean = sum / Math.max(1, count);
    return (state) =>
      !state || count < 2 || mean === 0 ? 1 : 1 - PROPORTIONAL_PART +
        PROPORTIONAL_PART * state.offeredTokens *
          computeDemandDecay(state, now) / mean;
  }

  #getState(
    customer: number | undefined,
    now: Milliseconds,
  ): CustomerState {
    const known = this.#customers.get(customer) ??
      {
        finishTag: this.#virtualTime,
        offeredTokens: 0,
        arrivedAt: now,
        heldUntil: undefined,
      };
    this.#customers.delete(customer);
    this.#customers.set(customer, known);
    if (this.#customers.size > MAX_CUSTOMERS) {
      const [oldest] = this.#customers.keys();
      this.#customers.delete(oldest);
    }
    return known;
  }
}

/** Returns whether requests of more than one customer are among these. */
export function hasSeveralCustomers(
  waiting: readonly { request: CustomerRequest }[],
): boolean {
  const customer = waiting[0]?.request.customer;
  return waiting.some((each) => each.request.customer !== customer);
}

/**
 * Lets the customers take turns within each class of equally urgent requests,
 * whose places among the others stay. Requests that can still be served in time
 * come before late ones.
 * @param ranked requests in the order in which they are served without turns.
 */
export function rankByTurn<Waiting extends { request: CustomerRequest }>(
  ranked: readonly Waiting[],
  turns: CustomerTurns,
  isOnTime: (waiting: Waiting) => boolean,
  now: Milliseconds,
): { waiting: Waiting; startTag: number }[] {
  const classes: { members: Waiting[]; indexes: number[] }[] = [];
  ranked.forEach((waiting, index) => {
    let own = classes.find(({ members: [first] }) =>
      first && compareUrgency(first.request, waiting.request) === 0
    );
    if (!own) {
      own = { members: [], indexes: [] };
      classes.push(own);
    }
    own.members.push(waiting);
    own.indexes.push(index);
  });
  const result: { waiting: Waiting; startTag: number }[] = [];
  for (const { members, indexes } of classes) {
    const startTags = turns.computeStartTags(
      members.map((each) => each.request),
      now,
    );
    const isShared = hasSeveralCustomers(members);
    const ordered = members.map((waiting, place) => ({
      waiting,
      startTag: startTags[place] ?? 0,
      lateRank: !isShared || isOnTime(waiting) ? 0 : 1,
    })).sort((a, b) => a.lateRank - b.lateRank || a.startTag - b.startTag);
    ordered.forEach((turn, place) => {
      result[indexes[place] ?? 0] = turn;
    });
  }
  return result;
}

/**
 * Returns whether an equally urgent request of another customer is to leave its
 * room to one that found none.
 */
export function isHeldBack(
  blocked: CustomerTurn,
  other: CustomerTurn,
): boolean {
  const { request, startTag } = blocked;
  return startTag !== undefined && other.startTag !== undefined &&
    request.customer !== other.request.customer &&
    compareUrgency(request, other.request) === 0 &&
    other.startTag - startTag > MAX_LEAD_FRACTION * sumTokens(request);
}

function computeDemandDecay(
  { arrivedAt }: CustomerState,
  now: Milliseconds,
): number {
  return computeDecayFactor(Math.max(0, now - arrivedAt), DEMAND_HALF_LIFE_MS);
}

function sumTokens({ promptTokens, outputTokens }: CustomerRequest): number {
  const tokens = promptTokens + outputTokens;
  return Math.min(MAX_REQUEST_TOKENS, Math.max(0, tokens || 0));
}
