/**
 * Local replica of the tables and the host list. Revisions only increase: an
 * older or equal revision is ignored whatever its source, and an invalid one is
 * rejected as a whole. A delta from a peer is accepted if it applies to the
 * current revision and the result has the digest that the delta carries.
 */
import type { Result } from "ts-results-es";
import type { HostListDelta, TablesDelta } from "../messages.ts";
import type { HostListStructure, TablesStructure } from "../structures.ts";
import { DeltaLog, type RevisionSpan } from "./delta_log.ts";
import { HostListSnapshot } from "./host_list_snapshot.ts";
import {
  applyCheckedDelta,
  checkTables,
  type TableFault,
} from "./table_schema.ts";
import { TableSnapshot } from "./table_snapshot.ts";

/** Result of offering a revision to the replica. */
export type OfferResult =
  | { kind: "accepted" }
  | { kind: "stale" }
  | { kind: "invalid"; faults: TableFault[] }
  /**
   * The delta starts at a revision that does not let it apply to the current
   * one.
   */
  | { kind: "gap" }
  /** The resulting tables do not have the expected digest. */
  | { kind: "digestMismatch" };

export class TableReplica {
  readonly #tablesLog = new DeltaLog<TablesDelta>(countTableRows);
  readonly #hostListLog = new DeltaLog<HostListDelta>(countHosts);
  #snapshot: TableSnapshot | undefined;
  #hostList: HostListSnapshot | undefined;

  getSnapshot(): TableSnapshot | undefined {
    return this.#snapshot;
  }

  getTablesRevision(): number {
    return this.#snapshot?.revision ?? 0;
  }

  getHostList(): HostListSnapshot | undefined {
    return this.#hostList;
  }

  getHostListRevision(): number {
    return this.#hostList?.revision ?? 0;
  }

  /**
   * Returns the deltas from the revision to the current one, or undefined if
   * they are not available.
   */
  getTablesDeltasSince(revision: number): TablesDelta[] | undefined {
    return this.#tablesLog.getDeltasSince(revision);
  }

  /**
   * Returns the deltas from the revision to the current one, or undefined if
   * they are not available.
   */
  getHostListDeltasSince(revision: number): HostListDelta[] | undefined {
    return this.#hostListLog.getDeltasSince(revision);
  }

  /**
   * Accepts the full tables if they are valid and newer than the current ones.
   * @param digest Digest that the tables must have; not checked if absent.
   */
  offerTables(tables: TablesStructure, digest?: string): OfferResult {
    if (tables.revision <= this.getTablesRevision()) return { kind: "stale" };
    const checked = checkTables(tables);
    if (checked.isErr()) return { kind: "invalid", faults: checked.error };
    const next = TableSnapshot.createFrom(checked.value);
    if (digest !== undefined && next.digest !== digest) {
      return { kind: "digestMismatch" };
    }
    if (this.#snapshot) this.#tablesLog.add(this.#snapshot.findDelta(next));
    this.#snapshot = next;
    return { kind: "accepted" };
  }

  /**
   * Applies a delta that was read from the platform. It must start at exactly
   * the current revision, because the platform gives no digest to check the
   * result against.
   */
  offerPublishedDelta(delta: TablesDelta): OfferResult {
    const revision = this.getTablesRevision();
    if (delta.toRevision <= revision) return { kind: "stale" };
    if (delta.fromRevision !== revision) return { kind: "gap" };
    return this.#applyTablesDelta(delta, undefined);
  }

  /**
   * Applies a delta that was received from a peer, if it applies to the current
   * revision.
   */
  offerTablesDelta(delta: TablesDelta): OfferResult {
    const rejection = checkRevisionSpan(delta, this.getTablesRevision());
    return rejection ?? this.#applyTablesDelta(delta, delta.digest);
  }

  #applyTablesDelta(
    delta: TablesDelta,
    digest: string | undefined,
  ): OfferResult {
    if (!this.#snapshot) return { kind: "gap" };
    const applied: Result<TableSnapshot, TableFault[]> = applyCheckedDelta(
      this.#snapshot,
      delta,
    );
    if (applied.isErr()) return { kind: "invalid", faults: applied.error };
    if (digest !== undefined && applied.value.digest !== digest) {
      return { kind: "digestMismatch" };
    }
    this.#tablesLog.add({
      ...delta,
      fromRevision: this.#snapshot.revision,
      digest: applied.value.digest,
    });
    this.#snapshot = applied.value;
    return { kind: "accepted" };
  }

  /**
   * Accepts the full host list if it is newer than the current one.
   * @param digest Digest that the list must have; not checked if absent.
   */
  offerHostList(hostList: HostListStructure, digest?: string): OfferResult {
    if (hostList.revision <= this.getHostListRevision()) {
      return { kind: "stale" };
    }
    const next = HostListSnapshot.createFrom(hostList);
    if (digest !== undefined && next.digest !== digest) {
      return { kind: "digestMismatch" };
    }
    if (this.#hostList) this.#hostListLog.add(this.#hostList.findDelta(next));
    this.#hostList = next;
    return { kind: "accepted" };
  }

  /**
   * Applies a delta of the host list that was received from a peer, if it
   * applies to the current revision.
   */
  offerHostListDelta(delta: HostListDelta): OfferResult {
    const rejection = checkRevisionSpan(delta, this.getHostListRevision());
    if (rejection) return rejection;
    if (!this.#hostList) return { kind: "gap" };
    const next = this.#hostList.apply(delta);
    if (next.digest !== delta.digest) return { kind: "digestMismatch" };
    this.#hostListLog.add({ ...delta, fromRevision: this.#hostList.revision });
    this.#hostList = next;
    return { kind: "accepted" };
  }
}

/**
 * Returns why the delta does not apply to the revision, or undefined if it
 * does.
 */
function checkRevisionSpan(
  delta: RevisionSpan,
  revision: number,
): OfferResult | undefined {
  if (delta.toRevision <= revision) return { kind: "stale" };
  return delta.fromRevision > revision ? { kind: "gap" } : undefined;
}

/** Returns the number of rows that the delta changes or removes. */
export function countTableRows(delta: TablesDelta): number {
  return delta.customers.length + delta.routes.length + delta.pools.length +
    delta.removedCustomers.length + delta.removedRoutes.length +
    delta.removedPools.length;
}

/** Returns the number of hosts that the delta changes or removes. */
export function countHosts(delta: HostListDelta): number {
  return delta.hosts.length + delta.removedHosts.length;
}
