/**
 * What is known of the daemons of this failure domain. A record of a higher
 * number overrides one of a lower number, and only its own daemon raises it;
 * of one number, death overrides suspicion and suspicion life.
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
  /** When a message last came from the daemon itself. */
  lastHeardAt: Milliseconds;
  /** Revision of the tables that it last named; 0 when it has named none. */
  tablesRevision: number;
  /** Version of its state that is held here. */
  appliedVersion: number;
  appliedLoadSequence: number;
  platformReach: PlatformReach;
  linkedDomains: readonly LinkedDomain[];
  /** Who showed a newer version of its state than is held, and when. */
  pendingSync: { since: Milliseconds; source: string } | undefined;
}

/** What a record changed. */
export const MergeResult = {
  /** Nothing new, or older than what is known. */
  Known: "known",
  /** The life or the leaving of the daemon is seen differently now. */
  Changed: "changed",
  /** The daemon has restarted, or was dead: its published state is void. */
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

  /** Sets the daemons that the host list names, this one left out; forgets all others. */
  setHostIds(ids: readonly string[]): void {
    const known = new Set(ids);
    this.#hostIds = known;
    for (const id of this.#members.keys()) {
      if (!known.has(id)) this.#members.delete(id);
    }
    this.#recordChange();
  }

  /** Grows with each change of who is live or leaving. */
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

  /** Returns the live daemons in the order of their ids, this one included. */
  getRing(): readonly string[] {
    return this.#ring ??= [
      this.#selfId,
      ...[...this.#members.keys()].filter((id) => this.isLive(id)),
    ].sort();
  }

  /** Returns the hosts of which nothing is known, or that are taken for dead. */
  listMissingHosts(): string[] {
    return [...this.#hostIds].filter((id) => !this.isLive(id));
  }

  /** Returns whether something is known of every host. */
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

  /** Takes a record of another daemon from anyone. */
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

  /** Forgets everyone, after a pause of this process. */
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

  /** Notes that someone holds a newer version of the daemon's state. */
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

/** Returns the plain record of a member, as messages carry it. */
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
