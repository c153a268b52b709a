/**
 * Links between failure domains. For each other domain, a few daemons of this
 * one, selected by rendezvous hashing over the live ones, export a bounded
 * number of upstreams to it. The daemon that receives them publishes them in
 * its own domain.
 */
import type { Effect } from "../effects.ts";
import { rankByRendezvous } from "../hashing.ts";
import type {
  EvictionDigest,
  KnownRevisions,
  LinkAckMessage,
  LinkUpdateMessage,
  PublishedDigest,
  StrikeDigest,
} from "../messages.ts";
import type { Milliseconds, PoolStructure } from "../structures.ts";
import type { ControlIntervals } from "./control_intervals.ts";
import {
  estimateContentBytes,
  type LinkContent,
  LinkSender,
} from "./link_sender.ts";
import type { HostDirectory } from "./host_directory.ts";
import { LinkReceiver, type RemoteState } from "./link_receiver.ts";
import type { ViewStore } from "./view_store.ts";

/** Daemons that have a link to the same other failure domain. */
const LINKS_PER_DOMAIN = 2;
/** Most upstreams of one pool that are exported to another failure domain. */
const MAX_EXPORTED_PER_POOL = 8;
/** Interval between checks for changes. */
const LINK_CHECK_INTERVAL_MS = 20;
/**
 * Heartbeat intervals without a message after which the other side is
 * considered dead.
 */
const MAX_MISSED_HEARTBEATS = 4;

export interface LinkManagerOptions {
  selfId: string;
  incarnation: string;
  failureDomain: string;
  peerTimeoutMs: Milliseconds;
  intervals: ControlIntervals;
  views: ViewStore;
  emit: (effect: Effect) => void;
  getRing: () => readonly string[];
  getRevisions: () => KnownRevisions;
  getStrikes: (now: Milliseconds) => StrikeDigest[];
  /** Publishes the full state received from all other failure domains. */
  publishRemote: (remote: RemoteState, now: Milliseconds) => void;
  getStoreCoordinatorId: () => string | undefined;
}

export class LinkManager {
  readonly #options: LinkManagerOptions;
  readonly #receiver = new LinkReceiver();
  readonly #links = new Map<string, LinkSender>();
  readonly #exportedIds = new Map<string, string[]>();
  #directory: HostDirectory;
  #pools: readonly PoolStructure[] = [];
  #ring: readonly string[] | undefined;
  #lastCheckAt = Number.NEGATIVE_INFINITY;

  constructor(options: LinkManagerOptions, directory: HostDirectory) {
    this.#options = options;
    this.#directory = directory;
  }

  setDirectory(directory: HostDirectory): void {
    this.#directory = directory;
    this.#exportedIds.clear();
    this.#ring = undefined;
  }

  /** Sends evictions in this failure domain to the others. */
  addEvictions(evictions: readonly EvictionDigest[]): void {
    if (evictions.length === 0) return;
    for (const link of this.#links.values()) link.addEvictions(evictions);
  }

  setPools(pools: readonly PoolStructure[]): void {
    if (pools === this.#pools) return;
    this.#pools = pools;
    this.#exportedIds.clear();
  }

  tick(now: Milliseconds): void {
    if (now - this.#lastCheckAt < LINK_CHECK_INTERVAL_MS) return;
    this.#lastCheckAt = now;
    if (this.#ring !== this.#options.getRing()) this.#assignLinks(now);
    this.sendUpdates(now);
    this.#receiver.expire(this.#getTimeoutMs(), now);
    const remote = this.#receiver.takeChanged();
    if (remote) this.#options.publishRemote(remote, now);
  }

  /** Sends the updates that are due to other failure domains. */
  sendUpdates(now: Milliseconds): void {
    for (const link of this.#links.values()) this.#sendUpdate(link, now);
  }

  /**
   * Returns whether the sender belongs to the failure domain that the update
   * names, and that is another one than this daemon's.
   */
  isFromNamedDomain(from: string, update: LinkUpdateMessage): boolean {
    const host = this.#directory.getEntryHost(from);
    return host !== undefined && host.failureDomain === update.failureDomain &&
      host.failureDomain !== this.#options.failureDomain;
  }

  handleUpdate(
    from: string,
    update: LinkUpdateMessage,
    now: Milliseconds,
  ): void {
    const ack = this.#receiver.accept(from, update, now);
    this.#options.emit({
      kind: "send",
      to: from,
      message: { kind: "linkAck", ...ack, ...this.#options.getRevisions() },
    });
  }

  handleAck(from: string, ack: LinkAckMessage, now: Milliseconds): void {
    if (ack.incarnation !== this.#options.incarnation) return;
    for (const link of this.#links.values()) link.recordAck(from, ack, now);
  }

  /**
   * Forgets all received state and all links, after a pause of this process.
   */
  clear(): void {
    this.#receiver.clear();
    this.#links.clear();
    this.#ring = undefined;
  }

  #assignLinks(now: Milliseconds): void {
    const { selfId, failureDomain, getRing } = this.#options;
    this.#ring = getRing();
    const candidates = this.#ring.map((id) => ({ id }));
    const others = this.#directory.listOtherDomains(failureDomain);
    for (const domain of this.#links.keys()) {
      if (!others.includes(domain)) this.#links.delete(domain);
    }
    for (const domain of others) {
      const isAssigned = rankByRendezvous(`link\u0000${domain}`, candidates)
        .slice(0, LINKS_PER_DOMAIN)
        .some((candidate) => candidate.id === selfId);
      if (!isAssigned) {
        this.#links.delete(domain);
        continue;
      }
      const link = this.#links.get(domain) ?? new LinkSender(domain, now);
      this.#links.set(domain, link);
      link.setTargets(
        failureDomain,
        this.#directory.getDomainEntryHosts(domain),
      );
    }
  }

  #sendUpdate(link: LinkSender, now: Milliseconds): void {
    const { intervals, incarnation, failureDomain, emit } = this.#options;
    const content = this.#describeContent(link.failureDomain, now);
    const body = link.takeUpdate(content, {
      heartbeatMs: intervals.getLinkHeartbeatMs(),
      timeoutMs: this.#getTimeoutMs(),
      loadIntervalMs: intervals.getLinkLoadIntervalMs(
        estimateContentBytes(content),
      ),
    }, now);
    const to = link.getTargetId();
    if (!body || to === undefined) return;
    emit({
      kind: "send",
      to,
      message: {
        kind: "linkUpdate",
        failureDomain,
        incarnation,
        storeKeeperId: this.#options.getStoreCoordinatorId() ?? "",
        ...body,
        ...this.#options.getRevisions(),
      },
    });
  }

  #describeContent(domain: string, now: Milliseconds): LinkContent {
    const digests = new Map<string, PublishedDigest>();
    for (const upstreamId of this.#getExportedIds(domain)) {
      const view = this.#options.views.getView(upstreamId);
      if (!view) continue;
      const { ownerId, digest } = view;
      digests.set(upstreamId, { ownerId, digest });
    }
    return { digests, strikes: this.#options.getStrikes(now) };
  }

  #getExportedIds(domain: string): string[] {
    const known = this.#exportedIds.get(domain);
    if (known) return known;
    const exported = this.#directory.selectExportedUpstreams(
      this.#options.failureDomain,
      domain,
      this.#pools,
      MAX_EXPORTED_PER_POOL,
    );
    this.#exportedIds.set(domain, exported);
    return exported;
  }

  #getTimeoutMs(): Milliseconds {
    return Math.max(
      this.#options.peerTimeoutMs,
      this.#options.intervals.getLinkHeartbeatMs() * MAX_MISSED_HEARTBEATS,
    );
  }
}
