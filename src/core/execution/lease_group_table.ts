/** The lease groups by key, with an index by upstream. */
import type { LeaseGroup } from "./lease_group.ts";

export class LeaseGroupTable {
  readonly #byKey = new Map<string, LeaseGroup>();
  readonly #byUpstream = new Map<string, Set<LeaseGroup>>();

  get(key: string): LeaseGroup | undefined {
    return this.#byKey.get(key);
  }

  add(key: string, group: LeaseGroup): void {
    this.#byKey.set(key, group);
    const groups = this.#byUpstream.get(group.upstreamId);
    if (groups) groups.add(group);
    else this.#byUpstream.set(group.upstreamId, new Set([group]));
  }

  remove(key: string): void {
    const group = this.#byKey.get(key);
    if (!group) return;
    this.#byKey.delete(key);
    const groups = this.#byUpstream.get(group.upstreamId);
    groups?.delete(group);
    if (groups?.size === 0) this.#byUpstream.delete(group.upstreamId);
  }

  getAll(): Iterable<[string, LeaseGroup]> {
    return this.#byKey;
  }

  countCredits(): number {
    return sumCredits(this.#byKey.values());
  }

  /** Counts the credits held or requested on the upstream. */
  countUpstreamCredits(upstreamId: string): number {
    return sumCredits(this.#byUpstream.get(upstreamId) ?? []);
  }
}

function sumCredits(groups: Iterable<LeaseGroup>): number {
  let credits = 0;
  for (const group of groups) credits += group.countCredits();
  return credits;
}
