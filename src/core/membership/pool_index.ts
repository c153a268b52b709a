/**
 * Index of the upstream hosts by service and failure domain, so that the
 * upstreams of a pool are found without a scan of the host list.
 */
import type { HostStructure, PoolStructure } from "../structures.ts";

const NO_HOSTS: readonly HostStructure[] = [];

export class PoolIndex {
  readonly #hosts = new Map<string, HostStructure[]>();
  /** Cached upstreams of the pools that were looked up, by pool row. */
  readonly #poolUpstreams = new WeakMap<
    PoolStructure,
    readonly HostStructure[]
  >();

  constructor(upstreamHosts: Iterable<HostStructure>) {
    for (const host of upstreamHosts) {
      const key = createKey(host.service, host.failureDomain);
      const hosts = this.#hosts.get(key);
      if (hosts) hosts.push(host);
      else this.#hosts.set(key, [host]);
    }
  }

  /** Returns the upstreams of the pool in all failure domains that it names. */
  getPoolUpstreams(pool: PoolStructure): readonly HostStructure[] {
    const known = this.#poolUpstreams.get(pool);
    if (known) return known;
    const upstreams = [...new Set(pool.failureDomains)].flatMap((
      failureDomain,
    ) => this.getUpstreams(pool.service, failureDomain));
    this.#poolUpstreams.set(pool, upstreams);
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
