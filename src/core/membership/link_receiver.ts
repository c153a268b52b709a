/** What daemons of other failure domains tell this one of their upstreams. */
import type {
  LinkAckMessage,
  LinkUpdateMessage,
  PublishedDigest,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

interface LinkSource {
  incarnation: string;
  sequence: number;
  lastHeardAt: Milliseconds;
  digests: Map<string, PublishedDigest>;
}

export class LinkReceiver {
  readonly #sources = new Map<string, LinkSource>();
  #hasChanged = false;

  /** Takes an update; returns what to acknowledge. */
  accept(
    from: string,
    update: LinkUpdateMessage,
    now: Milliseconds,
  ): Pick<LinkAckMessage, "incarnation" | "sequence" | "needsFull"> {
    const { incarnation, sequence } = update;
    const known = this.#sources.get(from);
    const isSameStart = known?.incarnation === incarnation;
    if (isSameStart && sequence <= known.sequence) {
      return { incarnation, sequence, needsFull: false };
    }
    const leadsOn = isSameStart && sequence === known.sequence + 1;
    if (!update.full && !leadsOn) {
      if (known) known.lastHeardAt = now;
      return { incarnation, sequence, needsFull: true };
    }
    const source = known ?? this.#addSource(from);
    source.incarnation = incarnation;
    source.sequence = sequence;
    source.lastHeardAt = now;
    this.#apply(source, update);
    return { incarnation, sequence, needsFull: false };
  }

  /** Drops the sources that have been silent for the time given. */
  expire(timeoutMs: Milliseconds, now: Milliseconds): void {
    for (const [id, source] of this.#sources) {
      if (now - source.lastHeardAt < timeoutMs) continue;
      this.#sources.delete(id);
      this.#hasChanged ||= source.digests.size > 0;
    }
  }

  clear(): void {
    this.#sources.clear();
    this.#hasChanged = true;
  }

  /** Returns all digests if any has changed since the last call; the source heard last goes first. */
  takeChanged(): Map<string, PublishedDigest> | undefined {
    if (!this.#hasChanged) return undefined;
    this.#hasChanged = false;
    const merged = new Map<string, PublishedDigest>();
    const sources = [...this.#sources.values()]
      .sort((a, b) => a.lastHeardAt - b.lastHeardAt);
    for (const source of sources) {
      for (const [id, digest] of source.digests) merged.set(id, digest);
    }
    return merged;
  }

  #addSource(id: string): LinkSource {
    const source: LinkSource = {
      incarnation: "",
      sequence: 0,
      lastHeardAt: Number.NEGATIVE_INFINITY,
      digests: new Map(),
    };
    this.#sources.set(id, source);
    return source;
  }

  #apply(source: LinkSource, update: LinkUpdateMessage): void {
    if (update.full) {
      this.#hasChanged ||= source.digests.size > 0;
      source.digests.clear();
    }
    for (const id of update.removedUpstreamIds) source.digests.delete(id);
    for (const entry of update.digests) {
      source.digests.set(entry.digest.upstreamId, entry);
    }
    this.#hasChanged ||= update.digests.length > 0 ||
      update.removedUpstreamIds.length > 0;
  }
}
