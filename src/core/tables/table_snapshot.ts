/** Immutable, indexed snapshot of the tables at one revision. */
import type { TablesDelta } from "../messages.ts";
import type {
  CustomerStructure,
  HostStructure,
  Milliseconds,
  PoolStructure,
  RouteStructure,
  TablesStructure,
} from "../structures.ts";
import { formatDigest, mergeDigests } from "./row_digest.ts";
import { CUSTOMER_FORMAT, POOL_FORMAT, ROUTE_FORMAT } from "./row_formats.ts";
import { RowSet } from "./row_set.ts";

/** Rows of each table. */
interface TableRows {
  customers: RowSet<CustomerStructure>;
  routes: RowSet<RouteStructure>;
  pools: RowSet<PoolStructure>;
}

export class TableSnapshot {
  readonly revision: number;
  /** Digest of all rows, equal in every daemon that has the same rows. */
  readonly digest: string;
  readonly #rows: TableRows;
  readonly #customersByDigest: ReadonlyMap<string, CustomerStructure>;
  readonly #poolsByUpstream = new Map<string, PoolStructure>();
  #maxRuns: Map<string, Milliseconds> | undefined;

  private constructor(
    revision: number,
    rows: TableRows,
    previous?: TableSnapshot,
  ) {
    this.revision = revision;
    this.#rows = rows;
    this.digest = formatDigest(
      mergeDigests([
        rows.customers.digest,
        rows.routes.digest,
        rows.pools.digest,
      ]),
    );
    this.#customersByDigest = previous !== undefined &&
        previous.#rows.customers === rows.customers
      ? previous.#customersByDigest
      : buildCustomerIndex(rows.customers);
    for (const pool of rows.pools.getRows()) this.#addToPoolIndex(pool);
  }

  /** Builds a snapshot of tables that have been validated. */
  static createFrom(structure: TablesStructure): TableSnapshot {
    return new TableSnapshot(structure.revision, {
      customers: RowSet.createFrom(CUSTOMER_FORMAT, structure.customers),
      routes: RowSet.createFrom(ROUTE_FORMAT, structure.routes),
      pools: RowSet.createFrom(POOL_FORMAT, structure.pools),
    });
  }

  /** Returns a new snapshot with the delta applied. */
  apply(delta: TablesDelta): TableSnapshot {
    const { customers, routes, pools } = this.#rows;
    return new TableSnapshot(delta.toRevision, {
      customers: customers.apply({
        changed: delta.customers,
        removed: delta.removedCustomers,
      }),
      routes: routes.apply({
        changed: delta.routes,
        removed: delta.removedRoutes,
      }),
      pools: pools.apply({ changed: delta.pools, removed: delta.removedPools }),
    }, this);
  }

  /** Returns the delta from this snapshot to a later one. */
  findDelta(later: TableSnapshot): TablesDelta {
    const customers = this.#rows.customers.findChanges(later.#rows.customers);
    const routes = this.#rows.routes.findChanges(later.#rows.routes);
    const pools = this.#rows.pools.findChanges(later.#rows.pools);
    return {
      fromRevision: this.revision,
      toRevision: later.revision,
      digest: later.digest,
      customers: customers.changed,
      routes: routes.changed,
      pools: pools.changed,
      removedCustomers: customers.removed,
      removedRoutes: routes.removed,
      removedPools: pools.removed,
    };
  }

  /** Returns the route if it exists and belongs to the customer. */
  getRoute(name: string, customer: string): RouteStructure | undefined {
    const route = this.getRouteByName(name);
    return route?.customer === customer ? route : undefined;
  }

  /** Returns the route regardless of its customer, for operators and checks. */
  getRouteByName(name: string): RouteStructure | undefined {
    return this.#rows.routes.getRow(name);
  }

  getPool(name: string): PoolStructure | undefined {
    return this.#rows.pools.getRow(name);
  }

  /**
   * Returns the first pool that the upstream belongs to, by service and failure
   * domain.
   */
  getPoolOfUpstream(host: HostStructure): PoolStructure | undefined {
    return this.#poolsByUpstream.get(
      createUpstreamKey(host.service, host.failureDomain),
    );
  }

  /** Returns the longest `maxRunMs` of the routes to the pool. */
  getMaxRunMs(poolName: string): Milliseconds {
    this.#maxRuns ??= this.#computeMaxRuns();
    return this.#maxRuns.get(poolName) ?? 0;
  }

  getCustomer(name: string): CustomerStructure | undefined {
    return this.#rows.customers.getRow(name);
  }

  /** Returns the customer whose token has this SHA-256 digest. */
  getCustomerByTokenDigest(digest: string): CustomerStructure | undefined {
    return this.#customersByDigest.get(digest);
  }

  getCustomers(): readonly CustomerStructure[] {
    return this.#rows.customers.getRows();
  }

  getPools(): readonly PoolStructure[] {
    return this.#rows.pools.getRows();
  }

  getRoutes(): readonly RouteStructure[] {
    return this.#rows.routes.getRows();
  }

  #addToPoolIndex(pool: PoolStructure): void {
    for (const failureDomain of pool.failureDomains) {
      const key = createUpstreamKey(pool.service, failureDomain);
      if (!this.#poolsByUpstream.has(key)) this.#poolsByUpstream.set(key, pool);
    }
  }

  #computeMaxRuns(): Map<string, Milliseconds> {
    const longest = new Map<string, Milliseconds>();
    for (const route of this.getRoutes()) {
      const currentMs = longest.get(route.pool) ?? 0;
      if (route.maxRunMs > currentMs) longest.set(route.pool, route.maxRunMs);
    }
    return longest;
  }
}

function buildCustomerIndex(
  customers: RowSet<CustomerStructure>,
): Map<string, CustomerStructure> {
  const byDigest = new Map<string, CustomerStructure>();
  for (const customer of customers.getRows()) {
    for (const digest of customer.tokenDigests) byDigest.set(digest, customer);
  }
  return byDigest;
}

function createUpstreamKey(service: string, failureDomain: string): string {
  return `${failureDomain}\u0000${service}`;
}
