/** Options shared by the components of an upstream's owner. */
import type { CorePolicy } from "../core_policy.ts";
import type { FairShares } from "../limits/fair_shares.ts";
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import type {
  HostStructure,
  Milliseconds,
  PoolStructure,
} from "../structures.ts";
import { PoolKind } from "../structures.ts";
import type { AdapterPopularity } from "./adapter_popularity.ts";
import type { StorePermitClient } from "./store_permit_client.ts";

export interface UpstreamOwnerOptions {
  selfId: string;
  host: HostStructure;
  pool: PoolStructure;
  settings: CoreSettings;
  policy: CorePolicy;
  popularity: AdapterPopularity;
  store: StorePermitClient;
  /** Maximum run time over all routes to the pool. */
  maxRunMs: Milliseconds;
  /** Fair shares of the credits granted to customers. */
  creditShares: FairShares;
  /** Fair shares of the loads ordered for customers. */
  loadShares: FairShares;
  emit: (effect: Effect) => void;
  /**
   * Returns another upstream of the service that has the adapter, or that is
   * about to load it and whose identifier sorts before this one's.
   */
  findRedirectTarget: (adapterKey: string) => string | undefined;
  /**
   * Returns an identifier that is unique across daemons and their incarnations.
   */
  createId: (prefix: string) => string;
}

/**
 * Options that the tables or the host list may change while the upstream is
 * owned.
 */
export type UpstreamConfiguration = Pick<
  UpstreamOwnerOptions,
  "host" | "pool" | "maxRunMs"
>;

/** Gives the components of an owner its current options. */
export class OwnerContext {
  #options: UpstreamOwnerOptions;

  constructor(options: UpstreamOwnerOptions) {
    this.#options = options;
  }

  get options(): UpstreamOwnerOptions {
    return this.#options;
  }

  /** Applies a newer revision of the tables or of the host list. */
  updateConfiguration(configuration: UpstreamConfiguration): void {
    this.#options = { ...this.#options, ...configuration };
  }

  get upstreamId(): string {
    return this.options.host.id;
  }

  isService(): boolean {
    return this.options.pool.kind === PoolKind.Service;
  }

  /**
   * Returns an identifier that is unique across daemons and their incarnations.
   */
  createId(prefix: string): string {
    return this.options.createId(prefix);
  }
}
