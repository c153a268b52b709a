/**
 * Which daemons there are and which of them live, learnt from heartbeats: each
 * daemon sends one a period to those of its failure domain and to a few others,
 * with a sample of the members it knows. Nobody is asked whether it lives; who
 * has been silent for some periods is taken for dead until it is heard again.
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

/** What a heartbeat says of its sender. */
export interface Heartbeat {
  sender: FleetMember;
  /** Differs in each start of the process. */
  incarnation: string;
  isLeaving: boolean;
  /** Whether the sender's own watches on the store are answered. */
  hasStore: boolean;
  /** Store revision up to which the sender knows each prefix. */
  revisions: { configuration: number; upstreams: number };
  /** Engines whose orders the sender gives. */
  heldEngines: string[];
  /** Loads from the weight store that the sender has on the way. */
  fetchesInFlight: number;
  /** Highest time of the sender's fence clock. */
  fenceUnixMs: number;
  /** Some of the members that the sender knows. */
  sample: FleetMember[];
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
/** Members named in one heartbeat: keeps it within one datagram. */
const SAMPLE_SIZE = 6;
/** Silence after which a member is no longer sent anything. */
const FORGET_MS = 60_000;

/** Key by which the reader of the store is drawn. */
const READER_KEY = "store reader";

/** Time for which a look through the members is used again. */
const SURVEY_LIFETIME_MS = 100;

interface Survey {
  madeAt: Milliseconds;
  /** Living members that are not leaving. */
  staying: FleetMember[];
  /** Holder of each engine that one of them holds. */
  holders: Map<string, string>;
}

interface KnownMember {
  member: FleetMember;
  heartbeat: Heartbeat | undefined;
  heardAt: Milliseconds;
  /** When it was first named to this daemon. */
  namedAt: Milliseconds;
}

export class FleetView {
  readonly #self: FleetMember;
  readonly #members = new Map<string, KnownMember>();
  #round = 0;
  #nearMembers = 0;
  #survey: Survey | undefined;

  constructor(self: FleetMember) {
    this.#self = self;
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
    const known = this.#listKnown().filter((each) =>
      now - Math.max(each.heardAt, each.namedAt) < FORGET_MS
    );
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
      this.#survey = undefined;
    }
    this.#members.set(heartbeat.sender.id, {
      member: heartbeat.sender,
      heartbeat,
      heardAt: now,
      namedAt: known?.namedAt ?? now,
    });
    for (const member of heartbeat.sample) this.#addNamed(member, now);
    return isNew;
  }

  /** Takes a member for dead that did not acknowledge a message, until it is heard again. */
  recordSilence(id: string): void {
    const known = this.#members.get(id);
    if (!known) return;
    known.heardAt = Number.NEGATIVE_INFINITY;
    this.#survey = undefined;
  }

  /** Returns the members that get a heartbeat in this period. */
  selectTargets(now: Milliseconds): FleetMember[] {
    this.#round += 1;
    const known = this.#listKnown().filter((each) =>
      now - Math.max(each.heardAt, each.namedAt) < FORGET_MS
    );
    if (known.length < FULL_MESH_MEMBERS) {
      return known.map((each) => each.member);
    }
    const near = known.filter((each) => this.#isNear(each.member));
    const distant = known.filter((each) => !this.#isNear(each.member));
    return [
      ...rotate(near, this.#round * NEAR_TARGETS).slice(0, NEAR_TARGETS),
      ...rankByRendezvous(
        String(this.#round),
        distant.map((each) => each.member),
      ).slice(0, DISTANT_TARGETS).map((member) => ({ member })),
    ].map((each) => each.member);
  }

  /** Returns some members to name in a heartbeat, another part each period. */
  selectSample(): FleetMember[] {
    const members = this.#listKnown().map((each) => each.member);
    return rotate(members, this.#round * SAMPLE_SIZE).slice(0, SAMPLE_SIZE);
  }

  getHeartbeat(id: string): Heartbeat | undefined {
    return this.#members.get(id)?.heartbeat;
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
    const { staying } = this.#getSurvey(now);
    const candidates = isStopping ? staying : [...staying, this.#self];
    const near = candidates.filter((member) =>
      member.failureDomain === engine.failureDomain
    );
    return rankByRendezvous(engine.id, near.length > 0 ? near : candidates);
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
    const known = this.#survey;
    const isFresh = known !== undefined && now >= known.madeAt &&
      now - known.madeAt < SURVEY_LIFETIME_MS;
    if (isFresh) return known;
    const survey: Survey = { madeAt: now, staying: [], holders: new Map() };
    for (const heartbeat of this.listLiving(now)) {
      if (heartbeat.isLeaving) continue;
      survey.staying.push(heartbeat.sender);
      for (const engineId of heartbeat.heldEngines) {
        if (survey.holders.has(engineId)) continue;
        survey.holders.set(engineId, heartbeat.sender.id);
      }
    }
    this.#survey = survey;
    return survey;
  }

  /** Takes every peer for silent, after a pause of this process. */
  expireAll(): void {
    for (const known of this.#members.values()) {
      known.heardAt = Number.NEGATIVE_INFINITY;
    }
    this.#survey = undefined;
  }

  #addNamed(member: FleetMember, now: Milliseconds): void {
    if (member.id === this.#self.id || this.#members.has(member.id)) return;
    if (this.#isNear(member)) this.#nearMembers += 1;
    this.#members.set(member.id, {
      member,
      heartbeat: undefined,
      heardAt: Number.NEGATIVE_INFINITY,
      namedAt: now,
    });
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

  /** A member of a large fleet is heard only now and then. */
  #isLiving(known: KnownMember, now: Milliseconds): boolean {
    if (known.heartbeat === undefined) return false;
    const silenceMs = MISSED_HEARTBEATS *
      (this.isSmall() ? SMALL_INTERVAL_MS : LARGE_INTERVAL_MS);
    return now - known.heardAt < silenceMs * this.#getHeartbeatGap(known);
  }

  /** Returns the periods between two heartbeats of a member. */
  #getHeartbeatGap(known: KnownMember): number {
    if (this.isSmall()) return 1;
    const isNear = this.#isNear(known.member);
    const targets = isNear ? NEAR_TARGETS : DISTANT_TARGETS;
    const likeIt = isNear
      ? this.#nearMembers
      : this.#members.size - this.#nearMembers;
    return Math.max(1, Math.ceil(likeIt / targets / 2));
  }

  #listKnown(): KnownMember[] {
    return [...this.#members.values()];
  }
}

function rotate<T>(values: readonly T[], by: number): T[] {
  if (values.length === 0) return [];
  const start = by % values.length;
  return [...values.slice(start), ...values.slice(0, start)];
}
