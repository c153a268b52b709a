/**
 * The decoded state that the platform has published: the configuration in
 * force, the registered upstreams and the declared versions of adapters.
 * Upstreams whose entry disappeared while the store was unreachable are kept
 * for a grace period, since running ones register again once the store is back.
 */
import type { Milliseconds } from "../structures.ts";
import {
  CustomerDirectory,
  type PublishedCustomer,
} from "../customers/customer_directory.ts";
import { hashText } from "../hashing.ts";
import {
  ConfigurationOrder,
  type ConfigurationWrite,
} from "./configuration_order.ts";
import type { StorePosition } from "./store_position.ts";

/** Whether a request may run more than once. */
export const Repeatability = {
  Idempotent: "idempotent",
  NonIdempotent: "nonIdempotent",
  /** A stream; it may run again only if it is resumable. */
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
  /** Longest time that a caller waits. */
  timeoutMs: Milliseconds;
  /** Time to first byte up to which an answer has its full value. */
  latencyObjectiveMs: Milliseconds;
  /**
   * Longest gap between a stream's events that still meets the objective; 0 if
   * none is declared.
   */
  interTokenObjectiveMs: Milliseconds;
  /** 0 is the most urgent. */
  priorityRank: number;
  /** Maximum number of upstreams to which one request may be sent. */
  maxAttempts: number;
  /** Whether requests need no key although the configuration has customers. */
  isPublic: boolean;
  /** Services and their weights; one entry unless the route is split. */
  targets: { service: string; weight: number }[];
}

/** Capacity of each engine of a service. */
export interface EngineLimits {
  adapterSlots: number;
  /** Maximum number of requests in one batch. */
  batchSize: number;
  /** Tokens that fit into the KV cache. */
  kvCapacityTokens: number;
  /** Memory for the weights of models and adapters, in megabytes. */
  weightsMb: number;
  models: ModelLimits[];
}

/** A base model that engines of a service may load. */
export interface ModelLimits {
  name: string;
  weightsMb: number;
  adapterCount: number;
  /** Duration of a load from the weight store. */
  loadMs: Milliseconds;
}

export interface PublishedService {
  name: string;
  /** Connections that one upstream accepts from all daemons together. */
  maxConnections: number;
  /** Undefined if the service's upstreams aren't engines. */
  engine: EngineLimits | undefined;
}

/** Limits on callers' requests and connections. */
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
  /** Undefined if requests need no key at all. */
  customers: PublishedCustomer[] | undefined;
}

/** An upstream as it registered itself. */
export interface PublishedUpstream {
  id: string;
  service: string;
  /** `IP:port`. */
  address: string;
  failureDomain: string;
  /** Maximum number of requests that it runs concurrently. */
  maxConcurrentRequests: number;
  isLeaving: boolean;
  /**
   * Unix time of its start, which tells restarts under one id apart; 0 if
   * unknown.
   */
  bornAtUnixMs: number;
  /** Base models that it has loaded. */
  models: string[];
  /**
   * Adapters that it had loaded when it last registered: `model/adapter` to
   * version.
   */
  adapters: Map<string, number>;
}

/** A decoded change of the published state. */
export type PublishedChange =
  | { kind: "configuration"; configuration: PublishedConfiguration }
  | { kind: "upstream"; upstream: PublishedUpstream }
  | { kind: "upstreamGone"; id: string }
  | { kind: "adapterVersion"; adapterPath: string; version: number }
  | { kind: "unusable"; key: string; reason: string };

/** How a change came to be known. */
export interface ChangeOrigin {
  /** Position of the write in the store. */
  position: StorePosition;
  /** Hash of the entry as it was written. */
  contentHash: number;
  /** Whether the store was unreachable before the change was read. */
  isAfterOutage: boolean;
  /**
   * Whether the change was read when the store had been restored from an older
   * copy, so that it may be older than what is known.
   */
  isRestored: boolean;
}

/**
 * Maximum number of leaving notices that are kept: the replicas of a large
 * site, with some restarts each.
 */
const MAX_LEAVING_NOTICES = 2_000;

/**
 * How long an entry that lapsed during an outage of the store is kept; the
 * platform specifies about two seconds.
 */
export const LAPSE_GRACE_MS = 2_000;

export class PublishedView {
  #configuration: PublishedConfiguration | undefined;
  readonly #configurationOrder = new ConfigurationOrder();
  #deferred:
    | {
      configuration: PublishedConfiguration;
      write: ConfigurationWrite;
      until: Milliseconds;
    }
    | undefined;
  readonly #upstreams = new Map<string, PublishedUpstream>();
  readonly #lapsed = new Map<string, Milliseconds>();
  readonly #adapterVersions = new Map<string, number>();
  /**
   * Upstreams that said in an answer that they are leaving, with the start time
   * of the process that said so.
   */
  readonly #leavingNotices = new Map<string, number>();
  readonly #services = new Map<string, PublishedService>();
  readonly #routesByHost = new Map<string, PublishedRoute[]>();
  #customers: CustomerDirectory | undefined;

  get configuration(): PublishedConfiguration | undefined {
    return this.#configuration;
  }

  /** The customers of the configuration; undefined if it has none. */
  get customers(): CustomerDirectory | undefined {
    return this.#customers;
  }

  /**
   * Applies a change; returns whether other daemons should learn of it. Changes
   * of an upstream's adapters occur many times a second and don't count.
   */
  apply(
    change: PublishedChange,
    origin: ChangeOrigin,
    now: Milliseconds,
  ): boolean {
    switch (change.kind) {
      case "configuration":
        return this.#receiveConfiguration(change.configuration, origin, now);
      case "upstream":
        return this.#applyUpstream(change.upstream, origin);
      case "upstreamGone":
        if (canHaveLapsed(origin) && this.#isServing(change.id)) {
          this.#lapsed.set(change.id, now + LAPSE_GRACE_MS);
          return false;
        }
        return this.#upstreams.delete(change.id);
      case "adapterVersion":
        return this.#applyAdapterVersion(change, origin);
      case "unusable":
        return this.#upstreams.delete(change.key);
    }
  }

  /**
   * Records that an upstream said in an answer that it is leaving. It gets no
   * new work from then on, whatever the store says, until it registers with a
   * later start. Returns whether it was available before.
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

  /** Removes lapsed entries whose grace period has ended; returns their ids. */
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

  /**
   * Puts a deferred configuration into force if it is due; returns whether it
   * did.
   */
  applyDeferred(now: Milliseconds): boolean {
    const deferred = this.#deferred;
    if (!deferred || deferred.until > now) return false;
    this.#deferred = undefined;
    this.#configurationOrder.recordInForce(deferred.write);
    this.#setConfiguration(deferred.configuration);
    return true;
  }

  /** Returns the route with the longest matching prefix, or undefined. */
  findRoute(hostName: string, path: string): PublishedRoute | undefined {
    const routes = this.#routesByHost.get(hostName.toLowerCase()) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }

  /**
   * Returns the service for a request; a split route distributes requests by
   * the hash of the request id.
   */
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

  /** Returns the upstreams of a service that accept new work. */
  listServing(service: string): PublishedUpstream[] {
    return [...this.#upstreams.values()].filter((upstream) =>
      upstream.service === service && !upstream.isLeaving
    );
  }

  /** Returns the registered engines, leaving ones included. */
  listEngines(): PublishedUpstream[] {
    return [...this.#upstreams.values()].filter((upstream) =>
      this.#services.get(upstream.service)?.engine !== undefined
    );
  }

  /**
   * Returns whether the process that the upstream was has ended: it is no longer
   * registered, or another one is under its id or at its address.
   */
  hasEnded(
    { id, address, bornAtUnixMs }: Pick<
      PublishedUpstream,
      "id" | "address" | "bornAtUnixMs"
    >,
  ): boolean {
    const current = this.#upstreams.get(id);
    if (current?.bornAtUnixMs !== bornAtUnixMs) return true;
    return [...this.#upstreams.values()].some((other) =>
      other.id !== id && other.address === address &&
      other.bornAtUnixMs > bornAtUnixMs
    );
  }

  countUpstreams(): number {
    return this.#upstreams.size;
  }

  /** Returns the newest declared version of `model/adapter`, or undefined. */
  getAdapterVersion(adapterPath: string): number | undefined {
    return this.#adapterVersions.get(adapterPath);
  }

  #applyUpstream(
    published: PublishedUpstream,
    { isRestored }: ChangeOrigin,
  ): boolean {
    const known = this.#upstreams.get(published.id);
    const hasLostItsLeave = isRestored && known?.isLeaving === true &&
      known.bornAtUnixMs === published.bornAtUnixMs;
    if (hasLostItsLeave) this.recordLeavingNotice(published);
    const upstream = this.#applyLeavingNotice(published);
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

  #applyAdapterVersion(
    { adapterPath, version }: { adapterPath: string; version: number },
    { isRestored }: ChangeOrigin,
  ): boolean {
    const known = this.#adapterVersions.get(adapterPath) ?? 0;
    if (isRestored && version < known) return false;
    this.#adapterVersions.set(adapterPath, version);
    return true;
  }

  #receiveConfiguration(
    configuration: PublishedConfiguration,
    { position, contentHash }: ChangeOrigin,
    now: Milliseconds,
  ): boolean {
    const write = { ...position, version: configuration.version, contentHash };
    const decision = this.#configurationOrder.decide(write, now);
    this.#deferred = undefined;
    switch (decision.kind) {
      case "apply":
        this.#setConfiguration(configuration);
        return true;
      case "defer":
        this.#deferred = { configuration, write, until: decision.until };
        return true;
      case "ignore":
        return false;
    }
  }

  #setConfiguration(configuration: PublishedConfiguration): void {
    this.#configuration = configuration;
    this.#customers = configuration.customers &&
      new CustomerDirectory(configuration.customers);
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
  }
}

/**
 * Returns whether an entry that is missing may belong to an upstream that still
 * runs and registers again.
 */
function canHaveLapsed({ isAfterOutage, isRestored }: ChangeOrigin): boolean {
  return isAfterOutage || isRestored;
}
