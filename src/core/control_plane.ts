/**
 * Control plane of one daemon: membership, distribution of the tables and the
 * host list, and the choice whether this daemon polls the platform itself.
 */
import type { CoreSettings } from "./core_settings.ts";
import type { Effect } from "./effects.ts";
import { rankByRendezvous } from "./hashing.ts";
import type { Membership } from "./membership/membership.ts";
import { PeerProtocol } from "./membership/peer_protocol.ts";
import { PlatformReaderElection } from "./membership/platform_reader_election.ts";
import type {
  ControlMessage,
  EvictionDigest,
  StrikeDigest,
  TablesDelta,
  UpstreamDigest,
} from "./messages.ts";
import type {
  HostListStructure,
  HostStructure,
  Milliseconds,
  TablesStructure,
} from "./structures.ts";
import { RevisionSource, TableExchange } from "./tables/table_exchange.ts";
import type { TableReplica } from "./tables/table_replica.ts";

export interface ControlPlaneOptions {
  selfId: string;
  incarnation: string;
  failureDomain: string;
  settings: CoreSettings;
  seedHosts: readonly HostStructure[];
  tables: TableReplica;
  membership: Membership;
  emit: (effect: Effect) => void;
  getStrikes: (now: Milliseconds) => StrikeDigest[];
  mergeStrikes: (strikes: readonly StrikeDigest[], now: Milliseconds) => void;
  mergeEvictions: (
    evictions: readonly EvictionDigest[],
    now: Milliseconds,
  ) => void;
  /** Called after newer tables or a newer host list became current. */
  handleTablesChanged: (now: Milliseconds) => void;
}

/**
 * Number of daemons in other failure domains that a starting daemon asks for
 * tables.
 */
const STARTUP_REMOTE_PEERS = 3;
/**
 * Start grace periods during which daemons that have not been heard of yet
 * still count as candidates for reading the platform.
 */
const UNKNOWN_PEER_GRACE_PERIODS = 2;
/**
 * Start grace periods after which a daemon serves with the tables that it has,
 * even if a peer has announced newer ones.
 */
const MAX_START_GRACE_PERIODS = 5;

export class ControlPlane {
  readonly #options: ControlPlaneOptions;
  readonly #protocol: PeerProtocol;
  readonly #exchange: TableExchange;
  readonly #platformReaders: PlatformReaderElection;
  /** When this process started, or resumed after its last pause. */
  #startedAt: Milliseconds;
  #hasTriedPlatform = false;
  #isReading: boolean | undefined;
  #hasQueriedRemotePeers = false;

  constructor(options: ControlPlaneOptions, now: Milliseconds) {
    const { tables, membership, emit } = options;
    this.#options = options;
    this.#startedAt = now;
    this.#platformReaders = new PlatformReaderElection(options.selfId, now);
    this.#exchange = new TableExchange(tables, {
      emit,
      handleTablesAccepted: (at) => this.#handleTablesAccepted(at),
      handleHostListAccepted: (at) => this.#handleHostListAccepted(at),
      publishTablesDelta: (delta, at) =>
        this.#protocol.publishTablesDelta(delta, at),
      publishHostListDelta: (delta, at) =>
        this.#protocol.publishHostListDelta(delta, at),
    });
    membership.applyHostList(options.seedHosts);
    this.#protocol = new PeerProtocol({
      ...options,
      getRevisions: () => ({
        tablesRevision: tables.getTablesRevision(),
        hostListRevision: tables.getHostListRevision(),
      }),
      handleRevisions: (from, revisions, at) =>
        this.#exchange.handlePeerRevisions(from, revisions, at),
      handleDeltas: (from, tablesDeltas, hostListDeltas, at) =>
        this.#exchange.handleDeltas(
          from,
          { tablesDeltas, hostListDeltas },
          RevisionSource.LocalDomain,
          at,
        ),
    });
  }

  /**
   * Returns whether the view of the peers is complete enough to assign upstreams
   * to owners: the start grace period is over, or this daemon has joined its
   * peers and knows every one in its failure domain.
   */
  hasConverged(now: Milliseconds): boolean {
    const { settings, membership } = this.#options;
    if (now - this.#startedAt >= settings.startGraceMs) return true;
    return membership.directory.countEntryHosts() > 1 &&
      this.#protocol.hasJoined() && membership.isEveryDomainPeerKnown();
  }

  /**
   * Returns whether requests may be served with the current tables. The platform
   * or a peer must have been asked for newer ones. During the first
   * `MAX_START_GRACE_PERIODS`, this daemon must also have joined its peers and
   * have every revision that they announced.
   */
  isReadyToServe(now: Milliseconds): boolean {
    const { tables, settings } = this.#options;
    if (!tables.getSnapshot() || !this.hasConverged(now)) return false;
    const hasCheckedForUpdates = this.#hasTriedPlatform ||
      this.#protocol.hasReceivedPeerState();
    const hasTimedOut = now - this.#startedAt >=
      settings.startGraceMs * MAX_START_GRACE_PERIODS;
    const isUpToDate = this.#protocol.hasJoined() &&
      !this.#exchange.isBehind(now);
    return hasCheckedForUpdates && (hasTimedOut || isUpToDate);
  }

  /** Handles the full tables as published by the platform. */
  offerTables(tables: TablesStructure, now: Milliseconds): void {
    this.#hasTriedPlatform = true;
    this.#platformReaders.recordReadResult(true, now);
    this.#exchange.offerTables(tables, now);
  }

  /** Handles a delta of the current tables as published by the platform. */
  offerPublishedDelta(delta: TablesDelta, now: Milliseconds): void {
    this.recordPlatformReached(now);
    this.#exchange.offerPublishedDelta(delta, now);
  }

  /** Handles the host list as published by the platform. */
  offerHostList(hostList: HostListStructure, now: Milliseconds): void {
    this.#exchange.offerHostList(hostList, now);
  }

  /** Records that the platform was read and has no newer revision. */
  recordPlatformReached(now: Milliseconds): void {
    this.#hasTriedPlatform = true;
    this.#platformReaders.recordReadResult(true, now);
  }

  recordPlatformUnreachable(now: Milliseconds): void {
    this.#hasTriedPlatform = true;
    this.#platformReaders.recordReadResult(false, now);
  }

  /** Publishes the state of an upstream that this daemon owns. */
  publishUpstream(digest: UpstreamDigest, now: Milliseconds): void {
    this.#protocol.publishUpstream(digest, now);
  }

  /** Publishes that this daemon no longer owns the upstream. */
  removeUpstream(upstreamId: string): void {
    this.#protocol.removeUpstream(upstreamId);
  }

  /**
   * Publishes requests that have crashed an upstream, without waiting for the
   * next round.
   */
  publishStrikes(now: Milliseconds): void {
    this.#protocol.publishStrikes(now);
  }

  /** Publishes the adapters that this daemon has evicted. */
  publishEvictions(evictions: readonly EvictionDigest[]): void {
    this.#protocol.publishEvictions(evictions);
  }

  /**
   * Announces to the failure domain, without delay, that this daemon is
   * leaving.
   */
  publishLeaving(now: Milliseconds): void {
    this.#options.membership.markSelfLeaving();
    this.#protocol.publishLeaving(now);
  }

  /** Publishes pending changes without delay, before this daemon stops. */
  flush(now: Milliseconds): void {
    this.#protocol.flush(now);
  }

  tick(now: Milliseconds): void {
    this.#requestFromRemotePeers(now);
    this.#updatePlatformReading(now);
    this.#protocol.tick(now);
    this.#exchange.tick(now);
  }

  /**
   * Discards all state about peers, which is outdated after a pause of this
   * process.
   */
  expireAll(now: Milliseconds): void {
    this.#startedAt = now;
    this.#protocol.expireAll();
    this.#platformReaders.clear(now);
  }

  handleMessage(
    from: string,
    message: ControlMessage,
    now: Milliseconds,
  ): void {
    switch (message.kind) {
      case "probe":
        this.#protocol.handleProbe(from, message, now);
        break;
      case "probeAck":
        this.#protocol.handleProbeAck(from, message, now);
        break;
      case "probeRequest":
        this.#protocol.handleProbeRequest(from, message, now);
        break;
      case "spread":
        this.#protocol.handleSpread(from, message, now);
        break;
      case "stateRequest":
        this.#protocol.handleStateRequest(from, message, now);
        break;
      case "stateTransfer":
        this.#protocol.handleStateTransfer(from, message, now);
        break;
      case "linkUpdate":
        this.#protocol.handleLinkUpdate(from, message, now);
        break;
      case "linkAck":
        this.#protocol.handleLinkAck(from, message, now);
        break;
      case "tablesRequest":
        this.#exchange.handleRequest(from, message, now);
        break;
      case "tablesTransfer":
        this.#exchange.handleDeltas(from, message, this.#getSource(from), now);
        break;
      case "chunkRequest":
        this.#exchange.handleChunkRequest(from, message, now);
        break;
      case "tablesChunk":
        this.#exchange.handleTablesChunk(
          from,
          message,
          this.#getSource(from),
          now,
        );
        break;
      case "hostListChunk":
        this.#exchange.handleHostListChunk(
          from,
          message,
          this.#getSource(from),
          now,
        );
        break;
    }
  }

  #getSource(from: string): RevisionSource {
    return this.#options.membership.members.isHost(from)
      ? RevisionSource.LocalDomain
      : RevisionSource.Outside;
  }

  /**
   * Asks daemons of other failure domains for newer tables, once. When a whole
   * failure domain starts, none of its daemons has any to offer.
   */
  #requestFromRemotePeers(now: Milliseconds): void {
    if (this.#hasQueriedRemotePeers) return;
    this.#hasQueriedRemotePeers = true;
    const { membership, failureDomain, selfId } = this.#options;
    const candidates = [...membership.directory.getEntryHosts()]
      .filter((host) => host.failureDomain !== failureDomain);
    const ranked = rankByRendezvous(selfId, candidates);
    for (const host of ranked.slice(0, STARTUP_REMOTE_PEERS)) {
      this.#exchange.sendRequest(host.id, now);
    }
  }

  /**
   * Tells the platform task to start or stop reading when the decision changes.
   */
  #updatePlatformReading(now: Milliseconds): void {
    const { membership, settings, emit } = this.#options;
    const isAwaitingPeers = !this.#protocol.hasJoined() &&
      now - this.#startedAt < settings.startGraceMs;
    const isStarting = now - this.#startedAt <
      settings.startGraceMs * UNKNOWN_PEER_GRACE_PERIODS;
    const isReading = this.#platformReaders.update({
      peers: [
        ...membership.listNonLeavingPeers(),
        ...(isStarting ? membership.listUnknownPeers() : []),
      ],
      daemonCount: membership.directory.countEntryHosts(),
      isAwaitingPeers,
      isLeaving: membership.isSelfLeaving(),
    }, now);
    this.#protocol.setPlatformReach(this.#platformReaders.getReach());
    if (isReading === this.#isReading) return;
    this.#isReading = isReading;
    emit({ kind: "readPlatform", isReading });
  }

  #handleTablesAccepted(now: Milliseconds): void {
    this.#protocol.updateTables(
      this.#options.tables.getSnapshot()?.getPools() ?? [],
    );
    this.#options.handleTablesChanged(now);
  }

  #handleHostListAccepted(now: Milliseconds): void {
    const hostList = this.#options.tables.getHostList();
    this.#options.membership.applyHostList(hostList?.getHosts() ?? []);
    this.#handleTablesAccepted(now);
  }
}
