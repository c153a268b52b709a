/**
 * Views of the upstreams as daemons publish them: owners publish those of this
 * failure domain, receivers of links those of others. Where several daemons
 * publish the same upstream, a digest published by the owner itself wins over a
 * relayed one, then the later over the earlier.
 */
import type {
  LoadUpdate,
  PublishedDigest,
  StateUpdate,
  UpstreamDigest,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import { AdapterIndex } from "./adapter_index.ts";

/** State of an upstream as last published, and when it was received. */
export interface UpstreamView {
  ownerId: string;
  receivedAt: Milliseconds;
  digest: UpstreamDigest;
}

/** Views published by one daemon, by upstream. */
type PublishedViews = Map<string, UpstreamView>;

export class ViewStore {
  readonly #publishers = new Map<string, PublishedViews>();
  /** Ids of the daemons that publish an upstream, by upstream. */
  readonly #publisherIds = new Map<string, Set<string>>();
  readonly #views = new Map<string, UpstreamView>();
  readonly #ownedCounts = new Map<string, number>();
  readonly #adapters = new AdapterIndex();

  getView(upstreamId: string): UpstreamView | undefined {
    return this.#views.get(upstreamId);
  }

  /** Returns whether any view names the daemon as the owner. */
  isOwner(daemonId: string): boolean {
    return this.#ownedCounts.has(daemonId);
  }

  getAdapterUpstreamIds(adapterKey: string): ReadonlySet<string> {
    return this.#adapters.getUpstreamIds(adapterKey);
  }

  /** Returns the view of the upstream that the daemon publishes. */
  getPublished(
    publisherId: string,
    upstreamId: string,
  ): UpstreamView | undefined {
    return this.#publishers.get(publisherId)?.get(upstreamId);
  }

  /**
   * Returns whether another daemon publishes that it owns the upstream and that
   * the upstream is up.
   */
  hasOtherOwner(selfId: string, upstreamId: string): boolean {
    for (const publisherId of this.#publisherIds.get(upstreamId) ?? []) {
      const view = this.getPublished(publisherId, upstreamId);
      const isOtherOwner = publisherId !== selfId && view?.digest.up === true &&
        view.ownerId === publisherId;
      if (isOtherOwner) return true;
    }
    return false;
  }

  /** Returns all digests that the daemon publishes. */
  listPublished(publisherId: string): PublishedDigest[] {
    return [...this.#publishers.get(publisherId)?.values() ?? []]
      .map(({ ownerId, digest }) => ({ ownerId, digest }));
  }

  set(
    publisherId: string,
    published: PublishedDigest,
    now: Milliseconds,
  ): void {
    const { upstreamId } = published.digest;
    this.#getOrAdd(publisherId).set(upstreamId, {
      ...published,
      receivedAt: now,
    });
    const publisherIds = this.#publisherIds.get(upstreamId);
    if (publisherIds) publisherIds.add(publisherId);
    else this.#publisherIds.set(upstreamId, new Set([publisherId]));
    this.#updateView(upstreamId);
  }

  remove(publisherId: string, upstreamId: string): void {
    if (!this.#publishers.get(publisherId)?.delete(upstreamId)) return;
    const publisherIds = this.#publisherIds.get(upstreamId);
    publisherIds?.delete(publisherId);
    if (publisherIds?.size === 0) this.#publisherIds.delete(upstreamId);
    this.#updateView(upstreamId);
  }

  removePublisher(publisherId: string): void {
    const views = this.#publishers.get(publisherId);
    if (!views) return;
    for (const upstreamId of [...views.keys()]) {
      this.remove(publisherId, upstreamId);
    }
    this.#publishers.delete(publisherId);
  }

  /**
   * Applies an update of the state that a daemon publishes; a full one replaces
   * the previous state.
   */
  applyState(update: StateUpdate, now: Milliseconds): void {
    const { publisherId, digests } = update;
    if (update.fromVersion === 0) {
      const kept = new Set(digests.map((entry) => entry.digest.upstreamId));
      const held = this.#publishers.get(publisherId)?.keys() ?? [];
      for (const upstreamId of [...held]) {
        if (!kept.has(upstreamId)) this.remove(publisherId, upstreamId);
      }
    }
    for (const upstreamId of update.removedUpstreamIds) {
      this.remove(publisherId, upstreamId);
    }
    for (const published of digests) this.set(publisherId, published, now);
  }

  /**
   * Applies a load update, which lists the upstreams that the publisher owns in
   * the order of their ids.
   */
  applyLoad(update: LoadUpdate, now: Milliseconds): void {
    const views = this.#publishers.get(update.publisherId);
    for (
      const [index, upstreamId] of listOwnUpstreamIds(
        update.publisherId,
        views?.values() ?? [],
      ).entries()
    ) {
      const view = views?.get(upstreamId);
      if (!view) continue;
      const digest = {
        ...view.digest,
        creditsInUse: update.creditsInUse[index] ?? 0,
        waiting: update.waiting[index] ?? 0,
        victimValue: update.victimValues[index] ?? 0,
      };
      const { ownerId } = view;
      this.set(update.publisherId, { ownerId, digest }, now);
    }
  }

  clear(): void {
    this.#publishers.clear();
    this.#publisherIds.clear();
    this.#views.clear();
    this.#ownedCounts.clear();
    this.#adapters.clear();
  }

  #getOrAdd(publisherId: string): PublishedViews {
    const known = this.#publishers.get(publisherId);
    if (known) return known;
    const views: PublishedViews = new Map();
    this.#publishers.set(publisherId, views);
    return views;
  }

  #updateView(upstreamId: string): void {
    const previous = this.#views.get(upstreamId);
    const next = this.#chooseView(upstreamId);
    if (
      previous?.digest.residents !== next?.digest.residents ||
      previous?.digest.loading !== next?.digest.loading
    ) {
      this.#adapters.update(previous?.digest, next?.digest);
    }
    if (next) this.#views.set(upstreamId, next);
    else this.#views.delete(upstreamId);
    if (previous?.ownerId === next?.ownerId) return;
    if (previous) this.#countOwned(previous.ownerId, -1);
    if (next) this.#countOwned(next.ownerId, 1);
  }

  #countOwned(ownerId: string, change: number): void {
    const count = (this.#ownedCounts.get(ownerId) ?? 0) + change;
    if (count > 0) this.#ownedCounts.set(ownerId, count);
    else this.#ownedCounts.delete(ownerId);
  }

  #chooseView(upstreamId: string): UpstreamView | undefined {
    let chosen: UpstreamView | undefined;
    let isChosenOwn = false;
    for (const publisherId of this.#publisherIds.get(upstreamId) ?? []) {
      const view = this.#publishers.get(publisherId)?.get(upstreamId);
      if (!view) continue;
      const isOwn = view.ownerId === publisherId;
      const isBetter = chosen === undefined || (isOwn && !isChosenOwn) ||
        (isOwn === isChosenOwn && view.receivedAt >= chosen.receivedAt);
      if (!isBetter) continue;
      chosen = view;
      isChosenOwn = isOwn;
    }
    return chosen;
  }
}

/**
 * Returns the sorted ids of the upstreams that the publisher itself owns, the
 * order that load updates use.
 */
export function listOwnUpstreamIds(
  publisherId: string,
  published: Iterable<PublishedDigest>,
): string[] {
  const ids: string[] = [];
  for (const { ownerId, digest } of published) {
    if (ownerId === publisherId) ids.push(digest.upstreamId);
  }
  return ids.sort();
}
