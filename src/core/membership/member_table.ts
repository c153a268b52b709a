/**
 * Table of the members, the daemons of this failure domain, merged as in SWIM.
 * A record with a higher number overrides one with a lower number; only the
 * daemon itself raises its number. At the same number, dead overrides suspect
 * and suspect overrides alive.
 */
import {
  type LinkedDomain,
  type MemberRecord,
  MemberStatus,
  PlatformReach,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/** A daemon as this one sees it. */
export interface Member extends MemberRecord {
  statusSince: Milliseconds;
  /** Time of the last message from the daemon itself. */
  lastHeardAt: Milliseconds;
  /** Tables revision that it last reported; 0 if it has reported none. */
  tablesRevision: number;
  /** Version of its published state that has been applied here. */
  appliedVersion: number;
  appliedLoadSequence: number;
  platformReach: PlatformReach;
  linkedDomains: readonly LinkedDomain[];
  /**
   * Set while a newer version of its state is known than has been applied here:
   * the time from which the delay before a fetch counts, and the daemon to
   * fetch it from.
   */
  pendingSync: { since: Milliseconds; source: string } | undefined;
}

/** Effect of merging a record. */
export const MergeResult = {
  /** The record is not newer than what is known. */
  Known: "known",
  /** The status of the daemon changed, or it began to leave. */
  Changed: "changed",
  /**
   * The daemon is new, has restarted or was dead: its published state is
   * invalid.
   */
  Renewed: "renewed",
} as const;
export type MergeResult = (typeof MergeResult)[keyof typeof MergeResult];

export class MemberTable {
  readonly #members = new Map<string, Member>();
  readonly #selfId: string;
  #hostIds: ReadonlySet<string> = new Set();
  #ring: readonly string[] | undefined;
  #epoch = 0;

  constructor(selfId: string) {
    this.#selfId = selfId;
  }

  /**
   * Sets the daemons in the host list, without this one; forgets all others.
   */
  setHostIds(ids: readonly string[]): void {
    const known = new Set(ids);
    this.#hostIds = known;
    for (const id of this.#members.keys()) {
      if (!known.has(id)) this.#members.delete(id);
    }
    this.#recordChange();
  }

  /** Increases whenever a daemon's liveness or leaving state changes. */
  get epoch(): number {
    return this.#epoch;
  }

  isHost(id: string): boolean {
    return this.#hostIds.has(id);
  }

  getHostIds(): Iterable<string> {
    return this.#hostIds;
  }

  get(id: string): Member | undefined {
    return this.#members.get(id);
  }

  getAll(): Iterable<Member> {
    return this.#members.values();
  }

  isLive(id: string): boolean {
    const member = this.#members.get(id);
    return member !== undefined && member.status !== MemberStatus.Dead;
  }

  /** Returns the ids of the live daemons, including this one, sorted. */
  getRing(): readonly string[] {
    return this.#ring ??= [
      this.#selfId,
      ...[...this.#members.keys()].filter((id) => this.isLive(id)),
    ].sort();
  }

  /** Returns the hosts that are unknown or dead. */
  listMissingHosts(): string[] {
    return [...this.#hostIds].filter((id) => !this.isLive(id));
  }

  /** Returns whether there is a record of every host. */
  isEveryHostKnown(): boolean {
    return [...this.#hostIds].every((id) => this.#members.has(id));
  }

  recordContact(id: string, now: Milliseconds): void {
    const member = this.#members.get(id);
    if (member) member.lastHeardAt = now;
  }

  recordTablesRevision(id: string, revision: number): void {
    const member = this.#members.get(id);
    if (member) member.tablesRevision = revision;
  }

  /** Merges a record of another daemon, received from any daemon. */
  merge(record: MemberRecord, source: string, now: Milliseconds): MergeResult {
    if (!this.isHost(record.id)) return MergeResult.Known;
    const known = this.#members.get(record.id);
    if (!known) return this.#add(record, source, now);
    if (record.number < known.number) return MergeResult.Known;
    if (record.number > known.number) {
      return this.#applyHigherNumber(known, record, source, now);
    }
    if (record.incarnation !== known.incarnation) return MergeResult.Known;
    this.#markPendingSync(known, record.version, source, now);
    const isChanged = record.status > known.status ||
      record.leaving && !known.leaving;
    if (!isChanged) return MergeResult.Known;
    if (record.status > known.status) {
      this.setStatus(known, record.status, now);
    }
    known.leaving ||= record.leaving;
    this.#recordChange();
    return MergeResult.Changed;
  }

  setStatus(member: Member, status: MemberStatus, now: Milliseconds): void {
    member.status = status;
    member.statusSince = now;
    this.#recordChange();
  }

  /** Forgets all members, after a pause of this process. */
  clear(): void {
    this.#members.clear();
    this.#recordChange();
  }

  #recordChange(): void {
    this.#ring = undefined;
    this.#epoch += 1;
  }

  #add(record: MemberRecord, source: string, now: Milliseconds): MergeResult {
    const member: Member = {
      ...record,
      statusSince: now,
      lastHeardAt: Number.NEGATIVE_INFINITY,
      tablesRevision: 0,
      appliedVersion: 0,
      appliedLoadSequence: 0,
      platformReach: PlatformReach.NotReading,
      linkedDomains: [],
      pendingSync: undefined,
    };
    this.#members.set(record.id, member);
    this.#recordChange();
    this.#markPendingSync(member, record.version, source, now);
    return MergeResult.Renewed;
  }

  #applyHigherNumber(
    known: Member,
    record: MemberRecord,
    source: string,
    now: Milliseconds,
  ): MergeResult {
    const isRenewed = known.incarnation !== record.incarnation ||
      known.status === MemberStatus.Dead;
    known.number = record.number;
    known.incarnation = record.incarnation;
    known.leaving = record.leaving;
    this.setStatus(known, record.status, now);
    if (isRenewed) {
      known.appliedVersion = 0;
      known.appliedLoadSequence = 0;
      known.version = 0;
      known.platformReach = PlatformReach.NotReading;
      known.linkedDomains = [];
      known.pendingSync = undefined;
    }
    this.#markPendingSync(known, record.version, source, now);
    return isRenewed ? MergeResult.Renewed : MergeResult.Changed;
  }

  /** Records that the source has a newer version of the daemon's state. */
  #markPendingSync(
    member: Member,
    version: number,
    source: string,
    now: Milliseconds,
  ): void {
    member.version = Math.max(member.version, version);
    if (version > member.appliedVersion) {
      member.pendingSync ??= { since: now, source };
    }
  }
}

/** Returns the record of a member that messages carry. */
export function describeMember(member: Member): MemberRecord {
  const {
    id,
    incarnation,
    number,
    status,
    leaving,
    appliedVersion: heldVersion,
  } = member;
  return { id, incarnation, number, status, leaving, version: heldVersion };
}
