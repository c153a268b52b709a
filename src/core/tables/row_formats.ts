/**
 * Keys of each table's rows, and their canonical encoding for the digest. The
 * order of the fields is fixed, because all daemons must compute equal digests.
 */
import type {
  CustomerStructure,
  HostStructure,
  PoolStructure,
  RouteStructure,
} from "../structures.ts";
import type { RowFormat } from "./row_set.ts";

export const CUSTOMER_FORMAT: RowFormat<CustomerStructure> = {
  getKey: (row) => row.name,
  formatRow: (row) =>
    JSON.stringify(["customer", row.name, row.tokenDigests, row.share]),
};

export const ROUTE_FORMAT: RowFormat<RouteStructure> = {
  getKey: (row) => row.name,
  formatRow: (row) =>
    JSON.stringify([
      "route",
      row.name,
      row.customer,
      row.pool,
      row.adapter,
      row.version,
      row.idempotent,
      row.priority,
      row.queueDeadlineMs,
      row.maxRunMs,
    ]),
};

export const POOL_FORMAT: RowFormat<PoolStructure> = {
  getKey: (row) => row.name,
  formatRow: (row) =>
    JSON.stringify([
      "pool",
      row.name,
      row.kind,
      row.service,
      row.baseModel,
      row.failureDomains,
      row.slots,
      row.batchSize,
      row.fencing,
      row.loadStallWeight,
      row.batchEfficiencyWeight,
    ]),
};

export const HOST_FORMAT: RowFormat<HostStructure> = {
  getKey: (row) => row.id,
  formatRow: (row) =>
    JSON.stringify([
      "host",
      row.id,
      row.address,
      row.failureDomain,
      row.role,
      row.service,
      row.state,
    ]),
};
