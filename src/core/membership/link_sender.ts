/**
 * The sending side of a link: sends changes in this failure domain to one
 * daemon of another.
 */
import { rankByRendezvous } from "../hashing.ts";
import type {
  EvictionDigest,
  LinkAckMessage,
  LinkUpdateMessage,
  PublishedDigest,
  StrikeDigest,
} from "../messages.ts";
import type { HostStructure, Milliseconds } from "../structures.ts";
import { estimateDigestBytes, hasResidencyChanged } from "./digest_size.ts";

/** Most digests in one update; the others follow in later updates. */
const MAX_LINK_DIGESTS = 256;

/**
 * Most evictions in one update; when there are more, the oldest are dropped.
 */
const MAX_EVICTIONS = 16;

/** State that a link sends when an update is due. */
export interface LinkContent {
  /** Digests of the exported upstreams that currently have a view. */
  digests: ReadonlyMap<string, PublishedDigest>;
  strikes: StrikeDigest[];
}

export interface LinkIntervals {
  /** Longest time without an update. */
  heartbeatMs: Milliseconds;
  /** Time without an ack after which the target is considered dead. */
  timeoutMs: Milliseconds;
  /** Interval between updates of changed load. */
  loadIntervalMs: Milliseconds;
}

/** Fields of a link update that `LinkSender` sets. */
export type LinkUpdateBody = Pick<
  LinkUpdateMessage,
  | "sequence"
  | "full"
  | "digests"
  | "removedUpstreamIds"
  | "strikes"
  | "evictions"
>;

export class LinkSender {
  readonly failureDomain: string;
  readonly #sent = new Map<string, PublishedDigest>();
  readonly #sentStrikes = new Map<string, number>();
  #evictions: EvictionDigest[] = [];
  #targets: readonly HostStructure[] = [];
  #targetIndex = 0;
  #sequence = 0;
  #needsFull = true;
  /**
   * Whether the current target has acknowledged an update; until then it is
   * sent empty updates only.
   */
  #hasTargetAnswered = false;
  #lastSentAt = Number.NEGATIVE_INFINITY;
  #lastLoadAt = Number.NEGATIVE_INFINITY;
  #lastAckAt: Milliseconds;

  constructor(failureDomain: string, now: Milliseconds) {
    this.failureDomain = failureDomain;
    this.#lastAckAt = now;
  }

  /**
   * Sets the daemons of the other failure domain; updates go to the first one,
   * in rendezvous order, that acknowledges them.
   */
  setTargets(ownDomain: string, hosts: readonly HostStructure[]): void {
    const known = this.getTargetId();
    this.#targets = rankByRendezvous(`link\u0000${ownDomain}`, hosts);
    this.#targetIndex = Math.max(
      0,
      this.#targets.findIndex((host) => host.id === known),
    );
    if (this.getTargetId() === known) return;
    this.#needsFull = true;
    this.#hasTargetAnswered = false;
  }

  getTargetId(): string | undefined {
    return this.#targets[this.#targetIndex]?.id;
  }

  /** Adds evictions to send once, with the next update. */
  addEvictions(evictions: readonly EvictionDigest[]): void {
    this.#evictions = [...this.#evictions, ...evictions].slice(-MAX_EVICTIONS);
  }

  recordAck(from: string, ack: LinkAckMessage, now: Milliseconds): void {
    if (from !== this.getTargetId()) return;
    this.#lastAckAt = now;
    this.#hasTargetAnswered = true;
    if (ack.needsFull) this.#needsFull = true;
  }

  /** Returns the update that is due, or undefined if there is none. */
  takeUpdate(
    content: LinkContent,
    intervals: LinkIntervals,
    now: Milliseconds,
  ): LinkUpdateBody | undefined {
    if (now - this.#lastAckAt >= intervals.timeoutMs) this.#tryNextTarget(now);
    if (this.getTargetId() === undefined) return undefined;
    if (!this.#hasTargetAnswered) return this.#takeEmptyUpdate(intervals, now);
    if (this.#needsFull) this.#sent.clear();
    const isLoadDue = now - this.#lastLoadAt >= intervals.loadIntervalMs;
    const digests = this.#listChanged(content, isLoadDue);
    const removedUpstreamIds = [...this.#sent.keys()].filter((id) =>
      !content.digests.has(id)
    );
    const strikes = content.strikes.filter((strike) =>
      strike.strikes !== this.#sentStrikes.get(strike.fingerprint)
    );
    const isDue = this.#needsFull || digests.length > 0 ||
      removedUpstreamIds.length > 0 || strikes.length > 0 ||
      this.#evictions.length > 0 ||
      now - this.#lastSentAt >= intervals.heartbeatMs;
    if (!isDue) return undefined;
    if (isLoadDue) this.#lastLoadAt = now;
    this.#lastSentAt = now;
    this.#sequence += 1;
    const full = this.#needsFull;
    this.#needsFull = false;
    this.#recordSent(digests, removedUpstreamIds, content.strikes);
    const evictions = this.#evictions;
    this.#evictions = [];
    return {
      sequence: this.#sequence,
      full,
      digests,
      removedUpstreamIds,
      strikes,
      evictions,
    };
  }

  #tryNextTarget(now: Milliseconds): void {
    this.#lastAckAt = now;
    this.#targetIndex = (this.#targetIndex + 1) %
      Math.max(1, this.#targets.length);
    this.#needsFull = true;
    this.#hasTargetAnswered = false;
  }

  /** Returns an update without content, if one is due. */
  #takeEmptyUpdate(
    intervals: LinkIntervals,
    now: Milliseconds,
  ): LinkUpdateBody | undefined {
    if (now - this.#lastSentAt < intervals.heartbeatMs) return undefined;
    this.#lastSentAt = now;
    this.#sequence += 1;
    return {
      sequence: this.#sequence,
      full: false,
      digests: [],
      removedUpstreamIds: [],
      strikes: [],
      evictions: [],
    };
  }

  #listChanged(content: LinkContent, isLoadDue: boolean): PublishedDigest[] {
    const changed: PublishedDigest[] = [];
    for (const [id, published] of content.digests) {
      if (changed.length >= MAX_LINK_DIGESTS) break;
      const sent = this.#sent.get(id);
      const isSame = sent !== undefined &&
        sent.ownerId === published.ownerId &&
        (sent.digest === published.digest || !isLoadDue &&
            !hasResidencyChanged(sent.digest, published.digest));
      if (!isSame) changed.push(published);
    }
    return changed;
  }

  #recordSent(
    digests: readonly PublishedDigest[],
    removedUpstreamIds: readonly string[],
    strikes: readonly StrikeDigest[],
  ): void {
    for (const id of removedUpstreamIds) this.#sent.delete(id);
    for (const entry of digests) this.#sent.set(entry.digest.upstreamId, entry);
    this.#sentStrikes.clear();
    for (const { fingerprint, strikes: count } of strikes) {
      this.#sentStrikes.set(fingerprint, count);
    }
  }
}

/** Returns the approximate size of the digests in a message. */
export function estimateContentBytes(content: LinkContent): number {
  let bytes = 0;
  for (const entry of content.digests.values()) {
    bytes += estimateDigestBytes(entry);
  }
  return bytes;
}
