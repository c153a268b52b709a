/**
 * Simulated network. Any two nodes can be disconnected; messages between
 * daemons can be delayed, lost, duplicated and reordered.
 */
import type { EventQueue } from "./event_queue.ts";
import type { RandomSource } from "./random_source.ts";

/**
 * Maximum delay of an order or a request on its way to an upstream. A longer
 * delay would exceed the safety margin of the leases.
 */
const MAX_UPSTREAM_DELAY_MS = 40;
const MAX_PEER_DELAY_MS = 20;
const MAX_LATE_DELAY_MS = 3_000;

export class ModelNetwork {
  readonly #queue: EventQueue;
  readonly #random: RandomSource;
  readonly #cuts = new Set<string>();
  /**
   * Probability, in percent, that a message between daemons is lost, delayed or
   * duplicated.
   */
  noisePercent = 0;

  constructor(queue: EventQueue, random: RandomSource) {
    this.#queue = queue;
    this.#random = random;
  }

  /**
   * Blocks messages from each node of the first list to each node of the
   * second.
   */
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

  /** Returns whether messages from one node to the other are blocked. */
  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /**
   * Returns whether a connection between the nodes is unusable because messages
   * are blocked in at least one direction.
   */
  isConnectionCut(a: string, b: string): boolean {
    return this.isCut(a, b) || this.isCut(b, a);
  }

  drawUpstreamDelayMs(): number {
    return this.#random.drawInteger(1, MAX_UPSTREAM_DELAY_MS);
  }

  /** Sends a message between daemons, subject to the configured faults. */
  sendBetweenDaemons(from: string, to: string, deliver: () => void): void {
    const isNoisy = this.#random.drawBoolean(this.noisePercent);
    const fault = isNoisy ? this.#random.drawInteger(0, 2) : undefined;
    if (fault === 0) return;
    const copies = fault === 1 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isLate = fault === 2 || copy > 0;
      const limit = isLate ? MAX_LATE_DELAY_MS : MAX_PEER_DELAY_MS;
      this.#queue.schedule(this.#random.drawInteger(1, limit), () => {
        if (!this.isCut(from, to)) deliver();
      });
    }
  }
}
