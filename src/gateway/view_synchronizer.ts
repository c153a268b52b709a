/**
 * Keeps the published view up to date: watches the platform's store and, if the
 * store doesn't answer or a peer has reached a later position, fetches the
 * changes from a peer. Changes of an earlier position are ignored. A store that
 * was restored from an older copy names a new era and is read again whole.
 */
import { createServer, type Server } from "node:http";
import type { FleetView } from "../core/fleet/fleet_view.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import type { Milliseconds } from "../core/structures.ts";
import { hashText } from "../core/hashing.ts";
import {
  comparePositions,
  START_POSITION,
  type StorePosition,
} from "../core/view/store_position.ts";
import {
  type NewerPeer,
  SyncPeerSelector,
} from "../core/view/sync_peer_selector.ts";
import { StoreOutage } from "../core/view/store_outage.ts";
import type { PublishedView } from "../core/view/published_view.ts";
import { type StoreBatch, StoreMirror } from "../core/view/store_mirror.ts";
import type { Heartbeat } from "../core/fleet/heartbeat.ts";
import {
  describeError,
  describeStep,
  StepError,
} from "../daemon/step_error.ts";
import { HeadCheckedAgent } from "../daemon/head_checked_socket.ts";
import { listen } from "../daemon/http_server.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { HttpRequestError, sendHttpRequest } from "./http_client.ts";
import { decodePeerBatch, encodePeerBatch } from "./peer_batch.ts";
import {
  type ChangeDecoder,
  PublishedSet,
  type PublishedStore,
  type StoreReading,
} from "./ports.ts";
import { waitMs } from "./wait.ts";

/**
 * How long one watch request waits for changes; bounds how long a dead
 * connection goes unnoticed.
 */
const WATCH_TIMEOUT_MS = 2_000;
/**
 * Wait of the watch after a failed call. The store may have been restored
 * meanwhile, which only its answer tells.
 */
const PROBE_WATCH_MS = 1;
/** Delay after a failed call to the store. */
const RETRY_DELAY_MS = 250;
/**
 * Delay after a configuration change, so that changes in quick succession
 * arrive in one read.
 */
const CONFIGURATION_COALESCE_MS = 200;
/**
 * The same for upstreams, as a fraction of the time within which a leaving one
 * must stop getting new work. Most of that time is left for the store, the
 * latency to peers and a second try.
 */
const UPSTREAM_COALESCE_SHARE = 0.2;
/**
 * Interval at which a daemon that doesn't read the store checks whether it
 * should.
 */
const STANDBY_POLL_INTERVAL_MS = 250;
/**
 * Interval at which a daemon that can't reach the store retries it while a peer
 * can. The first retry comes earlier, as the store may cut a watch.
 */
const STORE_PROBE_INTERVAL_MS = 1_000;
/**
 * How long after an outage peers are told that missing entries may have lapsed.
 */
const OUTAGE_REPORT_MS = 1_500;
/** Interval at which the peers' revisions are compared with this daemon's. */
const PEER_COMPARE_INTERVAL_MS = 200;
/**
 * How long this daemon's own watch may lag behind a peer before the peer is
 * asked.
 */
const LAG_TOLERANCE_MS = 300;
/** Timeout of one call to a peer. */
const PEER_TIMEOUT_MS = 600;
const PEER_PATH = "/published";

const SETS = Object.values(PublishedSet);

interface SetState {
  mirror: StoreMirror;
  needsSnapshot: boolean;
  isStoreAnswering: boolean;
  outage: StoreOutage;
  /** When the store last answered again after an outage. */
  outageEndedAt: Milliseconds;
  behindSince: Milliseconds | undefined;
  isFetchingFromPeer: boolean;
  peerSelector: SyncPeerSelector;
  /** Latest position among the changes that peers should learn of. */
  newest: StorePosition;
  /** Ends the watch that waits. */
  watchController: AbortController;
  /** Whether the store's last answer named a valid era. */
  isEraKnown: boolean;
}

export interface ViewSynchronizerOptions {
  store: PublishedStore;
  decoder: ChangeDecoder;
  view: PublishedView;
  fleet: FleetView;
  log: DecisionLog;
  metrics: GatewayMetrics;
  /** Time within which a leaving upstream must stop getting new work. */
  leavingMs: Milliseconds;
  /**
   * Address at which peers fetch the view; the port is the same on all hosts.
   */
  listen: { ip: string; port: number };
  /** Limits what clients of the port take of the process. */
  limitClients?: (server: Server) => void;
  /** Budget for the answers of peers while they are read. */
  memory: MemoryBudget;
  /** Called after a change that peers should learn of. */
  handleChange: () => void;
}

export class ViewSynchronizer {
  readonly #options: ViewSynchronizerOptions;
  readonly #sets = new Map<PublishedSet, SetState>();
  readonly #agent = new HeadCheckedAgent({ keepAlive: false });
  #server: Server | undefined;
  #isStopped = false;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: ViewSynchronizerOptions) {
    this.#options = options;
    const { id } = options.fleet.self;
    for (const set of SETS) this.#sets.set(set, createSetState(id));
  }

  start(): void {
    for (const set of SETS) void this.#watchStore(set);
    this.#timer = setInterval(() => this.#tick(), PEER_COMPARE_INTERVAL_MS);
  }

  /**
   * Returns whether this daemon's last calls to the store succeeded; true
   * before the first one.
   */
  isStoreReachable(): boolean {
    return [...this.#sets.values()].every((state) =>
      state.outage.failures === 0
    );
  }

  /** Returns the latest positions for a heartbeat. */
  describePositions(): Pick<Heartbeat, "revisions" | "eras"> {
    const { newest: configuration } = this.#getState(
      PublishedSet.Configuration,
    );
    const { newest: upstreams } = this.#getState(PublishedSet.Upstreams);
    const hasEra = configuration.era > 0 || upstreams.era > 0;
    return {
      revisions: {
        configuration: configuration.revision,
        upstreams: upstreams.revision,
      },
      eras: hasEra
        ? { configuration: configuration.era, upstreams: upstreams.era }
        : undefined,
    };
  }

  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#options.store.closeConnections();
  }

  async #watchStore(set: PublishedSet): Promise<void> {
    const state = this.#getState(set);
    while (!this.#isStopped) {
      if (!this.#needsStoreRead(state)) {
        await waitMs(STANDBY_POLL_INTERVAL_MS);
        continue;
      }
      const startedAt = performance.now();
      try {
        const hasChanged = await this.#readOnce(set, state);
        if (hasChanged) await waitMs(this.#getCoalesceMs(set));
      } catch (error) {
        if (this.#isStopped) return;
        if (state.watchController.signal.aborted) continue;
        this.#recordFailure(set, state, error, startedAt);
        const isFirstRetry = state.outage.failures === 1;
        await waitMs(
          this.#hasPeerWithStore() && !isFirstRetry
            ? STORE_PROBE_INTERVAL_MS
            : RETRY_DELAY_MS,
        );
      }
    }
  }

  #getCoalesceMs(set: PublishedSet): Milliseconds {
    switch (set) {
      case PublishedSet.Configuration:
        return CONFIGURATION_COALESCE_MS;
      case PublishedSet.Upstreams:
        return UPSTREAM_COALESCE_SHARE * this.#options.leavingMs;
    }
  }

  /**
   * Returns whether this daemon should read the store. One daemon per failure
   * domain does; so does any that has no data yet, whose last call to the store
   * failed, or that failed to get changes from a peer.
   */
  #needsStoreRead(state: SetState): boolean {
    if (state.mirror.asOf === 0 || state.outage.failures > 0) return true;
    if (state.peerSelector.needsStore) return true;
    return this.#options.fleet.isStoreReader(true, performance.now());
  }

  #hasPeerWithStore(): boolean {
    return this.#options.fleet.listAlive(performance.now())
      .some((heartbeat) => heartbeat.hasStore);
  }

  /** Reads or watches the store once; returns whether there were changes. */
  async #readOnce(set: PublishedSet, state: SetState): Promise<boolean> {
    const { store } = this.#options;
    state.watchController = new AbortController();
    if (state.needsSnapshot || state.mirror.asOf === 0) {
      const reading = await store.readAll(set);
      const batch = this.#assignEra(set, state, reading);
      state.needsSnapshot = false;
      this.#recordSuccess(set, state, batch);
      return true;
    }
    const waitMs = state.outage.failures > 0
      ? PROBE_WATCH_MS
      : WATCH_TIMEOUT_MS;
    const result = await store.watch(
      set,
      state.mirror.asOf,
      waitMs,
      state.watchController.signal,
    );
    switch (result.kind) {
      case "batch": {
        const batch = this.#assignEra(set, state, result.batch);
        // The changes before this one, since the restore, are unknown.
        if (batch.era > state.mirror.era) {
          state.needsSnapshot = true;
          return false;
        }
        this.#recordSuccess(set, state, batch);
        return batch.changes.length > 0;
      }
      case "historyGone":
        this.#options.log.info("storeHistoryGone", {
          set,
          revision: state.mirror.asOf,
        });
        state.needsSnapshot = true;
        return false;
    }
  }

  /**
   * Returns the batch with its era: the last known one if the store named none.
   * Throws a StepError if it is an earlier one than a peer has passed on.
   */
  #assignEra(
    set: PublishedSet,
    state: SetState,
    reading: StoreReading,
  ): StoreBatch {
    const knownEra = state.mirror.era;
    const isEraKnown = reading.era !== undefined || knownEra === 0;
    if (!isEraKnown && state.isEraKnown) {
      this.#options.log.warn("storeEraUnknown", { set, era: knownEra });
    }
    state.isEraKnown = isEraKnown;
    const era = reading.era ?? knownEra;
    if (era < knownEra) {
      throw new StepError(`expected era ${knownEra} or later, got ${era}`, {
        step: `read ${set}`,
        peer: "store",
      });
    }
    return { ...reading, era };
  }

  #recordSuccess(set: PublishedSet, state: SetState, batch: StoreBatch): void {
    const now = performance.now();
    const isAfterOutage = state.outage.recordAnswer(now);
    if (isAfterOutage) state.outageEndedAt = now;
    if (!state.isStoreAnswering) {
      state.isStoreAnswering = true;
      this.#options.log.info("storeRegained", { set, revision: batch.asOf });
    }
    this.#applyBatch(set, batch, isAfterOutage, "store");
  }

  #recordFailure(
    set: PublishedSet,
    state: SetState,
    error: unknown,
    startedAt: Milliseconds,
  ): void {
    const { log, metrics } = this.#options;
    metrics.count("store_failure", set);
    if (state.isStoreAnswering) {
      log.warn("storeLost", { set, detail: describeStep(error) });
    }
    state.isStoreAnswering = false;
    const hasTimedOut = error instanceof HttpRequestError && error.hasTimedOut;
    state.outage.recordFailure({ startedAt, hasTimedOut }, performance.now());
  }

  #applyBatch(
    set: PublishedSet,
    batch: StoreBatch,
    isAfterOutage: boolean,
    source: string,
  ): void {
    const { decoder, view, log } = this.#options;
    const state = this.#getState(set);
    const now = performance.now();
    const before = state.mirror.position;
    const changes = state.mirror.applyBatch(batch, isAfterOutage);
    const { era } = state.mirror;
    const isRestored = era > before.era && before.revision > 0;
    let hasRelevantChange = isRestored;
    if (era > before.era) state.newest = { era, revision: 0 };
    if (isRestored) this.#recordRestore(set, before, source);
    for (const change of changes) {
      const { revision } = change;
      const decoded = decoder.decode(change);
      const isRelevant = view.apply(decoded, {
        position: { era, revision },
        contentHash: decoded.kind === "configuration"
          ? hashText(change.value ?? "")
          : 0,
        isAfterOutage: change.mayHaveLapsed ?? false,
        isRestored,
      }, now);
      if (isRelevant || decoded.kind === "upstreamGone") {
        hasRelevantChange = true;
        this.#advanceNewest(state, { era, revision });
      }
      switch (decoded.kind) {
        case "unusable":
          if (change.value !== undefined) {
            log.warn("entryUnusable", {
              key: decoded.key,
              reason: decoded.reason,
            });
          }
          break;
        case "configuration":
          log.info("configurationInForce", {
            version: decoded.configuration.version,
            versionInForce: view.configuration?.version,
            era,
            revision,
            source,
            isNews: isRelevant,
          });
          break;
        case "upstream":
          if (!isRelevant) break;
          log.info("upstreamChanged", {
            upstream: decoded.upstream.id,
            isLeaving: decoded.upstream.isLeaving,
            address: decoded.upstream.address,
            revision,
            source,
          });
          break;
        case "upstreamGone":
          log.info("upstreamGone", {
            upstream: decoded.id,
            revision,
            isAfterOutage: change.mayHaveLapsed,
            isRestored,
            source,
          });
          break;
        case "adapterVersion":
          log.info("adapterVersionDeclared", {
            adapter: decoded.adapterPath,
            version: decoded.version,
            source,
          });
          break;
      }
    }
    if (hasRelevantChange) this.#options.handleChange();
  }

  #recordRestore(
    set: PublishedSet,
    before: StorePosition,
    source: string,
  ): void {
    const { log, metrics } = this.#options;
    metrics.count("store_restores", set);
    log.warn("storeRestored", {
      set,
      before,
      after: this.#getState(set).mirror.position,
      source,
    });
    this.#reloadOtherSets(set);
  }

  /**
   * Reads the sets again that are of an earlier era than this one. Their watches
   * may go on in the restored store, and then end with their wait only.
   */
  #reloadOtherSets(set: PublishedSet): void {
    const { era } = this.#getState(set).mirror;
    for (const state of this.#sets.values()) {
      if (state.mirror.era >= era || state.mirror.asOf === 0) continue;
      state.needsSnapshot = true;
      state.watchController.abort();
    }
  }

  #advanceNewest(state: SetState, position: StorePosition): void {
    if (comparePositions(position, state.newest) > 0) state.newest = position;
  }

  #tick(): void {
    const now = performance.now();
    const { view, log } = this.#options;
    if (view.applyDeferred(now)) {
      log.info("deferredConfigurationInForce", {
        version: view.configuration?.version,
      });
      this.#options.handleChange();
    }
    const expired = this.#options.view.removeLapsed(now);
    for (const upstream of expired) {
      this.#options.log.info("upstreamLapsed", { upstream });
    }
    for (const set of SETS) this.#comparePeers(set, now);
  }

  #comparePeers(set: PublishedSet, now: Milliseconds): void {
    const state = this.#getState(set);
    const ownDomain = this.#options.fleet.self.failureDomain;
    const newerPeers = this.#options.fleet.listAlive(now)
      .map(({ sender, revisions, eras }) => ({
        id: sender.id,
        ip: sender.ip,
        position: { era: eras?.[set] ?? 0, revision: revisions[set] },
        isSameDomain: sender.failureDomain === ownDomain,
      }))
      .filter(({ position }) => comparePositions(position, state.newest) > 0);
    if (newerPeers.length === 0) {
      state.behindSince = undefined;
      state.peerSelector.recordCaughtUp();
      return;
    }
    state.behindSince ??= now;
    const isWithinTolerance =
      this.#options.fleet.isStoreReader(state.outage.failures === 0, now) &&
      now - state.behindSince < LAG_TOLERANCE_MS;
    if (isWithinTolerance || state.isFetchingFromPeer) return;
    const peer = state.peerSelector.choosePeer(newerPeers, now);
    if (!peer) return;
    state.isFetchingFromPeer = true;
    void this.#fetchFromPeer(set, state, peer).finally(() => {
      state.isFetchingFromPeer = false;
    });
  }

  async #fetchFromPeer(
    set: PublishedSet,
    state: SetState,
    peer: NewerPeer,
  ): Promise<void> {
    const address = `${peer.ip}:${this.#options.listen.port}`;
    try {
      const answer = await sendHttpRequest({
        step: "fetch the published view from a peer",
        address,
        method: "GET",
        path:
          `${PEER_PATH}?set=${set}&era=${state.mirror.era}&after=${state.mirror.asOf}`,
        timeoutMs: PEER_TIMEOUT_MS,
        memory: this.#options.memory,
        agent: this.#agent,
      });
      const peerBatch = decodePeerBatch(answer.body);
      this.#applyBatch(set, peerBatch.batch, peerBatch.isAfterOutage, peer.ip);
      // What the peer has beyond the batch is no change that peers learn of.
      if (comparePositions(state.mirror.position, peer.position) >= 0) {
        this.#advanceNewest(state, peer.position);
      }
    } catch (error) {
      state.peerSelector.recordFailure(peer.id, performance.now());
      this.#options.metrics.count("peer_view_failure", set);
      this.#options.log.info("peerViewUnread", {
        peer: address,
        detail: describeError(error),
      });
    }
  }

  /** Binds the port at which peers fetch the view. */
  listen(): Promise<unknown> {
    const { ip, port } = this.#options.listen;
    const server = createServer((request, response) => {
      const [path, query] = (request.url ?? "").split("?");
      const parameters = new URLSearchParams(query);
      const set = SETS.find((each) => each === parameters.get("set"));
      if (path !== PEER_PATH || !set) {
        response.writeHead(404).end();
        return;
      }
      const after = {
        era: Number(parameters.get("era")) || 0,
        revision: Number(parameters.get("after")) || 0,
      };
      const state = this.#getState(set);
      response.setHeader("Content-Type", "application/gzip");
      response.end(encodePeerBatch({
        batch: state.mirror.buildBatchAfter(after),
        isAfterOutage:
          performance.now() - state.outageEndedAt < OUTAGE_REPORT_MS,
      }));
    });
    this.#options.limitClients?.(server);
    this.#server = server;
    return listen(server, `${ip}:${port}`);
  }

  #getState(set: PublishedSet): SetState {
    const state = this.#sets.get(set);
    if (!state) throw new Error(`expected one of ${SETS}, got ${set}`);
    return state;
  }
}

function createSetState(selfId: string): SetState {
  return {
    mirror: new StoreMirror(),
    needsSnapshot: true,
    isStoreAnswering: false,
    outage: new StoreOutage(),
    outageEndedAt: Number.NEGATIVE_INFINITY,
    behindSince: undefined,
    isFetchingFromPeer: false,
    peerSelector: new SyncPeerSelector(selfId),
    newest: START_POSITION,
    watchController: new AbortController(),
    isEraKnown: true,
  };
}
