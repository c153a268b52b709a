/**
 * Limits the connections of one port whose clients are long-lived peers. A new
 * connection beyond the limit replaces the one that has waited longest without
 * its client having shown that it speaks the port's protocol; if all have shown
 * that, the new one is refused. Guards against clients that only connect, or
 * that send something else, in numbers that would use up the descriptors.
 */

/** What becomes of a new connection. */
export type ConnectionDecision<C> =
  | { kind: "accepted" }
  /** It is accepted, and the other one is to be closed. */
  | { kind: "replacing"; replaced: C }
  | { kind: "refused" };

export class ConnectionAdmission<C> {
  readonly #maxConnections: number;
  readonly #confirmed = new Set<C>();
  /** Connections whose clients have shown nothing yet, in the order of arrival. */
  readonly #unconfirmed = new Set<C>();

  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  get size(): number {
    return this.#confirmed.size + this.#unconfirmed.size;
  }

  /** Lists the connections that are admitted and not removed yet. */
  list(): C[] {
    return [...this.#confirmed, ...this.#unconfirmed];
  }

  /** Decides about a new connection; one that is accepted counts from now on. */
  admit(connection: C): ConnectionDecision<C> {
    if (this.size < this.#maxConnections) {
      this.#unconfirmed.add(connection);
      return { kind: "accepted" };
    }
    const [replaced] = this.#unconfirmed;
    if (replaced === undefined) return { kind: "refused" };
    this.#unconfirmed.delete(replaced);
    this.#unconfirmed.add(connection);
    return { kind: "replacing", replaced };
  }

  /** Records that the client speaks the protocol; does nothing for one that was removed. */
  confirm(connection: C): void {
    if (this.#unconfirmed.delete(connection)) this.#confirmed.add(connection);
  }

  /** Removes a connection that has closed. */
  remove(connection: C): void {
    this.#unconfirmed.delete(connection);
    this.#confirmed.delete(connection);
  }
}
