/**
 * State that this daemon publishes: the upstreams that it owns, those of other
 * failure domains received over links, and its platform reach. Each update has
 * the next version. Load changes all the time and is published in separate
 * updates.
 */
import {
  type EvictionDigest,
  type LinkedDomain,
  type LoadUpdate,
  PlatformReach,
  type PublishedDigest,
  type StateUpdate,
  type UpstreamDigest,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import { ByteTokenBucket } from "./byte_token_bucket.ts";
import type { ControlIntervals } from "./control_intervals.ts";
import {
  estimateDigestBytes,
  hasLoadChanged,
  hasResidencyChanged,
} from "./digest_size.ts";
import { listOwnUpstreamIds } from "./view_store.ts";

const STATE_BURST_BYTES = 16_384;
const STATE_BASE_BYTES = 48;
/**
 * Most evictions in one update; when there are more, the oldest are dropped.
 */
const MAX_EVICTIONS = 16;

export class StatePublisher {
  readonly #selfId: string;
  readonly #incarnation: string;
  readonly #intervals: ControlIntervals;
  readonly #budget = new ByteTokenBucket(STATE_BURST_BYTES);
  readonly #published = new Map<string, PublishedDigest>();
  readonly #own = new Map<string, UpstreamDigest>();
  #remote: ReadonlyMap<string, PublishedDigest> = new Map();
  #reach: PlatformReach = PlatformReach.NotReading;
  #publishedReach: PlatformReach = PlatformReach.NotReading;
  #linkedDomains: readonly LinkedDomain[] = [];
  #publishedDomains: readonly LinkedDomain[] = [];
  #evictions: EvictionDigest[] = [];
  #remoteEvictions: EvictionDigest[] = [];
  #version = 0;
  #loadSequence = 0;
  #lastLoadAt = Number.NEGATIVE_INFINITY;
  #isDirty = false;

  constructor(
    selfId: string,
    incarnation: string,
    intervals: ControlIntervals,
  ) {
    this.#selfId = selfId;
    this.#incarnation = incarnation;
    this.#intervals = intervals;
  }

  get version(): number {
    return this.#version;
  }

  recordOwn(digest: UpstreamDigest): void {
    this.#own.set(digest.upstreamId, digest);
    const published = this.#published.get(digest.upstreamId);
    this.#isDirty ||= published === undefined ||
      published.ownerId !== this.#selfId ||
      hasResidencyChanged(published.digest, digest);
  }

  removeOwn(upstreamId: string): void {
    const isRemoved = this.#own.delete(upstreamId);
    this.#isDirty ||= isRemoved;
  }

  clearOwn(): void {
    this.#isDirty ||= this.#own.size > 0;
    this.#own.clear();
  }

  /** Replaces the state received from other failure domains. */
  setRemote(
    remote: ReadonlyMap<string, PublishedDigest>,
    linkedDomains: readonly LinkedDomain[],
  ): void {
    this.#remote = remote;
    this.#linkedDomains = linkedDomains;
    this.#isDirty = true;
  }

  /**
   * Adds evictions to publish once; when there are many, only the latest are
   * kept.
   */
  addEvictions(evictions: readonly EvictionDigest[]): void {
    this.#isDirty ||= evictions.length > 0;
    this.#evictions = [...this.#evictions, ...evictions].slice(-MAX_EVICTIONS);
  }

  /** Adds evictions that another failure domain reported. */
  addRemoteEvictions(evictions: readonly EvictionDigest[]): void {
    this.#isDirty ||= evictions.length > 0;
    this.#remoteEvictions = [...this.#remoteEvictions, ...evictions]
      .slice(-MAX_EVICTIONS);
  }

  setPlatformReach(reach: PlatformReach): void {
    this.#reach = reach;
    this.#isDirty ||= reach !== this.#publishedReach;
  }

  /**
   * Returns the changes to publish now; undefined if there are none or the byte
   * budget is used up.
   */
  takeUpdate(now: Milliseconds): StateUpdate | undefined {
    if (!this.#isDirty) return undefined;
    const bytesPerSecond = this.#intervals.getStateBytesPerSecond();
    if (!this.#budget.hasBytes(bytesPerSecond, now)) return undefined;
    this.#isDirty = false;
    const current = this.#listCurrent();
    const digests = [...current.values()].filter((entry) =>
      this.#isChanged(entry)
    );
    const removedUpstreamIds = [...this.#published.keys()].filter((id) =>
      !current.has(id)
    );
    const isUnchanged = digests.length === 0 &&
      removedUpstreamIds.length === 0 &&
      this.#evictions.length === 0 && this.#remoteEvictions.length === 0 &&
      this.#reach === this.#publishedReach &&
      this.#linkedDomains === this.#publishedDomains;
    if (isUnchanged) return undefined;
    for (const id of removedUpstreamIds) this.#published.delete(id);
    for (const entry of digests) {
      this.#published.set(entry.digest.upstreamId, entry);
    }
    this.#publishedReach = this.#reach;
    this.#publishedDomains = this.#linkedDomains;
    this.#budget.take(
      STATE_BASE_BYTES +
        digests.reduce((sum, entry) => sum + estimateDigestBytes(entry), 0),
    );
    this.#version += 1;
    const update = {
      ...this.#describe(this.#version - 1, digests, removedUpstreamIds),
      evictions: this.#evictions,
      toldEvictions: this.#remoteEvictions,
    };
    this.#evictions = [];
    this.#remoteEvictions = [];
    return update;
  }

  /**
   * Returns the load of the owned upstreams, if an update is due and the load
   * has changed.
   */
  takeLoad(now: Milliseconds): LoadUpdate | undefined {
    if (now - this.#lastLoadAt < this.#intervals.getLoadIntervalMs()) {
      return undefined;
    }
    const ids = listOwnUpstreamIds(this.#selfId, this.#published.values());
    let hasChanged = false;
    for (const id of ids) {
      const digest = this.#own.get(id);
      const published = this.#published.get(id);
      if (!digest || !published) continue;
      if (!hasLoadChanged(published.digest, digest)) continue;
      hasChanged = true;
      this.#published.set(id, {
        ownerId: this.#selfId,
        digest: mergeLoad(published.digest, digest),
      });
    }
    if (!hasChanged) return undefined;
    this.#lastLoadAt = now;
    this.#loadSequence += 1;
    const digests = ids.map((id) => this.#published.get(id)?.digest);
    return {
      publisherId: this.#selfId,
      incarnation: this.#incarnation,
      version: this.#version,
      sequence: this.#loadSequence,
      creditsInUse: digests.map((digest) => digest?.creditsInUse ?? 0),
      waiting: digests.map((digest) => digest?.waiting ?? 0),
      victimValues: digests.map((digest) => digest?.victimValue ?? 0),
    };
  }

  /** Returns the full published state. */
  describeFull(): StateUpdate {
    return this.#describe(0, [...this.#published.values()], []);
  }

  #listCurrent(): Map<string, PublishedDigest> {
    const current = new Map(this.#remote);
    for (const [id, digest] of this.#own) {
      current.set(id, { ownerId: this.#selfId, digest });
    }
    return current;
  }

  #isChanged(entry: PublishedDigest): boolean {
    const known = this.#published.get(entry.digest.upstreamId);
    if (!known || known.ownerId !== entry.ownerId) return true;
    if (hasResidencyChanged(known.digest, entry.digest)) return true;
    return entry.ownerId !== this.#selfId &&
      hasLoadChanged(known.digest, entry.digest);
  }

  #describe(
    fromVersion: number,
    digests: PublishedDigest[],
    removedUpstreamIds: string[],
  ): StateUpdate {
    return {
      publisherId: this.#selfId,
      incarnation: this.#incarnation,
      fromVersion,
      version: this.#version,
      digests,
      removedUpstreamIds,
      platformReach: this.#publishedReach,
      linkedDomains: [...this.#publishedDomains],
      evictions: [],
      toldEvictions: [],
    };
  }
}

/** Returns the published residency with the current load. */
function mergeLoad(
  published: UpstreamDigest,
  digest: UpstreamDigest,
): UpstreamDigest {
  const { creditsInUse, waiting, victimValue } = digest;
  return { ...published, creditsInUse, waiting, victimValue };
}
