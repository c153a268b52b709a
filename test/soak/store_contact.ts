/**
 * Tracks which of the store's writes each gateway of a soak run must know: it
 * could learn them for long enough from the store or from a peer that reads it.
 */
import { ProxyFault } from "./fault_proxy.ts";
import type { SoakFleet, SoakGateway } from "./soak_fleet.ts";

/** Bound on the time from a write to its effect at a gateway that can learn it. */
const LEARN_MS = 3_000;
/** Time until a started process reads the store and answers its peers. */
const STARTUP_MS = 5_000;

interface Contact {
  /** When the process was last paused. */
  pausedAt: number;
  /** When the store was last out of its own reach. */
  cutAt: number;
  /** Process to which `knownUntil` applies. */
  incarnation: number;
  /** Time of the latest writes that the process must know. */
  knownUntil: number;
}

export class StoreContact {
  readonly #fleet: SoakFleet;
  readonly #contacts = new Map<SoakGateway, Contact>();

  constructor(fleet: SoakFleet) {
    this.#fleet = fleet;
  }

  /** Records which gateways are cut off now; called at short intervals. */
  observe(now: number): void {
    const { store, gateways } = this.#fleet;
    // History that is gone keeps no gateway from reading the store whole.
    const isStoreDown = store.fault === "busy" || store.fault === "silent";
    for (const gateway of gateways) {
      const { incarnation } = gateway;
      const contact = this.#contacts.get(gateway) ??
        { pausedAt: 0, cutAt: 0, incarnation, knownUntil: 0 };
      this.#contacts.set(gateway, contact);
      const isCut = gateway.storeProxy.fault !== ProxyFault.None;
      if (gateway.isPaused) contact.pausedAt = now;
      if (isStoreDown || isCut) contact.cutAt = now;
      if (contact.incarnation !== incarnation) contact.knownUntil = 0;
      contact.incarnation = incarnation;
    }
    for (const [gateway, contact] of this.#contacts) {
      if (now - this.#getSince(gateway, contact) > LEARN_MS) {
        contact.knownUntil = now - LEARN_MS;
      }
    }
  }

  /** Returns whether the gateway's process must know a write of that time. */
  hasLearned(gateway: SoakGateway, writtenAt: number): boolean {
    const contact = this.#contacts.get(gateway);
    return contact?.incarnation === gateway.incarnation &&
      contact.knownUntil >= writtenAt;
  }

  /** Returns since when the gateway has been able to learn of each write. */
  #getSince(gateway: SoakGateway, own: Contact): number {
    const sources = [...this.#contacts].map(([source, contact]) => {
      const startedAt = source === gateway ? 0 : source.startedAt + STARTUP_MS;
      return Math.max(contact.pausedAt, contact.cutAt, startedAt);
    });
    return Math.max(own.pausedAt, Math.min(...sources));
  }
}
