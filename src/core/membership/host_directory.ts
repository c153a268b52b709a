/** Indexes of the hosts in the platform's host list. */
import { rankByRendezvous } from "../hashing.ts";
import {
  HostRole,
  HostState,
  type HostStructure,
  type PoolStructure,
} from "../structures.ts";
import { PoolIndex } from "./pool_index.ts";

export class HostDirectory {
  readonly #entryHosts = new Map<string, HostStructure>();
  readonly #upstreamHosts = new Map<string, HostStructure>();
  readonly #entryHostsByDomain = new Map<string, HostStructure[]>();
  readonly #upstreamsByDomain = new Map<string, HostStructure[]>();
  readonly #pools: PoolIndex;
  #entryDomains: readonly string[] | undefined;

  constructor(hosts: readonly HostStructure[]) {
    for (const host of hosts) {
      const isEntry = host.role === HostRole.Entry;
      (isEntry ? this.#entryHosts : this.#upstreamHosts).set(host.id, host);
      const byDomain = isEntry
        ? this.#entryHostsByDomain
        : this.#upstreamsByDomain;
      const inDomain = byDomain.get(host.failureDomain);
      if (inDomain) inDomain.push(host);
      else byDomain.set(host.failureDomain, [host]);
    }
    this.#pools = new PoolIndex(this.#upstreamHosts.values());
  }

  getEntryHost(id: string): HostStructure | undefined {
    return this.#entryHosts.get(id);
  }

  getEntryHosts(): Iterable<HostStructure> {
    return this.#entryHosts.values();
  }

  countEntryHosts(): number {
    return this.#entryHosts.size;
  }

  getUpstreamHost(id: string): HostStructure | undefined {
    return this.#upstreamHosts.get(id);
  }

  getUpstreamHosts(): Iterable<HostStructure> {
    return this.#upstreamHosts.values();
  }

  getDomainEntryHosts(failureDomain: string): readonly HostStructure[] {
    return this.#entryHostsByDomain.get(failureDomain) ?? [];
  }

  getDomainUpstreams(failureDomain: string): readonly HostStructure[] {
    return this.#upstreamsByDomain.get(failureDomain) ?? [];
  }

  /** Returns the failure domains that have daemons, sorted. */
  listEntryDomains(): readonly string[] {
    return this.#entryDomains ??= [...this.#entryHostsByDomain.keys()].sort();
  }

  /** Returns the failure domains that have daemons, except the given one. */
  listOtherDomains(failureDomain: string): string[] {
    return this.listEntryDomains().filter((domain) => domain !== failureDomain);
  }

  getPoolUpstreams(pool: PoolStructure): readonly HostStructure[] {
    return this.#pools.getPoolUpstreams(pool);
  }

  /**
   * Returns the upstreams of a failure domain that it exports to another: for
   * each pool that spans both, a bounded number, selected by rendezvous hashing
   * so that all daemons select the same.
   */
  selectExportedUpstreams(
    failureDomain: string,
    otherDomain: string,
    pools: readonly PoolStructure[],
    maxPerPool: number,
  ): string[] {
    const exported = new Set<string>();
    for (const pool of pools) {
      const spansBoth = pool.failureDomains.includes(failureDomain) &&
        pool.failureDomains.includes(otherDomain);
      if (!spansBoth) continue;
      const hosts = this.#pools.getUpstreams(pool.service, failureDomain)
        .filter((host) => host.state !== HostState.Leaving);
      const ranked = rankByRendezvous(otherDomain, hosts);
      for (const host of ranked.slice(0, maxPerPool)) exported.add(host.id);
    }
    return [...exported];
  }
}
