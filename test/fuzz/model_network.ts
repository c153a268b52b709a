/** The network of the model: cuts between any two nodes, and messages late, lost, repeated and out of order. */
import type { EventQueue } from "./event_queue.ts";
import type { RandomSource } from "./random_source.ts";

/** Longest way of an order or a request to an upstream; more would exceed the leases' margin. */
const MAX_UPSTREAM_TRAVEL_MS = 40;
const MAX_PEER_TRAVEL_MS = 20;
const MAX_LATE_MS = 3_000;

export class ModelNetwork {
  readonly #queue: EventQueue;
  readonly #random: RandomSource;
  readonly #cuts = new Set<string>();
  /** Chance in a hundred that a message between daemons is lost, late or repeated. */
  noisePercent = 0;

  constructor(queue: EventQueue, random: RandomSource) {
    this.#queue = queue;
    this.#random = random;
  }

  /** Cuts the ways from each of the first nodes to each of the second. */
  addCut(from: readonly string[], to: readonly string[]): void {
    for (const source of from) {
      for (const target of to) {
        if (source !== target) this.#cuts.add(`${source}>${target}`);
      }
    }
  }

  clearCuts(): void {
    this.#cuts.clear();
  }

  hasCuts(): boolean {
    return this.#cuts.size > 0;
  }

  /** Returns whether nothing sent from one node reaches the other. */
  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /** Returns whether a connection between the nodes can't be used. */
  isConnectionCut(a: string, b: string): boolean {
    return this.isCut(a, b) || this.isCut(b, a);
  }

  getUpstreamTravelMs(): number {
    return this.#random.getInteger(1, MAX_UPSTREAM_TRAVEL_MS);
  }

  /** Carries a message between daemons, with the faults that are set. */
  sendBetweenDaemons(from: string, to: string, deliver: () => void): void {
    const isNoisy = this.#random.hasChance(this.noisePercent);
    const fault = isNoisy ? this.#random.getInteger(0, 2) : undefined;
    if (fault === 0) return;
    const copies = fault === 1 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isLate = fault === 2 || copy > 0;
      const limit = isLate ? MAX_LATE_MS : MAX_PEER_TRAVEL_MS;
      this.#queue.schedule(this.#random.getInteger(1, limit), () => {
        if (!this.isCut(from, to)) deliver();
      });
    }
  }
}
