/**
 * Creates hosts and tables of given sizes, for benchmarks and tests of messages
 * between daemons.
 */
import type {
  HostStructure,
  PoolStructure,
  RouteStructure,
  TablesStructure,
} from "../../src/core/structures.ts";

export interface FleetSizes {
  domains: number;
  daemonsPerDomain: number;
  upstreamsPerDomain: number;
  /** Number of pools; each spans all failure domains. */
  pools: number;
  routes: number;
}

/** Returns the name of a failure domain. */
export function formatDomain(index: number): string {
  return `domain-${index}`;
}

export function createHosts(sizes: FleetSizes): HostStructure[] {
  const hosts: HostStructure[] = [];
  for (let domain = 0; domain < sizes.domains; domain += 1) {
    const failureDomain = formatDomain(domain);
    for (let index = 0; index < sizes.daemonsPerDomain; index += 1) {
      hosts.push({
        id: `entry-${domain}-${index}`,
        address: `10.${domain}.0.${index}:7000`,
        failureDomain,
        role: "entry",
        service: "",
        state: "live",
      });
    }
    for (let index = 0; index < sizes.upstreamsPerDomain; index += 1) {
      hosts.push({
        id: `upstream-${domain}-${index}`,
        address: `10.${domain}.${1 + (index >> 8)}.${index & 255}:8000`,
        failureDomain,
        role: "upstream",
        service: `service-${index % sizes.pools}`,
        state: "live",
      });
    }
  }
  return hosts;
}

export function createTables(
  sizes: FleetSizes,
  revision: number,
): TablesStructure {
  const failureDomains = Array.from(
    { length: sizes.domains },
    (_, index) => formatDomain(index),
  );
  const pools: PoolStructure[] = Array.from(
    { length: sizes.pools },
    (_, index) => ({
      name: `pool-${index}`,
      kind: "engine",
      service: `service-${index}`,
      baseModel: `base-${index}`,
      failureDomains,
      slots: 16,
      batchSize: 128,
      fencing: "checked",
      loadStallWeight: 1,
      batchEfficiencyWeight: 1,
    }),
  );
  return {
    revision,
    customers: [{
      name: "derwent",
      tokenDigests: ["0".repeat(64)],
      share: 1,
    }],
    pools,
    routes: Array.from(
      { length: sizes.routes },
      (_, index) => createRoute(index, sizes.pools, "v1"),
    ),
  };
}

export function createRoute(
  index: number,
  pools: number,
  version: string,
): RouteStructure {
  return {
    name: `route-${index}`,
    customer: "derwent",
    pool: `pool-${index % pools}`,
    adapter: `adapter-${index}`,
    version,
    idempotent: true,
    priority: "standard",
    queueDeadlineMs: 10_000,
    maxRunMs: 60_000,
  };
}

/** Returns the next revision of the tables, with a new version of one route. */
export function editTables(
  tables: TablesStructure,
  routeIndex: number,
): TablesStructure {
  const revision = tables.revision + 1;
  const routes = [...tables.routes];
  const route = routes[routeIndex];
  if (route) routes[routeIndex] = { ...route, version: `v${revision}` };
  return { ...tables, revision, routes };
}
