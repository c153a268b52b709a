/** What the parts of an upstream's owner share. */
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import type {
  HostStructure,
  Milliseconds,
  PoolStructure,
} from "../structures.ts";
import { PoolKind } from "../structures.ts";
import type { AdapterPopularity } from "./adapter_popularity.ts";
import type { StoreBudget } from "./store_budget.ts";

export interface UpstreamOwnerOptions {
  selfId: string;
  incarnation: string;
  host: HostStructure;
  pool: PoolStructure;
  settings: CoreSettings;
  popularity: AdapterPopularity;
  storeBudget: StoreBudget;
  /** Longest run of any route to the pool. */
  maxRunMs: Milliseconds;
  emit: (effect: Effect) => void;
}

/** The options of an owner and the identifiers that it gives out. */
export class OwnerContext {
  readonly options: UpstreamOwnerOptions;
  #lastId = 0;

  constructor(options: UpstreamOwnerOptions) {
    this.options = options;
  }

  get upstreamId(): string {
    return this.options.host.id;
  }

  isService(): boolean {
    return this.options.pool.kind === PoolKind.Service;
  }

  /** Returns an identifier that no other daemon or incarnation gives. */
  createId(prefix: string): string {
    this.#lastId += 1;
    const { selfId, incarnation } = this.options;
    return `${prefix}/${selfId}/${incarnation}/${this.upstreamId}/${this.#lastId}`;
  }
}
