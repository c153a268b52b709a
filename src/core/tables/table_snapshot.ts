/** An immutable, indexed view of the tables at one revision. */
import type {
  CustomerStructure,
  PoolStructure,
  RouteStructure,
  TablesStructure,
} from "../structures.ts";

export class TableSnapshot {
  readonly revision: number;
  readonly #structure: TablesStructure;
  readonly #routesByName = new Map<string, RouteStructure>();
  readonly #poolsByName = new Map<string, PoolStructure>();
  readonly #customersByName = new Map<string, CustomerStructure>();
  readonly #customersByDigest = new Map<string, CustomerStructure>();

  constructor(structure: TablesStructure) {
    this.revision = structure.revision;
    this.#structure = structure;
    for (const route of structure.routes) {
      this.#routesByName.set(route.name, route);
    }
    for (const pool of structure.pools) this.#poolsByName.set(pool.name, pool);
    for (const customer of structure.customers) {
      this.#customersByName.set(customer.name, customer);
      for (const digest of customer.tokenDigests) {
        this.#customersByDigest.set(digest, customer);
      }
    }
  }

  /** Returns the route if it exists and belongs to the customer. */
  getRoute(name: string, customer: string): RouteStructure | undefined {
    const route = this.#routesByName.get(name);
    return route?.customer === customer ? route : undefined;
  }

  getPool(name: string): PoolStructure | undefined {
    return this.#poolsByName.get(name);
  }

  getPoolOrThrow(name: string): PoolStructure {
    const pool = this.getPool(name);
    if (pool) return pool;
    throw new Error(`Expected a pool named ${name}, found none`);
  }

  getCustomer(name: string): CustomerStructure | undefined {
    return this.#customersByName.get(name);
  }

  /** Returns the customer that holds the token with this SHA-256 digest. */
  getCustomerByTokenDigest(digest: string): CustomerStructure | undefined {
    return this.#customersByDigest.get(digest);
  }

  getPools(): readonly PoolStructure[] {
    return this.#structure.pools;
  }

  getRoutes(): readonly RouteStructure[] {
    return this.#structure.routes;
  }

  getStructure(): TablesStructure {
    return this.#structure;
  }
}
