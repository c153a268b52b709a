/** Orders given to one upstream whose end has not been reported. */
import type { UpstreamOrder } from "../effects.ts";
import type { OwnerContext } from "./owner_context.ts";

export class OrderBook {
  readonly #context: OwnerContext;
  readonly #orders = new Map<string, UpstreamOrder>();

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Gives an order to the upstream under a fencing number. */
  giveOrder(order: UpstreamOrder, fencing: number): void {
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
    });
  }

  /** Removes and returns an order that has ended; undefined when it was not given here. */
  takeOrder(orderId: string): UpstreamOrder | undefined {
    const order = this.#orders.get(orderId);
    this.#orders.delete(orderId);
    return order;
  }

  /** Removes and returns every order. */
  takeAll(): UpstreamOrder[] {
    const orders = [...this.#orders.values()];
    this.#orders.clear();
    return orders;
  }
}
