/**
 * Applies the published state of members in the order of its versions, and
 * fetches missed updates from a daemon that has them.
 */
import type { Effect } from "../effects.ts";
import {
  type KnownRevisions,
  type LoadUpdate,
  type MemberRecord,
  MemberStatus,
  type StateRequestMessage,
  type StateTransferMessage,
  type StateUpdate,
  type StrikeDigest,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import { estimateDigestBytes } from "./digest_size.ts";
import { describeMember, type Member } from "./member_table.ts";
import type { Membership } from "./membership.ts";
import type { StatePublisher } from "./state_publisher.ts";

/**
 * Time for which a missing update may still arrive before it is fetched, and
 * additional time before the fetch is repeated.
 */
const FETCH_DELAY_MS = 100;
const FETCH_RETRY_MS = 500;
/**
 * Approximate size of the states in one message; further ones go into the next
 * message.
 */
const TRANSFER_BYTES = 262_144;

export interface StateExchangeOptions {
  selfId: string;
  membership: Membership;
  publisher: StatePublisher;
  describeSelf: () => MemberRecord;
  emit: (effect: Effect) => void;
  /** Handles the evictions in an update. */
  handleEvictions: (update: StateUpdate, now: Milliseconds) => void;
}

/** Content of a reply beside the states. */
export interface TransferContent {
  strikes: StrikeDigest[];
  revisions: KnownRevisions;
}

export class StateExchange {
  readonly #options: StateExchangeOptions;

  constructor(options: StateExchangeOptions) {
    this.#options = options;
  }

  /**
   * Applies an update that follows the applied version, or a full one; records
   * a gap otherwise.
   */
  applyState(from: string, update: StateUpdate, now: Milliseconds): void {
    const { membership } = this.#options;
    const member = membership.members.get(update.publisherId);
    const isKnown = member !== undefined &&
      member.status !== MemberStatus.Dead &&
      member.incarnation === update.incarnation;
    if (!isKnown || update.version < member.appliedVersion) return;
    const isFull = update.fromVersion === 0;
    if (update.version === member.appliedVersion && !isFull) return;
    if (!isFull && update.fromVersion !== member.appliedVersion) {
      member.version = Math.max(member.version, update.version);
      member.pendingSync ??= { since: now, source: from };
      return;
    }
    membership.views.applyState(update, now);
    member.platformReach = update.platformReach;
    member.linkedDomains = update.linkedDomains;
    this.#options.handleEvictions(update, now);
    member.appliedVersion = update.version;
    member.version = Math.max(member.version, update.version);
    if (member.appliedVersion >= member.version) member.pendingSync = undefined;
  }

  /** Applies a load update that belongs to the applied version. */
  applyLoad(update: LoadUpdate, now: Milliseconds): void {
    const { membership } = this.#options;
    const member = membership.members.get(update.publisherId);
    const isApplicable = member !== undefined &&
      member.status !== MemberStatus.Dead &&
      member.incarnation === update.incarnation &&
      member.appliedVersion === update.version &&
      update.sequence > member.appliedLoadSequence;
    if (!isApplicable) return;
    member.appliedLoadSequence = update.sequence;
    membership.views.applyLoad(update, now);
  }

  /** Fetches the states whose updates have been missing for some time. */
  tick(now: Milliseconds): void {
    const memberIdsBySource = new Map<string, string[]>();
    for (const member of this.#options.membership.members.getAll()) {
      const { pendingSync } = member;
      if (!pendingSync || now - pendingSync.since < FETCH_DELAY_MS) continue;
      if (member.appliedVersion >= member.version) {
        member.pendingSync = undefined;
        continue;
      }
      pendingSync.since = now + FETCH_RETRY_MS;
      const ids = memberIdsBySource.get(pendingSync.source) ?? [];
      ids.push(member.id);
      memberIdsBySource.set(pendingSync.source, ids);
      pendingSync.source = member.id;
    }
    for (const [to, memberIds] of memberIdsBySource) {
      this.#options.emit({
        kind: "send",
        to,
        message: { kind: "stateRequest", memberIds },
      });
    }
  }

  /** Sends the requested states, in messages of bounded size. */
  handleRequest(
    from: string,
    request: StateRequestMessage,
    content: TransferContent,
  ): void {
    const isJoin = request.memberIds.length === 0;
    const members = this.#listMembers(request);
    let transfer = this.#createTransfer(content.revisions);
    let bytes = 0;
    for (const { record, state } of members) {
      const size = state.digests.reduce(
        (sum, entry) => sum + estimateDigestBytes(entry),
        0,
      );
      if (bytes > 0 && bytes + size > TRANSFER_BYTES) {
        this.#options.emit({ kind: "send", to: from, message: transfer });
        transfer = this.#createTransfer(content.revisions);
        bytes = 0;
      }
      transfer.members.push(record);
      if (record.status !== MemberStatus.Dead) transfer.states.push(state);
      bytes += size;
    }
    if (isJoin) transfer.strikes = content.strikes;
    transfer.joined = isJoin;
    this.#options.emit({ kind: "send", to: from, message: transfer });
  }

  #listMembers(
    request: StateRequestMessage,
  ): { record: MemberRecord; state: StateUpdate }[] {
    const { membership, publisher, selfId, describeSelf } = this.#options;
    const requestedIds = new Set(request.memberIds);
    const listed = [...membership.members.getAll()]
      .filter((member) =>
        requestedIds.size === 0 || requestedIds.has(member.id)
      )
      .map((member) => ({
        record: describeMember(member),
        state: this.#describeState(member),
      }));
    if (requestedIds.size === 0 || requestedIds.has(selfId)) {
      listed.push({ record: describeSelf(), state: publisher.describeFull() });
    }
    return listed;
  }

  #describeState(member: Member): StateUpdate {
    return {
      publisherId: member.id,
      incarnation: member.incarnation,
      fromVersion: 0,
      version: member.appliedVersion,
      digests: this.#options.membership.views.listPublished(member.id),
      removedUpstreamIds: [],
      platformReach: member.platformReach,
      linkedDomains: [...member.linkedDomains],
      evictions: [],
      toldEvictions: [],
    };
  }

  #createTransfer(revisions: KnownRevisions): StateTransferMessage {
    return {
      kind: "stateTransfer",
      joined: false,
      members: [],
      states: [],
      strikes: [],
      tablesRevision: revisions.tablesRevision,
      hostListRevision: revisions.hostListRevision,
    };
  }
}
