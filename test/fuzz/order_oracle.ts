/** Judges the orders that one engine accepted as the users' rules do: no turns within a term, numbers that rise. */

/** An order as the engine accepted it. */
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
      const hasTurned = this.#orders.some((earlier) =>
        earlier.daemon === order.daemon && order.at - earlier.at < this.#termMs
      );
      if (hasTurned) this.violations.push(`turns at ${order.at}`);
      if (order.fence <= this.#highestFence.fence) {
        this.violations.push(`fence ${order.fence} not above at ${order.at}`);
      }
    }
    if (order.fence > this.#highestFence.fence) this.#highestFence = order;
    this.#orders.push(order);
  }
}
