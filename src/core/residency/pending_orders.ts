/** Orders given to one upstream whose results are outstanding. */
import type { UpstreamOrder } from "../effects.ts";
import type { Milliseconds } from "../structures.ts";
import type { OwnerContext } from "./owner_context.ts";

/**
 * Time within which an order is sent or dropped. It is far shorter than the
 * silence after which another daemon takes over the upstream, so that a daemon
 * that was suspended sends no order from an ownership it has lost.
 */
const ORDER_VALIDITY_MS = 200;

export class PendingOrders {
  readonly #context: OwnerContext;
  readonly #orders = new Map<string, UpstreamOrder>();

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Sends an order to the upstream with the owner's fencing number. */
  giveOrder(
    order: UpstreamOrder,
    fencing: number,
    now: Milliseconds,
  ): void {
    const orderId = this.#context.createId("order");
    this.#orders.set(orderId, order);
    const { host, emit } = this.#context.options;
    emit({
      kind: "order",
      orderId,
      upstreamId: host.id,
      address: host.address,
      fencing,
      order,
      sendUntil: now + ORDER_VALIDITY_MS,
    });
  }

  /**
   * Removes and returns an order that has ended; undefined if this owner did
   * not give it.
   */
  removeOrder(orderId: string): UpstreamOrder | undefined {
    const order = this.#orders.get(orderId);
    this.#orders.delete(orderId);
    return order;
  }

  /** Removes and returns every order. */
  removeAll(): UpstreamOrder[] {
    const orders = [...this.#orders.values()];
    this.#orders.clear();
    return orders;
  }
}
