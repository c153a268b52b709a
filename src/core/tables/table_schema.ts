/**
 * Schema of the tables, and validation of a complete revision or of a delta.
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import type { TablesDelta } from "../messages.ts";
import {
  type CustomerStructure,
  Fencing,
  PoolKind,
  type PoolStructure,
  Priority,
  type RouteStructure,
  type TablesStructure,
} from "../structures.ts";
import { describeExpected } from "./schema_issue.ts";
import type { TableSnapshot } from "./table_snapshot.ts";

/** Maximum size of a value in the configuration service. */
export const MAX_TABLE_BYTES = 1_048_576;

const NAME = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/);

const ROUTE = z.strictObject({
  name: NAME,
  customer: NAME,
  pool: NAME,
  adapter: NAME.or(z.literal("")).default(""),
  version: NAME.or(z.literal("")).default(""),
  idempotent: z.boolean().default(true),
  priority: z.enum(Priority).default(Priority.Standard),
  queueDeadlineMs: z.number().int().positive().max(600_000).default(10_000),
  maxRunMs: z.number().int().positive().max(600_000).default(60_000),
});

const CUSTOMER = z.strictObject({
  name: NAME,
  tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  share: z.number().positive().max(1_000).default(1),
});

const POOL = z.strictObject({
  name: NAME,
  kind: z.enum(PoolKind).default(PoolKind.Engine),
  service: NAME,
  baseModel: z.string().default(""),
  failureDomains: z.array(NAME).min(1),
  slots: z.number().int().min(0).max(4_096).default(0),
  batchSize: z.number().int().positive().max(4_096).default(8),
  fencing: z.enum(Fencing).default(Fencing.Ignored),
  loadStallWeight: z.number().min(0).max(10).default(1),
  batchEfficiencyWeight: z.number().min(0).max(10).default(1),
});

const TABLES = z.strictObject({
  revision: z.number().int().positive(),
  customers: z.array(CUSTOMER),
  routes: z.array(ROUTE),
  pools: z.array(POOL),
});

const REVISION = z.number().int().nonnegative();
const NAMES = z.array(z.string());

const DELTA = z.object({
  fromRevision: REVISION,
  toRevision: REVISION,
  digest: z.string(),
  customers: z.array(CUSTOMER),
  routes: z.array(ROUTE),
  pools: z.array(POOL),
  removedCustomers: NAMES,
  removedRoutes: NAMES,
  removedPools: NAMES,
});

/**
 * A validation fault of the tables: its path, the expected value and the value
 * found.
 */
export interface TableFault {
  path: (string | number)[];
  expected: string;
  found: string;
}

/**
 * Validates a complete revision: its schema, the uniqueness of names and the
 * references between rows.
 */
export function checkTables(
  value: unknown,
): Result<TablesStructure, TableFault[]> {
  const parsed = TABLES.safeParse(value);
  if (!parsed.success) return Err(listIssues(value, parsed.error));
  const faults = findIntegrityFaults(parsed.data);
  return faults.length > 0 ? Err(faults) : Ok(parsed.data);
}

/**
 * Applies a delta, and validates the changed rows and the unchanged rows that
 * may refer to a row that the delta changes or removes. All other rows were
 * validated with an earlier revision.
 */
export function applyCheckedDelta(
  snapshot: TableSnapshot,
  delta: TablesDelta,
): Result<TableSnapshot, TableFault[]> {
  const parsed = DELTA.safeParse(delta);
  if (!parsed.success) return Err(listIssues(delta, parsed.error));
  const next = snapshot.apply(parsed.data);
  const faults = [
    ...findDuplicates("customers", parsed.data.customers),
    ...findDuplicates("routes", parsed.data.routes),
    ...findDuplicates("pools", parsed.data.pools),
    ...findSharedTokens(
      parsed.data.customers.length > 0 ? next.getCustomers() : [],
    ),
    ...findPoolFaults(parsed.data.pools),
    ...findRouteFaults(selectAffectedRoutes(next, parsed.data), next),
  ];
  return faults.length > 0 ? Err(faults) : Ok(next);
}

/** Returns the routes whose references the delta may have broken. */
function selectAffectedRoutes(
  next: TableSnapshot,
  delta: TablesDelta,
): readonly RouteStructure[] {
  const haveReferencesChanged = delta.pools.length > 0 ||
    delta.removedPools.length > 0 || delta.removedCustomers.length > 0;
  return haveReferencesChanged ? next.getRoutes() : delta.routes;
}

function listIssues(value: unknown, error: z.ZodError): TableFault[] {
  return error.issues.map((issue) => ({
    path: issue.path.map((part) =>
      typeof part === "symbol" ? String(part) : part
    ),
    expected: describeExpected(issue),
    found: describeValue(getValueAt(value, issue.path)),
  }));
}

/** Looks up the rows that routes refer to. */
interface ReferencedRows {
  getPool(name: string): PoolStructure | undefined;
  getCustomer(name: string): CustomerStructure | undefined;
}

function findIntegrityFaults(tables: TablesStructure): TableFault[] {
  const pools = new Map(tables.pools.map((pool) => [pool.name, pool]));
  const customers = new Map(
    tables.customers.map((customer) => [customer.name, customer]),
  );
  return [
    ...findDuplicates("customers", tables.customers),
    ...findDuplicates("routes", tables.routes),
    ...findDuplicates("pools", tables.pools),
    ...findSharedTokens(tables.customers),
    ...findPoolFaults(tables.pools),
    ...findRouteFaults(tables.routes, {
      getPool: (name) => pools.get(name),
      getCustomer: (name) => customers.get(name),
    }),
  ];
}

function findPoolFaults(pools: readonly PoolStructure[]): TableFault[] {
  const faults: TableFault[] = [];
  for (const [index, pool] of pools.entries()) {
    if (pool.kind !== PoolKind.Engine || pool.slots > 0) continue;
    faults.push({
      path: ["pools", index, "slots"],
      expected: "at least 1 slot in a pool of engines",
      found: "0",
    });
  }
  return faults;
}

function findRouteFaults(
  routes: readonly RouteStructure[],
  rows: ReferencedRows,
): TableFault[] {
  const faults: TableFault[] = [];
  for (const [index, route] of routes.entries()) {
    if (!rows.getCustomer(route.customer)) {
      faults.push({
        path: ["routes", index, "customer"],
        expected: "the name of a customer in the table",
        found: route.customer,
      });
    }
    const pool = rows.getPool(route.pool);
    if (pool) faults.push(...findAdapterFaults(route, pool, index));
    else {
      faults.push({
        path: ["routes", index, "pool"],
        expected: "the name of a pool in the pools table",
        found: route.pool,
      });
    }
  }
  return faults;
}

function findAdapterFaults(
  route: RouteStructure,
  pool: PoolStructure,
  index: number,
): TableFault[] {
  const needsAdapter = pool.kind === PoolKind.Engine;
  const faults: TableFault[] = [];
  for (const field of ["adapter", "version"] as const) {
    if (needsAdapter === (route[field] !== "")) continue;
    faults.push({
      path: ["routes", index, field],
      expected: needsAdapter
        ? `the ${field} that the engines load`
        : `no ${field} on a route to a plain service`,
      found: route[field] === "" ? "nothing" : route[field],
    });
  }
  return faults;
}

function findDuplicates(
  table: string,
  rows: readonly { name: string }[],
): TableFault[] {
  const seen = new Set<string>();
  const faults: TableFault[] = [];
  for (const [index, row] of rows.entries()) {
    if (seen.has(row.name)) {
      faults.push({
        path: [table, index, "name"],
        expected: "a name that no other row has",
        found: row.name,
      });
    }
    seen.add(row.name);
  }
  return faults;
}

function findSharedTokens(
  customers: readonly CustomerStructure[],
): TableFault[] {
  const customersByDigest = new Map<string, string>();
  const faults: TableFault[] = [];
  for (const [index, customer] of customers.entries()) {
    for (const digest of customer.tokenDigests) {
      const otherCustomer = customersByDigest.get(digest);
      if (otherCustomer !== undefined && otherCustomer !== customer.name) {
        faults.push({
          path: ["customers", index, "tokenDigests"],
          expected: "a token that no other customer holds",
          found: `the digest of a token of ${otherCustomer}`,
        });
      }
      customersByDigest.set(digest, customer.name);
    }
  }
  return faults;
}

function getValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const part of path) {
    if (typeof current !== "object" || current === null) return undefined;
    current = (current as Record<PropertyKey, unknown>)[part];
  }
  return current;
}

function describeValue(value: unknown): string {
  if (value === undefined) return "nothing";
  return JSON.stringify(value).slice(0, 120);
}
