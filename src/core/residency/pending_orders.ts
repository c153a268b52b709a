/** Orders given to one upstream whose end has not been reported. */
import type { UpstreamOrder } from "../effects.ts";
import type { Milliseconds } from "../structures.ts";
import type { OwnerContext } from "./owner_context.ts";

/**
 * Time within which an order is sent or dropped: far less than the silence
 * after which another daemon takes the upstream over, so that a daemon that
 * wakes late gives no order of its old ownership.
 */
const ORDER_VALIDITY_MS = 200;

export class PendingOrders {
  readonly #context: OwnerContext;
  readonly #orders = new Map<string, UpstreamOrder>();

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Gives an order to the upstream under a fencing number. */
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

  /** Removes and returns an order that has ended; undefined when it was not given here. */
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
