/** Messages that bring newer revisions of the tables and of the host list. */
import type {
  CustomerStructure,
  HostStructure,
  PoolStructure,
  RouteStructure,
} from "./structures.ts";

/** Asks for what is newer than the revisions named. */
export interface TablesRequestMessage {
  kind: "tablesRequest";
  knownTablesRevision: number;
  knownHostListRevision: number;
  /** Whether deltas did not lead to the revision that they name. */
  needsFull: boolean;
}

/** Rows that changed between two revisions of the tables. */
export interface TablesDelta {
  fromRevision: number;
  toRevision: number;
  /** Digest of the tables as a whole at the later revision. */
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
  /** Digest of the host list as a whole at the later revision. */
  digest: string;
  hosts: HostStructure[];
  removedHosts: string[];
}

/** Consecutive deltas, the earliest first. */
export interface TablesTransferMessage {
  kind: "tablesTransfer";
  tablesDeltas: TablesDelta[];
  hostListDeltas: HostListDelta[];
}

/** Place of a chunk in a transfer of one revision in full. */
export interface ChunkPosition {
  revision: number;
  /** Digest of the whole at this revision. */
  digest: string;
  index: number;
  count: number;
}

/** Tables that are transferred in full, in chunks. */
export const ChunkedTable = { Tables: "tables", HostList: "hostList" } as const;
export type ChunkedTable = (typeof ChunkedTable)[keyof typeof ChunkedTable];

/** Asks for the next chunk of a transfer. */
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
