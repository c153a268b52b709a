/**
 * What the platform has published, decoded: the configuration in force, the
 * upstreams that may be used and the declared versions of adapters. Upstreams
 * whose entry vanished while the store was out of reach are kept for a grace
 * period, since live ones register again once the store is back.
 */
import type { Milliseconds } from "../structures.ts";
import { hashText } from "../hashing.ts";

/** How often a request may run. */
export const Repeatability = {
  Idempotent: "idempotent",
  NonIdempotent: "nonIdempotent",
  /** A stream, which may run again only where it is resumable. */
  Stream: "stream",
} as const;
export type Repeatability = (typeof Repeatability)[keyof typeof Repeatability];

/** A route of the published configuration. */
export interface PublishedRoute {
  name: string;
  hostName: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  repeatability: Repeatability;
  isResumable: boolean;
  /** Longest time that a caller is kept waiting. */
  timeoutMs: Milliseconds;
  /** Time within which the first byte is worth its full value. */
  latencyObjectiveMs: Milliseconds;
  /** Longest pause between a stream's events for which it is still in time; 0 where none is declared. */
  interTokenObjectiveMs: Milliseconds;
  /** 0 is the most urgent. */
  priorityRank: number;
  /** Upstreams to which one request may be sent, at most. */
  maxAttempts: number;
  /** Services by weight; one entry unless the route is split. */
  targets: { service: string; weight: number }[];
}

/** What engines of a service can hold. */
export interface EngineLimits {
  adapterSlots: number;
  /** Requests in one batch. */
  batchSize: number;
  /** Tokens that fit into the KV cache. */
  kvCapacityTokens: number;
  /** Memory for the weights of models and adapters, in megabytes. */
  weightsMb: number;
  models: ModelLimits[];
}

/** A base model that engines of a service may hold. */
export interface ModelLimits {
  name: string;
  weightsMb: number;
  adapterCount: number;
  /** Time of a load from the weight store. */
  loadMs: Milliseconds;
}

export interface PublishedService {
  name: string;
  /** Connections that one upstream accepts from all daemons together. */
  maxConnections: number;
  /** Undefined for plain services. */
  engine: EngineLimits | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  maxBodyBytes: number;
  headerTimeoutMs: Milliseconds;
  idleTimeoutMs: Milliseconds;
}

export interface PublishedConfiguration {
  version: number;
  routes: PublishedRoute[];
  services: PublishedService[];
  limits: CallerLimits;
}

/** One upstream as it describes itself. */
export interface PublishedUpstream {
  id: string;
  service: string;
  /** `IP:port`. */
  address: string;
  failureDomain: string;
  /** Requests that it runs at once. */
  maxConcurrentRequests: number;
  isLeaving: boolean;
  /** Unix time of its start; 0 when unknown. Tells apart starts under one id. */
  bornAtUnixMs: number;
  /** Base models that it holds. */
  models: string[];
  /** Adapters that it held when it last registered, as `model/adapter` to version. */
  adapters: Map<string, number>;
}

/** A change of the published state, decoded. */
export type PublishedChange =
  | { kind: "configuration"; configuration: PublishedConfiguration }
  | { kind: "upstream"; upstream: PublishedUpstream }
  | { kind: "upstreamGone"; id: string }
  | { kind: "adapterVersion"; adapterPath: string; version: number }
  | { kind: "unusable"; key: string; reason: string };

/** Notices of leaving that are kept: replicas of a large site, with some starts each. */
const MAX_LEAVING_NOTICES = 2_000;

/** Time for which an entry that lapsed during an outage is kept: the platform says about two seconds. */
export const LAPSE_GRACE_MS = 2_000;

export class PublishedView {
  #configuration: PublishedConfiguration | undefined;
  readonly #upstreams = new Map<string, PublishedUpstream>();
  readonly #lapsed = new Map<string, Milliseconds>();
  readonly #adapterVersions = new Map<string, number>();
  /** Upstreams whose own answers said that they leave, with the start that said so. */
  readonly #leavingNotices = new Map<string, number>();
  readonly #services = new Map<string, PublishedService>();
  readonly #routesByHost = new Map<string, PublishedRoute[]>();

  get configuration(): PublishedConfiguration | undefined {
    return this.#configuration;
  }

  /**
   * Puts a change in force; returns whether it is news that others wait for.
   * What an upstream holds changes many times a second and is not.
   * @param isAfterOutage whether the store was out of reach before this change was read.
   */
  apply(
    change: PublishedChange,
    isAfterOutage: boolean,
    now: Milliseconds,
  ): boolean {
    switch (change.kind) {
      case "configuration":
        return this.#applyConfiguration(change.configuration);
      case "upstream":
        return this.#applyUpstream(change.upstream);
      case "upstreamGone":
        if (isAfterOutage && this.#isServing(change.id)) {
          this.#lapsed.set(change.id, now + LAPSE_GRACE_MS);
          return false;
        }
        return this.#upstreams.delete(change.id);
      case "adapterVersion":
        this.#adapterVersions.set(change.adapterPath, change.version);
        return true;
      case "unusable":
        return this.#upstreams.delete(change.key);
    }
  }

  /**
   * Notes that an upstream's own answer said that it leaves. It takes no new work
   * from then on, whatever the store says, until it registers another start.
   * Returns whether that is news.
   */
  recordLeavingNotice(
    { id, bornAtUnixMs }: Pick<PublishedUpstream, "id" | "bornAtUnixMs">,
  ): boolean {
    const noticedBornAtUnixMs = this.#leavingNotices.get(id);
    if (
      noticedBornAtUnixMs !== undefined && noticedBornAtUnixMs >= bornAtUnixMs
    ) {
      return false;
    }
    this.#leavingNotices.set(id, bornAtUnixMs);
    if (this.#leavingNotices.size > MAX_LEAVING_NOTICES) {
      const [oldest] = this.#leavingNotices.keys();
      if (oldest !== undefined) this.#leavingNotices.delete(oldest);
    }
    const known = this.#upstreams.get(id);
    const isRelevant = known !== undefined && !known.isLeaving;
    if (known) this.#upstreams.set(id, this.#applyLeavingNotice(known));
    return isRelevant;
  }

  /** Drops entries whose grace has ended; returns their ids. */
  removeLapsed(now: Milliseconds): string[] {
    const expired = [...this.#lapsed]
      .filter(([, until]) => until <= now)
      .map(([id]) => id);
    for (const id of expired) {
      this.#lapsed.delete(id);
      this.#upstreams.delete(id);
    }
    return expired;
  }

  /** Returns the route with the longest matching prefix, or undefined. */
  findRoute(hostName: string, path: string): PublishedRoute | undefined {
    const routes = this.#routesByHost.get(hostName.toLowerCase()) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Returns the service for a request; a split route divides by the hash of the request id. */
  selectService(
    route: PublishedRoute,
    requestId: string,
  ): PublishedService | undefined {
    const total = route.targets.reduce((sum, each) => sum + each.weight, 0);
    let point = (hashText(requestId) / 0x1_0000_0000) * total;
    for (const target of route.targets) {
      point -= target.weight;
      if (point < 0) return this.#services.get(target.service);
    }
    return this.#services.get(route.targets.at(-1)?.service ?? "");
  }

  getService(name: string): PublishedService | undefined {
    return this.#services.get(name);
  }

  getUpstream(id: string): PublishedUpstream | undefined {
    const upstream = this.#upstreams.get(id);
    return upstream && this.#services.has(upstream.service)
      ? upstream
      : undefined;
  }

  /** Returns the upstreams of a service that take new work. */
  listServing(service: string): PublishedUpstream[] {
    return [...this.#upstreams.values()].filter((upstream) =>
      upstream.service === service && !upstream.isLeaving
    );
  }

  /** Returns the upstreams that hold adapters and have not left. */
  listEngines(): PublishedUpstream[] {
    return [...this.#upstreams.values()].filter((upstream) =>
      this.#services.get(upstream.service)?.engine !== undefined
    );
  }

  countUpstreams(): number {
    return this.#upstreams.size;
  }

  /** Returns the newest declared version of `model/adapter`, or undefined. */
  getAdapterVersion(adapterPath: string): number | undefined {
    return this.#adapterVersions.get(adapterPath);
  }

  #applyUpstream(published: PublishedUpstream): boolean {
    const upstream = this.#applyLeavingNotice(published);
    const known = this.#upstreams.get(upstream.id);
    const hasLapsed = this.#lapsed.delete(upstream.id);
    this.#upstreams.set(upstream.id, upstream);
    return hasLapsed || !known || known.isLeaving !== upstream.isLeaving ||
      known.address !== upstream.address ||
      known.bornAtUnixMs !== upstream.bornAtUnixMs ||
      known.service !== upstream.service ||
      known.models.join() !== upstream.models.join();
  }

  #applyLeavingNotice(upstream: PublishedUpstream): PublishedUpstream {
    const isNoticed =
      this.#leavingNotices.get(upstream.id) === upstream.bornAtUnixMs;
    return isNoticed ? { ...upstream, isLeaving: true } : upstream;
  }

  #isServing(id: string): boolean {
    const upstream = this.#upstreams.get(id);
    return upstream !== undefined && !upstream.isLeaving;
  }

  #applyConfiguration(configuration: PublishedConfiguration): boolean {
    const versionInForce = this.#configuration?.version ?? 0;
    if (configuration.version <= versionInForce) return false;
    this.#configuration = configuration;
    this.#services.clear();
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    this.#routesByHost.clear();
    for (const route of configuration.routes) {
      const hostName = route.hostName.toLowerCase();
      const routes = this.#routesByHost.get(hostName) ?? [];
      routes.push(route);
      this.#routesByHost.set(hostName, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    return true;
  }
}
