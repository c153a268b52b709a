/**
 * A simulated fleet that shares customers' allotments over a faulty network.
 * Records what all hosts together admit, by the time of an outside observer;
 * the hosts' clocks differ from it and from each other.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PublishedCustomer } from "../../../src/core/customers/customer_directory.ts";
import {
  type AllotmentDecision,
  CustomerAllotments,
  type SettledRequest,
} from "../../../src/core/limits/customer_allotments.ts";
import type {
  AllotmentGrant,
  AllotmentRequest,
} from "../../../src/core/limits/allotment_ledger.ts";

const STEP_MS = 5;
const TICK_MS = 50;
const BEACON_MS = 1_000;
/** Silence after which a host is no longer considered alive, as in FleetView. */
const ALIVE_MS = 4_000;
const WINDOW_MS = 8_000;

type Message =
  | { kind: "beacon"; incarnation: string }
  | { kind: "request"; request: AllotmentRequest }
  | { kind: "grant"; grant: AllotmentGrant };

interface Delivery {
  from: number;
  to: number;
  dueAt: number;
  message: Message;
}

interface Host {
  allotments: CustomerAllotments;
  incarnation: string;
  clockOffset: number;
  heardAt: Map<number, number>;
  frozenUntil: number;
  downUntil: number;
  tickAt: number;
  beaconAt: number;
  group: number;
  waiting: Map<number, { customer: string; cost: number; arrivedAt: number }>;
  inbox: Delivery[];
  customers: readonly PublishedCustomer[];
}

export interface NetworkFaults {
  lossRate: number;
  duplicateRate: number;
  minDelayMs: number;
  maxDelayMs: number;
}

export const HEALTHY_NETWORK: NetworkFaults = {
  lossRate: 0,
  duplicateRate: 0,
  minDelayMs: 1,
  maxDelayMs: 30,
};

export class AllotmentFleet {
  readonly hosts: Host[] = [];
  readonly #generator;
  readonly #network: NetworkFaults;
  #deliveries: Delivery[] = [];
  #customers: readonly PublishedCustomer[];
  #incarnations = 0;
  now = 0;
  readonly admitted: { customer: string; cost: number; at: number }[] = [];
  readonly rejected: {
    customer: string;
    cost: number;
    at: number;
    host: number;
    retryAfterMs: number | undefined;
  }[] = [];
  longestWaitMs = 0;
  messages = 0;

  constructor(
    { hosts, customers, seed, network = HEALTHY_NETWORK }: {
      hosts: number;
      customers: readonly PublishedCustomer[];
      seed: number;
      network?: NetworkFaults;
    },
  ) {
    this.#generator = xoroshiro128plus(seed);
    this.#network = network;
    this.#customers = customers;
    for (let index = 0; index < hosts; index += 1) {
      this.hosts.push(this.#createHost(index, new Map()));
    }
  }

  draw(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns a cost with a mean of about 9,200 tokens and at most 50,000. */
  drawCost(): number {
    return Math.min(50_000, Math.ceil(-Math.log(1 - this.draw()) * 9_300));
  }

  #createHost(index: number, heardAt: Map<number, number>): Host {
    this.#incarnations += 1;
    const incarnation = `p${this.#incarnations}`;
    const clockOffset = Math.floor(this.draw() * 1e6);
    const allotments = new CustomerAllotments(
      { selfId: `h${index}`, incarnation },
      this.now + clockOffset,
    );
    allotments.setCustomers(this.#customers);
    return {
      allotments,
      incarnation,
      clockOffset,
      heardAt,
      frozenUntil: 0,
      downUntil: 0,
      tickAt: this.now + this.draw() * TICK_MS,
      beaconAt: this.now,
      group: this.hosts[index]?.group ?? 0,
      waiting: new Map(),
      inbox: [],
      customers: this.#customers,
    };
  }

  /** Kills a host, whose next process starts after the given time. */
  restart(index: number, downMs: number): void {
    const host = this.#createHost(index, new Map());
    host.downUntil = this.now + downMs;
    host.tickAt = host.downUntil;
    host.beaconAt = host.downUntil;
    this.hosts[index] = host;
  }

  setCustomers(customers: readonly PublishedCustomer[]): void {
    this.#customers = customers;
    for (const { allotments } of this.hosts) allotments.setCustomers(customers);
  }

  offer(index: number, customer: string, cost: number): void {
    const host = this.#getHost(index);
    if (host.downUntil > this.now || host.frozenUntil > this.now) return;
    const decision = host.allotments.decideAdmission(
      customer,
      cost,
      this.now + host.clockOffset,
    );
    this.#apply(index, { customer, cost, arrivedAt: this.now }, decision);
    this.#advanceHost(index);
  }

  #apply(
    index: number,
    request: { customer: string; cost: number; arrivedAt: number },
    decision: AllotmentDecision,
  ): void {
    const { customer, cost, arrivedAt } = request;
    switch (decision.kind) {
      case "admitted":
        this.admitted.push({ customer, cost, at: this.now });
        this.longestWaitMs = Math.max(this.longestWaitMs, this.now - arrivedAt);
        break;
      case "rejected": {
        const { retryAfterMs } = decision;
        this.rejected.push({
          customer,
          cost,
          at: this.now,
          host: index,
          retryAfterMs,
        });
        break;
      }
      case "waiting":
        this.#getHost(index).waiting.set(decision.id, request);
        break;
    }
  }

  #settle(index: number, settled: SettledRequest[]): void {
    const { waiting } = this.#getHost(index);
    for (const { id, decision } of settled) {
      const request = waiting.get(id);
      if (!request) throw new Error(`expected request ${id}, actual none`);
      waiting.delete(id);
      this.#apply(index, request, decision);
    }
  }

  #advanceHost(index: number): void {
    const host = this.#getHost(index);
    const { settled, outgoing } = host.allotments.advance(
      this.now + host.clockOffset,
    );
    this.#settle(index, settled);
    for (const { to, request } of outgoing) {
      this.#send(index, Number(to.slice(1)), { kind: "request", request });
    }
  }

  #send(from: number, to: number, message: Message): void {
    if (message.kind !== "beacon") this.messages += 1;
    if (this.hosts[from]?.group !== this.hosts[to]?.group) return;
    const { lossRate, duplicateRate, minDelayMs, maxDelayMs } = this.#network;
    const copies = this.draw() < duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.draw() < lossRate) continue;
      const delayMs = minDelayMs + this.draw() * (maxDelayMs - minDelayMs);
      this.#deliveries.push({ from, to, dueAt: this.now + delayMs, message });
    }
  }

  #receive({ from, to, message }: Delivery): void {
    const host = this.#getHost(to);
    const now = this.now + host.clockOffset;
    host.heardAt.set(from, this.now);
    switch (message.kind) {
      case "beacon":
        break;
      case "request": {
        const grant = host.allotments.handleRequest(
          `h${from}`,
          message.request,
          now,
        );
        this.#send(to, from, { kind: "grant", grant });
        break;
      }
      case "grant":
        this.#settle(
          to,
          host.allotments.recordGrant(`h${from}`, message.grant, now),
        );
        this.#advanceHost(to);
        break;
    }
  }

  #getHost(index: number): Host {
    const host = this.hosts[index];
    if (!host) throw new Error(`expected host ${index}, actual none`);
    return host;
  }

  step(): void {
    this.now += STEP_MS;
    const due = this.#deliveries.filter(({ dueAt }) => dueAt <= this.now);
    this.#deliveries = this.#deliveries.filter(({ dueAt }) => dueAt > this.now);
    due.sort((a, b) => a.dueAt - b.dueAt);
    for (const delivery of due) {
      const host = this.#getHost(delivery.to);
      if (host.downUntil > this.now) continue;
      if (host.frozenUntil > this.now) host.inbox.push(delivery);
      else this.#receive(delivery);
    }
    for (const [index, host] of this.hosts.entries()) {
      if (host.downUntil > this.now || host.frozenUntil > this.now) continue;
      for (const delivery of host.inbox.splice(0)) this.#receive(delivery);
      if (host.beaconAt <= this.now) {
        host.beaconAt = this.now + BEACON_MS;
        const message: Message = {
          kind: "beacon",
          incarnation: host.incarnation,
        };
        for (let to = 0; to < this.hosts.length; to += 1) {
          if (to !== index) this.#send(index, to, message);
        }
      }
      if (host.tickAt > this.now) continue;
      host.tickAt = this.now + TICK_MS;
      const alive = [...host.heardAt]
        .filter(([, at]) => this.now - at < ALIVE_MS)
        .map(([id]) => `h${id}`);
      host.allotments.setPeers({
        candidates: alive,
        members: 1 + host.heardAt.size,
        isSolitary: this.hosts.length === 1,
        seeds: Math.min(2, this.hosts.length - 1),
        isStopping: false,
      });
      this.#advanceHost(index);
    }
  }

  run(untilMs: number, act: (now: number) => void = () => {}): void {
    while (this.now < untilMs) {
      this.step();
      act(this.now);
    }
  }

  /** Returns the most that was admitted in a window of 8 s that ends after `since`. */
  measurePeak(customer: string, since = 0): number {
    const own = this.admitted.filter((each) => each.customer === customer);
    let sum = 0;
    let peak = 0;
    let start = 0;
    for (const { at, cost } of own) {
      sum += cost;
      while ((own[start]?.at ?? 0) <= at - WINDOW_MS) {
        sum -= own[start]?.cost ?? 0;
        start += 1;
      }
      if (at >= since) peak = Math.max(peak, sum);
    }
    return peak;
  }
}

/** Returns the most that the platform allows in 8 s. */
export function computeBound(
  { ratePerS, burst }: { ratePerS: number; burst: number },
): number {
  return (ratePerS * 8 + burst) * 1.25 + 110_000;
}

export function createCustomer(
  name: string,
  ratePerS: number,
  burst: number,
): PublishedCustomer {
  return {
    name,
    keyHashes: [],
    priorityRank: undefined,
    allotment: { unit: "tokens", plainTokens: 200, ratePerS, burst },
  };
}
