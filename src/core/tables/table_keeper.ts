/**
 * Keeps the tables and the host list in force. Revisions only grow: an older
 * or equal revision from any source changes nothing, and an invalid one is
 * rejected whole.
 */
import type { HostListStructure, TablesStructure } from "../structures.ts";
import { checkTables, type TableFault } from "./table_schema.ts";
import { TableSnapshot } from "./table_snapshot.ts";

/** What became of an offered revision. */
export type OfferResult =
  | { kind: "accepted" }
  | { kind: "stale" }
  | { kind: "invalid"; faults: TableFault[] };

export class TableKeeper {
  #snapshot: TableSnapshot | undefined;
  #hostList: HostListStructure | undefined;

  getSnapshot(): TableSnapshot | undefined {
    return this.#snapshot;
  }

  getTablesRevision(): number {
    return this.#snapshot?.revision ?? 0;
  }

  getHostList(): HostListStructure | undefined {
    return this.#hostList;
  }

  getHostListRevision(): number {
    return this.#hostList?.revision ?? 0;
  }

  /** Takes the tables if they are newer than those in force, and valid. */
  offerTables(tables: TablesStructure): OfferResult {
    if (tables.revision <= this.getTablesRevision()) return { kind: "stale" };
    const checked = checkTables(tables);
    if (checked.isErr()) return { kind: "invalid", faults: checked.error };
    this.#snapshot = new TableSnapshot(checked.value);
    return { kind: "accepted" };
  }

  /** Takes the host list if it is newer than the one in force. */
  offerHostList(hostList: HostListStructure): OfferResult {
    if (hostList.revision <= this.getHostListRevision()) {
      return { kind: "stale" };
    }
    this.#hostList = hostList;
    return { kind: "accepted" };
  }
}
