/**
 * Messages that transfer newer revisions of the tables and of the host list.
 */
import type {
  CustomerStructure,
  HostStructure,
  PoolStructure,
  RouteStructure,
} from "./structures.ts";

/** Requests everything newer than the given revisions. */
export interface TablesRequestMessage {
  kind: "tablesRequest";
  knownTablesRevision: number;
  knownHostListRevision: number;
  /**
   * Whether to send full transfers, because a delta was invalid or its result
   * did not match the digest.
   */
  needsFull: boolean;
}

/** Rows that changed between two revisions of the tables. */
export interface TablesDelta {
  fromRevision: number;
  toRevision: number;
  /** Digest of the complete tables at `toRevision`. */
  digest: string;
  customers: CustomerStructure[];
  routes: RouteStructure[];
  pools: PoolStructure[];
  removedCustomers: string[];
  removedRoutes: string[];
  removedPools: string[];
}

/** Hosts that changed between two revisions of the host list. */
export interface HostListDelta {
  fromRevision: number;
  toRevision: number;
  /** Digest of the complete host list at `toRevision`. */
  digest: string;
  hosts: HostStructure[];
  removedHosts: string[];
}

/** Consecutive deltas, oldest first. */
export interface TablesTransferMessage {
  kind: "tablesTransfer";
  tablesDeltas: TablesDelta[];
  hostListDeltas: HostListDelta[];
}

/** Position of a chunk in a full transfer of one revision. */
export interface ChunkPosition {
  revision: number;
  /** Digest of the complete tables or host list at this revision. */
  digest: string;
  index: number;
  count: number;
}

/** What can be transferred in full, in chunks. */
export const ChunkedTable = { Tables: "tables", HostList: "hostList" } as const;
export type ChunkedTable = (typeof ChunkedTable)[keyof typeof ChunkedTable];

/** Requests the chunk with the given index of a transfer. */
export interface ChunkRequestMessage {
  kind: "chunkRequest";
  table: ChunkedTable;
  revision: number;
  index: number;
}

export interface TablesChunkMessage {
  kind: "tablesChunk";
  position: ChunkPosition;
  customers: CustomerStructure[];
  routes: RouteStructure[];
  pools: PoolStructure[];
}

export interface HostListChunkMessage {
  kind: "hostListChunk";
  position: ChunkPosition;
  hosts: HostStructure[];
}
