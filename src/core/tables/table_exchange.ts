/**
 * Exchange of the tables and the host list with peers. A daemon that hears of
 * newer revisions asks for them: it gets the deltas that lead on from what it
 * holds or, where none do, the whole in chunks. A revision that comes from
 * outside the failure domain is spread within it as a delta.
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

/** Time between requests for tables. */
const TABLES_REQUEST_INTERVAL_MS = 300;
/** Time after the last chunk was asked for when the divided tables are freed. */
const CHUNK_TTL_MS = 30_000;

/** Time for which a revision that was rejected whole is not asked for again. */
const REJECTION_TTL_MS = 30_000;

/** What the exchange asks of its surroundings. */
export interface TableExchangeHandlers {
  emit(effect: Effect): void;
  /** Called after a newer revision of either table came into force. */
  handleTablesAccepted(now: Milliseconds): void;
  handleHostListAccepted(now: Milliseconds): void;
  publishTablesDelta(delta: TablesDelta, now: Milliseconds): void;
  publishHostListDelta(delta: HostListDelta, now: Milliseconds): void;
}

/** Where a revision came from: from outside, it is spread in the failure domain. */
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
  /** Newest revision that was rejected, which is not asked for again at once. */
  #rejected = { revision: 0, at: Number.NEGATIVE_INFINITY };

  constructor(tables: TableReplica, handlers: TableExchangeHandlers) {
    this.#tables = tables;
    this.#handlers = handlers;
    this.#chunkCache = new ChunkCache(tables);
  }

  /** Returns whether a peer has named newer tables than those in force. */
  isBehind(now: Milliseconds): boolean {
    return this.#newestPeerTablesRevision > this.#getKnownRevision(now);
  }

  /** Asks a peer that holds newer revisions for them. */
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

  /** Asks a peer for what it holds that is newer, unless another was asked just now. */
  requestUpdates(to: string, now: Milliseconds): void {
    if (now - this.#lastRequestAt < TABLES_REQUEST_INTERVAL_MS) return;
    this.#lastRequestAt = now;
    this.sendRequest(to, now);
  }

  /** Asks a peer for what it holds that is newer. */
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

  /** Answers with deltas or, where none lead on, with the first chunk of the whole. */
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

  /** Takes the tables as the platform publishes them. */
  offerTables(tables: TablesStructure, now: Milliseconds): void {
    const known = this.#tables.getTablesRevision();
    const result = this.#tables.offerTables(tables);
    this.#finishTablesOffer(result, known, RevisionSource.Outside, now);
  }

  /** Takes what the platform changed in the tables in force. */
  offerPublishedDelta(delta: TablesDelta, now: Milliseconds): void {
    const known = this.#tables.getTablesRevision();
    const result = this.#tables.offerPublishedDelta(delta);
    this.#finishTablesOffer(result, known, RevisionSource.Outside, now);
  }

  /** Takes the host list as the platform publishes it. */
  offerHostList(hostList: HostListStructure, now: Milliseconds): void {
    const known = this.#tables.getHostListRevision();
    const result = this.#tables.offerHostList(hostList);
    this.#finishHostListOffer(result, known, RevisionSource.Outside, now);
  }

  /** Takes deltas, in order; one that does not fit is asked for in another form. */
  handleDeltas(
    from: string,
    deltas: Omit<TablesTransferMessage, "kind">,
    source: RevisionSource,
    now: Milliseconds,
  ): void {
    for (const delta of deltas.tablesDeltas) {
      const known = this.#tables.getTablesRevision();
      const result = this.#tables.offerTablesDelta(delta);
      this.#finishTablesOffer(result, known, source, now);
      if (!this.#tablesCollector.isCollecting()) {
        this.#requestAgain(from, result, now);
      }
    }
    for (const delta of deltas.hostListDeltas) {
      const known = this.#tables.getHostListRevision();
      const result = this.#tables.offerHostListDelta(delta);
      this.#finishHostListOffer(result, known, source, now);
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
    const known = this.#tables.getTablesRevision();
    if (chunk.position.revision <= known) return;
    const whole = this.#tablesCollector.addChunk(from, chunk, now);
    this.#requestChunk(
      ChunkedTable.Tables,
      this.#tablesCollector.getNextChunk(),
    );
    if (!whole) return;
    const result = this.#tables.offerTables({
      revision: whole.revision,
      customers: whole.chunks.flatMap((part) => part.customers),
      routes: whole.chunks.flatMap((part) => part.routes),
      pools: whole.chunks.flatMap((part) => part.pools),
    }, whole.digest);
    if (result.kind === "invalid") {
      this.#rejected = { revision: whole.revision, at: now };
    }
    this.#finishTablesOffer(result, known, source, now);
  }

  handleHostListChunk(
    from: string,
    chunk: HostListChunkMessage,
    source: RevisionSource,
    now: Milliseconds,
  ): void {
    const known = this.#tables.getHostListRevision();
    if (chunk.position.revision <= known) return;
    const whole = this.#hostsCollector.addChunk(from, chunk, now);
    this.#requestChunk(
      ChunkedTable.HostList,
      this.#hostsCollector.getNextChunk(),
    );
    if (!whole) return;
    const result = this.#tables.offerHostList({
      revision: whole.revision,
      hosts: whole.chunks.flatMap((part) => part.hosts),
    }, whole.digest);
    this.#finishHostListOffer(result, known, source, now);
  }

  /** Repeats requests for chunks and frees what is no longer served. */
  tick(now: Milliseconds): void {
    this.#requestChunk(ChunkedTable.Tables, this.#tablesCollector.tick(now));
    this.#requestChunk(ChunkedTable.HostList, this.#hostsCollector.tick(now));
    if (now - this.#lastServedAt >= CHUNK_TTL_MS) this.#chunkCache.clear();
  }

  /** Returns the revision held, or one that was rejected whole just now. */
  #getKnownRevision(now: Milliseconds): number {
    const isRejectionFresh = now - this.#rejected.at < REJECTION_TTL_MS;
    return Math.max(
      this.#tables.getTablesRevision(),
      isRejectionFresh ? this.#rejected.revision : 0,
    );
  }

  /** Returns the deltas to send; sends the first chunk instead where none lead on. */
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

  #requestChunk(table: ChunkedTable, wanted: RequestedChunk | undefined): void {
    if (!wanted) return;
    const { from, revision, index } = wanted;
    this.#handlers.emit({
      kind: "send",
      to: from,
      message: { kind: "chunkRequest", table, revision, index },
    });
  }

  /** Asks the sender again after a delta that did not lead on. */
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
