/** What the parts of an upstream's owner share. */
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
  /** Longest run of any route to the pool. */
  maxRunMs: Milliseconds;
  /** Credits given to each customer. */
  creditShares: FairShares;
  /** Loads ordered for each customer. */
  loadShares: FairShares;
  emit: (effect: Effect) => void;
  /** Returns another upstream of the pool that has the adapter or, ranked before this one, is about to load it. */
  findRedirectTarget: (adapterKey: string) => string | undefined;
  /** Returns an identifier that no other daemon or incarnation gives. */
  createId: (prefix: string) => string;
}

/** What of an upstream the tables and the host list may change while it is owned. */
export type UpstreamConfiguration = Pick<
  UpstreamOwnerOptions,
  "host" | "pool" | "maxRunMs"
>;

/** The options of an owner. */
export class OwnerContext {
  #options: UpstreamOwnerOptions;

  constructor(options: UpstreamOwnerOptions) {
    this.#options = options;
  }

  get options(): UpstreamOwnerOptions {
    return this.#options;
  }

  /** Takes what a newer revision of the tables or of the host list says. */
  updateConfiguration(configuration: UpstreamConfiguration): void {
    this.#options = { ...this.#options, ...configuration };
  }

  get upstreamId(): string {
    return this.options.host.id;
  }

  isService(): boolean {
    return this.options.pool.kind === PoolKind.Service;
  }

  /** Returns an identifier that no other daemon or incarnation gives. */
  createId(prefix: string): string {
    return this.options.createId(prefix);
  }
}
