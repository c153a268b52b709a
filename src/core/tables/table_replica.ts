/**
 * Keeps the tables and the host list in force. Revisions only grow: an older
 * or equal revision from any source changes nothing, and an invalid one is
 * rejected whole. A delta is taken when it leads on from the revision in force
 * and the digest of the whole comes out as it names.
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

/** What became of an offered revision. */
export type OfferResult =
  | { kind: "accepted" }
  | { kind: "stale" }
  | { kind: "invalid"; faults: TableFault[] }
  /** The delta starts from a revision that is not held. */
  | { kind: "gap" }
  /** The whole does not have the digest that was named. */
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

  /** Returns the deltas that lead from the revision to the one in force, or undefined. */
  getTablesDeltasSince(revision: number): TablesDelta[] | undefined {
    return this.#tablesLog.getDeltasSince(revision);
  }

  /** Returns the deltas that lead from the revision to the one in force, or undefined. */
  getHostListDeltasSince(revision: number): HostListDelta[] | undefined {
    return this.#hostListLog.getDeltasSince(revision);
  }

  /**
   * Takes the tables if they are newer than those in force, and valid.
   * @param digest Digest that the tables must have; unchecked when absent.
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
   * Takes changes of exactly the revision in force, as read from the platform,
   * which names no digest of the whole.
   */
  offerPublishedDelta(delta: TablesDelta): OfferResult {
    const revision = this.getTablesRevision();
    if (delta.toRevision <= revision) return { kind: "stale" };
    if (delta.fromRevision !== revision) return { kind: "gap" };
    return this.#applyTablesDelta(delta, undefined);
  }

  /** Takes the tables that the delta leads to, if it fits those in force. */
  offerTablesDelta(delta: TablesDelta): OfferResult {
    const misfit = checkRevisionSpan(delta, this.getTablesRevision());
    return misfit ?? this.#applyTablesDelta(delta, delta.digest);
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
   * Takes the host list if it is newer than the one in force.
   * @param digest Digest that the list must have; unchecked when absent.
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

  /** Takes the host list that the delta leads to, if it fits the one in force. */
  offerHostListDelta(delta: HostListDelta): OfferResult {
    const misfit = checkRevisionSpan(delta, this.getHostListRevision());
    if (misfit) return misfit;
    if (!this.#hostList) return { kind: "gap" };
    const next = this.#hostList.apply(delta);
    if (next.digest !== delta.digest) return { kind: "digestMismatch" };
    this.#hostListLog.add({ ...delta, fromRevision: this.#hostList.revision });
    this.#hostList = next;
    return { kind: "accepted" };
  }
}

/** Returns why the delta does not lead on from the revision, or undefined when it does. */
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
