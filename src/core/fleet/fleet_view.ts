/**
 * Which daemons there are and which of them live, learnt from heartbeats: each
 * daemon sends one a period to some others, with a sample of the members it knows
 * and the number of each one's last heartbeat. Nobody is asked whether it lives;
 * who has been silent for some periods is taken for dead until it is heard again.
 * In a large fleet, where a daemon hears few others itself, a higher number that
 * somebody names counts too.
 *
 * The engines of a failure domain are held by a small group of its daemons
 * (holder_group.ts), whose members promise each other heartbeats at the pace of a
 * small fleet. So what depends on who holds an engine works alike at every size.
 */
import { rankByRendezvous } from "../hashing.ts";
import type { OutcomeReport } from "../placement/upstream_health.ts";
import type { Milliseconds } from "../structures.ts";
import type { FleetMember, GossipEntry, Heartbeat } from "./heartbeat.ts";
import {
  HeartbeatFanout,
  type HeartbeatTarget,
  REMOTE_TARGETS,
} from "./heartbeat_fanout.ts";
import {
  hasMember,
  OWNER_GROUP_SIZE,
  selectOwnerGroup,
} from "./owner_group.ts";

/** Period of heartbeats in a small fleet; a death is noticed within a few of them. */
const SMALL_INTERVAL_MS = 400;
/** Period in a small fleet for a daemon that has just started, and that time: engines without a holder wait for its word. */
const STARTUP_INTERVAL_MS = 150;
const STARTUP_MS = 3_000;
/** Period in a large fleet, whose daemons have to keep to 3 KB a second for control. */
const LARGE_INTERVAL_MS = 1_000;
/** Time after the start in which a daemon of a large fleet makes itself known faster. */
const LARGE_STARTUP_MS = 5_000;
/** Heartbeats that fail to come before a member is taken for dead. */
const MISSED_HEARTBEATS = 4;
/** Fleet size up to which every daemon sends to every other one. */
const FULL_MESH_MEMBERS = 24;
/** Time for which a group of holders is used again: members come and go in seconds. */
const GROUP_LIFETIME_MS = 1_000;
/** Age up to which news of a member is passed on, so that a dead one is not kept alive by old news. */
const MAX_GOSSIP_AGE_MS = 4_000;
/** Members of its failure domain of which a daemon of a large fleet surely has news in a period: a quarter of those that are named to it. */
const LOCAL_UPDATES = 10;
/** Time for which the word of others does not revive a member that did not answer this daemon. */
const IGNORE_GOSSIP_MS = 3_000;
/** Silence after which a member is no longer sent anything. */
const FORGET_MS = 60_000;

/** Time from its start for which a daemon can say that it never held an engine: a restart of the whole fleet takes some seconds. */
export const RECENTLY_STARTED_MS = 15_000;
/** Peers that must say so before an engine is taken for unheld: a lone one can't tell who else lives. */
const MIN_UNOWNED_PEERS = 2;
/** Longest time that a heartbeat is taken to be on its way. */
const MAX_HEARTBEAT_DELAY_MS = 300;

/** Daemons that are taken to claim an engine at the same time at most. */
const MAX_CLAIMANTS = 3;

/** Key by which the reader of the store is drawn. */
const READER_KEY = "store reader";

/** Time for which a look through the members is used again. */
const SNAPSHOT_LIFETIME_MS = 100;

interface Snapshot {
  createdAt: Milliseconds;
  /** Loads from the weight store on their way, at the living members. */
  fetchesInFlight: number;
  /** Living members. */
  aliveCount: number;
  /** Those of them that are not leaving. */
  notLeaving: FleetMember[];
  /** Holder of each engine that one of them holds. */
  owners: Map<string, string>;
  /** Ranking of the holders to be, this daemon included, of engines asked for. */
  rankings: Map<string, FleetMember[]>;
}

interface KnownMember {
  member: FleetMember;
  heartbeat: Heartbeat | undefined;
  /** Highest number of its heartbeats that is known. */
  beat: number;
  lastHeardAt: Milliseconds;
  /** When its own heartbeat came last. */
  lastHeartbeatAt: Milliseconds;
  /** Time within which it promised the next one; undefined without a promise that is kept. */
  promisedMs: Milliseconds | undefined;
  /** Whether it did not answer this daemon, or this one stood still, since it was heard. */
  isUnreachable: boolean;
  /** Until when only the member itself is believed. */
  ignoreGossipUntil: Milliseconds;
  /** When it was first named to this daemon. */
  firstSeenAt: Milliseconds;
}

export class FleetView {
  readonly #self: FleetMember;
  readonly #firstBeat: number;
  readonly #members = new Map<string, KnownMember>();
  #localMembers = 0;
  #snapshot: Snapshot | undefined;
  readonly #fanout: HeartbeatFanout;
  readonly #groups = new Map<
    string,
    { madeAt: Milliseconds; members: FleetMember[] }
  >();

  /** @param firstBeat number of the first heartbeat; above those of earlier starts, as the wall clock is. */
  constructor(self: FleetMember, firstBeat = 0) {
    this.#self = self;
    this.#firstBeat = firstBeat;
    this.#fanout = new HeartbeatFanout(self);
  }

  /** Number of the heartbeat that is due. */
  get beat(): number {
    return this.#firstBeat + this.#fanout.round;
  }

  get self(): FleetMember {
    return this.#self;
  }

  /** Number of daemons that live as far as is known, this one included. */
  countAlive(now: Milliseconds): number {
    return 1 + this.#getSnapshot(now).aliveCount;
  }

  /** The same within a failure domain; at least one. */
  countAliveIn(failureDomain: string, now: Milliseconds): number {
    const { notLeaving: staying } = this.#getSnapshot(now);
    const peers = staying.filter((member) =>
      member.failureDomain === failureDomain
    );
    const own = failureDomain === this.#self.failureDomain ? 1 : 0;
    return Math.max(1, peers.length + own);
  }

  /** Returns whether a peer in the failure domain lives as far as is known. */
  hasAlivePeer(failureDomain: string, now: Milliseconds): boolean {
    return this.listAlive(now).some(({ sender }) =>
      sender.failureDomain === failureDomain
    );
  }

  /**
   * Returns whether this daemon itself hears more than half of the daemons that
   * might order the engines of a failure domain: of all in a small fleet, of those
   * that hold the engines there in a large one. Others' word does not count.
   */
  hasQuorum(failureDomain: string, now: Milliseconds): boolean {
    if (this.isFullMesh()) {
      const known = this.#listRemembered(now);
      return 2 * this.countAlive(now) > known.length + 1;
    }
    if (failureDomain !== this.#self.failureDomain) return false;
    const group = this.#getGroup(failureDomain, now);
    const heard = group.filter((member) =>
      member.id === this.#self.id || this.#hasFreshHeartbeat(member.id, now)
    );
    return 2 * heard.length > group.length;
  }

  /** Returns whether the member's own heartbeat came within the time in which group members send theirs. */
  #hasFreshHeartbeat(id: string, now: Milliseconds): boolean {
    const known = this.#members.get(id);
    return known !== undefined && !known.isUnreachable &&
      now - known.lastHeartbeatAt < MISSED_HEARTBEATS * SMALL_INTERVAL_MS;
  }

  /** Returns whether the fleet is so small that every daemon hears every other one. */
  isFullMesh(): boolean {
    return this.#members.size < FULL_MESH_MEMBERS;
  }

  recordHeartbeat(heartbeat: Heartbeat, now: Milliseconds): boolean {
    if (heartbeat.sender.id === this.#self.id) return false;
    const known = this.#members.get(heartbeat.sender.id);
    const isNew = !known || !this.#isAlive(known, now) ||
      known.heartbeat?.incarnation !== heartbeat.incarnation;
    if (!known && this.#isLocal(heartbeat.sender)) this.#localMembers += 1;
    const isChanged = isNew ||
      known?.heartbeat?.isLeaving !== heartbeat.isLeaving ||
      !isSameList(known?.heartbeat?.heldEngines, heartbeat.heldEngines);
    if (isChanged) this.#expireSnapshot();
    this.#members.set(heartbeat.sender.id, {
      member: heartbeat.sender,
      heartbeat,
      beat: heartbeat.beat,
      lastHeardAt: now,
      lastHeartbeatAt: now,
      promisedMs: heartbeat.promisedMs,
      isUnreachable: false,
      ignoreGossipUntil: Number.NEGATIVE_INFINITY,
      firstSeenAt: known?.firstSeenAt ?? now,
    });
    if (!known) this.#groups.delete(heartbeat.sender.failureDomain);
    for (const named of heartbeat.sample) this.#recordGossip(named, now);
    return isNew;
  }

  /** Takes a member for dead that did not acknowledge a message, until it is heard again. */
  markUnreachable(id: string, now: Milliseconds): void {
    const known = this.#members.get(id);
    if (!known) return;
    known.isUnreachable = true;
    known.ignoreGossipUntil = now + IGNORE_GOSSIP_MS;
    this.#expireSnapshot();
  }

  /** Returns the members that get a heartbeat in this period. */
  selectTargets(now: Milliseconds): HeartbeatTarget[] {
    const members = this.#listRemembered(now).map((each) => each.member);
    if (this.isFullMesh()) {
      this.#fanout.advanceRound();
      return members.map((member) => ({ member, isPromised: false }));
    }
    const group = this.#getGroup(this.#self.failureDomain, now);
    return this.#fanout.selectTargets(members, group);
  }

  /**
   * Returns some members to name in a heartbeat, others each period; old news is
   * not passed on, and few go to those who get many heartbeats.
   */
  selectSample(isPromised: boolean, now: Milliseconds): GossipEntry[] {
    const known = this.#listKnown();
    if (this.isFullMesh()) return this.#fanout.selectSmallSample(known);
    const fresh = known.filter((each) =>
      now - each.lastHeardAt < MAX_GOSSIP_AGE_MS
    );
    return this.#fanout.selectSample(fresh, isPromised);
  }

  getMember(id: string): FleetMember | undefined {
    return id === this.#self.id ? this.#self : this.#members.get(id)?.member;
  }

  /** Returns whether the member lives as far as is known. */
  isAlive(id: string, now: Milliseconds): boolean {
    if (id === this.#self.id) return true;
    const known = this.#members.get(id);
    return known !== undefined && this.#isAlive(known, now);
  }

  /** Returns the living peers' last heartbeats. */
  listAlive(now: Milliseconds): Heartbeat[] {
    return this.#listKnown()
      .filter((each) => this.#isAlive(each, now))
      .flatMap((each) => each.heartbeat ?? []);
  }

  /** Returns the engines that living daemons say they hold, with the daemon. */
  listOwners(now: Milliseconds): ReadonlyMap<string, string> {
    return this.#getSnapshot(now).owners;
  }

  /** Returns the living daemon that says it holds the engine, or undefined. */
  findOwner(engineId: string, now: Milliseconds): string | undefined {
    return this.#getSnapshot(now).owners.get(engineId);
  }

  /**
   * Returns the daemons that should order an engine, best first: those that hold
   * the engines of its failure domain, others there where none of these lives, or
   * all where nobody there does.
   * @param isStopping whether this daemon itself is no candidate.
   */
  rankOwners(
    engine: { id: string; failureDomain: string },
    isStopping: boolean,
    now: Milliseconds,
  ): FleetMember[] {
    const { notLeaving: staying, rankings: ranked } = this.#getSnapshot(now);
    if (isStopping) return this.#rankCandidates(engine, staying, now);
    const known = ranked.get(engine.id);
    if (known) return known;
    const candidates = [...staying, this.#self];
    const ranking = this.#rankCandidates(engine, candidates, now);
    ranked.set(engine.id, ranking);
    return ranking;
  }

  #rankCandidates(
    engine: { id: string; failureDomain: string },
    living: readonly FleetMember[],
    now: Milliseconds,
  ): FleetMember[] {
    const group = this.#getGroup(engine.failureDomain, now);
    const holders = living.filter((member) => hasMember(group, member));
    if (holders.length > 0) return rankByRendezvous(engine.id, holders);
    const near = living.filter((member) =>
      member.failureDomain === engine.failureDomain
    );
    const next = selectOwnerGroup(engine.failureDomain, near);
    return rankByRendezvous(engine.id, next.length > 0 ? next : living);
  }

  /**
   * Returns whether every peer that may have ordered an engine has said, in a
   * heartbeat sent after the given time, that it has started lately and has never
   * held the engine since: so that nobody who lives can have ordered it. In a small
   * fleet that is everybody, in a large one the group of holders of the engine's
   * failure domain, this daemon among them. All seeds must be known by now: who
   * has just started and is cut off knows only some of the others.
   */
  isUnowned(
    engine: { id: string; failureDomain: string },
    heard: { since: Milliseconds; seedIps: readonly string[] },
    now: Milliseconds,
  ): boolean {
    const known = this.#listRemembered(now);
    const ips = new Set(known.map((each) => each.member.ip));
    const peers = this.isFullMesh()
      ? known
      : this.#listGroupPeers(engine.failureDomain, now);
    return peers !== undefined && peers.length >= MIN_UNOWNED_PEERS &&
      this.findOwner(engine.id, now) === undefined &&
      heard.seedIps.every((ip) => ip === this.#self.ip || ips.has(ip)) &&
      peers.every((each) =>
        this.#isAlive(each, now) &&
        each.lastHeartbeatAt >= heard.since + MAX_HEARTBEAT_DELAY_MS &&
        hasNeverOwned(each.heartbeat, engine.id)
      );
  }

  /** Returns the other members of a whole group that this daemon is in; undefined where it is in none. */
  #listGroupPeers(
    failureDomain: string,
    now: Milliseconds,
  ): KnownMember[] | undefined {
    const group = this.#getGroup(failureDomain, now);
    if (!this.#isMemberOf(group) || group.length < OWNER_GROUP_SIZE) {
      return undefined;
    }
    return group.flatMap(({ id }) => this.#members.get(id) ?? []);
  }

  /** Returns how many loads from the weight store the living peers have on the way. */
  countFetches(now: Milliseconds): number {
    return this.#getSnapshot(now).fetchesInFlight;
  }

  /** Returns what each living peer has seen of upstreams that fail requests. */
  listFailing(now: Milliseconds): OutcomeReport[][] {
    return this.listAlive(now)
      .flatMap(({ failing }) => failing ? [failing] : []);
  }

  /** Returns how many loads the living peers have found to go at full speed together. */
  listFullSpeedFetches(now: Milliseconds): number[] {
    return this.listAlive(now)
      .flatMap((heartbeat) => heartbeat.fullSpeedFetches ?? []);
  }

  /**
   * Returns the daemons that come first for an engine's orders, living or not: so
   * daemons that disagree on who lives still agree on who is who.
   */
  listClaimants(
    engine: { id: string; failureDomain: string },
    now: Milliseconds,
  ): string[] {
    const group = this.#getGroup(engine.failureDomain, now);
    const members = group.length > 0
      ? group
      : [this.#self, ...this.#listKnown().map((each) => each.member)];
    return rankByRendezvous(engine.id, members).slice(0, MAX_CLAIMANTS)
      .map((member) => member.id);
  }

  /**
   * Returns whether this daemon should read the store for its failure domain:
   * one of those that can does, the others ask it.
   */
  isStoreReader(canRead: boolean, now: Milliseconds): boolean {
    if (!canRead) return false;
    const candidates = this.listAlive(now)
      .filter((heartbeat) =>
        heartbeat.hasStore && !heartbeat.isLeaving &&
        this.#isLocal(heartbeat.sender)
      )
      .map((heartbeat) => heartbeat.sender);
    const group = this.#getGroup(this.#self.failureDomain, now);
    const readers = [...candidates, this.#self];
    const holders = readers.filter((member) => hasMember(group, member));
    const ranked = rankByRendezvous(
      READER_KEY,
      holders.length > 0 ? holders : readers,
    );
    return ranked[0]?.id === this.#self.id;
  }

  /** Looks through the members once for many questions. */
  #getSnapshot(now: Milliseconds): Snapshot {
    const previous = this.#snapshot;
    const isFresh = previous !== undefined && now >= previous.createdAt &&
      now - previous.createdAt < SNAPSHOT_LIFETIME_MS;
    if (isFresh) return previous;
    const survey: Snapshot = {
      createdAt: now,
      aliveCount: 0,
      fetchesInFlight: 0,
      notLeaving: [],
      owners: new Map(),
      rankings: new Map(),
    };
    for (const known of this.#members.values()) {
      const { member, heartbeat } = known;
      if (!this.#isAlive(known, now)) continue;
      survey.aliveCount += 1;
      survey.fetchesInFlight += heartbeat?.fetchesInFlight ?? 0;
      if (heartbeat?.isLeaving) continue;
      survey.notLeaving.push(member);
      for (const engineId of heartbeat?.heldEngines ?? []) {
        if (survey.owners.has(engineId)) continue;
        survey.owners.set(engineId, member.id);
      }
    }
    // Rankings cost a hash a member and engine, and hold while nobody comes or goes.
    if (previous && hasSameMembers(previous.notLeaving, survey.notLeaving)) {
      survey.rankings = previous.rankings;
    }
    this.#snapshot = survey;
    return survey;
  }

  /** Has the members looked through again; their rankings may still hold. */
  #expireSnapshot(): void {
    if (this.#snapshot) this.#snapshot.createdAt = Number.NEGATIVE_INFINITY;
  }

  /** Takes every peer for silent, after a pause of this process. */
  markAllUnreachable(): void {
    for (const known of this.#members.values()) known.isUnreachable = true;
    this.#expireSnapshot();
  }

  #recordGossip(named: GossipEntry, now: Milliseconds): void {
    const [id, ip, failureDomain, beat] = named;
    if (id === this.#self.id) return;
    const known = this.#members.get(id);
    if (!known) {
      const member = { id, ip, failureDomain };
      if (this.#isLocal(member)) this.#localMembers += 1;
      this.#members.set(id, {
        member,
        heartbeat: undefined,
        beat,
        lastHeardAt: now,
        lastHeartbeatAt: Number.NEGATIVE_INFINITY,
        promisedMs: undefined,
        isUnreachable: false,
        ignoreGossipUntil: Number.NEGATIVE_INFINITY,
        firstSeenAt: now,
      });
      this.#groups.delete(failureDomain);
      return;
    }
    const isNews = beat > known.beat && !this.isFullMesh() &&
      now >= known.ignoreGossipUntil;
    if (!isNews) return;
    if (!this.#isAlive(known, now)) this.#expireSnapshot();
    known.beat = beat;
    known.lastHeardAt = now;
    known.isUnreachable = false;
    // It lives and sends this daemon no more: it takes others for its group.
    if (hasMissedPromise(known, now)) known.promisedMs = undefined;
  }

  #isLocal(member: FleetMember): boolean {
    return member.failureDomain === this.#self.failureDomain;
  }

  /** Returns the daemons that hold the engines of a failure domain, living or not. */
  #getGroup(failureDomain: string, now: Milliseconds): FleetMember[] {
    const known = this.#groups.get(failureDomain);
    const isFresh = known !== undefined && now >= known.madeAt &&
      now - known.madeAt < GROUP_LIFETIME_MS;
    if (isFresh) return known.members;
    const remembered = this.#listRemembered(now).map((each) => each.member);
    const members = selectOwnerGroup(
      failureDomain,
      [...remembered, this.#self].filter((member) =>
        member.failureDomain === failureDomain
      ),
    );
    this.#groups.set(failureDomain, { madeAt: now, members });
    return members;
  }

  #isMemberOf(group: readonly FleetMember[]): boolean {
    return hasMember(group, this.#self);
  }

  /** Returns the time until the next heartbeats. */
  getIntervalMs(uptimeMs: Milliseconds, now: Milliseconds): Milliseconds {
    const isStarting = uptimeMs < STARTUP_MS && this.isFullMesh();
    if (isStarting) return STARTUP_INTERVAL_MS;
    const isOften = this.isFullMesh() || uptimeMs < LARGE_STARTUP_MS ||
      this.#isMemberOf(this.#getGroup(this.#self.failureDomain, now));
    return isOften ? SMALL_INTERVAL_MS : LARGE_INTERVAL_MS;
  }

  /** Returns the promise that goes with a heartbeat to a target. */
  getPromisedMs(isPromised: boolean): Milliseconds | undefined {
    return isPromised ? SMALL_INTERVAL_MS : undefined;
  }

  /** In a large fleet there is news of a member only now and then, unless it promised more. */
  #isAlive(known: KnownMember, now: Milliseconds): boolean {
    if (known.isUnreachable) return false;
    if (known.heartbeat === undefined && this.isFullMesh()) return false;
    const silenceMs = MISSED_HEARTBEATS * this.#getUpdateIntervalMs(known);
    return now - known.lastHeardAt < silenceMs;
  }

  /** Returns the time within which there is news of a member. */
  #getUpdateIntervalMs(known: KnownMember): Milliseconds {
    if (this.isFullMesh()) return SMALL_INTERVAL_MS;
    if (known.promisedMs !== undefined) return known.promisedMs;
    const periods = this.#isLocal(known.member)
      ? Math.max(1, Math.floor(this.#localMembers / LOCAL_UPDATES))
      : Math.ceil(
        (this.#members.size - this.#localMembers) / REMOTE_TARGETS / 2,
      );
    return LARGE_INTERVAL_MS * periods;
  }

  /** Returns the members that were heard or named lately. */
  #listRemembered(now: Milliseconds): KnownMember[] {
    return this.#listKnown().filter((each) =>
      now - Math.max(each.lastHeardAt, each.firstSeenAt) < FORGET_MS
    );
  }

  #listKnown(): KnownMember[] {
    return [...this.#members.values()];
  }
}

function hasNeverOwned(
  heartbeat: Heartbeat | undefined,
  engineId: string,
): boolean {
  return heartbeat?.newcomerHeld !== undefined &&
    !heartbeat.newcomerHeld.includes(engineId) &&
    !heartbeat.heldEngines.includes(engineId);
}

function hasSameMembers(
  before: readonly FleetMember[],
  after: readonly FleetMember[],
): boolean {
  return before.length === after.length &&
    before.every((member, index) => member.id === after[index]?.id);
}

/** Returns whether two promised heartbeats have failed to come. */
function hasMissedPromise(known: KnownMember, now: Milliseconds): boolean {
  return known.promisedMs !== undefined &&
    now - known.lastHeartbeatAt > 2 * known.promisedMs;
}

function isSameList(
  before: readonly string[] | undefined,
  after: readonly string[],
): boolean {
  return before?.length === after.length &&
    before.every((each, index) => each === after[index]);
}
