/** Exchange of the tables and the host list with peers: who is asked, and what is sent. */
import type { Effect } from "../effects.ts";
import type { TablesRequestMessage } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import type { TableKeeper } from "./table_keeper.ts";

/** Time between requests for tables. */
const TABLES_REQUEST_INTERVAL_MS = 300;

/** Revisions that a peer holds. */
export interface KnownRevisions {
  tablesRevision: number;
  hostListRevision: number;
}

export class TableExchange {
  readonly #tables: TableKeeper;
  readonly #emit: (effect: Effect) => void;
  #lastRequestAt = Number.NEGATIVE_INFINITY;

  constructor(tables: TableKeeper, emit: (effect: Effect) => void) {
    this.#tables = tables;
    this.#emit = emit;
  }

  /** Asks a peer that holds newer revisions for them. */
  handlePeerRevisions(
    from: string,
    revisions: KnownRevisions,
    now: Milliseconds,
  ): void {
    const isBehind =
      revisions.tablesRevision > this.#tables.getTablesRevision() ||
      revisions.hostListRevision > this.#tables.getHostListRevision();
    const isDue = now - this.#lastRequestAt >= TABLES_REQUEST_INTERVAL_MS;
    if (!isBehind || !isDue) return;
    this.#lastRequestAt = now;
    this.#emit({
      kind: "send",
      to: from,
      message: {
        kind: "tablesRequest",
        knownTablesRevision: this.#tables.getTablesRevision(),
        knownHostListRevision: this.#tables.getHostListRevision(),
      },
    });
  }

  /** Sends what is newer here than what the peer names. */
  sendTables(to: string, request: TablesRequestMessage): void {
    const snapshot = this.#tables.getSnapshot();
    const hostList = this.#tables.getHostList();
    const newerTables = snapshot !== undefined &&
      snapshot.revision > request.knownTablesRevision;
    const newerHosts = hostList !== undefined &&
      hostList.revision > request.knownHostListRevision;
    if (!newerTables && !newerHosts) return;
    this.#emit({
      kind: "send",
      to,
      message: {
        kind: "tablesTransfer",
        ...(newerTables ? { tables: snapshot.getStructure() } : {}),
        ...(newerHosts ? { hostList } : {}),
      },
    });
  }
}
