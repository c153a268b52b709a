/**
 * Replication of the tables and the host list between peers. A daemon that
 * learns of a newer revision requests it from the peer that announced it. The
 * peer responds with the deltas since the requester's revision or, if it no
 * longer has them, with a full transfer in chunks. A revision that was received
 * from outside the failure domain is gossiped within it as a delta.
 */
import type { Effect } from "../effects.ts";
import {
  ChunkedTable,
  type ChunkRequestMessage,
  type HostListChunkMessage,
  type HostListDelta,
  type KnownRevisions,
  type TablesChunkMessage,
  type TablesDelta,
  type TablesRequestMessage,
  type TablesTransferMessage,
} from "../messages.ts";
import type {
  HostListStructure,
  Milliseconds,
  TablesStructure,
} from "../structures.ts";
import { ChunkCollector, type RequestedChunk } from "./chunk_collector.ts";
import { ChunkCache } from "./chunk_cache.ts";
import type { OfferResult, TableReplica } from "./table_replica.ts";

/** Minimum time between two requests for tables. */
const TABLES_REQUEST_INTERVAL_MS = 300;
/**
 * Time after the last request for a chunk at which cached chunks are dropped.
 */
const CHUNK_TTL_MS = 30_000;

/**
 * Time for which a revision that was rejected as invalid is not requested
 * again.
 */
const REJECTION_TTL_MS = 30_000;

/** Callbacks of a table exchange. */
export interface TableExchangeHandlers {
  emit(effect: Effect): void;
  /** Called after a newer revision of the tables became current. */
  handleTablesAccepted(now: Milliseconds): void;
  handleHostListAccepted(now: Milliseconds): void;
  publishTablesDelta(delta: TablesDelta, now: Milliseconds): void;
  publishHostListDelta(delta: HostListDelta, now: Milliseconds): void;
}

/**
 * Whether a revision came from this failure domain or from outside it: from the
 * platform or a daemon of another domain. A revision from outside is gossiped
 * within the failure domain.
 */
export const RevisionSource = {
  Outside: "outside",
  LocalDomain: "domain",
} as const;
export type RevisionSource =
  (typeof RevisionSource)[keyof typeof RevisionSource];

export class TableExchange {
  readonly #tables: TableReplica;
  readonly #handlers: TableExchangeHandlers;
  readonly #chunkCache: ChunkCache;
  readonly #tablesCollector = new ChunkCollector<TablesChunkMessage>();
  readonly #hostsCollector = new ChunkCollector<HostListChunkMessage>();
  #lastRequestAt = Number.NEGATIVE_INFINITY;
  #lastServedAt = Number.NEGATIVE_INFINITY;
  #needsFull = false;
  #newestPeerTablesRevision = 0;
  /**
   * Latest rejected revision; it is not requested again for `REJECTION_TTL_MS`.
   */
  #rejected = { revision: 0, at: Number.NEGATIVE_INFINITY };

  constructor(tables: TableReplica, handlers: TableExchangeHandlers) {
    this.#tables = tables;
    this.#handlers = handlers;
    this.#chunkCache = new ChunkCache(tables);
  }

  /**
   * Returns whether a peer has announced newer tables than the current ones.
   */
  isBehind(now: Milliseconds): boolean {
    return this.#newestPeerTablesRevision > this.#getKnownRevision(now);
  }

  /** Requests newer revisions from a peer that has announced them. */
  handlePeerRevisions(
    from: string,
    revisions: KnownRevisions,
    now: Milliseconds,
  ): void {
    this.#newestPeerTablesRevision = Math.max(
      this.#newestPeerTablesRevision,
      revisions.tablesRevision,
    );
    const isBehind = revisions.tablesRevision > this.#getKnownRevision(now) &&
        !this.#tablesCollector.isCollecting() ||
      revisions.hostListRevision > this.#tables.getHostListRevision() &&
        !this.#hostsCollector.isCollecting();
    if (isBehind) this.requestUpdates(from, now);
  }

  /**
   * Requests newer revisions from a peer, unless any peer was asked within
   * `TABLES_REQUEST_INTERVAL_MS`.
   */
  requestUpdates(to: string, now: Milliseconds): void {
    if (now - this.#lastRequestAt < TABLES_REQUEST_INTERVAL_MS) return;
    this.#lastRequestAt = now;
    this.sendRequest(to, now);
  }

  /** Requests newer revisions from a peer. */
  sendRequest(to: string, now: Milliseconds): void {
    this.#handlers.emit({
      kind: "send",
      to,
      message: {
        kind: "tablesRequest",
        knownTablesRevision: this.#getKnownRevision(now),
        knownHostListRevision: this.#tables.getHostListRevision(),
        needsFull: this.#needsFull,
      },
    });
  }

  /**
   * Responds with deltas or, if they are not available, with the first chunk of
   * a full transfer.
   */
  handleRequest(
    from: string,
    request: TablesRequestMessage,
    now: Milliseconds,
  ): void {
    const tablesDeltas = this.#selectDeltas(
      from,
      ChunkedTable.Tables,
      request.needsFull,
      request.knownTablesRevision,
      now,
    ) as TablesDelta[];
    const hostListDeltas = this.#selectDeltas(
      from,
      ChunkedTable.HostList,
      request.needsFull,
      request.knownHostListRevision,
      now,
    ) as HostListDelta[];
    if (tablesDeltas.length === 0 && hostListDeltas.length === 0) return;
    this.#handlers.emit({
      kind: "send",
      to: from,
      message: { kind: "tablesTransfer", tablesDeltas, hostListDeltas },
    });
  }

  /** Handles the full tables as published by the platform. */
  offerTables(tables: TablesStructure, now: Milliseconds): void {
    const previousRevision = this.#tables.getTablesRevision();
    const result = this.#tables.offerTables(tables);
    this.#finishTablesOffer(
      result,
      previousRevision,
      RevisionSource.Outside,
      now,
    );
  }

  /** Handles a delta of the current tables as published by the platform. */
  offerPublishedDelta(delta: TablesDelta, now: Milliseconds): void {
    const previousRevision = this.#tables.getTablesRevision();
    const result = this.#tables.offerPublishedDelta(delta);
    this.#finishTablesOffer(
      result,
      previousRevision,
      RevisionSource.Outside,
      now,
    );
  }

  /** Handles the host list as published by the platform. */
  offerHostList(hostList: HostListStructure, now: Milliseconds): void {
    const previousRevision = this.#tables.getHostListRevision();
    const result = this.#tables.offerHostList(hostList);
    this.#finishHostListOffer(
      result,
      previousRevision,
      RevisionSource.Outside,
      now,
    );
  }

  /**
   * Applies deltas in order. After one that cannot be applied, requests other
   * deltas or a full transfer from the sender.
   */
  handleDeltas(
    from: string,
    deltas: Omit<TablesTransferMessage, "kind">,
    source: RevisionSource,
    now: Milliseconds,
  ): void {
    for (const delta of deltas.tablesDeltas) {
      const previousRevision = this.#tables.getTablesRevision();
      const result = this.#tables.offerTablesDelta(delta);
      this.#finishTablesOffer(result, previousRevision, source, now);
      if (!this.#tablesCollector.isCollecting()) {
        this.#requestAgain(from, result, now);
      }
    }
    for (const delta of deltas.hostListDeltas) {
      const previousRevision = this.#tables.getHostListRevision();
      const result = this.#tables.offerHostListDelta(delta);
      this.#finishHostListOffer(result, previousRevision, source, now);
      if (!this.#hostsCollector.isCollecting()) {
        this.#requestAgain(from, result, now);
      }
    }
  }

  handleChunkRequest(
    from: string,
    request: ChunkRequestMessage,
    now: Milliseconds,
  ): void {
    this.#sendChunk(from, request.table, request.revision, request.index, now);
  }

  handleTablesChunk(
    from: string,
    chunk: TablesChunkMessage,
    source: RevisionSource,
    now: Milliseconds,
  ): void {
    const previousRevision = this.#tables.getTablesRevision();
    if (chunk.position.revision <= previousRevision) return;
    const collected = this.#tablesCollector.addChunk(from, chunk, now);
    this.#requestChunk(
      ChunkedTable.Tables,
      this.#tablesCollector.getNextChunk(),
    );
    if (!collected) return;
    const result = this.#tables.offerTables({
      revision: collected.revision,
      customers: collected.chunks.flatMap((part) => part.customers),
      routes: collected.chunks.flatMap((part) => part.routes),
      pools: collected.chunks.flatMap((part) => part.pools),
    }, collected.digest);
    if (result.kind === "invalid") {
      this.#rejected = { revision: collected.revision, at: now };
    }
    this.#finishTablesOffer(result, previousRevision, source, now);
  }

  handleHostListChunk(
    from: string,
    chunk: HostListChunkMessage,
    source: RevisionSource,
    now: Milliseconds,
  ): void {
    const previousRevision = this.#tables.getHostListRevision();
    if (chunk.position.revision <= previousRevision) return;
    const collected = this.#hostsCollector.addChunk(from, chunk, now);
    this.#requestChunk(
      ChunkedTable.HostList,
      this.#hostsCollector.getNextChunk(),
    );
    if (!collected) return;
    const result = this.#tables.offerHostList({
      revision: collected.revision,
      hosts: collected.chunks.flatMap((part) => part.hosts),
    }, collected.digest);
    this.#finishHostListOffer(result, previousRevision, source, now);
  }

  /**
   * Retries requests for chunks, and drops cached chunks that are no longer
   * requested.
   */
  tick(now: Milliseconds): void {
    this.#requestChunk(ChunkedTable.Tables, this.#tablesCollector.tick(now));
    this.#requestChunk(ChunkedTable.HostList, this.#hostsCollector.tick(now));
    if (now - this.#lastServedAt >= CHUNK_TTL_MS) this.#chunkCache.clear();
  }

  /**
   * Returns the current revision, or a higher one that was rejected within
   * `REJECTION_TTL_MS`.
   */
  #getKnownRevision(now: Milliseconds): number {
    const isRejectionFresh = now - this.#rejected.at < REJECTION_TTL_MS;
    return Math.max(
      this.#tables.getTablesRevision(),
      isRejectionFresh ? this.#rejected.revision : 0,
    );
  }

  /**
   * Returns the deltas to send; if they are not available, sends the first
   * chunk of a full transfer instead.
   */
  #selectDeltas(
    to: string,
    table: ChunkedTable,
    needsFull: boolean,
    knownRevision: number,
    now: Milliseconds,
  ): TablesDelta[] | HostListDelta[] {
    const isTables = table === ChunkedTable.Tables;
    const revision = isTables
      ? this.#tables.getTablesRevision()
      : this.#tables.getHostListRevision();
    if (revision <= knownRevision) return [];
    const deltas = isTables
      ? this.#tables.getTablesDeltasSince(knownRevision)
      : this.#tables.getHostListDeltasSince(knownRevision);
    if (deltas && !needsFull) return deltas;
    this.#sendChunk(to, table, revision, 0, now);
    return [];
  }

  #sendChunk(
    to: string,
    table: ChunkedTable,
    revision: number,
    index: number,
    now: Milliseconds,
  ): void {
    this.#lastServedAt = now;
    const message = this.#chunkCache.getChunk(table, revision, index);
    if (message) this.#handlers.emit({ kind: "send", to, message });
  }

  #requestChunk(table: ChunkedTable, chunk: RequestedChunk | undefined): void {
    if (!chunk) return;
    const { from, revision, index } = chunk;
    this.#handlers.emit({
      kind: "send",
      to: from,
      message: { kind: "chunkRequest", table, revision, index },
    });
  }

  /**
   * Requests the revision from the sender again after a delta that could not be
   * applied.
   */
  #requestAgain(from: string, result: OfferResult, now: Milliseconds): void {
    switch (result.kind) {
      case "accepted":
      case "stale":
        return;
      case "gap":
        break;
      case "invalid":
      case "digestMismatch":
        this.#needsFull = true;
        break;
    }
    this.requestUpdates(from, now);
  }

  #finishTablesOffer(
    result: OfferResult,
    knownRevision: number,
    source: RevisionSource,
    now: Milliseconds,
  ): void {
    this.#countOffer("tables", result);
    if (result.kind !== "accepted") return;
    this.#needsFull = false;
    this.#handlers.handleTablesAccepted(now);
    if (source === RevisionSource.LocalDomain || knownRevision === 0) return;
    const deltas = this.#tables.getTablesDeltasSince(knownRevision) ?? [];
    for (const delta of deltas) this.#handlers.publishTablesDelta(delta, now);
  }

  #finishHostListOffer(
    result: OfferResult,
    knownRevision: number,
    source: RevisionSource,
    now: Milliseconds,
  ): void {
    this.#countOffer("host_list", result);
    if (result.kind !== "accepted") return;
    this.#needsFull = false;
    this.#handlers.handleHostListAccepted(now);
    if (source === RevisionSource.LocalDomain || knownRevision === 0) return;
    const deltas = this.#tables.getHostListDeltasSince(knownRevision) ?? [];
    for (const delta of deltas) this.#handlers.publishHostListDelta(delta, now);
  }

  #countOffer(counter: string, result: OfferResult): void {
    this.#handlers.emit({ kind: "count", counter, tag: result.kind });
  }
}
