/**
 * The receiving side of links: state that daemons of other failure domains
 * export to this daemon.
 */
import type {
  LinkAckMessage,
  LinkedDomain,
  LinkUpdateMessage,
  PublishedDigest,
} from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

interface LinkSource {
  incarnation: string;
  sequence: number;
  lastHeardAt: Milliseconds;
  domain: LinkedDomain;
  digests: Map<string, PublishedDigest>;
}

/** Full state received from all other failure domains. */
export interface RemoteState {
  digests: ReadonlyMap<string, PublishedDigest>;
  domains: readonly LinkedDomain[];
}

export class LinkReceiver {
  readonly #sources = new Map<string, LinkSource>();
  #domains: readonly LinkedDomain[] = [];
  #hasChanged = false;

  /** Applies an update; returns the fields of its ack. */
  accept(
    from: string,
    update: LinkUpdateMessage,
    now: Milliseconds,
  ): Pick<LinkAckMessage, "incarnation" | "sequence" | "needsFull"> {
    const { incarnation, sequence } = update;
    const known = this.#sources.get(from);
    const isSameIncarnation = known?.incarnation === incarnation;
    if (isSameIncarnation && sequence <= known.sequence) {
      return { incarnation, sequence, needsFull: false };
    }
    const isConsecutive = isSameIncarnation && sequence === known.sequence + 1;
    if (!update.full && !isConsecutive) {
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

  /** Drops the sources that have been silent for the timeout. */
  expire(timeoutMs: Milliseconds, now: Milliseconds): void {
    for (const [id, source] of this.#sources) {
      if (now - source.lastHeardAt < timeoutMs) continue;
      this.#sources.delete(id);
      this.#hasChanged = true;
    }
  }

  clear(): void {
    this.#sources.clear();
    this.#hasChanged = true;
  }

  /**
   * Returns the received state if it has changed since the last call. Where
   * sources contradict each other, the one heard from last wins.
   */
  takeChanged(): RemoteState | undefined {
    if (!this.#hasChanged) return undefined;
    this.#hasChanged = false;
    const digests = new Map<string, PublishedDigest>();
    const domains = new Map<string, LinkedDomain>();
    const sources = [...this.#sources.values()]
      .sort((a, b) => a.lastHeardAt - b.lastHeardAt);
    for (const source of sources) {
      for (const [id, digest] of source.digests) digests.set(id, digest);
      domains.set(source.domain.failureDomain, source.domain);
    }
    return { digests, domains: this.#updateDomains([...domains.values()]) };
  }

  #addSource(id: string): LinkSource {
    const source: LinkSource = {
      incarnation: "",
      sequence: 0,
      lastHeardAt: Number.NEGATIVE_INFINITY,
      domain: { failureDomain: "", storeKeeperId: "" },
      digests: new Map(),
    };
    this.#sources.set(id, source);
    return source;
  }

  /**
   * Returns the previous array if nothing in it has changed, as
   * `StatePublisher` compares arrays by identity.
   */
  #updateDomains(domains: readonly LinkedDomain[]): readonly LinkedDomain[] {
    const isSame = domains.length === this.#domains.length &&
      domains.every((domain, index) => domain === this.#domains[index]);
    if (!isSame) this.#domains = domains;
    return this.#domains;
  }

  #apply(source: LinkSource, update: LinkUpdateMessage): void {
    const { failureDomain, storeKeeperId } = update;
    const isSameDomain = source.domain.failureDomain === failureDomain &&
      source.domain.storeKeeperId === storeKeeperId;
    if (!isSameDomain) {
      source.domain = { failureDomain, storeKeeperId };
      this.#hasChanged = true;
    }
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
