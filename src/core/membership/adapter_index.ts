/**
 * Index from an adapter to the upstreams on which it is resident or loading.
 */
import type { UpstreamDigest } from "../messages.ts";

const NO_UPSTREAMS: ReadonlySet<string> = new Set();

export class AdapterIndex {
  readonly #upstreams = new Map<string, Set<string>>();

  getUpstreamIds(adapterKey: string): ReadonlySet<string> {
    return this.#upstreams.get(adapterKey) ?? NO_UPSTREAMS;
  }

  /** Replaces the digest of one upstream; either digest may be absent. */
  update(
    previous: UpstreamDigest | undefined,
    next: UpstreamDigest | undefined,
  ): void {
    if (previous) this.#remove(previous);
    if (next) this.#add(next);
  }

  clear(): void {
    this.#upstreams.clear();
  }

  #add(digest: UpstreamDigest): void {
    for (const adapterKey of listAdapters(digest)) {
      const upstreams = this.#upstreams.get(adapterKey);
      if (upstreams) upstreams.add(digest.upstreamId);
      else this.#upstreams.set(adapterKey, new Set([digest.upstreamId]));
    }
  }

  #remove(digest: UpstreamDigest): void {
    for (const adapterKey of listAdapters(digest)) {
      const upstreams = this.#upstreams.get(adapterKey);
      upstreams?.delete(digest.upstreamId);
      if (upstreams?.size === 0) this.#upstreams.delete(adapterKey);
    }
  }
}

function listAdapters(digest: UpstreamDigest): string[] {
  return [...digest.residents, ...digest.loading];
}
