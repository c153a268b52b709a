/**
 * Tracks which daemons exist and which of them are alive, by their heartbeats:
 * each daemon sends one per period to some of the others, with a sample of the
 * members that it knows and the number of the last heartbeat of each. Members
 * are not probed; one that has been silent for several periods is considered
 * dead until it is heard again. In a large fleet, where a daemon hears few
 * others directly, a higher heartbeat number from a third daemon counts too.
 *
 * The engines of a failure domain are owned by a small group of its daemons
 * (owner_group.ts), whose members promise each other heartbeats at the rate of
 * a small fleet. So everything that depends on the owner of an engine works
 * alike at every fleet size.
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

/**
 * Heartbeat period in a small fleet; a death is detected within a few periods.
 */
const SMALL_INTERVAL_MS = 400;
/**
 * Heartbeat period of a recently started daemon in a small fleet, and the time
 * for which it applies: engines without an owner wait for its heartbeats.
 */
const STARTUP_INTERVAL_MS = 150;
const STARTUP_MS = 3_000;
/**
 * Heartbeat period in a large fleet, whose daemons have to limit control
 * traffic to 3 KB a second.
 */
const LARGE_INTERVAL_MS = 1_000;
/**
 * Time after the start for which a daemon of a large fleet sends heartbeats
 * faster, to become known.
 */
const LARGE_STARTUP_MS = 5_000;
/** Missed heartbeats after which a member is considered dead. */
const MISSED_HEARTBEATS = 4;
/** Fleet size up to which every daemon sends heartbeats to every other one. */
const FULL_MESH_MEMBERS = 24;
/**
 * Time for which an owner group is cached: members come and go within seconds.
 */
const GROUP_LIFETIME_MS = 1_000;
/**
 * Maximum age of an update about a member that is passed on, so that old
 * updates do not keep a dead member alive.
 */
const MAX_GOSSIP_AGE_MS = 4_000;
/**
 * Members of its failure domain about which a daemon of a large fleet is sure
 * to receive an update in a period: a quarter of those that are listed to it.
 */
const LOCAL_UPDATES = 10;
/**
 * Time for which gossip does not mark a member alive that did not answer this
 * daemon.
 */
const IGNORE_GOSSIP_MS = 3_000;
/** Silence after which a member is no longer sent heartbeats. */
const FORGET_MS = 60_000;

/**
 * Time after its start for which a daemon can report that it never owned an
 * engine: a restart of the whole fleet takes several seconds.
 */
export const RECENTLY_STARTED_MS = 15_000;
/**
 * Minimum number of peers that must report this before an engine counts as
 * unowned: a single peer cannot tell who else is alive.
 */
const MIN_UNOWNED_PEERS = 2;
/** Maximum time that a heartbeat is assumed to take on the network. */
const MAX_HEARTBEAT_DELAY_MS = 300;

/**
 * Maximum number of daemons that are assumed to claim an engine at the same
 * time.
 */
const MAX_CLAIMANTS = 3;

/** Rendezvous hashing key that selects the reader of the store. */
const READER_KEY = "store reader";

/** Time for which a snapshot of the members is reused. */
const SNAPSHOT_LIFETIME_MS = 100;

/** Which heartbeats count as a disclaimer of an engine. */
export interface DisclaimerRequirements {
  /** Time after which they must have been sent. */
  since: Milliseconds;
  /**
   * Time since which their sender must not have restarted, and forgotten its
   * orders.
   */
  sameProcessSince: Milliseconds;
  /**
   * Whether the last word of a daemon that has left counts, however old it is: it
   * claims no engine any more.
   */
  mayHaveLeft?: boolean;
}

interface Snapshot {
  createdAt: Milliseconds;
  /** Fetches (loads from the weight store) in progress at the alive members. */
  fetchesInFlight: number;
  /** Number of alive members. */
  aliveCount: number;
  /** Alive members that are not leaving. */
  notLeaving: FleetMember[];
  /** Members that can order engines: not leaving, and not cut off from them. */
  ownerCandidates: FleetMember[];
  /** Owner of each engine that one of these members owns. */
  owners: Map<string, string>;
  /**
   * Ranking of the possible owners, including this daemon, for each engine that
   * was asked for.
   */
  rankings: Map<string, FleetMember[]>;
}

interface KnownMember {
  member: FleetMember;
  heartbeat: Heartbeat | undefined;
  /** Highest known number of its heartbeats. */
  beat: number;
  lastHeardAt: Milliseconds;
  /** When its own heartbeat last arrived. */
  lastHeartbeatAt: Milliseconds;
  /**
   * Time within which it promised the next heartbeat; undefined if it made no
   * promise or no longer keeps it.
   */
  promisedMs: Milliseconds | undefined;
  /**
   * Whether, since it was last heard, it did not answer this daemon or this
   * process was suspended.
   */
  isUnreachable: boolean;
  /**
   * Time until which only heartbeats of the member itself count, not gossip.
   */
  ignoreGossipUntil: Milliseconds;
  /** When this daemon first learned of it. */
  firstSeenAt: Milliseconds;
  /** When a heartbeat of its current process first arrived. */
  processSeenAt: Milliseconds;
}

export class FleetView {
  readonly #self: FleetMember;
  readonly #hasOtherSeeds: boolean;
  /** Difference between the numbers of heartbeats and of periods. */
  #firstBeat: number;
  readonly #members = new Map<string, KnownMember>();
  #localMembers = 0;
  #snapshot: Snapshot | undefined;
  /** Time from which heartbeats count towards a quorum and as disclaimers. */
  #heardSince = Number.NEGATIVE_INFINITY;
  readonly #fanout: HeartbeatFanout;
  readonly #groups = new Map<
    string,
    { createdAt: Milliseconds; members: FleetMember[] }
  >();

  /**
   * @param firstBeat number of the first heartbeat; should exceed the numbers
   * used before a restart, as the wall clock does unless it was ahead then. In
   * that case the numbers continue above the one that peers still list.
   * @param seedIps addresses at which peers are looked for first.
   */
  constructor(
    self: FleetMember,
    firstBeat = 0,
    seedIps: readonly string[] = [],
  ) {
    this.#self = self;
    this.#firstBeat = firstBeat;
    this.#hasOtherSeeds = seedIps.some((ip) => ip !== self.ip);
    this.#fanout = new HeartbeatFanout(self);
  }

  /** Number of the heartbeat of the current period. */
  get beat(): number {
    return this.#firstBeat + this.#fanout.round;
  }

  get self(): FleetMember {
    return this.#self;
  }

  /**
   * Returns the number of daemons that are known to be alive, including this
   * one.
   */
  countAlive(now: Milliseconds): number {
    return 1 + this.#getSnapshot(now).aliveCount;
  }

  /**
   * Returns the number of daemons that share a fleet-wide limit, including this
   * one: also those that are silent, as they may live on out of earshot.
   * @param memoryMs time for which silent daemons are counted.
   */
  countSharing(now: Milliseconds, memoryMs = FORGET_MS): number {
    const sharing = this.#listRemembered(now, memoryMs).filter((each) =>
      !each.heartbeat?.isLeaving || this.#isAlive(each, now)
    );
    return 1 + sharing.length;
  }

  /**
   * Returns the number of alive daemons in a failure domain that are not
   * leaving; at least 1.
   */
  countAliveIn(failureDomain: string, now: Milliseconds): number {
    const { notLeaving } = this.#getSnapshot(now);
    const peers = notLeaving.filter((member) =>
      member.failureDomain === failureDomain
    );
    const own = failureDomain === this.#self.failureDomain ? 1 : 0;
    return Math.max(1, peers.length + own);
  }

  /** Returns whether a peer in the failure domain is known to be alive. */
  hasAlivePeer(failureDomain: string, now: Milliseconds): boolean {
    return this.listAlive(now).some(({ sender }) =>
      sender.failureDomain === failureDomain
    );
  }

  /**
   * Returns whether this daemon knows no other one, although its seeds name
   * some: how many there are, and what they do, is unknown then.
   */
  isIsolated(now: Milliseconds): boolean {
    if (!this.#hasOtherSeeds) return false;
    for (const known of this.#members.values()) {
      if (isRemembered(known, now)) return false;
    }
    return true;
  }

  /**
   * Returns whether this daemon itself hears more than half of the daemons that
   * may own the engines of a failure domain: of all daemons in a small fleet,
   * of the domain's owner group in a large one. Gossip does not count, and an
   * isolated daemon is no majority of itself.
   */
  hasQuorum(failureDomain: string, now: Milliseconds): boolean {
    if (this.isIsolated(now)) return false;
    if (this.isFullMesh()) {
      const known = this.#listRemembered(now);
      const heard = known.filter((each) =>
        this.#isAlive(each, now) && each.lastHeartbeatAt >= this.#heardSince
      );
      return 2 * (heard.length + 1) > known.length + 1;
    }
    if (failureDomain !== this.#self.failureDomain) return false;
    const group = this.#getGroup(failureDomain, now);
    const heard = group.filter((member) =>
      member.id === this.#self.id || this.#hasFreshHeartbeat(member.id, now)
    );
    return 2 * heard.length > group.length;
  }

  /**
   * Returns whether the member's own heartbeat arrived within the time in which
   * group members send theirs.
   */
  #hasFreshHeartbeat(id: string, now: Milliseconds): boolean {
    const known = this.#members.get(id);
    return known !== undefined && !known.isUnreachable &&
      known.lastHeartbeatAt >= this.#heardSince &&
      now - known.lastHeartbeatAt < MISSED_HEARTBEATS * SMALL_INTERVAL_MS;
  }

  /**
   * Returns whether the fleet is small enough for every daemon to hear every
   * other one.
   */
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
      isCutOff(known?.heartbeat) !== isCutOff(heartbeat) ||
      !isSameList(known?.heartbeat?.heldEngines, heartbeat.heldEngines);
    if (isChanged) this.#expireSnapshot();
    const isSameProcess = known?.heartbeat?.incarnation ===
      heartbeat.incarnation;
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
      processSeenAt: known && isSameProcess ? known.processSeenAt : now,
    });
    if (!known) this.#groups.delete(heartbeat.sender.failureDomain);
    for (const entry of heartbeat.sample) this.#recordGossip(entry, now);
    return isNew;
  }

  /**
   * Considers a member dead that did not acknowledge a message, until it is
   * heard again.
   */
  markUnreachable(id: string, now: Milliseconds): void {
    const known = this.#members.get(id);
    if (!known) return;
    known.isUnreachable = true;
    known.ignoreGossipUntil = now + IGNORE_GOSSIP_MS;
    this.#expireSnapshot();
  }

  /**
   * Records that this process was suspended for longer than its monotonic clock
   * shows. Heartbeats from before, which may still arrive, show no quorum and
   * disclaim nothing.
   */
  recordPause(now: Milliseconds): void {
    this.#heardSince = now + MAX_HEARTBEAT_DELAY_MS;
  }

  /** Returns the members that receive a heartbeat in this period. */
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
   * Returns a sample of the members to list in a heartbeat, which differs from
   * period to period. In a large fleet, members without a recent update are
   * left out, and receivers of frequent heartbeats get a smaller sample.
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

  /** Returns whether the member is known to be alive. */
  isAlive(id: string, now: Milliseconds): boolean {
    if (id === this.#self.id) return true;
    const known = this.#members.get(id);
    return known !== undefined && this.#isAlive(known, now);
  }

  /** Returns the last heartbeats of the alive peers. */
  listAlive(now: Milliseconds): Heartbeat[] {
    return this.#listKnown()
      .filter((each) => this.#isAlive(each, now))
      .flatMap((each) => each.heartbeat ?? []);
  }

  /** Returns the owner of each engine that an alive peer reports to own. */
  listOwners(now: Milliseconds): ReadonlyMap<string, string> {
    return this.#getSnapshot(now).owners;
  }

  /** Returns the alive peer that reports to own the engine, or undefined. */
  findOwner(engineId: string, now: Milliseconds): string | undefined {
    return this.#getSnapshot(now).owners.get(engineId);
  }

  /**
   * Returns the daemons that should own an engine, most preferred first: the
   * owner group of its failure domain, other daemons there if no member of the
   * group is alive, or all daemons if none there is alive.
   * @param isStopping whether this daemon is stopping and therefore no
   * candidate.
   */
  rankOwners(
    engine: { id: string; failureDomain: string },
    isStopping: boolean,
    now: Milliseconds,
  ): FleetMember[] {
    const { ownerCandidates, rankings } = this.#getSnapshot(now);
    if (isStopping) return this.#rankCandidates(engine, ownerCandidates, now);
    const known = rankings.get(engine.id);
    if (known) return known;
    const candidates = [...ownerCandidates, this.#self];
    const ranking = this.#rankCandidates(engine, candidates, now);
    rankings.set(engine.id, ranking);
    return ranking;
  }

  #rankCandidates(
    engine: { id: string; failureDomain: string },
    candidates: readonly FleetMember[],
    now: Milliseconds,
  ): FleetMember[] {
    const group = this.#getGroup(engine.failureDomain, now);
    const members = candidates.filter((member) => hasMember(group, member));
    if (members.length > 0) return rankByRendezvous(engine.id, members);
    const local = candidates.filter((member) =>
      member.failureDomain === engine.failureDomain
    );
    const nextGroup = selectOwnerGroup(engine.failureDomain, local);
    return rankByRendezvous(
      engine.id,
      nextGroup.length > 0 ? nextGroup : candidates,
    );
  }

  /**
   * Returns whether every peer that may have ordered an engine has reported, in
   * a heartbeat sent after the given time, that it has recently started and has
   * never owned the engine since, so that no alive daemon can have ordered it.
   * In a small fleet these are all peers, in a large one the owner group of the
   * engine's failure domain, which must include this daemon. All seeds must be
   * known: a daemon that has recently started behind a network partition knows
   * only some of the others.
   */
  isUnowned(
    engine: { id: string; failureDomain: string },
    requirements: { since: Milliseconds; seedIps: readonly string[] },
    now: Milliseconds,
  ): boolean {
    const peers = this.#listPossibleOwners(engine.failureDomain, now);
    return peers !== undefined && peers.length >= MIN_UNOWNED_PEERS &&
      this.findOwner(engine.id, now) === undefined &&
      this.#isEachKnown(requirements.seedIps, now) &&
      peers.every((each) =>
        this.#isAlive(each, now) &&
        each.lastHeartbeatAt >= this.#heardSince &&
        each.lastHeartbeatAt >= requirements.since + MAX_HEARTBEAT_DELAY_MS &&
        hasNeverOwned(each.heartbeat, engine.id)
      );
  }

  /**
   * Returns whether every other daemon that may own an engine, alive or not,
   * has reported in a heartbeat sent after the given time that it neither owns
   * the engine nor has recently sent it a contested order. All seeds must be
   * known, as for an unowned engine.
   */
  isDisclaimed(
    engine: { id: string; failureDomain: string },
    requirements: DisclaimerRequirements & { seedIps: readonly string[] },
    now: Milliseconds,
  ): boolean {
    const { since, sameProcessSince, mayHaveLeft, seedIps } = requirements;
    const peers = this.#listPossibleOwners(engine.failureDomain, now);
    return peers !== undefined && this.#isEachKnown(seedIps, now) &&
      peers.every((each) =>
        (mayHaveLeft && hasLeft(each, engine.id, now)) ||
        (each.lastHeartbeatAt >= this.#heardSince &&
          each.lastHeartbeatAt >= since + MAX_HEARTBEAT_DELAY_MS &&
          each.processSeenAt <= sameProcessSince &&
          hasDisclaimed(each.heartbeat, engine.id))
      );
  }

  /**
   * Returns the other daemons that may own the engines of a failure domain,
   * alive or not; undefined if not all are known.
   */
  #listPossibleOwners(
    failureDomain: string,
    now: Milliseconds,
  ): KnownMember[] | undefined {
    return this.isFullMesh()
      ? this.#listRemembered(now)
      : this.#listGroupPeers(failureDomain, now);
  }

  #isEachKnown(ips: readonly string[], now: Milliseconds): boolean {
    const known = new Set(
      this.#listRemembered(now).map((each) => each.member.ip),
    );
    return ips.every((ip) => ip === this.#self.ip || known.has(ip));
  }

  /**
   * Returns the other members of the owner group; undefined if the group is not
   * full or does not include this daemon.
   */
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

  /** Returns how many fetches the alive peers have in progress. */
  countFetches(now: Milliseconds): number {
    return this.#getSnapshot(now).fetchesInFlight;
  }

  /**
   * Returns the outcomes that each alive peer has seen at upstreams that fail
   * requests.
   */
  listFailing(now: Milliseconds): OutcomeReport[][] {
    return this.listAlive(now)
      .flatMap(({ failing }) => failing ? [failing] : []);
  }

  /**
   * Returns how many fetches the weight store serves at full speed at once, as
   * measured by each alive peer.
   */
  listFullSpeedFetches(now: Milliseconds): number[] {
    return this.listAlive(now)
      .flatMap((heartbeat) => heartbeat.fullSpeedFetches ?? []);
  }

  /**
   * Returns the daemons that rank first for an engine, alive or not, so that
   * daemons that disagree about who is alive still agree on the claimants.
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
   * one of the daemons that can read it does, and the others ask that one.
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
    const members = readers.filter((member) => hasMember(group, member));
    const ranking = rankByRendezvous(
      READER_KEY,
      members.length > 0 ? members : readers,
    );
    return ranking[0]?.id === this.#self.id;
  }

  /** Returns a snapshot of the members, which is shared by many queries. */
  #getSnapshot(now: Milliseconds): Snapshot {
    const previous = this.#snapshot;
    const isFresh = previous !== undefined && now >= previous.createdAt &&
      now - previous.createdAt < SNAPSHOT_LIFETIME_MS;
    if (isFresh) return previous;
    const snapshot: Snapshot = {
      createdAt: now,
      aliveCount: 0,
      fetchesInFlight: 0,
      notLeaving: [],
      ownerCandidates: [],
      owners: new Map(),
      rankings: new Map(),
    };
    for (const known of this.#members.values()) {
      const { member, heartbeat } = known;
      if (!this.#isAlive(known, now)) continue;
      snapshot.aliveCount += 1;
      snapshot.fetchesInFlight += heartbeat?.fetchesInFlight ?? 0;
      if (heartbeat?.isLeaving) continue;
      snapshot.notLeaving.push(member);
      if (!isCutOff(heartbeat)) snapshot.ownerCandidates.push(member);
      for (const engineId of heartbeat?.heldEngines ?? []) {
        if (snapshot.owners.has(engineId)) continue;
        snapshot.owners.set(engineId, member.id);
      }
    }
    // A ranking costs one hash per member and engine, and remains valid while
    // no member joins or leaves.
    const isSame = previous &&
      hasSameMembers(previous.ownerCandidates, snapshot.ownerCandidates);
    if (isSame) {
      snapshot.rankings = previous.rankings;
    }
    this.#snapshot = snapshot;
    return snapshot;
  }

  /**
   * Makes the next query take a new snapshot; the cached rankings may remain
   * valid.
   */
  #expireSnapshot(): void {
    if (this.#snapshot) this.#snapshot.createdAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * Considers every peer dead until it is heard again, after this process was
   * suspended.
   */
  markAllUnreachable(): void {
    for (const known of this.#members.values()) known.isUnreachable = true;
    this.#expireSnapshot();
  }

  #recordGossip(entry: GossipEntry, now: Milliseconds): void {
    const [id, ip, failureDomain, beat] = entry;
    if (id === this.#self.id) {
      if (beat > this.beat) this.#firstBeat = beat + 1 - this.#fanout.round;
      return;
    }
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
        processSeenAt: now,
      });
      this.#groups.delete(failureDomain);
      return;
    }
    const isNewer = beat > known.beat && !this.isFullMesh() &&
      now >= known.ignoreGossipUntil;
    if (!isNewer) return;
    if (!this.#isAlive(known, now)) this.#expireSnapshot();
    known.beat = beat;
    known.lastHeardAt = now;
    known.isUnreachable = false;
    // It is alive and no longer sends to this daemon: it considers other
    // daemons its owner group.
    if (hasMissedPromise(known, now)) known.promisedMs = undefined;
  }

  #isLocal(member: FleetMember): boolean {
    return member.failureDomain === this.#self.failureDomain;
  }

  /** Returns the owner group of a failure domain, with dead members. */
  #getGroup(failureDomain: string, now: Milliseconds): FleetMember[] {
    const known = this.#groups.get(failureDomain);
    const isFresh = known !== undefined && now >= known.createdAt &&
      now - known.createdAt < GROUP_LIFETIME_MS;
    if (isFresh) return known.members;
    const remembered = this.#listRemembered(now).map((each) => each.member);
    const members = selectOwnerGroup(
      failureDomain,
      [...remembered, this.#self].filter((member) =>
        member.failureDomain === failureDomain
      ),
    );
    this.#groups.set(failureDomain, { createdAt: now, members });
    return members;
  }

  #isMemberOf(group: readonly FleetMember[]): boolean {
    return hasMember(group, this.#self);
  }

  /** Returns the time until the next heartbeats. */
  getIntervalMs(uptimeMs: Milliseconds, now: Milliseconds): Milliseconds {
    const isStarting = uptimeMs < STARTUP_MS && this.isFullMesh();
    if (isStarting) return STARTUP_INTERVAL_MS;
    const isFrequent = this.isFullMesh() || uptimeMs < LARGE_STARTUP_MS ||
      this.#isMemberOf(this.#getGroup(this.#self.failureDomain, now));
    return isFrequent ? SMALL_INTERVAL_MS : LARGE_INTERVAL_MS;
  }

  /**
   * Returns the time within which the next heartbeat is promised to a target;
   * undefined without a promise.
   */
  getPromisedMs(isPromised: boolean): Milliseconds | undefined {
    return isPromised ? SMALL_INTERVAL_MS : undefined;
  }

  /**
   * Returns whether the member is known to be alive. In a large fleet, updates
   * about it are infrequent unless it promised heartbeats.
   */
  #isAlive(known: KnownMember, now: Milliseconds): boolean {
    if (known.isUnreachable) return false;
    if (known.heartbeat === undefined && this.isFullMesh()) return false;
    const timeoutMs = MISSED_HEARTBEATS * this.#getUpdateIntervalMs(known);
    return now - known.lastHeardAt < timeoutMs;
  }

  /** Returns the time within which an update about a member arrives. */
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

  /** Returns the members that were heard or first learned of recently. */
  #listRemembered(now: Milliseconds, memoryMs = FORGET_MS): KnownMember[] {
    return this.#listKnown().filter((each) =>
      isRemembered(each, now, memoryMs)
    );
  }

  #listKnown(): KnownMember[] {
    return [...this.#members.values()];
  }
}

/** Returns whether the member was heard or first learned of recently. */
function isRemembered(
  { lastHeardAt, firstSeenAt }: KnownMember,
  now: Milliseconds,
  memoryMs = FORGET_MS,
): boolean {
  return now - Math.max(lastHeardAt, firstSeenAt) < memoryMs;
}

function hasNeverOwned(
  heartbeat: Heartbeat | undefined,
  engineId: string,
): boolean {
  return heartbeat?.newcomerHeld !== undefined &&
    !heartbeat.newcomerHeld.includes(engineId) &&
    !heartbeat.heldEngines.includes(engineId);
}

/**
 * Returns whether the sender says that it neither owns the engine nor may have
 * ordered it. One that is leaving may have handed it over to another.
 */
function hasDisclaimed(
  heartbeat: Heartbeat | undefined,
  engineId: string,
): boolean {
  return heartbeat !== undefined && !heartbeat.isLeaving &&
    !heartbeat.heldEngines.includes(engineId) &&
    !(heartbeat.contestedEngines?.includes(engineId) ?? false);
}

/**
 * Returns whether a member has left without the engine, so long ago that the
 * word of one to which it handed the engine over has arrived.
 */
function hasLeft(
  { heartbeat, lastHeartbeatAt }: KnownMember,
  engineId: string,
  now: Milliseconds,
): boolean {
  return heartbeat !== undefined && heartbeat.isLeaving &&
    now - lastHeartbeatAt >= 2 * MAX_HEARTBEAT_DELAY_MS &&
    hasDisclaimed({ ...heartbeat, isLeaving: false }, engineId);
}

function hasSameMembers(
  before: readonly FleetMember[],
  after: readonly FleetMember[],
): boolean {
  return before.length === after.length &&
    before.every((member, index) => member.id === after[index]?.id);
}

/** Returns whether two promised heartbeats have been missed. */
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

/** Returns whether the sender is cut off from upstreams. */
function isCutOff(heartbeat: Heartbeat | undefined): boolean {
  return (heartbeat?.cutOffServices?.length ?? 0) > 0;
}
