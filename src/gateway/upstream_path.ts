/**
 * This host's path to the upstreams: records which connections could be
 * established, logs when a service is cut off or reached again, and probes while
 * it is cut off, as no request goes there meanwhile.
 */
import { ServiceReachability } from "../core/placement/service_reachability.ts";
import type { Milliseconds } from "../core/structures.ts";
import type {
  PublishedUpstream,
  PublishedView,
} from "../core/view/published_view.ts";
import { openConnection } from "./crash_probe.ts";
import type { DecisionLog } from "./decision_log.ts";

/** Interval between two probes of a service, each at another upstream. */
const PROBE_INTERVAL_MS = 500;

export interface UpstreamPathOptions {
  view: PublishedView;
  log: DecisionLog;
  /** Called when a service is cut off or reached again. */
  handleChange: () => void;
}

export class UpstreamPath {
  readonly #options: UpstreamPathOptions;
  readonly #reachability = new ServiceReachability();
  #timer: ReturnType<typeof setInterval> | undefined;
  #probeCount = 0;

  constructor(options: UpstreamPathOptions) {
    this.#options = options;
  }

  isCutOff(service: string): boolean {
    return this.#reachability.isCutOff(service);
  }

  /** Returns for how long the service has been cut off; undefined if it isn't. */
  getCutOffMs(service: string, now: Milliseconds): Milliseconds | undefined {
    const since = this.#reachability.getCutOffSince(service);
    return since === undefined ? undefined : now - since;
  }

  /** Returns the names of the configured services that are cut off. */
  listCutOff(): string[] {
    const services = this.#options.view.configuration?.services ?? [];
    return services.map(({ name }) => name)
      .filter((name) => this.isCutOff(name));
  }

  /** Records a new connection to an upstream of the service. */
  recordReached(service: string): void {
    if (!this.#reachability.recordReached(service)) return;
    this.#options.log.info("serviceReached", { service });
    this.#options.handleChange();
  }

  /** Records that no connection to the upstream could be established. */
  recordUnreachable(upstream: PublishedUpstream, now: Milliseconds): void {
    const { view, log, handleChange } = this.#options;
    const { id, service } = upstream;
    const upstreams = {
      ofService: view.listServing(service),
      ofAllServices: (view.configuration?.services ?? [])
        .flatMap(({ name }) => view.listServing(name)),
    };
    const isNewlyCutOff = this.#reachability
      .recordUnreachable(service, id, upstreams, now);
    if (!isNewlyCutOff) return;
    log.warn("serviceCutOff", {
      service,
      upstream: id,
      upstreams: upstreams.ofService.length,
      cutOff: this.listCutOff(),
    });
    this.#timer ??= setInterval(
      () => this.#tryConnections(),
      PROBE_INTERVAL_MS,
    );
    handleChange();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #tryConnections(): void {
    const services = this.listCutOff();
    if (services.length === 0) this.stop();
    this.#probeCount += 1;
    for (const service of services) void this.#tryConnection(service);
  }

  async #tryConnection(service: string): Promise<void> {
    const upstreams = this.#options.view.listServing(service);
    const upstream =
      upstreams[this.#probeCount % Math.max(1, upstreams.length)];
    if (!upstream) return;
    if (await openConnection(upstream.address) === "open") {
      this.recordReached(service);
    }
  }
}
