/**
 * Peers, their liveness as heard from themselves, and the ownership of
 * upstreams. The platform's host list names the peers; heartbeats judge them.
 */
import { findRendezvousWinner } from "../hashing.ts";
import type { HeartbeatMessage, UpstreamDigest } from "../messages.ts";
import {
  type HostListStructure,
  HostRole,
  HostState,
  type HostStructure,
  type Milliseconds,
  type PoolStructure,
} from "../structures.ts";
import { AdapterIndex } from "./adapter_index.ts";
import { PoolIndex } from "./pool_index.ts";

export interface MembershipOptions {
  selfId: string;
  failureDomain: string;
  peerTimeoutMs: Milliseconds;
}

interface Peer {
  id: string;
  failureDomain: string;
  incarnation: string;
  sequence: number;
  lastHeardAt: Milliseconds;
  isLeaving: boolean;
  tablesRevision: number;
  hostListRevision: number;
}

/** What an owner last published of an upstream, with its age. */
export interface UpstreamView {
  ownerId: string;
  heardAt: Milliseconds;
  digest: UpstreamDigest;
}

/** Key under which the daemons of a failure domain rank as keepers of its part of the store. */
const STORE_KEY = "store";

export class Membership {
  readonly #options: MembershipOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #views = new Map<string, UpstreamView>();
  #entryHosts: HostStructure[] = [];
  readonly #adapters = new AdapterIndex();
  #upstreamHosts = new Map<string, HostStructure>();
  #pools = new PoolIndex([]);
  #isSelfLeaving = false;

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Takes the hosts of a newer host list. */
  applyHostList(list: HostListStructure): void {
    this.#entryHosts = list.hosts.filter((host) =>
      host.role === HostRole.Entry
    );
    this.#upstreamHosts = new Map(
      list.hosts.filter((host) => host.role === HostRole.Upstream)
        .map((host) => [host.id, host]),
    );
    this.#pools = new PoolIndex(this.#upstreamHosts.values());
    const known = new Set(this.#entryHosts.map((host) => host.id));
    for (const id of this.#peers.keys()) {
      if (!known.has(id)) this.#peers.delete(id);
    }
  }

  markSelfLeaving(): void {
    this.#isSelfLeaving = true;
  }

  /** Records a heartbeat; returns false for one that is late or repeated. */
  recordHeartbeat(
    from: string,
    heartbeat: HeartbeatMessage,
    now: Milliseconds,
  ): boolean {
    const known = this.#peers.get(from);
    const isOld = known?.incarnation === heartbeat.incarnation &&
      heartbeat.sequence <= known.sequence;
    if (isOld) return false;
    this.#peers.set(from, {
      id: from,
      failureDomain: heartbeat.failureDomain,
      incarnation: heartbeat.incarnation,
      sequence: heartbeat.sequence,
      lastHeardAt: now,
      isLeaving: heartbeat.leaving,
      tablesRevision: heartbeat.tablesRevision,
      hostListRevision: heartbeat.hostListRevision,
    });
    for (const digest of heartbeat.upstreams) {
      this.#setView({ ownerId: from, heardAt: now, digest });
    }
    return true;
  }

  /** Takes every peer for unheard, after a pause of this process. */
  expireAll(): void {
    for (const peer of this.#peers.values()) {
      peer.lastHeardAt = Number.NEGATIVE_INFINITY;
    }
    this.#views.clear();
    this.#adapters.clear();
  }

  isPeerLive(id: string, now: Milliseconds): boolean {
    const peer = this.#peers.get(id);
    return peer !== undefined &&
      now - peer.lastHeardAt < this.#options.peerTimeoutMs;
  }

  /** Returns the peers to which heartbeats go: every entry host but this one. */
  getPeerHosts(): HostStructure[] {
    return this.#entryHosts.filter((host) => host.id !== this.#options.selfId);
  }

  getEntryHost(id: string): HostStructure | undefined {
    return this.#entryHosts.find((host) => host.id === id);
  }

  getUpstreamHost(id: string): HostStructure | undefined {
    return this.#upstreamHosts.get(id);
  }

  getUpstreamHosts(): Iterable<HostStructure> {
    return this.#upstreamHosts.values();
  }

  /** Returns whether every peer of this failure domain has been heard of lately. */
  hasHeardAllDomainPeers(now: Milliseconds): boolean {
    return this.getPeerHosts().every((host) =>
      host.failureDomain !== this.#options.failureDomain ||
      host.state === HostState.Leaving || this.isPeerLive(host.id, now)
    );
  }

  /** Returns the daemon that owns the upstream as seen from here, or undefined. */
  getOwnerId(upstreamId: string, now: Milliseconds): string | undefined {
    const upstream = this.#upstreamHosts.get(upstreamId);
    if (!upstream) return undefined;
    const candidates = this.#entryHosts.filter((host) =>
      host.failureDomain === upstream.failureDomain && this.#canOwn(host, now)
    );
    return findRendezvousWinner(upstreamId, candidates)?.id;
  }

  /** Returns the owner that would follow this daemon, or undefined. */
  getSuccessorId(upstreamId: string, now: Milliseconds): string | undefined {
    const upstream = this.#upstreamHosts.get(upstreamId);
    if (!upstream) return undefined;
    const candidates = this.#entryHosts.filter((host) =>
      host.id !== this.#options.selfId &&
      host.failureDomain === upstream.failureDomain && this.#canOwn(host, now)
    );
    return findRendezvousWinner(upstreamId, candidates)?.id;
  }

  /** Returns the upstreams that the pool selects, without a scan of the host list. */
  getPoolUpstreams(pool: PoolStructure): readonly HostStructure[] {
    return this.#pools.getPoolUpstreams(pool);
  }

  /**
   * Returns the upstreams on which the adapter was last published as resident
   * or loading; `getUpstreamView` tells whether that still holds.
   */
  getAdapterUpstreamIds(adapterKey: string): ReadonlySet<string> {
    return this.#adapters.getUpstreamIds(adapterKey);
  }

  /** Returns the daemon that keeps a failure domain's part of the weight store, as seen from here. */
  getStoreKeeperId(
    failureDomain: string,
    now: Milliseconds,
  ): string | undefined {
    const candidates = this.#entryHosts.filter((host) =>
      host.failureDomain === failureDomain && this.#canOwn(host, now)
    );
    return findRendezvousWinner(STORE_KEY, candidates)?.id;
  }

  /** Returns the keepers of the other failure domains. */
  listOtherStoreKeeperIds(now: Milliseconds): string[] {
    return this.listEntryDomains()
      .filter((domain) => domain !== this.#options.failureDomain)
      .map((domain) => this.getStoreKeeperId(domain, now))
      .filter((id) => id !== undefined);
  }

  /** Returns the failure domains that have entry hosts, in order. */
  listEntryDomains(): string[] {
    return [...new Set(this.#entryHosts.map((host) => host.failureDomain))]
      .sort();
  }

  /** Returns the last digest of the upstream if its owner still speaks. */
  getUpstreamView(
    upstreamId: string,
    now: Milliseconds,
  ): UpstreamView | undefined {
    const view = this.#views.get(upstreamId);
    if (!view || now - view.heardAt >= this.#options.peerTimeoutMs) {
      return undefined;
    }
    return view;
  }

  /**
   * Returns an upstream of the same service, other than the given one, that
   * has the adapter, or that is about to load it and comes before it in order.
   */
  findHolder(
    adapterKey: string,
    upstream: HostStructure,
    now: Milliseconds,
  ): string | undefined {
    for (const [id, { digest, heardAt }] of this.#views) {
      if (id === upstream.id || !digest.up || digest.leaving) continue;
      if (now - heardAt >= this.#options.peerTimeoutMs) continue;
      if (this.#upstreamHosts.get(id)?.service !== upstream.service) continue;
      if (digest.residents.includes(adapterKey)) return id;
      if (id < upstream.id && digest.loading.includes(adapterKey)) return id;
    }
    return undefined;
  }

  /** Records what this daemon, as the owner, knows of the upstream. */
  recordOwnView(digest: UpstreamDigest, now: Milliseconds): void {
    this.#setView({ ownerId: this.#options.selfId, heardAt: now, digest });
  }

  /** Returns the live daemons of this failure domain, this one included. */
  countLiveDomainDaemons(now: Milliseconds): number {
    return this.#entryHosts.filter((host) =>
      host.failureDomain === this.#options.failureDomain &&
      this.#canOwn(host, now)
    ).length;
  }

  /** Returns the peers as an operator sees them. */
  describePeers(now: Milliseconds): {
    id: string;
    failureDomain: string;
    live: boolean;
    leaving: boolean;
    tablesRevision: number;
    silentMs: number | null;
  }[] {
    return this.getPeerHosts().map((host) => {
      const peer = this.#peers.get(host.id);
      return {
        id: host.id,
        failureDomain: host.failureDomain,
        live: this.isPeerLive(host.id, now),
        leaving: peer?.isLeaving ?? host.state === HostState.Leaving,
        tablesRevision: peer?.tablesRevision ?? 0,
        silentMs: peer && Number.isFinite(peer.lastHeardAt)
          ? Math.round(now - peer.lastHeardAt)
          : null,
      };
    });
  }

  #setView(view: UpstreamView): void {
    const { upstreamId } = view.digest;
    this.#adapters.update(this.#views.get(upstreamId)?.digest, view.digest);
    this.#views.set(upstreamId, view);
  }

  #canOwn(host: HostStructure, now: Milliseconds): boolean {
    if (host.id === this.#options.selfId) return !this.#isSelfLeaving;
    const peer = this.#peers.get(host.id);
    return peer !== undefined && !peer.isLeaving &&
      this.isPeerLive(host.id, now);
  }
}
