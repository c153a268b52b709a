/**
 * A complete deployment for the process tests: the daemons are real processes,
 * the fakes of upstreams and platform run in this process.
 */
import { FakeConfiguration } from "../fakes/fake_configuration.ts";
import { FakeEngine } from "../fakes/fake_engine.ts";
import { FakeHostList } from "../fakes/fake_host_list.ts";
import { FakeService } from "../fakes/fake_service.ts";
import type { HostStructure } from "../src/core/structures.ts";
import {
  type CallerAnswer,
  readTokens,
  type RunningCall,
  sendCall,
  sendTicketedCall,
  startCall,
} from "./caller.ts";
import { Fleet, waitUntil } from "./fleet.ts";
import {
  FEED_ORDER_ROUTE,
  formatSitePools,
  formatSiteRoutes,
  type RouteLimits,
  SITE_TOKEN,
  type SiteDomain,
  type SiteOptions,
} from "./site_tables.ts";

export * from "./site_answers.ts";
export type { SiteOptions } from "./site_tables.ts";

/**
 * Core settings short enough that leases expire and peers are found dead within
 * a test.
 */
export const SHORT_CORE_SETTINGS = {
  heartbeatIntervalMs: 100,
  peerTimeoutMs: 800,
  startGraceMs: 600,
  pauseThresholdMs: 700,
  leaseWindowMs: 1_000,
  ownershipValidityMs: 700,
  stateReadIntervalMs: 100,
  engineReportLagMs: 200,
  storeLoadsPerSecond: 1_000,
  storeLoadsInFlight: 100,
} as const;

const DEFAULTS = {
  adapters: 8,
  slots: 2,
  batchSize: 8,
  fencing: "checked",
  tokens: 30,
  tokenIntervalMs: 20,
  loadTimeMs: 50,
  maxRunMs: 8_000,
  queueDeadlineMs: 20_000,
  core: SHORT_CORE_SETTINGS,
} as const;

export class Site {
  readonly fleet: Fleet;
  /** Bearer token of the site's customer. */
  readonly token = SITE_TOKEN;
  readonly configuration = new FakeConfiguration();
  readonly hostList = new FakeHostList();
  readonly engines = new Map<string, FakeEngine>();
  readonly services = new Map<string, FakeService>();
  readonly upstreams: HostStructure[] = [];
  readonly daemonIds: string[] = [];
  readonly options: Required<Omit<SiteOptions, "settings">>;

  constructor(options: SiteOptions) {
    this.options = { ...DEFAULTS, ...options } as typeof this.options;
    this.fleet = new Fleet(this.options);
  }

  /** Starts the fakes and reserves the daemons without starting them. */
  async startFakes(): Promise<void> {
    await this.configuration.start();
    await this.hostList.start();
    this.fleet.addFake("configuration", this.configuration.address);
    this.fleet.addFake("hostList", this.hostList.address);
    for (const domain of this.options.domains) await this.#addDomain(domain);
    await this.fleet.writeHosts(this.upstreams);
    await this.fleet.writeTable("pools", this.formatPools());
    await this.fleet.writeTable("routes", this.formatRoutes("v1"));
  }

  /**
   * Starts all fakes and daemons; waits until all daemons serve and all
   * upstreams have owners.
   */
  async start(): Promise<void> {
    await this.startFakes();
    await Promise.all(this.daemonIds.map((id) => this.fleet.startDaemon(id)));
    await this.fleet.waitUntilServing(this.daemonIds);
    await this.waitUntilOwned(this.daemonIds);
  }

  async stop(): Promise<void> {
    await this.fleet.stop();
    const fakes = [
      this.configuration,
      this.hostList,
      ...this.engines.values(),
      ...this.services.values(),
    ];
    await Promise.all(fakes.map((fake) => fake.stop()));
  }

  /** Returns the engine of the given id, or the first one. */
  getEngine(id?: string): FakeEngine {
    const engine = id === undefined
      ? [...this.engines.values()][0]
      : this.engines.get(id);
    if (engine) return engine;
    throw new Error(`Expected an engine ${id}, found none`);
  }

  /** Sends an idempotent streamed request and reads its answer to the end. */
  async call(daemonId: string, model: string, content = "x"): Promise<
    CallerAnswer
  > {
    return await this.startCall(daemonId, model, content).answer;
  }

  /** Sends a chat whose last message, the content, follows shared ones. */
  async callWithSharedMessages(
    daemonId: string,
    model: string,
    messages: { shared: readonly string[]; content: string },
  ): Promise<CallerAnswer> {
    const { shared, content } = messages;
    return await this.#startCompletion(daemonId, model, content, true, shared)
      .answer;
  }

  startCall(daemonId: string, model: string, content = "x"): RunningCall {
    return this.#startCompletion(daemonId, model, content, true);
  }

  /** Sends a request whose answer is not streamed. */
  startUnstreamedCall(
    daemonId: string,
    model: string,
    content = "x",
  ): RunningCall {
    return this.#startCompletion(daemonId, model, content, false);
  }

  /**
   * Starts streams and waits until each caller has received `minTokens` tokens.
   */
  async startStreams(
    daemonId: string,
    models: readonly string[],
    minTokens = 2,
  ): Promise<RunningCall[]> {
    const calls = models.map((model) => this.startCall(daemonId, model));
    await waitUntil(
      `${models.length} streams run through ${daemonId}`,
      () =>
        Promise.resolve(
          calls.every((call) => readTokens(call.getText()).length >= minTokens),
        ),
    );
    return calls;
  }

  /** Gets a ticket for a non-idempotent request from the given daemon. */
  async getTicket(daemonId: string, pen: number): Promise<string> {
    const answer = await sendCall(this.#buildFeedOrderCall(daemonId, pen));
    return answer.refusal?.ticket ?? "";
  }

  /**
   * Sends a non-idempotent request under the given ticket, or under a new one.
   */
  async sendFeedOrder(
    daemonId: string,
    pen: number,
    ticket?: string,
  ): Promise<CallerAnswer> {
    const call = this.#buildFeedOrderCall(daemonId, pen);
    if (ticket === undefined) return await sendTicketedCall(call);
    return await sendCall({ ...call, ticket });
  }

  /** Counts how often the request of this pen ran on any service. */
  countFeedOrders(pen: number): number {
    const body = JSON.stringify({ pen });
    return [...this.services.values()].flatMap((service) => service.ran)
      .filter((ran) => ran === body).length;
  }

  countEvictionsInUse(): number {
    return [...this.engines.values()]
      .reduce((total, engine) => total + engine.evictionsInUse, 0);
  }

  countRuns(model: string): number {
    return [...this.engines.values()].flatMap((engine) => engine.history)
      .filter((run) => run.model === model).length;
  }

  /**
   * Returns the daemon that reports owning the upstream; undefined if none
   * does.
   */
  async findOwner(
    upstreamId: string,
    daemonIds: readonly string[] = this.daemonIds,
  ): Promise<string | undefined> {
    for (const id of daemonIds) {
      const { upstreams } = await this.fleet.getStatus(id);
      const isOwner = upstreams.some((upstream) =>
        upstream.upstreamId === upstreamId && upstream.state === "owning"
      );
      if (isOwner) return id;
    }
    return undefined;
  }

  async getOwner(upstreamId: string): Promise<string> {
    const owner = await this.findOwner(upstreamId);
    if (owner !== undefined) return owner;
    throw new Error(`Expected an owner of ${upstreamId}, found none`);
  }

  /**
   * Waits until each upstream in the failure domains of the given daemons is
   * owned by one of them.
   */
  async waitUntilOwned(daemonIds: readonly string[]): Promise<void> {
    const domains = new Set(
      daemonIds.map((id) => this.fleet.getDaemon(id).failureDomain),
    );
    for (const { id, failureDomain } of this.upstreams) {
      if (!domains.has(failureDomain)) continue;
      await waitUntil(
        `${id} has an owner`,
        async () => (await this.findOwner(id, daemonIds)) !== undefined,
      );
    }
  }

  async waitUntilInForce(
    revision: number,
    daemonIds: readonly string[] = this.daemonIds,
  ): Promise<void> {
    for (const id of daemonIds) {
      await waitUntil(
        `revision ${revision} is in force at ${id}`,
        async () => (await this.fleet.getStatus(id)).tablesRevision >= revision,
      );
    }
  }

  formatPools(): string {
    return formatSitePools(this.options);
  }

  /** Returns the routes with every adapter at the given version. */
  formatRoutes(version: string, changes: RouteLimits = {}): string {
    return formatSiteRoutes({ ...this.options, ...changes }, version);
  }

  #startCompletion(
    daemonId: string,
    model: string,
    content: string,
    stream: boolean,
    shared: readonly string[] = [],
  ): RunningCall {
    const messages = [
      ...shared.map((text) => ({ role: "system", content: text })),
      { role: "user", content },
    ];
    return startCall({
      address: this.fleet.getDaemon(daemonId).callers,
      token: SITE_TOKEN,
      body: { model, stream, messages },
    });
  }

  async #addDomain(domain: SiteDomain): Promise<void> {
    const { name } = domain;
    for (let index = 1; index <= domain.engines; index += 1) {
      const engine = this.#createEngine();
      await engine.start();
      this.engines.set(`engine-${name}-${index}`, engine);
      this.#addUpstream(`engine-${name}-${index}`, name, {
        address: engine.address,
        service: "brief-writer",
      });
    }
    for (let index = 1; index <= (domain.services ?? 0); index += 1) {
      const service = new FakeService();
      await service.start();
      this.services.set(`service-${name}-${index}`, service);
      this.#addUpstream(`service-${name}-${index}`, name, {
        address: service.address,
        service: "dispatch-core",
      });
    }
    for (let index = 1; index <= domain.daemons; index += 1) {
      const id = `entry-${name}-${index}`;
      this.fleet.reserveDaemon(id, name);
      this.daemonIds.push(id);
    }
  }

  #createEngine(): FakeEngine {
    const { slots, batchSize, fencing, tokens } = this.options;
    const { tokenIntervalMs, loadTimeMs } = this.options;
    return new FakeEngine({
      slots,
      batchSize,
      checksFencing: fencing === "checked",
      tokens,
      tokenIntervalMs,
      loadTimeMs,
    });
  }

  #addUpstream(
    id: string,
    failureDomain: string,
    upstream: { address: string; service: string },
  ): void {
    this.upstreams.push({
      id,
      failureDomain,
      role: "upstream",
      state: "live",
      ...upstream,
    });
  }

  #buildFeedOrderCall(
    daemonId: string,
    pen: number,
  ): Parameters<typeof sendCall>[0] {
    return {
      address: this.fleet.getDaemon(daemonId).callers,
      token: SITE_TOKEN,
      path: `/v1/services/${FEED_ORDER_ROUTE}`,
      body: { pen },
    };
  }
}
