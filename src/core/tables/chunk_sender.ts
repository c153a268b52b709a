/** Serves revisions in full, chunk by chunk; keeps the one being served although newer ones come into force. */
import {
  ChunkedTable,
  type HostListChunkMessage,
  type TablesChunkMessage,
} from "../messages.ts";
import type { HostListSnapshot } from "./host_list_snapshot.ts";
import { buildChunks, getSectionRows, type SectionRow } from "./row_chunks.ts";
import type { TableKeeper } from "./table_keeper.ts";
import type { TableSnapshot } from "./table_snapshot.ts";

type TableSection = "customers" | "routes" | "pools" | "hosts";

/** One revision, divided. */
interface DividedRevision {
  revision: number;
  digest: string;
  chunks: SectionRow<TableSection>[][];
}

export class ChunkSender {
  readonly #tables: TableKeeper;
  #dividedTables: DividedRevision | undefined;
  #dividedHosts: DividedRevision | undefined;

  constructor(tables: TableKeeper) {
    this.#tables = tables;
  }

  /**
   * Returns the chunk, of the revision in force when the one named is no
   * longer served; undefined when nothing is in force.
   */
  getChunk(
    table: ChunkedTable,
    revision: number,
    index: number,
  ): TablesChunkMessage | HostListChunkMessage | undefined {
    const divided = this.#getDivided(table, revision);
    if (!divided) return undefined;
    const wanted = divided.revision === revision ? index : 0;
    const rows = divided.chunks[wanted];
    if (!rows) return undefined;
    const position = {
      revision: divided.revision,
      digest: divided.digest,
      index: wanted,
      count: divided.chunks.length,
    };
    switch (table) {
      case ChunkedTable.Tables:
        return {
          kind: "tablesChunk",
          position,
          customers: getSectionRows(rows, "customers"),
          routes: getSectionRows(rows, "routes"),
          pools: getSectionRows(rows, "pools"),
        };
      case ChunkedTable.HostList:
        return {
          kind: "hostListChunk",
          position,
          hosts: getSectionRows(rows, "hosts"),
        };
    }
  }

  /** Frees the revisions that were divided for transfers. */
  clear(): void {
    this.#dividedTables = undefined;
    this.#dividedHosts = undefined;
  }

  #getDivided(
    table: ChunkedTable,
    revision: number,
  ): DividedRevision | undefined {
    switch (table) {
      case ChunkedTable.Tables: {
        const snapshot = this.#tables.getSnapshot();
        const isServed = this.#dividedTables?.revision === revision;
        if (
          !isServed && snapshot && this.#isStale(this.#dividedTables, snapshot)
        ) {
          this.#dividedTables = buildTableChunks(snapshot);
        }
        return this.#dividedTables;
      }
      case ChunkedTable.HostList: {
        const hostList = this.#tables.getHostList();
        const isServed = this.#dividedHosts?.revision === revision;
        if (
          !isServed && hostList && this.#isStale(this.#dividedHosts, hostList)
        ) {
          this.#dividedHosts = buildHostChunks(hostList);
        }
        return this.#dividedHosts;
      }
    }
  }

  #isStale(
    divided: DividedRevision | undefined,
    inForce: { revision: number },
  ): boolean {
    return divided?.revision !== inForce.revision;
  }
}

function buildTableChunks(snapshot: TableSnapshot): DividedRevision {
  const { revision, digest } = snapshot;
  return { revision, digest, chunks: buildChunks(listRows(snapshot)) };
}

function buildHostChunks(hostList: HostListSnapshot): DividedRevision {
  const { revision, digest } = hostList;
  const rows = hostList.getHosts().map((row) => ({
    section: "hosts" as const,
    row,
  }));
  return { revision, digest, chunks: buildChunks(rows) };
}

function* listRows(
  snapshot: TableSnapshot,
): Generator<SectionRow<TableSection>> {
  for (const row of snapshot.getCustomers()) {
    yield { section: "customers", row };
  }
  for (const row of snapshot.getPools()) yield { section: "pools", row };
  for (const row of snapshot.getRoutes()) yield { section: "routes", row };
}
