/** The holdings of leases by their key, with an index by upstream. */
import type { LeaseGroup } from "./lease_group.ts";

export class LeaseGroupTable {
  readonly #byKey = new Map<string, LeaseGroup>();
  readonly #byUpstream = new Map<string, Set<LeaseGroup>>();

  get(key: string): LeaseGroup | undefined {
    return this.#byKey.get(key);
  }

  add(key: string, holding: LeaseGroup): void {
    this.#byKey.set(key, holding);
    const known = this.#byUpstream.get(holding.upstreamId);
    if (known) known.add(holding);
    else this.#byUpstream.set(holding.upstreamId, new Set([holding]));
  }

  remove(key: string): void {
    const holding = this.#byKey.get(key);
    if (!holding) return;
    this.#byKey.delete(key);
    const known = this.#byUpstream.get(holding.upstreamId);
    known?.delete(holding);
    if (known?.size === 0) this.#byUpstream.delete(holding.upstreamId);
  }

  getAll(): Iterable<[string, LeaseGroup]> {
    return this.#byKey;
  }

  countCredits(): number {
    return sumCredits(this.#byKey.values());
  }

  /** Returns the credits held or asked for on the upstream. */
  countUpstreamCredits(upstreamId: string): number {
    return sumCredits(this.#byUpstream.get(upstreamId) ?? []);
  }
}

function sumCredits(holdings: Iterable<LeaseGroup>): number {
  let credits = 0;
  for (const holding of holdings) credits += holding.countCredits();
  return credits;
}
