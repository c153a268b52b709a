/**
 * Keeps the published view up to date: watches the platform's store and, if the
 * store doesn't answer or a peer has a newer revision, fetches the changes from
 * a peer. Changes of an older revision are ignored.
 */
import { Agent, createServer, type Server } from "node:http";
import type { FleetView } from "../core/fleet/fleet_view.ts";
import type { MemoryBudget } from "../core/limits/memory_budget.ts";
import type { Milliseconds } from "../core/structures.ts";
import { SyncPeerSelector } from "../core/view/sync_peer_selector.ts";
import type { PublishedView } from "../core/view/published_view.ts";
import { type StoreBatch, StoreMirror } from "../core/view/store_mirror.ts";
import { describeError, describeStep } from "../daemon/step_error.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { sendHttpRequest } from "./http_client.ts";
import { decodePeerBatch, encodePeerBatch } from "./peer_batch.ts";
import {
  type ChangeDecoder,
  PublishedSet,
  type PublishedStore,
} from "./ports.ts";
import { waitMs } from "./wait.ts";

/**
 * How long one watch request waits for changes; bounds how long a dead
 * connection goes unnoticed.
 */
const WATCH_TIMEOUT_MS = 2_000;
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
 * can.
 */
const STORE_PROBE_INTERVAL_MS = 1_000;
/**
 * Time without an answer from the store after which missing entries count as
 * lapsed rather than removed.
 */
const OUTAGE_THRESHOLD_MS = 1_000;
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
  /** Whether the last call to the store failed. */
  hasFailed: boolean;
  /** When the store last answered again after an outage. */
  outageEndedAt: Milliseconds;
  lastAnsweredAt: Milliseconds;
  behindSince: Milliseconds | undefined;
  isFetchingFromPeer: boolean;
  peerSelector: SyncPeerSelector;
  /** Newest revision among the changes that peers should learn of. */
  newestRevision: number;
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
  /** Budget for the answers of peers while they are read. */
  memory: MemoryBudget;
  /** Called after a change that peers should learn of. */
  handleChange: () => void;
}

export class ViewSynchronizer {
  readonly #options: ViewSynchronizerOptions;
  readonly #sets = new Map<PublishedSet, SetState>();
  readonly #agent = new Agent({ keepAlive: false });
  #server: Server | undefined;
  #isStopped = false;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: ViewSynchronizerOptions) {
    this.#options = options;
    const { id } = options.fleet.self;
    for (const set of SETS) this.#sets.set(set, createSetState(id));
  }

  async start(): Promise<void> {
    await this.#listen();
    for (const set of SETS) void this.#watchStore(set);
    this.#timer = setInterval(() => this.#tick(), PEER_COMPARE_INTERVAL_MS);
  }

  /**
   * Returns whether this daemon's last calls to the store succeeded; true
   * before the first one.
   */
  isStoreReachable(): boolean {
    return [...this.#sets.values()].every((state) => !state.hasFailed);
  }

  getRevisions(): { configuration: number; upstreams: number } {
    return {
      configuration: this.#getState(PublishedSet.Configuration).newestRevision,
      upstreams: this.#getState(PublishedSet.Upstreams).newestRevision,
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
        state.lastAnsweredAt = performance.now();
        await waitMs(STANDBY_POLL_INTERVAL_MS);
        continue;
      }
      try {
        const hasChanged = await this.#readOnce(set, state);
        if (hasChanged) await waitMs(this.#getCoalesceMs(set));
      } catch (error) {
        if (this.#isStopped) return;
        this.#recordFailure(set, state, error);
        await waitMs(
          this.#hasPeerWithStore() ? STORE_PROBE_INTERVAL_MS : RETRY_DELAY_MS,
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
    if (state.mirror.asOf === 0 || state.hasFailed) return true;
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
    if (state.needsSnapshot || state.mirror.asOf === 0) {
      const batch = await store.readAll(set);
      state.needsSnapshot = false;
      this.#recordSuccess(set, state, batch);
      return true;
    }
    const result = await store.watch(set, state.mirror.asOf, WATCH_TIMEOUT_MS);
    switch (result.kind) {
      case "batch":
        this.#recordSuccess(set, state, result.batch);
        return result.batch.changes.length > 0;
      case "historyGone":
        this.#options.log.info("storeHistoryGone", {
          set,
          revision: state.mirror.asOf,
        });
        state.needsSnapshot = true;
        return false;
    }
  }

  #recordSuccess(set: PublishedSet, state: SetState, batch: StoreBatch): void {
    const now = performance.now();
    const isAfterOutage =
      now - state.lastAnsweredAt > WATCH_TIMEOUT_MS + OUTAGE_THRESHOLD_MS ||
      (!state.isStoreAnswering &&
        now - state.lastAnsweredAt > OUTAGE_THRESHOLD_MS);
    state.lastAnsweredAt = now;
    state.hasFailed = false;
    if (isAfterOutage) state.outageEndedAt = now;
    if (!state.isStoreAnswering) {
      state.isStoreAnswering = true;
      this.#options.log.info("storeRegained", { set, revision: batch.asOf });
    }
    this.#applyBatch(set, batch, isAfterOutage, "store");
  }

  #recordFailure(set: PublishedSet, state: SetState, error: unknown): void {
    const { log, metrics } = this.#options;
    metrics.count("store_failure", set);
    if (state.isStoreAnswering) {
      log.warn("storeLost", { set, detail: describeStep(error) });
    }
    state.isStoreAnswering = false;
    state.hasFailed = true;
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
    let hasRelevantChange = false;
    for (const change of state.mirror.applyBatch(batch)) {
      const decoded = decoder.decode(change);
      const isRelevant = view.apply(decoded, isAfterOutage, now);
      if (isRelevant || decoded.kind === "upstreamGone") {
        hasRelevantChange = true;
        state.newestRevision = Math.max(state.newestRevision, change.revision);
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
            revision: change.revision,
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
            revision: change.revision,
            source,
          });
          break;
        case "upstreamGone":
          log.info("upstreamGone", {
            upstream: decoded.id,
            revision: change.revision,
            isAfterOutage,
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

  #tick(): void {
    const now = performance.now();
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
      .filter((heartbeat) => heartbeat.revisions[set] > state.newestRevision)
      .map(({ sender, revisions }) => ({
        id: sender.id,
        ip: sender.ip,
        revision: revisions[set],
        isSameDomain: sender.failureDomain === ownDomain,
      }));
    if (newerPeers.length === 0) {
      state.behindSince = undefined;
      state.peerSelector.recordCaughtUp();
      return;
    }
    state.behindSince ??= now;
    const isWithinTolerance =
      this.#options.fleet.isStoreReader(!state.hasFailed, now) &&
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
    peer: { id: string; ip: string },
  ): Promise<void> {
    const address = `${peer.ip}:${this.#options.listen.port}`;
    try {
      const answer = await sendHttpRequest({
        step: "fetch the published view from a peer",
        address,
        method: "GET",
        path: `${PEER_PATH}?set=${set}&after=${state.mirror.asOf}`,
        timeoutMs: PEER_TIMEOUT_MS,
        memory: this.#options.memory,
        agent: this.#agent,
      });
      const peerBatch = decodePeerBatch(answer.body);
      this.#applyBatch(set, peerBatch.batch, peerBatch.isAfterOutage, peer.ip);
    } catch (error) {
      state.peerSelector.recordFailure(peer.id, performance.now());
      this.#options.metrics.count("peer_view_failure", set);
      this.#options.log.info("peerViewUnread", {
        peer: address,
        detail: describeError(error),
      });
    }
  }

  #listen(): Promise<void> {
    const { ip, port } = this.#options.listen;
    const server = createServer((request, response) => {
      const [path, query] = (request.url ?? "").split("?");
      const parameters = new URLSearchParams(query);
      const set = SETS.find((each) => each === parameters.get("set"));
      if (path !== PEER_PATH || !set) {
        response.writeHead(404).end();
        return;
      }
      const afterRevision = Number(parameters.get("after")) || 0;
      const state = this.#getState(set);
      response.setHeader("Content-Type", "application/gzip");
      response.end(encodePeerBatch({
        batch: state.mirror.buildBatchAfter(afterRevision),
        isAfterOutage:
          performance.now() - state.outageEndedAt < OUTAGE_REPORT_MS,
      }));
    });
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, ip, resolve);
    });
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
    hasFailed: false,
    outageEndedAt: Number.NEGATIVE_INFINITY,
    lastAnsweredAt: performance.now(),
    behindSince: undefined,
    isFetchingFromPeer: false,
    peerSelector: new SyncPeerSelector(selfId),
    newestRevision: 0,
  };
}
