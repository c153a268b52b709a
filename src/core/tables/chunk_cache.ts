/**
 * Chunks of the revisions that are being transferred in full to peers. A cached
 * revision is kept when a newer one becomes current, so that transfers in
 * progress can finish.
 */
import {
  ChunkedTable,
  type HostListChunkMessage,
  type TablesChunkMessage,
} from "../messages.ts";
import type { HostListSnapshot } from "./host_list_snapshot.ts";
import { buildChunks, getSectionRows, type SectionRow } from "./row_chunks.ts";
import type { TableReplica } from "./table_replica.ts";
import type { TableSnapshot } from "./table_snapshot.ts";

type TableSection = "customers" | "routes" | "pools" | "hosts";

/** One revision, split into chunks. */
interface ChunkedRevision {
  revision: number;
  digest: string;
  chunks: SectionRow<TableSection>[][];
}

export class ChunkCache {
  readonly #tables: TableReplica;
  #chunkedTables: ChunkedRevision | undefined;
  #chunkedHosts: ChunkedRevision | undefined;

  constructor(tables: TableReplica) {
    this.#tables = tables;
  }

  /**
   * Returns a chunk. If the given revision is no longer available, returns the
   * first chunk of the current revision, or undefined if there is none.
   */
  getChunk(
    table: ChunkedTable,
    revision: number,
    index: number,
  ): TablesChunkMessage | HostListChunkMessage | undefined {
    const chunked = this.#getChunked(table, revision);
    if (!chunked) return undefined;
    const chunkIndex = chunked.revision === revision ? index : 0;
    const rows = chunked.chunks[chunkIndex];
    if (!rows) return undefined;
    const position = {
      revision: chunked.revision,
      digest: chunked.digest,
      index: chunkIndex,
      count: chunked.chunks.length,
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

  /** Drops the cached chunks. */
  clear(): void {
    this.#chunkedTables = undefined;
    this.#chunkedHosts = undefined;
  }

  #getChunked(
    table: ChunkedTable,
    revision: number,
  ): ChunkedRevision | undefined {
    switch (table) {
      case ChunkedTable.Tables: {
        const snapshot = this.#tables.getSnapshot();
        const isCached = this.#chunkedTables?.revision === revision;
        if (
          !isCached && snapshot && this.#isStale(this.#chunkedTables, snapshot)
        ) {
          this.#chunkedTables = buildTableChunks(snapshot);
        }
        return this.#chunkedTables;
      }
      case ChunkedTable.HostList: {
        const hostList = this.#tables.getHostList();
        const isCached = this.#chunkedHosts?.revision === revision;
        if (
          !isCached && hostList && this.#isStale(this.#chunkedHosts, hostList)
        ) {
          this.#chunkedHosts = buildHostChunks(hostList);
        }
        return this.#chunkedHosts;
      }
    }
  }

  #isStale(
    chunked: ChunkedRevision | undefined,
    inForce: { revision: number },
  ): boolean {
    return chunked?.revision !== inForce.revision;
  }
}

function buildTableChunks(snapshot: TableSnapshot): ChunkedRevision {
  const { revision, digest } = snapshot;
  return { revision, digest, chunks: buildChunks(listRows(snapshot)) };
}

function buildHostChunks(hostList: HostListSnapshot): ChunkedRevision {
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
