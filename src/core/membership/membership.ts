/**
 * Hosts, live daemons of this failure domain, owners of its upstreams, and
 * published state of the upstreams of all failure domains. The platform's host
 * list says which daemons exist; the messages they exchange say which of them
 * are alive.
 */
import { findRendezvousWinner } from "../hashing.ts";
import {
  type LinkedDomain,
  type MemberRecord,
  MemberStatus,
  PlatformReach,
  type PublishedDigest,
  type UpstreamDigest,
} from "../messages.ts";
import {
  HostState,
  type HostStructure,
  type Milliseconds,
  type PoolStructure,
} from "../structures.ts";
import { hasLoadChanged, hasResidencyChanged } from "./digest_size.ts";
import { HostDirectory } from "./host_directory.ts";
import { type Member, MemberTable, MergeResult } from "./member_table.ts";
import type { ReaderCandidate } from "./platform_reader_election.ts";
import { type UpstreamView, ViewStore } from "./view_store.ts";

export type { UpstreamView } from "./view_store.ts";

export interface MembershipOptions {
  selfId: string;
  failureDomain: string;
}

/** A peer as it is shown to operators. */
export interface PeerDescription {
  id: string;
  failureDomain: string;
  live: boolean;
  leaving: boolean;
  /**
   * Tables revision that it last reported; 0 for daemons that do not exchange
   * messages with this one.
   */
  tablesRevision: number;
  /**
   * Time since its last message; null for daemons that do not exchange messages
   * with this one.
   */
  silentMs: number | null;
}

/** Rendezvous hashing key that selects the store coordinator. */
const STORE_COORDINATOR_KEY = "weight-store";

interface CachedChoice {
  epoch: number;
  daemonId: string | undefined;
}

export class Membership {
  readonly members: MemberTable;
  readonly views = new ViewStore();
  readonly #options: MembershipOptions;
  readonly #owners = new Map<string, CachedChoice>();
  #directory = new HostDirectory([]);
  #candidates: { epoch: number; hosts: { id: string }[] } | undefined;
  #storeCoordinator: CachedChoice | undefined;
  #linkedDomains: readonly LinkedDomain[] = [];
  #epoch = 0;
  #isSelfLeaving = false;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.members = new MemberTable(options.selfId);
  }

  get directory(): HostDirectory {
    return this.#directory;
  }

  /** Increases with each change that may move an upstream to another owner. */
  get epoch(): number {
    return this.#epoch + this.members.epoch;
  }

  /** Applies a newer host list. */
  applyHostList(hosts: readonly HostStructure[]): void {
    const { selfId, failureDomain } = this.#options;
    const previous = [...this.members.getHostIds()];
    this.#directory = new HostDirectory(hosts);
    this.#epoch += 1;
    this.members.setHostIds(
      this.#directory.getDomainEntryHosts(failureDomain)
        .map((host) => host.id)
        .filter((id) => id !== selfId),
    );
    for (const id of previous) {
      if (!this.members.isHost(id)) this.views.removePublisher(id);
    }
  }

  markSelfLeaving(): void {
    this.#isSelfLeaving = true;
    this.#epoch += 1;
  }

  isSelfLeaving(): boolean {
    return this.#isSelfLeaving;
  }

  /**
   * Merges a record of another daemon; discards its published state if it died
   * or restarted.
   */
  mergeRecord(
    record: MemberRecord,
    source: string,
    now: Milliseconds,
  ): MergeResult {
    const result = this.members.merge(record, source, now);
    const isStateInvalid = result === MergeResult.Renewed ||
      (result === MergeResult.Changed && !this.members.isLive(record.id));
    if (isStateInvalid) this.views.removePublisher(record.id);
    return result;
  }

  /** Forgets all members and all views, after a pause of this process. */
  expireAll(): void {
    this.members.clear();
    this.views.clear();
    this.#epoch += 1;
  }

  /**
   * Returns whether the daemon is considered live: by the failure detector for
   * one of this failure domain; for others, by whether a link still names it as
   * the owner of an upstream.
   */
  isPeerLive(id: string): boolean {
    return this.members.isHost(id)
      ? this.members.isLive(id)
      : this.views.isOwner(id);
  }

  /**
   * Returns whether a message to the daemon may arrive. There is no failure
   * detector for daemons of other failure domains: for them only the host list
   * decides, and the sender has to time out.
   */
  canReachPeer(id: string): boolean {
    return this.members.isHost(id)
      ? this.members.isLive(id)
      : this.#directory.getEntryHost(id) !== undefined;
  }

  getEntryHost(id: string): HostStructure | undefined {
    return this.#directory.getEntryHost(id);
  }

  getUpstreamHost(id: string): HostStructure | undefined {
    return this.#directory.getUpstreamHost(id);
  }

  getUpstreamHosts(): Iterable<HostStructure> {
    return this.#directory.getUpstreamHosts();
  }

  /** Returns the upstreams of this failure domain. */
  getDomainUpstreams(): readonly HostStructure[] {
    return this.#directory.getDomainUpstreams(this.#options.failureDomain);
  }

  /** Returns the upstreams that the pool selects, from an index. */
  getPoolUpstreams(pool: PoolStructure): readonly HostStructure[] {
    return this.#directory.getPoolUpstreams(pool);
  }

  /** Returns the upstream if the pool selects it. */
  getPoolUpstream(pool: PoolStructure, id: string): HostStructure | undefined {
    const host = this.#directory.getUpstreamHost(id);
    const isSelected = host?.service === pool.service &&
      pool.failureDomains.includes(host.failureDomain);
    return isSelected ? host : undefined;
  }

  /**
   * Returns the upstreams on which the adapter is published as resident or
   * loading.
   */
  getAdapterUpstreamIds(adapterKey: string): ReadonlySet<string> {
    return this.views.getAdapterUpstreamIds(adapterKey);
  }

  /**
   * Returns the last published view of the upstream, or undefined if no live
   * daemon publishes it.
   */
  getUpstreamView(upstreamId: string): UpstreamView | undefined {
    return this.views.getView(upstreamId);
  }

  /**
   * Records the digest of an upstream that this daemon owns; returns the stored
   * digest, which keeps the previous arrays if the residency is the same.
   */
  recordOwnView(digest: UpstreamDigest, now: Milliseconds): UpstreamDigest {
    const { selfId } = this.#options;
    const known = this.views.getPublished(selfId, digest.upstreamId)?.digest;
    const isResidencySame = known !== undefined &&
      !hasResidencyChanged(known, digest);
    if (isResidencySame && !hasLoadChanged(known, digest)) return known;
    const kept = isResidencySame
      ? { ...digest, residents: known.residents, loading: known.loading }
      : digest;
    this.views.set(selfId, { ownerId: selfId, digest: kept }, now);
    return kept;
  }

  /** Removes the view of an upstream that this daemon no longer owns. */
  removeOwnView(upstreamId: string): void {
    this.views.remove(this.#options.selfId, upstreamId);
  }

  /**
   * Returns whether there is a record of every daemon of this failure domain.
   */
  isEveryDomainPeerKnown(): boolean {
    return this.members.isEveryHostKnown();
  }

  /**
   * Returns the daemon that owns the upstream in this daemon's view, or
   * undefined.
   */
  getOwnerId(upstreamId: string): string | undefined {
    const host = this.#directory.getUpstreamHost(upstreamId);
    if (!host) return undefined;
    if (host.failureDomain !== this.#options.failureDomain) {
      return this.views.getView(upstreamId)?.ownerId;
    }
    const known = this.#owners.get(upstreamId);
    if (known?.epoch === this.epoch) return known.daemonId;
    const ownerId = findRendezvousWinner(upstreamId, this.#getCandidates())?.id;
    this.#owners.set(upstreamId, { epoch: this.epoch, daemonId: ownerId });
    return ownerId;
  }

  /**
   * Returns the daemon that would own the upstream if this one left, or
   * undefined.
   */
  getSuccessorId(upstreamId: string): string | undefined {
    const candidates = this.#getCandidates().filter((host) =>
      host.id !== this.#options.selfId
    );
    return findRendezvousWinner(upstreamId, candidates)?.id;
  }

  /** Replaces the views received over links from other failure domains. */
  setRemoteViews(
    remote: ReadonlyMap<string, PublishedDigest>,
    now: Milliseconds,
  ): void {
    const { selfId } = this.#options;
    for (const { ownerId, digest } of this.views.listPublished(selfId)) {
      const { upstreamId } = digest;
      if (ownerId !== selfId && !remote.has(upstreamId)) {
        this.views.remove(selfId, upstreamId);
      }
    }
    for (const [upstreamId, published] of remote) {
      const known = this.views.getPublished(selfId, upstreamId);
      const isSame = known?.digest === published.digest &&
        known.ownerId === published.ownerId;
      if (!isSame) this.views.set(selfId, published, now);
    }
  }

  /** Sets the failure domains that send updates to this daemon over a link. */
  setLinkedDomains(domains: readonly LinkedDomain[]): void {
    this.#linkedDomains = domains;
  }

  /**
   * Returns the store coordinator of a failure domain: for this domain selected
   * from its live daemons, for others as reported over links.
   */
  getStoreCoordinatorId(failureDomain: string): string | undefined {
    if (failureDomain !== this.#options.failureDomain) {
      return this.#findLinkedDomain(failureDomain)?.storeKeeperId || undefined;
    }
    if (this.#storeCoordinator?.epoch !== this.epoch) {
      this.#storeCoordinator = {
        epoch: this.epoch,
        daemonId: findRendezvousWinner(
          STORE_COORDINATOR_KEY,
          this.#getCandidates(),
        )?.id,
      };
    }
    return this.#storeCoordinator.daemonId;
  }

  /**
   * Returns the store coordinators of the other failure domains that are known
   * from links.
   */
  listOtherStoreCoordinatorIds(): string[] {
    return this.#directory.listOtherDomains(this.#options.failureDomain)
      .map((domain) => this.getStoreCoordinatorId(domain))
      .filter((id) => id !== undefined);
  }

  /** Returns the failure domains that have entry hosts, sorted. */
  listEntryDomains(): readonly string[] {
    return this.#directory.listEntryDomains();
  }

  /**
   * Returns another upstream of the same service that has the adapter, or that
   * is loading it and has a lower id than the given one. The order of the ids
   * prevents two upstreams that load the adapter from redirecting to each
   * other.
   */
  findRedirectTarget(
    adapterKey: string,
    upstream: HostStructure,
  ): string | undefined {
    for (const id of this.getAdapterUpstreamIds(adapterKey)) {
      const view = this.getUpstreamView(id);
      if (id === upstream.id || !view?.digest.up || view.digest.leaving) {
        continue;
      }
      if (this.getUpstreamHost(id)?.service !== upstream.service) continue;
      const isTarget = view.digest.residents.includes(adapterKey) ||
        id < upstream.id;
      if (isTarget) return id;
    }
    return undefined;
  }

  /**
   * Returns the other live daemons of this failure domain that are not leaving.
   */
  listNonLeavingPeers(): Member[] {
    return [...this.members.getAll()].filter((member) =>
      member.status !== MemberStatus.Dead && !member.leaving
    );
  }

  /** Returns the daemons of this failure domain of which there is no record. */
  listUnknownPeers(): ReaderCandidate[] {
    return this.members.listMissingHosts()
      .filter((id) => this.members.get(id) === undefined)
      .map((id) => ({ id, platformReach: PlatformReach.NotReading }));
  }

  /** Describes the peers for operators. */
  describePeers(now: Milliseconds): PeerDescription[] {
    return [...this.#directory.getEntryHosts()]
      .filter((host) => host.id !== this.#options.selfId)
      .map((host) => {
        const member = this.members.get(host.id);
        return {
          id: host.id,
          failureDomain: host.failureDomain,
          live: this.isPeerLive(host.id),
          leaving: member?.leaving ?? host.state === HostState.Leaving,
          tablesRevision: member?.tablesRevision ?? 0,
          silentMs: member && Number.isFinite(member.lastHeardAt)
            ? Math.round(now - member.lastHeardAt)
            : null,
        };
      });
  }

  #findLinkedDomain(failureDomain: string): LinkedDomain | undefined {
    const isMatch = (domain: LinkedDomain): boolean =>
      domain.failureDomain === failureDomain;
    const direct = this.#linkedDomains.find(isMatch);
    if (direct) return direct;
    for (const member of this.members.getAll()) {
      if (member.status === MemberStatus.Dead) continue;
      const advertised = member.linkedDomains.find(isMatch);
      if (advertised) return advertised;
    }
    return undefined;
  }

  /** Returns the daemons of this failure domain that may own upstreams. */
  #getCandidates(): { id: string }[] {
    if (this.#candidates?.epoch === this.epoch) return this.#candidates.hosts;
    const hosts: { id: string }[] = this.listNonLeavingPeers();
    const { selfId } = this.#options;
    if (!this.#isSelfLeaving) hosts.push({ id: selfId });
    const listed = hosts.filter((host) =>
      this.#directory.getEntryHost(host.id)
    );
    this.#candidates = { epoch: this.epoch, hosts: listed };
    return listed;
  }
}
