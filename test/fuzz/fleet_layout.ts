/**
 * Configuration of the fleet that the fuzzer simulates: hosts, pools and
 * routes, and the edits that operators make to the tables.
 */
import {
  type CoreSettings,
  DEFAULT_CORE_SETTINGS,
} from "../../src/core/core_settings.ts";
import {
  Fencing,
  HostRole,
  HostState,
  type HostStructure,
  PoolKind,
  type PoolStructure,
  Priority,
  type RouteStructure,
  type TablesStructure,
} from "../../src/core/structures.ts";

export const SETTINGS: CoreSettings = {
  ...DEFAULT_CORE_SETTINGS,
  storeLoadsPerSecond: 20,
  storeLoadsInFlight: 10,
};

export const TICK_INTERVAL_MS = 40;
export const DAEMON_IDS = ["d-a1", "d-a2", "d-a3", "d-b1", "d-b2"] as const;
export const ENGINE_IDS = ["e-a1", "e-a2", "e-b1"] as const;
export const SERVICE_IDS = ["s-a1", "s-b1"] as const;
export const UPSTREAM_IDS = [...ENGINE_IDS, ...SERVICE_IDS];
export const PLATFORM_ID = "platform";
export const NODE_IDS = [...DAEMON_IDS, ...UPSTREAM_IDS, PLATFORM_ID];
export const ENGINE_BATCH_SIZE = 4;

const ENGINE_POOL = "writers";
const SERVICE_POOL = "kassa";
const ADAPTER_COUNT = 5;

interface RouteTemplate {
  name: string;
  customer: string;
  pool: string;
  idempotent: boolean;
}

const ROUTE_TEMPLATES: readonly RouteTemplate[] = [
  { name: "plan", customer: "derwent", pool: ENGINE_POOL, idempotent: true },
  { name: "brief", customer: "derwent", pool: ENGINE_POOL, idempotent: true },
  { name: "letter", customer: "solljus", pool: ENGINE_POOL, idempotent: true },
  { name: "notes", customer: "solljus", pool: ENGINE_POOL, idempotent: true },
  { name: "order", customer: "derwent", pool: ENGINE_POOL, idempotent: false },
  {
    name: "unlock",
    customer: "solljus",
    pool: SERVICE_POOL,
    idempotent: false,
  },
  {
    name: "balance",
    customer: "solljus",
    pool: SERVICE_POOL,
    idempotent: true,
  },
];

export const ROUTE_COUNT = ROUTE_TEMPLATES.length;

/** Returns the failure domain, which the host's name contains. */
export function getFailureDomain(hostId: string): string {
  return hostId.includes("-a") ? "fd-a" : "fd-b";
}

export function createHosts(leaving: ReadonlySet<string>): HostStructure[] {
  const ids = [...DAEMON_IDS, ...UPSTREAM_IDS];
  return ids.map((id) => ({
    id,
    address: id,
    failureDomain: getFailureDomain(id),
    role: id.startsWith("d-") ? HostRole.Entry : HostRole.Upstream,
    service: getService(id),
    state: leaving.has(id) ? HostState.Leaving : HostState.Live,
  }));
}

/** Properties of the engines that are drawn for each run. */
export interface EngineTraits {
  slots: number;
  checksFencing: boolean;
}

export function createTables(traits: EngineTraits): TablesStructure {
  return {
    revision: 1,
    customers: ["derwent", "solljus"].map((name, index) => ({
      name,
      tokenDigests: [String(index).repeat(64)],
      share: 1,
    })),
    routes: ROUTE_TEMPLATES.map(createRoute),
    pools: [
      createPool(ENGINE_POOL, PoolKind.Engine, traits),
      createPool(SERVICE_POOL, PoolKind.Service, {
        slots: 0,
        checksFencing: false,
      }),
    ],
  };
}

/**
 * Returns the next revision of the tables, in which one route has a different
 * adapter, version, priority or maximum run time, or an unknown pool if the
 * edit is invalid.
 */
export function editTables(
  tables: TablesStructure,
  edit: { routeIndex: number; choice: number; isInvalid: boolean },
): TablesStructure {
  const revision = tables.revision + 1;
  const routes = tables.routes.map((route, index) => {
    if (index !== edit.routeIndex) return route;
    if (edit.isInvalid) return { ...route, pool: "missing" };
    if (edit.choice % 4 === 3) {
      return { ...route, maxRunMs: 1_000 + 500 * (edit.choice % 7) };
    }
    if (route.adapter === "") return { ...route, priority: Priority.Bulk };
    return edit.choice % 2 === 0
      ? { ...route, version: `v${revision}` }
      : { ...route, adapter: `adapter-${edit.choice % ADAPTER_COUNT}` };
  });
  return { ...tables, revision, routes };
}

function createRoute(template: RouteTemplate, index: number): RouteStructure {
  const isEngine = template.pool === ENGINE_POOL;
  return {
    ...template,
    adapter: isEngine ? `adapter-${index % ADAPTER_COUNT}` : "",
    version: isEngine ? "v1" : "",
    priority: Priority.Standard,
    queueDeadlineMs: 4_000,
    maxRunMs: 2_500,
  };
}

function createPool(
  name: string,
  kind: PoolKind,
  traits: EngineTraits,
): PoolStructure {
  const isEngine = kind === PoolKind.Engine;
  return {
    name,
    kind,
    service: isEngine ? "writer" : "kassa",
    baseModel: isEngine ? "base" : "",
    failureDomains: ["fd-a", "fd-b"],
    slots: traits.slots,
    batchSize: ENGINE_BATCH_SIZE,
    fencing: traits.checksFencing ? Fencing.Checked : Fencing.Ignored,
    loadStallWeight: 1,
    batchEfficiencyWeight: 1,
  };
}

function getService(id: string): string {
  if (id.startsWith("e-")) return "writer";
  return id.startsWith("s-") ? "kassa" : "";
}
