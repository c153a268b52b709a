/** A route to an engine and its pool, for tests of requests. */
import type {
  PoolStructure,
  RouteStructure,
} from "../../../src/core/structures.ts";

export const ROUTE: RouteStructure = {
  name: "briefing",
  customer: "mill-a",
  pool: "writers",
  adapter: "salmon",
  version: "1",
  idempotent: true,
  priority: "interactive",
  queueDeadlineMs: 5_000,
  maxRunMs: 10_000,
};

export const POOL: PoolStructure = {
  name: "writers",
  kind: "engine",
  service: "brief-writer",
  baseModel: "base",
  failureDomains: ["a"],
  slots: 4,
  batchSize: 4,
  fencing: "checked",
  loadStallWeight: 1,
  batchEfficiencyWeight: 1,
};
