/**
 * Checks the orders that one engine accepted against the users' rules: owners
 * do not alternate within a term, and fencing numbers increase from owner to
 * owner and never fall, also across restarts of owners and of the engine.
 */

/** An order that the engine accepted. */
export interface AcceptedOrder {
  daemon: number | string;
  fence: number;
  at: number;
}

export class OrderOracle {
  readonly violations: string[] = [];
  #orders: AcceptedOrder[] = [];
  #highestFence: { daemon: number | string; fence: number } = {
    daemon: "",
    fence: 0,
  };
  readonly #termMs: number;

  constructor(termMs: number) {
    this.#termMs = termMs;
  }

  check(order: AcceptedOrder): void {
    const last = this.#orders.at(-1);
    if (last && last.daemon !== order.daemon) {
      const hasAlternated = this.#orders.some((earlier) =>
        earlier.daemon === order.daemon && order.at - earlier.at < this.#termMs
      );
      if (hasAlternated) this.violations.push(`alternation at ${order.at}`);
    }
    // An owner may use a number again, another one has to use a higher one.
    const highest = this.#highestFence;
    const isRepeated = order.fence === highest.fence &&
      order.daemon !== highest.daemon;
    if (order.fence < highest.fence || isRepeated) {
      this.violations.push(
        `fencing number ${order.fence} does not increase at ${order.at}`,
      );
    }
    if (order.fence > this.#highestFence.fence) this.#highestFence = order;
    this.#orders.push(order);
  }
}
