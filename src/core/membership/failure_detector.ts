/**
 * SWIM failure detector for the daemons of the failure domain. It probes one
 * member per interval, requests indirect probes when there is no ack, and then
 * disseminates a suspicion that the member can refute. The member is declared
 * dead only when the suspicion times out.
 */
import type { Effect } from "../effects.ts";
import { rankByRendezvous } from "../hashing.ts";
import {
  type KnownRevisions,
  type MemberRecord,
  MemberStatus,
  type ProbeAckMessage,
  type ProbeMessage,
  type ProbeRequestMessage,
  type StrikeDigest,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import {
  type ControlIntervals,
  PIGGYBACKED_MEMBERS,
} from "./control_intervals.ts";
import {
  describeMember,
  type Member,
  type MemberTable,
} from "./member_table.ts";

/** Number of members that are asked to probe one that does not acknowledge. */
const INDIRECT_PROBE_COUNT = 3;
/** Part of the probe interval after which indirect probes are requested. */
const INDIRECT_PROBE_DELAY_RATIO = 0.5;
/**
 * Part of the peer timeout for which a member has been silent, at least, when
 * it is declared dead.
 */
export const DEAD_TIMEOUT_RATIO = 0.8;
/** Number of hosts probed at once while this daemon has no live peer. */
const ISOLATED_PROBE_COUNT = 8;
/** Gap between ticks from which on timers are advanced by the gap. */
const STALL_THRESHOLD_MS = 100;
/** Time to wait for the ack of a probe sent for another member. */
const RELAYED_PROBE_TIMEOUT_MS = 2_000;

interface PendingProbe {
  targetId: string;
  sentAt: Milliseconds;
  isIndirect: boolean;
}

interface RelayedProbe {
  requesterId: string;
  probeId: number;
  sentAt: Milliseconds;
}

export interface FailureDetectorOptions {
  selfId: string;
  peerTimeoutMs: Milliseconds;
  intervals: ControlIntervals;
  members: MemberTable;
  emit: (effect: Effect) => void;
  describeSelf: () => MemberRecord;
  getRevisions: () => KnownRevisions;
  getStrikes: (now: Milliseconds) => StrikeDigest[];
  /** Called when this daemon suspects a member or declares it dead. */
  reportStatusChange: (member: Member, now: Milliseconds) => void;
}

export class FailureDetector {
  readonly #options: FailureDetectorOptions;
  readonly #pending = new Map<number, PendingProbe>();
  readonly #relayed = new Map<number, RelayedProbe>();
  #order: string[] = [];
  #round = 0;
  #piggybackIndex = 0;
  #reconnectIndex = 0;
  #lastProbeId = 0;
  #lastTickAt: Milliseconds | undefined;
  #nextProbeAt = Number.NEGATIVE_INFINITY;
  #nextReconnectAt = Number.NEGATIVE_INFINITY;

  constructor(options: FailureDetectorOptions) {
    this.#options = options;
  }

  tick(now: Milliseconds): void {
    this.#advanceTimersByStall(now);
    this.#checkPending(now);
    this.#checkSuspects(now);
    if (now >= this.#nextReconnectAt) this.#sendProbesToMissingHosts(now);
    if (now >= this.#nextProbeAt) {
      this.#nextProbeAt = now + this.#options.intervals.getProbeIntervalMs();
      const targetId = this.#selectTarget();
      if (targetId !== undefined) {
        this.#sendProbe(targetId, this.#createProbeId(), now, true);
      }
    }
  }

  /** Forgets probes in flight, after a pause of this process. */
  clear(): void {
    this.#pending.clear();
    this.#relayed.clear();
    this.#order = [];
    this.#nextProbeAt = Number.NEGATIVE_INFINITY;
    this.#nextReconnectAt = Number.NEGATIVE_INFINITY;
  }

  handleProbe(from: string, probe: ProbeMessage): void {
    this.#options.emit({
      kind: "send",
      to: from,
      message: {
        kind: "probeAck",
        probeId: probe.probeId,
        sender: this.#options.describeSelf(),
        members: this.#selectPiggybackedMembers(from),
        ...this.#options.getRevisions(),
      },
    });
  }

  /** Accepts an ack, or forwards it to the member that requested the probe. */
  handleProbeAck(ack: ProbeAckMessage): void {
    this.#pending.delete(ack.probeId);
    const relayed = this.#relayed.get(ack.probeId);
    if (!relayed) return;
    this.#relayed.delete(ack.probeId);
    this.#options.emit({
      kind: "send",
      to: relayed.requesterId,
      message: { ...ack, probeId: relayed.probeId },
    });
  }

  handleProbeRequest(
    from: string,
    request: ProbeRequestMessage,
    now: Milliseconds,
  ): void {
    if (!this.#options.members.isHost(request.targetId)) return;
    const probeId = this.#createProbeId();
    this.#relayed.set(probeId, {
      requesterId: from,
      probeId: request.probeId,
      sentAt: now,
    });
    this.#sendProbe(request.targetId, probeId, now, false);
  }

  /**
   * Advances timers by the time for which this process did not run, so that its
   * own stall is not counted as silence of its peers.
   */
  #advanceTimersByStall(now: Milliseconds): void {
    const stallMs = now - (this.#lastTickAt ?? now);
    this.#lastTickAt = now;
    if (stallMs < STALL_THRESHOLD_MS) return;
    for (const probe of this.#pending.values()) probe.sentAt += stallMs;
    for (const member of this.#options.members.getAll()) {
      member.statusSince = Math.min(now, member.statusSince + stallMs);
    }
  }

  #checkPending(now: Milliseconds): void {
    const intervalMs = this.#options.intervals.getProbeIntervalMs();
    for (const [probeId, probe] of this.#pending) {
      const ageMs = now - probe.sentAt;
      const member = this.#options.members.get(probe.targetId);
      if (!member || member.lastHeardAt >= probe.sentAt) {
        this.#pending.delete(probeId);
      } else if (ageMs >= intervalMs) {
        this.#pending.delete(probeId);
        this.#markSuspect(member, now);
      } else if (
        ageMs >= intervalMs * INDIRECT_PROBE_DELAY_RATIO && !probe.isIndirect
      ) {
        probe.isIndirect = true;
        this.#requestProbes(probeId, probe.targetId);
      }
    }
    for (const [probeId, relayed] of this.#relayed) {
      if (now - relayed.sentAt >= RELAYED_PROBE_TIMEOUT_MS) {
        this.#relayed.delete(probeId);
      }
    }
  }

  #markSuspect(member: Member, now: Milliseconds): void {
    if (member.status !== MemberStatus.Alive) return;
    this.#options.members.setStatus(member, MemberStatus.Suspect, now);
    this.#options.reportStatusChange(member, now);
  }

  #checkSuspects(now: Milliseconds): void {
    const { members, peerTimeoutMs, intervals } = this.#options;
    const suspicionMs = Math.max(
      peerTimeoutMs * DEAD_TIMEOUT_RATIO - intervals.getProbeIntervalMs(),
      intervals.getProbeIntervalMs(),
    );
    for (const member of members.getAll()) {
      if (member.status !== MemberStatus.Suspect) continue;
      if (now - member.statusSince < suspicionMs) continue;
      const hasResponded = member.lastHeardAt >= member.statusSince;
      const status = hasResponded ? MemberStatus.Alive : MemberStatus.Dead;
      members.setStatus(member, status, now);
      if (!hasResponded) this.#options.reportStatusChange(member, now);
    }
  }

  /**
   * Probes hosts that are unknown or dead, in turn, so that they can rejoin.
   */
  #sendProbesToMissingHosts(now: Milliseconds): void {
    const { members, intervals } = this.#options;
    const isIsolated = members.getRing().length === 1;
    this.#nextReconnectAt = now +
      (isIsolated
        ? intervals.getProbeIntervalMs()
        : intervals.getReconnectIntervalMs());
    const missing = members.listMissingHosts();
    const count = Math.min(
      missing.length,
      isIsolated ? ISOLATED_PROBE_COUNT : 1,
    );
    for (let index = 0; index < count; index += 1) {
      this.#reconnectIndex += 1;
      const id = missing[this.#reconnectIndex % missing.length];
      if (id !== undefined) {
        this.#sendProbe(id, this.#createProbeId(), now, false);
      }
    }
  }

  /**
   * Returns the next live member of this round; each round has a different
   * order.
   */
  #selectTarget(): string | undefined {
    const { members, selfId } = this.#options;
    for (;;) {
      const id = this.#order.pop();
      if (id === undefined) break;
      if (members.isLive(id)) return id;
    }
    this.#round += 1;
    const candidates = members.getRing()
      .filter((id) => id !== selfId)
      .map((id) => ({ id }));
    this.#order = rankByRendezvous(`${selfId}#${this.#round}`, candidates)
      .map((candidate) => candidate.id);
    return this.#order.pop();
  }

  #requestProbes(probeId: number, targetId: string): void {
    const { members, selfId, emit } = this.#options;
    const candidates = members.getRing()
      .filter((id) => id !== selfId && id !== targetId)
      .map((id) => ({ id }));
    const ranked = rankByRendezvous(`${targetId}#${probeId}`, candidates);
    for (const candidate of ranked.slice(0, INDIRECT_PROBE_COUNT)) {
      emit({
        kind: "send",
        to: candidate.id,
        message: { kind: "probeRequest", probeId, targetId },
      });
    }
  }

  #sendProbe(
    targetId: string,
    probeId: number,
    now: Milliseconds,
    isTracked: boolean,
  ): void {
    const { emit, describeSelf, getRevisions, getStrikes } = this.#options;
    if (isTracked) {
      this.#pending.set(probeId, { targetId, sentAt: now, isIndirect: false });
    }
    emit({
      kind: "send",
      to: targetId,
      message: {
        kind: "probe",
        probeId,
        sender: describeSelf(),
        members: this.#selectPiggybackedMembers(targetId),
        strikes: getStrikes(now),
        ...getRevisions(),
      },
    });
  }

  /** Returns the record of the receiver and those of some others, in turn. */
  #selectPiggybackedMembers(receiverId: string): MemberRecord[] {
    const members = [...this.#options.members.getAll()];
    const count = Math.min(PIGGYBACKED_MEMBERS, members.length);
    const selected: MemberRecord[] = [];
    const receiver = this.#options.members.get(receiverId);
    if (receiver) selected.push(describeMember(receiver));
    for (let index = 0; index < count; index += 1) {
      this.#piggybackIndex = (this.#piggybackIndex + 1) % members.length;
      const member = members[this.#piggybackIndex];
      if (member && member.id !== receiverId) {
        selected.push(describeMember(member));
      }
    }
    return selected;
  }

  #createProbeId(): number {
    this.#lastProbeId += 1;
    return this.#lastProbeId;
  }
}
