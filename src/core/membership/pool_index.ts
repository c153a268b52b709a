/** Index of the upstream hosts by service and failure domain, so that a pool's upstreams are found without a scan. */
import type { HostStructure, PoolStructure } from "../structures.ts";

const NO_HOSTS: readonly HostStructure[] = [];

export class PoolIndex {
  readonly #hosts = new Map<string, HostStructure[]>();
  /** Upstreams of pools asked for since the last update, by pool row. */
  readonly #pools = new WeakMap<PoolStructure, readonly HostStructure[]>();

  constructor(upstreamHosts: Iterable<HostStructure>) {
    for (const host of upstreamHosts) {
      const key = createKey(host.service, host.failureDomain);
      const hosts = this.#hosts.get(key);
      if (hosts) hosts.push(host);
      else this.#hosts.set(key, [host]);
    }
  }

  /** Returns the upstreams that the pool selects, in every failure domain that it names. */
  getPoolUpstreams(pool: PoolStructure): readonly HostStructure[] {
    const known = this.#pools.get(pool);
    if (known) return known;
    const upstreams = [...new Set(pool.failureDomains)].flatMap((
      failureDomain,
    ) => this.getUpstreams(pool.service, failureDomain));
    this.#pools.set(pool, upstreams);
    return upstreams;
  }

  getUpstreams(
    service: string,
    failureDomain: string,
  ): readonly HostStructure[] {
    return this.#hosts.get(createKey(service, failureDomain)) ?? NO_HOSTS;
  }
}

function createKey(service: string, failureDomain: string): string {
  return `${failureDomain}\u0000${service}`;
}
