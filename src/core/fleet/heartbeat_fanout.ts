/**
 * To whom a daemon of a large fleet sends its heartbeats, and whom it names in
 * them: the group that holds engines with it in each period, others in turns, so
 * that what it sends does not grow with the fleet.
 */
import { rankByRendezvous } from "../hashing.ts";
import type { FleetMember, GossipEntry } from "./heartbeat.ts";
import { hasMember } from "./owner_group.ts";

/** Other daemons of the own failure domain that get a heartbeat in a period, beyond that size. */
const LOCAL_TARGETS = 5;
/** Periods of a member of the group of holders, which are shorter, in one of which it sends to these. */
const GROUP_ROUNDS = 3;
/** Daemons of other failure domains that get one. */
export const REMOTE_TARGETS = 2;
/** Members named in one heartbeat of a small fleet, or of one that does not know yet that it is large. */
const SMALL_SAMPLE = 12;
/** Members of the own failure domain, and of others, named in one of a large fleet: keeps it within one datagram. */
const LOCAL_SAMPLE = 8;
const REMOTE_SAMPLE = 4;
/** Members named to those who were promised heartbeats, near and distant: they get them often. */
const PROMISED_LOCAL_SAMPLE = 3;
const PROMISED_REMOTE_SAMPLE = 1;

/** A daemon that gets a heartbeat, and whether the next one is promised to it. */
export interface HeartbeatTarget {
  member: FleetMember;
  isPromised: boolean;
}

/** A member and the highest number of its heartbeats that is known. */
interface NumberedMember {
  member: FleetMember;
  beat: number;
}

export class HeartbeatFanout {
  readonly #self: FleetMember;
  #round = 0;
  /** Times that daemons outside the group of holders were sent to. */
  #rotation = 0;

  constructor(self: FleetMember) {
    this.#self = self;
  }

  /** Periods so far. */
  get round(): number {
    return this.#round;
  }

  advanceRound(): void {
    this.#round += 1;
  }

  /**
   * Returns the members that get a heartbeat in the next period.
   * @param group those that hold the engines of this daemon's failure domain.
   */
  selectTargets(
    members: readonly FleetMember[],
    group: readonly FleetMember[],
  ): HeartbeatTarget[] {
    this.advanceRound();
    const isHolder = hasMember(group, this.#self);
    const mates = isHolder
      ? group.filter((member) => member.id !== this.#self.id)
      : [];
    const near = members.filter((member) =>
      this.#isLocal(member) && !mates.includes(member)
    );
    const distant = members.filter((member) => !this.#isLocal(member));
    const targets = mates.map((member) => ({ member, isPromised: true }));
    if (isHolder && this.#round % GROUP_ROUNDS !== 0) return targets;
    this.#rotation += 1;
    const others = [
      ...rotate(near, this.#rotation * LOCAL_TARGETS).slice(0, LOCAL_TARGETS),
      ...rankByRendezvous(String(this.#round), distant)
        .slice(0, REMOTE_TARGETS),
    ];
    return [
      ...targets,
      ...others.map((member) => ({ member, isPromised: false })),
    ];
  }

  selectSmallSample(known: readonly NumberedMember[]): GossipEntry[] {
    return this.#drawSample(known, SMALL_SAMPLE);
  }

  /** Returns some of the members to name, fewer where the next heartbeat is promised soon. */
  selectSample(
    known: readonly NumberedMember[],
    isPromised: boolean,
  ): GossipEntry[] {
    const near = known.filter((each) => this.#isLocal(each.member));
    const distant = known.filter((each) => !this.#isLocal(each.member));
    return [
      ...this.#drawSample(
        near,
        isPromised ? PROMISED_LOCAL_SAMPLE : LOCAL_SAMPLE,
      ),
      ...this.#drawSample(
        distant,
        isPromised ? PROMISED_REMOTE_SAMPLE : REMOTE_SAMPLE,
      ),
    ];
  }

  #drawSample(known: readonly NumberedMember[], size: number): GossipEntry[] {
    const candidates = known.map(({ member, beat }) => ({
      id: member.id,
      named: [member.id, member.ip, member.failureDomain, beat] as GossipEntry,
    }));
    return rankByRendezvous(`${this.#self.id} ${this.#round}`, candidates)
      .slice(0, size).map((each) => each.named);
  }

  #isLocal(member: FleetMember): boolean {
    return member.failureDomain === this.#self.failureDomain;
  }
}

function rotate<T>(values: readonly T[], by: number): T[] {
  if (values.length === 0) return [];
  const start = by % values.length;
  return [...values.slice(start), ...values.slice(0, start)];
}
