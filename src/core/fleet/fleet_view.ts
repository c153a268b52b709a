/**
 * Which daemons there are and which of them live, learnt from heartbeats: each
 * daemon sends one a period to those of its failure domain and to a few others,
 * with a sample of the members it knows and the number of each one's last
 * heartbeat. Nobody is asked whether it lives; who has been silent for some
 * periods is taken for dead until it is heard again. In a large fleet, where a
 * daemon hears few others itself, a higher number that somebody names counts too.
 */
import { rankByRendezvous } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";

/** A daemon as its peers know it. */
export interface FleetMember {
  id: string;
  /** IP address; every daemon listens on the same peer port. */
  ip: string;
  failureDomain: string;
}

/** A member as a heartbeat names it, and the highest number of its heartbeats that the sender knows. */
export type NamedMember = [
  id: string,
  ip: string,
  failureDomain: string,
  beat: number,
];

/** What a heartbeat says of its sender. */
export interface Heartbeat {
  sender: FleetMember;
  /** Differs in each start of the process. */
  incarnation: string;
  /** Rises with each heartbeat, also over restarts. */
  beat: number;
  isLeaving: boolean;
  /** Whether the sender's own watches on the store are answered. */
  hasStore: boolean;
  /** Store revision up to which the sender knows each prefix. */
  revisions: { configuration: number; upstreams: number };
  /** Engines whose orders the sender gives. */
  heldEngines: string[];
  /** Engines that the sender held before, in the first seconds after its start; later absent. */
  newcomerHeld?: string[];
  /** Loads from the weight store that the sender has on the way. */
  fetchesInFlight: number;
  /** Highest time of the sender's fence clock. */
  fenceUnixMs: number;
  /** Some of the members that the sender knows. */
  sample: NamedMember[];
  /** Fingerprints of requests that crashed upstreams, with their count. */
  strikes: { fingerprint: string; strikes: number }[];
}

/** Period of heartbeats in a small fleet; a death is noticed within a few of them. */
const SMALL_INTERVAL_MS = 400;
/** Period in a large fleet, whose daemons have to keep to 3 KB a second for control. */
const LARGE_INTERVAL_MS = 1_000;
/** Time after the start in which a daemon of a large fleet makes itself known faster. */
const FIRST_GOSSIP_MS = 5_000;
/** Heartbeats that fail to come before a member is taken for dead. */
const MISSED_HEARTBEATS = 4;
/** Fleet size up to which every daemon sends to every other one. */
const FULL_MESH_MEMBERS = 24;
/** Daemons of the own failure domain that get a heartbeat in a period, beyond that size. */
const NEAR_TARGETS = 5;
/** Daemons of other failure domains that get one. */
const DISTANT_TARGETS = 2;
/** Members named in one heartbeat of a small fleet, or of one that does not know yet that it is large. */
const SMALL_SAMPLE = 12;
/** Members of the own failure domain, and of others, named in one of a large fleet: keeps it within one datagram. */
const NEAR_SAMPLE = 8;
const DISTANT_SAMPLE = 4;
/** Age up to which news of a member is passed on, so that a dead one is not kept alive by old news. */
const FRESH_NEWS_MS = 4_000;
/** Members of its failure domain of which a daemon of a large fleet surely has news in a period: a quarter of those that are named to it. */
const NEAR_NEWS = 10;
/** Time for which the word of others does not revive a member that did not answer this daemon. */
const SILENCED_MS = 3_000;
/** Silence after which a member is no longer sent anything. */
const FORGET_MS = 60_000;

/** Time from its start for which a daemon can say that it never held an engine: a restart of the whole fleet takes some seconds. */
export const NEWCOMER_MS = 15_000;
/** Peers that must say so before an engine is taken for unheld: a lone one can't tell who else lives. */
const MIN_NEWCOMER_PEERS = 2;
/** Longest time that a heartbeat is taken to be on its way. */
const HEARTBEAT_TRAVEL_MS = 300;

/** Daemons that are taken to claim an engine at the same time at most. */
const MAX_RIVALS = 3;

/** Key by which the reader of the store is drawn. */
const READER_KEY = "store reader";

/** Time for which a look through the members is used again. */
const SURVEY_LIFETIME_MS = 100;

interface Survey {
  madeAt: Milliseconds;
  /** Loads from the weight store on their way, at the living members. */
  fetchesInFlight: number;
  /** Living members that are not leaving. */
  staying: FleetMember[];
  /** Holder of each engine that one of them holds. */
  holders: Map<string, string>;
  /** Ranking of the holders to be, this daemon included, of engines asked for. */
  ranked: Map<string, FleetMember[]>;
}

interface KnownMember {
  member: FleetMember;
  heartbeat: Heartbeat | undefined;
  /** Highest number of its heartbeats that is known. */
  beat: number;
  heardAt: Milliseconds;
  /** Until when only the member itself is believed. */
  silencedUntil: Milliseconds;
  /** When it was first named to this daemon. */
  namedAt: Milliseconds;
}

export class FleetView {
  readonly #self: FleetMember;
  readonly #firstBeat: number;
  readonly #members = new Map<string, KnownMember>();
  #round = 0;
  #nearMembers = 0;
  #survey: Survey | undefined;

  /** @param firstBeat number of the first heartbeat; above those of earlier starts, as the wall clock is. */
  constructor(self: FleetMember, firstBeat = 0) {
    this.#self = self;
    this.#firstBeat = firstBeat;
  }

  /** Number of the heartbeat that is due. */
  get beat(): number {
    return this.#firstBeat + this.#round;
  }

  get self(): FleetMember {
    return this.#self;
  }

  /** Number of daemons that live as far as is known, this one included. */
  countLiving(now: Milliseconds): number {
    return 1 + this.#listKnown().filter((each) => this.#isLiving(each, now))
      .length;
  }

  /**
   * Returns whether this daemon hears more than half of the daemons that it knows
   * of. In a large fleet it hears too few of them, too seldom, to tell.
   */
  isHearingMajority(now: Milliseconds): boolean {
    if (!this.isSmall()) return false;
    const known = this.#listRemembered(now);
    return 2 * this.countLiving(now) > known.length + 1;
  }

  isSmall(): boolean {
    return this.#members.size < FULL_MESH_MEMBERS;
  }

  recordHeartbeat(heartbeat: Heartbeat, now: Milliseconds): boolean {
    if (heartbeat.sender.id === this.#self.id) return false;
    const known = this.#members.get(heartbeat.sender.id);
    const isNew = !known || !this.#isLiving(known, now) ||
      known.heartbeat?.incarnation !== heartbeat.incarnation;
    if (!known && this.#isNear(heartbeat.sender)) this.#nearMembers += 1;
    if (isNew || known?.heartbeat?.isLeaving !== heartbeat.isLeaving) {
      this.#expireSurvey();
    }
    this.#members.set(heartbeat.sender.id, {
      member: heartbeat.sender,
      heartbeat,
      beat: heartbeat.beat,
      heardAt: now,
      silencedUntil: Number.NEGATIVE_INFINITY,
      namedAt: known?.namedAt ?? now,
    });
    for (const named of heartbeat.sample) this.#recordNamed(named, now);
    return isNew;
  }

  /** Takes a member for dead that did not acknowledge a message, until it is heard again. */
  recordSilence(id: string, now: Milliseconds): void {
    const known = this.#members.get(id);
    if (!known) return;
    known.heardAt = Number.NEGATIVE_INFINITY;
    known.silencedUntil = now + SILENCED_MS;
    this.#expireSurvey();
  }

  /** Returns the members that get a heartbeat in this period. */
  selectTargets(now: Milliseconds): FleetMember[] {
    this.#round += 1;
    const members = this.#listRemembered(now).map((each) => each.member);
    if (members.length < FULL_MESH_MEMBERS) return members;
    const near = members.filter((member) => this.#isNear(member));
    const distant = members.filter((member) => !this.#isNear(member));
    return [
      ...rotate(near, this.#round * NEAR_TARGETS).slice(0, NEAR_TARGETS),
      ...rankByRendezvous(String(this.#round), distant)
        .slice(0, DISTANT_TARGETS),
    ];
  }

  /** Returns some members to name in a heartbeat, others each period; old news is not passed on. */
  selectSample(now: Milliseconds): NamedMember[] {
    const known = this.#listKnown();
    if (this.isSmall()) return this.#drawSample(known, SMALL_SAMPLE);
    const fresh = known.filter((each) => now - each.heardAt < FRESH_NEWS_MS);
    const near = fresh.filter((each) => this.#isNear(each.member));
    const distant = fresh.filter((each) => !this.#isNear(each.member));
    return [
      ...this.#drawSample(near, NEAR_SAMPLE),
      ...this.#drawSample(distant, DISTANT_SAMPLE),
    ];
  }

  #drawSample(known: readonly KnownMember[], size: number): NamedMember[] {
    const candidates = known.map(({ member, beat }) => ({
      id: member.id,
      named: [member.id, member.ip, member.failureDomain, beat] as NamedMember,
    }));
    return rankByRendezvous(`${this.#self.id} ${this.#round}`, candidates)
      .slice(0, size).map((each) => each.named);
  }

  getMember(id: string): FleetMember | undefined {
    return id === this.#self.id ? this.#self : this.#members.get(id)?.member;
  }

  /** Returns whether the member lives as far as is known. */
  isLiving(id: string, now: Milliseconds): boolean {
    if (id === this.#self.id) return true;
    const known = this.#members.get(id);
    return known !== undefined && this.#isLiving(known, now);
  }

  /** Returns the living peers' last heartbeats. */
  listLiving(now: Milliseconds): Heartbeat[] {
    return this.#listKnown()
      .filter((each) => this.#isLiving(each, now))
      .flatMap((each) => each.heartbeat ?? []);
  }

  /** Returns the living daemon that says it holds the engine, or undefined. */
  findHolder(engineId: string, now: Milliseconds): string | undefined {
    return this.#getSurvey(now).holders.get(engineId);
  }

  /**
   * Returns the daemons that should order an engine, best first: those of its
   * failure domain, or all others where none of them lives.
   * @param isStopping whether this daemon itself is no candidate.
   */
  rankHolders(
    engine: { id: string; failureDomain: string },
    isStopping: boolean,
    now: Milliseconds,
  ): FleetMember[] {
    const { staying, ranked } = this.#getSurvey(now);
    if (isStopping) return rankNear(engine, staying);
    const known = ranked.get(engine.id);
    if (known) return known;
    const ranking = rankNear(engine, [...staying, this.#self]);
    ranked.set(engine.id, ranking);
    return ranking;
  }

  /**
   * Returns whether every peer has said, in a heartbeat sent after the given time,
   * that it has started lately and has never held the engine since: so that
   * nobody who lives can have ordered it. All seeds must be among them: who has
   * just started and is cut off knows only some of the others.
   */
  isUnheld(
    engineId: string,
    heard: { since: Milliseconds; seedIps: readonly string[] },
    now: Milliseconds,
  ): boolean {
    if (!this.isSmall()) return false;
    const known = this.#listRemembered(now);
    const ips = new Set(known.map((each) => each.member.ip));
    return known.length >= MIN_NEWCOMER_PEERS &&
      heard.seedIps.every((ip) => ip === this.#self.ip || ips.has(ip)) &&
      known.every((each) =>
        this.#isLiving(each, now) &&
        each.heardAt >= heard.since + HEARTBEAT_TRAVEL_MS &&
        hasNeverHeld(each.heartbeat, engineId)
      );
  }

  /** Returns how many loads from the weight store the living peers have on the way. */
  countFetches(now: Milliseconds): number {
    return this.#getSurvey(now).fetchesInFlight;
  }

  /**
   * Returns the daemons that come first for an engine's orders, living or not: so
   * daemons that disagree on who lives still agree on who is who.
   */
  listRivals(engine: { id: string; failureDomain: string }): string[] {
    const members = [
      this.#self,
      ...this.#listKnown().map((each) => each.member),
    ];
    return rankNear(engine, members).slice(0, MAX_RIVALS)
      .map((member) => member.id);
  }

  /**
   * Returns whether this daemon should read the store for its failure domain:
   * one of those that can does, the others ask it.
   */
  isReader(canRead: boolean, now: Milliseconds): boolean {
    if (!canRead) return false;
    const candidates = this.listLiving(now)
      .filter((heartbeat) =>
        heartbeat.hasStore && !heartbeat.isLeaving &&
        this.#isNear(heartbeat.sender)
      )
      .map((heartbeat) => heartbeat.sender);
    const ranked = rankByRendezvous(READER_KEY, [...candidates, this.#self]);
    return ranked[0]?.id === this.#self.id;
  }

  /** Looks through the members once for many questions. */
  #getSurvey(now: Milliseconds): Survey {
    const previous = this.#survey;
    const isFresh = previous !== undefined && now >= previous.madeAt &&
      now - previous.madeAt < SURVEY_LIFETIME_MS;
    if (isFresh) return previous;
    const survey: Survey = {
      madeAt: now,
      fetchesInFlight: 0,
      staying: [],
      holders: new Map(),
      ranked: new Map(),
    };
    for (const known of this.#members.values()) {
      const { member, heartbeat } = known;
      if (!this.#isLiving(known, now)) continue;
      survey.fetchesInFlight += heartbeat?.fetchesInFlight ?? 0;
      if (heartbeat?.isLeaving) continue;
      survey.staying.push(member);
      for (const engineId of heartbeat?.heldEngines ?? []) {
        if (survey.holders.has(engineId)) continue;
        survey.holders.set(engineId, member.id);
      }
    }
    // Rankings cost a hash a member and engine, and hold while nobody comes or goes.
    if (previous && hasSameMembers(previous.staying, survey.staying)) {
      survey.ranked = previous.ranked;
    }
    this.#survey = survey;
    return survey;
  }

  /** Has the members looked through again; their rankings may still hold. */
  #expireSurvey(): void {
    if (this.#survey) this.#survey.madeAt = Number.NEGATIVE_INFINITY;
  }

  /** Takes every peer for silent, after a pause of this process. */
  expireAll(): void {
    for (const known of this.#members.values()) {
      known.heardAt = Number.NEGATIVE_INFINITY;
    }
    this.#expireSurvey();
  }

  #recordNamed(named: NamedMember, now: Milliseconds): void {
    const [id, ip, failureDomain, beat] = named;
    if (id === this.#self.id) return;
    const known = this.#members.get(id);
    if (!known) {
      const member = { id, ip, failureDomain };
      if (this.#isNear(member)) this.#nearMembers += 1;
      this.#members.set(id, {
        member,
        heartbeat: undefined,
        beat,
        heardAt: now,
        silencedUntil: Number.NEGATIVE_INFINITY,
        namedAt: now,
      });
      return;
    }
    const isNews = beat > known.beat && !this.isSmall() &&
      now >= known.silencedUntil;
    if (!isNews) return;
    if (!this.#isLiving(known, now)) this.#expireSurvey();
    known.beat = beat;
    known.heardAt = now;
  }

  #isNear(member: FleetMember): boolean {
    return member.failureDomain === this.#self.failureDomain;
  }

  /** Returns the time until the next heartbeats. */
  getIntervalMs(uptimeMs: Milliseconds): Milliseconds {
    return this.isSmall() || uptimeMs < FIRST_GOSSIP_MS
      ? SMALL_INTERVAL_MS
      : LARGE_INTERVAL_MS;
  }

  /** In a large fleet there is news of a member only now and then. */
  #isLiving(known: KnownMember, now: Milliseconds): boolean {
    if (known.heartbeat === undefined && this.isSmall()) return false;
    const silenceMs = MISSED_HEARTBEATS *
      (this.isSmall() ? SMALL_INTERVAL_MS : LARGE_INTERVAL_MS);
    return now - known.heardAt < silenceMs * this.#getHeartbeatGap(known);
  }

  /** Returns the periods between two pieces of news of a member. */
  #getHeartbeatGap(known: KnownMember): number {
    if (this.isSmall()) return 1;
    return this.#isNear(known.member)
      ? Math.max(1, Math.floor(this.#nearMembers / NEAR_NEWS))
      : Math.ceil(
        (this.#members.size - this.#nearMembers) / DISTANT_TARGETS / 2,
      );
  }

  /** Returns the members that were heard or named lately. */
  #listRemembered(now: Milliseconds): KnownMember[] {
    return this.#listKnown().filter((each) =>
      now - Math.max(each.heardAt, each.namedAt) < FORGET_MS
    );
  }

  #listKnown(): KnownMember[] {
    return [...this.#members.values()];
  }
}

function hasNeverHeld(
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

/** Ranks an engine's holders to be: members of its failure domain, or all where there is none. */
function rankNear(
  engine: { id: string; failureDomain: string },
  members: readonly FleetMember[],
): FleetMember[] {
  const near = members.filter((member) =>
    member.failureDomain === engine.failureDomain
  );
  return rankByRendezvous(engine.id, near.length > 0 ? near : members);
}

function rotate<T>(values: readonly T[], by: number): T[] {
  if (values.length === 0) return [];
  const start = by % values.length;
  return [...values.slice(start), ...values.slice(0, start)];
}
