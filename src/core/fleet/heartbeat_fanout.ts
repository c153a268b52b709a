/**
 * Selects the daemons to which a daemon of a large fleet sends heartbeats, and
 * the members that it lists in them: the other members of its owner group in
 * each period, other daemons in rotation, so that the traffic of a daemon does
 * not grow with the fleet.
 */
import { rankByRendezvous } from "../hashing.ts";
import type { FleetMember, GossipEntry } from "./heartbeat.ts";
import { hasMember } from "./owner_group.ts";

/**
 * Daemons of the own failure domain outside the owner group that receive a
 * heartbeat in a period.
 */
const LOCAL_TARGETS = 5;
/**
 * A member of the owner group, whose periods are shorter, sends to daemons
 * outside the group only once in this many periods.
 */
const GROUP_ROUNDS = 3;
/** Daemons of other failure domains that receive a heartbeat in a period. */
export const REMOTE_TARGETS = 2;
/**
 * Members listed in a heartbeat of a small fleet, or of a large one that the
 * sender does not know to be large yet.
 */
const SMALL_SAMPLE = 12;
/**
 * Members of the own failure domain, and of others, listed in a heartbeat of a
 * large fleet; keeps it within one datagram.
 */
const LOCAL_SAMPLE = 8;
const REMOTE_SAMPLE = 4;
/**
 * Members of the own failure domain, and of others, listed for receivers with a
 * promised heartbeat, which receive them often.
 */
const PROMISED_LOCAL_SAMPLE = 3;
const PROMISED_REMOTE_SAMPLE = 1;

/**
 * A daemon that receives a heartbeat, and whether the next one is promised to
 * it.
 */
export interface HeartbeatTarget {
  member: FleetMember;
  isPromised: boolean;
}

/** A member and the highest known number of its heartbeats. */
interface NumberedMember {
  member: FleetMember;
  beat: number;
}

export class HeartbeatFanout {
  readonly #self: FleetMember;
  #round = 0;
  /**
   * Number of periods in which daemons outside the owner group received
   * heartbeats.
   */
  #rotation = 0;

  constructor(self: FleetMember) {
    this.#self = self;
  }

  /** Number of periods so far. */
  get round(): number {
    return this.#round;
  }

  advanceRound(): void {
    this.#round += 1;
  }

  /**
   * Returns the members that receive a heartbeat in the next period.
   * @param group owner group of this daemon's failure domain.
   */
  selectTargets(
    members: readonly FleetMember[],
    group: readonly FleetMember[],
  ): HeartbeatTarget[] {
    this.advanceRound();
    const isGroupMember = hasMember(group, this.#self);
    const groupPeers = isGroupMember
      ? group.filter((member) => member.id !== this.#self.id)
      : [];
    const local = members.filter((member) =>
      this.#isLocal(member) && !groupPeers.includes(member)
    );
    const remote = members.filter((member) => !this.#isLocal(member));
    const targets = groupPeers.map((member) => ({ member, isPromised: true }));
    if (isGroupMember && this.#round % GROUP_ROUNDS !== 0) return targets;
    this.#rotation += 1;
    const others = [
      ...rotate(local, this.#rotation * LOCAL_TARGETS).slice(0, LOCAL_TARGETS),
      ...rankByRendezvous(String(this.#round), remote)
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

  /**
   * Returns a sample of the members to list, smaller if the next heartbeat is
   * promised soon.
   */
  selectSample(
    known: readonly NumberedMember[],
    isPromised: boolean,
  ): GossipEntry[] {
    const local = known.filter((each) => this.#isLocal(each.member));
    const remote = known.filter((each) => !this.#isLocal(each.member));
    return [
      ...this.#drawSample(
        local,
        isPromised ? PROMISED_LOCAL_SAMPLE : LOCAL_SAMPLE,
      ),
      ...this.#drawSample(
        remote,
        isPromised ? PROMISED_REMOTE_SAMPLE : REMOTE_SAMPLE,
      ),
    ];
  }

  #drawSample(known: readonly NumberedMember[], size: number): GossipEntry[] {
    const candidates = known.map(({ member, beat }) => ({
      id: member.id,
      entry: [member.id, member.ip, member.failureDomain, beat] as GossipEntry,
    }));
    return rankByRendezvous(`${this.#self.id} ${this.#round}`, candidates)
      .slice(0, size).map((each) => each.entry);
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
