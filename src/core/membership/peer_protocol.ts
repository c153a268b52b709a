/**
 * Protocol between this daemon and its peers: joins the failure domain, probes
 * its members, disseminates changes, fetches missed updates, and maintains the
 * links to other failure domains.
 */
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import { rankByRendezvous } from "../hashing.ts";
import {
  type EvictionDigest,
  type HostListDelta,
  type KnownRevisions,
  type LinkAckMessage,
  type LinkUpdateMessage,
  type MemberRecord,
  MemberStatus,
  type PlatformReach,
  type ProbeAckMessage,
  type ProbeMessage,
  type ProbeRequestMessage,
  type SpreadMessage,
  type StateRequestMessage,
  type StateTransferMessage,
  type StrikeDigest,
  type TablesDelta,
  type UpstreamDigest,
} from "../messages.ts";
import type { Milliseconds, PoolStructure } from "../structures.ts";
import { ControlIntervals } from "./control_intervals.ts";
import { FailureDetector } from "./failure_detector.ts";
import { LinkManager } from "./link_manager.ts";
import type { Membership } from "./membership.ts";
import { UpdateDisseminator } from "./update_disseminator.ts";
import { StateExchange } from "./state_exchange.ts";
import { StatePublisher } from "./state_publisher.ts";
import { StrikeDisseminator } from "./strike_disseminator.ts";

/** Interval between join requests, and number of peers asked each time. */
const JOIN_RETRY_MS = 300;
const JOIN_FAN_OUT = 2;

export interface PeerProtocolOptions {
  selfId: string;
  incarnation: string;
  failureDomain: string;
  settings: CoreSettings;
  membership: Membership;
  emit: (effect: Effect) => void;
  getRevisions: () => KnownRevisions;
  getStrikes: (now: Milliseconds) => StrikeDigest[];
  /** Merges strikes received from a peer. */
  mergeStrikes: (strikes: readonly StrikeDigest[], now: Milliseconds) => void;
  /** Merges the request counts of adapters that a peer has evicted. */
  mergeEvictions: (
    evictions: readonly EvictionDigest[],
    now: Milliseconds,
  ) => void;
  /** Handles the revisions that a peer reports. */
  handleRevisions: (
    from: string,
    revisions: KnownRevisions,
    now: Milliseconds,
  ) => void;
  /** Handles deltas that were disseminated in the failure domain. */
  handleDeltas: (
    from: string,
    tablesDeltas: TablesDelta[],
    hostListDeltas: HostListDelta[],
    now: Milliseconds,
  ) => void;
}

export class PeerProtocol {
  readonly #options: PeerProtocolOptions;
  readonly #membership: Membership;
  readonly #intervals: ControlIntervals;
  readonly #detector: FailureDetector;
  readonly #disseminator: UpdateDisseminator;
  readonly #publisher: StatePublisher;
  readonly #exchange: StateExchange;
  readonly #links: LinkManager;
  readonly #strikeDisseminator: StrikeDisseminator;
  #number = 1;
  #hasJoined = false;
  #joinRound = 0;
  #lastJoinAt = Number.NEGATIVE_INFINITY;
  #lastSizesEpoch = -1;

  constructor(options: PeerProtocolOptions) {
    const { selfId, incarnation, failureDomain, settings, emit } = options;
    const { membership, getRevisions } = options;
    const { members, views } = membership;
    this.#options = options;
    this.#membership = membership;
    this.#intervals = new ControlIntervals(settings.heartbeatIntervalMs);
    const intervals = this.#intervals;
    const getRing = () => members.getRing();
    const describeSelf = () => this.describeSelf();
    this.#disseminator = new UpdateDisseminator({
      selfId,
      emit,
      getRing,
      getLoadBatchingMs: () => intervals.getLoadBatchingMs(),
    });
    this.#strikeDisseminator = new StrikeDisseminator(
      options.getStrikes,
      this.#disseminator,
    );
    this.#publisher = new StatePublisher(selfId, incarnation, intervals);
    this.#exchange = new StateExchange({
      selfId,
      membership,
      publisher: this.#publisher,
      describeSelf,
      emit,
      handleEvictions: (update, now) => {
        this.#links.addEvictions(update.evictions);
        options.mergeEvictions(update.evictions, now);
        options.mergeEvictions(update.toldEvictions, now);
      },
    });
    this.#detector = new FailureDetector({
      selfId,
      peerTimeoutMs: settings.peerTimeoutMs,
      intervals,
      members,
      emit,
      describeSelf,
      getRevisions,
      getStrikes: () => this.#strikeDisseminator.selectNext(),
      reportStatusChange: (member, now) => {
        if (member.status === MemberStatus.Dead) {
          views.removePublisher(member.id);
          emit({ kind: "count", counter: "members", tag: "dead" });
        } else emit({ kind: "count", counter: "members", tag: "suspect" });
        const { id, incarnation, number, status, leaving } = member;
        this.#disseminator.addMember(
          { id, incarnation, number, status, leaving, version: 0 },
          now,
        );
      },
    });
    this.#links = new LinkManager({
      selfId,
      incarnation,
      failureDomain,
      peerTimeoutMs: settings.peerTimeoutMs,
      intervals,
      views,
      emit,
      getRing,
      getRevisions,
      getStrikes: () => this.#strikeDisseminator.getAll(),
      publishRemote: ({ digests, domains }, now) => {
        membership.setRemoteViews(digests, now);
        membership.setLinkedDomains(domains);
        this.#publisher.setRemote(digests, domains);
      },
      getStoreCoordinatorId: () =>
        membership.getStoreCoordinatorId(failureDomain),
    }, membership.directory);
  }

  /**
   * Returns whether a peer has sent its full state, or there is no peer to ask.
   */
  hasJoined(): boolean {
    return this.#hasJoined || this.#listDomainPeerIds().length === 0;
  }

  /** Returns whether a peer has sent its full state. */
  hasReceivedPeerState(): boolean {
    return this.#hasJoined;
  }

  describeSelf(): MemberRecord {
    return {
      id: this.#options.selfId,
      incarnation: this.#options.incarnation,
      number: this.#number,
      status: MemberStatus.Alive,
      leaving: this.#membership.isSelfLeaving(),
      version: this.#publisher.version,
    };
  }

  /** Applies a newer host list or newer tables. */
  updateTables(pools: readonly PoolStructure[]): void {
    this.#links.setDirectory(this.#membership.directory);
    this.#links.setPools(pools);
  }

  /** Publishes the digest of an upstream that this daemon owns. */
  publishUpstream(digest: UpstreamDigest, now: Milliseconds): void {
    this.#publisher.recordOwn(this.#membership.recordOwnView(digest, now));
  }

  /** Publishes that this daemon no longer owns the upstream. */
  removeUpstream(upstreamId: string): void {
    this.#membership.removeOwnView(upstreamId);
    this.#publisher.removeOwn(upstreamId);
  }

  /** Publishes evictions by this daemon to peers, also over links. */
  publishEvictions(evictions: readonly EvictionDigest[]): void {
    this.#publisher.addEvictions(evictions);
    this.#links.addEvictions(evictions);
  }

  setPlatformReach(reach: PlatformReach): void {
    this.#publisher.setPlatformReach(reach);
  }

  publishTablesDelta(delta: TablesDelta, now: Milliseconds): void {
    this.#disseminator.addTablesDelta(delta, now);
  }

  publishHostListDelta(delta: HostListDelta, now: Milliseconds): void {
    this.#disseminator.addHostListDelta(delta, now);
  }

  /** Tells the failure domain at once that this daemon is leaving. */
  publishLeaving(now: Milliseconds): void {
    this.#disseminator.addMember(this.describeSelf(), now);
    this.#disseminator.flush();
  }

  /**
   * Publishes new strikes at once, because the caller may retry the request on
   * another daemon.
   */
  publishStrikes(now: Milliseconds): void {
    if (!this.#strikeDisseminator.tick(now)) return;
    this.#disseminator.flush();
    this.#links.sendUpdates(now);
  }

  /** Publishes pending changes at once, before this daemon stops. */
  flush(now: Milliseconds): void {
    this.#publishState(now);
    this.#disseminator.flush();
  }

  tick(now: Milliseconds): void {
    this.#updateSizes();
    if (!this.#hasJoined) this.#tryJoin(now);
    this.#detector.tick(now);
    this.#exchange.tick(now);
    this.#strikeDisseminator.tick(now);
    this.#publishState(now);
    const load = this.#publisher.takeLoad(now);
    if (load) this.#disseminator.addLoad(load, now);
    this.#links.tick(now);
    this.#disseminator.tick(now);
  }

  /**
   * Forgets all peers after a pause of this process, and joins again with a
   * higher number.
   */
  expireAll(): void {
    this.#membership.expireAll();
    this.#detector.clear();
    this.#links.clear();
    this.#publisher.clearOwn();
    this.#number += 1;
    this.#hasJoined = false;
    this.#lastJoinAt = Number.NEGATIVE_INFINITY;
  }

  handleProbe(from: string, probe: ProbeMessage, now: Milliseconds): void {
    if (!this.#membership.members.isHost(from)) return;
    this.#mergeRecords(from, [probe.sender, ...probe.members], now);
    this.#membership.members.recordContact(from, now);
    this.#strikeDisseminator.recordReceived(probe.strikes);
    this.#options.mergeStrikes(probe.strikes, now);
    this.#membership.members.recordTablesRevision(from, probe.tablesRevision);
    this.#detector.handleProbe(from, probe);
    this.#options.handleRevisions(from, probe, now);
  }

  handleProbeAck(from: string, ack: ProbeAckMessage, now: Milliseconds): void {
    if (!this.#membership.members.isHost(from)) return;
    this.#mergeRecords(from, [ack.sender, ...ack.members], now);
    this.#membership.members.recordContact(from, now);
    this.#membership.members.recordContact(ack.sender.id, now);
    this.#membership.members.recordTablesRevision(
      ack.sender.id,
      ack.tablesRevision,
    );
    this.#detector.handleProbeAck(ack);
    this.#options.handleRevisions(from, ack, now);
  }

  handleProbeRequest(
    from: string,
    request: ProbeRequestMessage,
    now: Milliseconds,
  ): void {
    if (!this.#membership.members.isHost(from)) return;
    this.#membership.members.recordContact(from, now);
    this.#detector.handleProbeRequest(from, request, now);
  }

  handleSpread(from: string, message: SpreadMessage, now: Milliseconds): void {
    if (!this.#membership.members.isHost(from)) return;
    this.#membership.members.recordContact(from, now);
    this.#disseminator.forward(message, now);
    this.#mergeRecords(from, message.members, now);
    for (const state of message.states) {
      this.#exchange.applyState(from, state, now);
    }
    for (const load of message.loads) this.#exchange.applyLoad(load, now);
    this.#strikeDisseminator.recordReceived(message.strikes);
    this.#options.mergeStrikes(message.strikes, now);
    this.#options.handleDeltas(
      from,
      message.tablesDeltas,
      message.hostListDeltas,
      now,
    );
  }

  handleStateRequest(
    from: string,
    request: StateRequestMessage,
    now: Milliseconds,
  ): void {
    if (!this.#membership.members.isHost(from)) return;
    this.#membership.members.recordContact(from, now);
    this.#exchange.handleRequest(from, request, {
      strikes: this.#strikeDisseminator.getAll(),
      revisions: this.#options.getRevisions(),
    });
  }

  handleStateTransfer(
    from: string,
    transfer: StateTransferMessage,
    now: Milliseconds,
  ): void {
    if (!this.#membership.members.isHost(from)) return;
    this.#mergeRecords(from, transfer.members, now);
    this.#membership.members.recordContact(from, now);
    for (const state of transfer.states) {
      this.#exchange.applyState(from, state, now);
    }
    this.#strikeDisseminator.recordReceived(transfer.strikes);
    this.#options.mergeStrikes(transfer.strikes, now);
    this.#options.handleRevisions(from, transfer, now);
    if (!transfer.joined || this.#hasJoined) return;
    this.#hasJoined = true;
    this.#disseminator.addMember(this.describeSelf(), now);
  }

  handleLinkUpdate(
    from: string,
    update: LinkUpdateMessage,
    now: Milliseconds,
  ): void {
    if (!this.#links.isFromNamedDomain(from, update)) return;
    this.#links.handleUpdate(from, update, now);
    this.#options.mergeStrikes(update.strikes, now);
    this.#options.mergeEvictions(update.evictions, now);
    this.#publisher.addRemoteEvictions(update.evictions);
    this.#options.handleRevisions(from, update, now);
  }

  handleLinkAck(from: string, ack: LinkAckMessage, now: Milliseconds): void {
    this.#links.handleAck(from, ack, now);
    this.#options.handleRevisions(from, ack, now);
  }

  #publishState(now: Milliseconds): void {
    const update = this.#publisher.takeUpdate(now);
    if (update) this.#disseminator.addState(update, now);
  }

  /** Merges records of other daemons; refutes a wrong record of this daemon. */
  #mergeRecords(
    from: string,
    records: readonly MemberRecord[],
    now: Milliseconds,
  ): void {
    for (const record of records) {
      if (record.id === this.#options.selfId) this.#checkOwnRecord(record, now);
      else this.#membership.mergeRecord(record, from, now);
    }
  }

  #checkOwnRecord(record: MemberRecord, now: Milliseconds): void {
    const isIncorrect = record.incarnation !== this.#options.incarnation ||
      record.status !== MemberStatus.Alive;
    const isIgnorable = record.number < this.#number ||
      (record.number === this.#number && !isIncorrect);
    if (isIgnorable) return;
    this.#number = record.number + 1;
    this.#options.emit({ kind: "count", counter: "members", tag: "refuted" });
    this.#disseminator.addMember(this.describeSelf(), now);
  }

  /**
   * Requests the full state from a few peers, different ones each time, until
   * one has sent it.
   */
  #tryJoin(now: Milliseconds): void {
    if (now - this.#lastJoinAt < JOIN_RETRY_MS) return;
    this.#lastJoinAt = now;
    const candidates = this.#listDomainPeerIds().map((id) => ({ id }));
    this.#joinRound += 1;
    const key = `${this.#options.selfId}#${this.#joinRound}`;
    const ranked = rankByRendezvous(key, candidates);
    for (const { id } of ranked.slice(0, JOIN_FAN_OUT)) {
      this.#options.emit({
        kind: "send",
        to: id,
        message: { kind: "stateRequest", memberIds: [] },
      });
    }
  }

  #listDomainPeerIds(): string[] {
    return [...this.#membership.members.getHostIds()];
  }

  #updateSizes(): void {
    const { epoch, members } = this.#membership;
    if (epoch === this.#lastSizesEpoch) return;
    this.#lastSizesEpoch = epoch;
    this.#intervals.setSizes(
      members.getRing().length,
      this.#membership.getDomainUpstreams().length,
    );
  }
}
