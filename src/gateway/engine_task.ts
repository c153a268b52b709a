/**
 * This daemon's part in engine ownership. An engine's owner is the one daemon
 * that gives its load and eviction orders and grants permits to run requests on
 * it. The task keeps an EngineOwner for each published engine, decides which
 * engines this daemon should own or observe, carries out the effects that the
 * owners return, and passes the answers of engines and messages of peers to
 * them.
 */
import {
  DenialReason,
  type PermitAnswer,
  type PermitRequest,
} from "../core/admission/admission_controller.ts";
import { hashText } from "../core/hashing.ts";
import type { FleetView } from "../core/fleet/fleet_view.ts";
import { PauseDetector } from "../core/fleet/pause_detector.ts";
import {
  EngineOwner,
  type EngineOwnerEffect,
  type OwnershipContext,
} from "../core/ordering/engine_owner.ts";
import { OwnerRoles } from "../core/ordering/owner_roles.ts";
import type { FetchShare } from "../core/placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../core/structures.ts";
import type {
  PublishedUpstream,
  PublishedView,
} from "../core/view/published_view.ts";
import { describeStep } from "../daemon/step_error.ts";
import type { DecisionLog } from "./decision_log.ts";
import { FetchLimiter } from "./fetch_limiter.ts";
import { HttpRequestError } from "./http_client.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayMessage } from "./peer_messages.ts";
import { PermitClient } from "./permit_client.ts";
import type { UpstreamPath } from "./upstream_path.ts";
import { waitMs } from "./wait.ts";
import type { EngineControl } from "./ports.ts";

/**
 * Interval at which owners check time-outs and whether this daemon should own
 * their engines.
 */
const TICK_INTERVAL_MS = 150;
/** Interval at which a daemon recomputes which engines it should own. */
const ROLES_INTERVAL_MS = 400;
/**
 * Longest time that a graceful stop waits for the answers to orders in flight.
 */
const LAST_ORDER_TIMEOUT_MS = 400;
const LAST_ORDER_POLL_INTERVAL_MS = 10;
/**
 * Time after which an engine that can't be reached is released: a probe has
 * failed by then.
 */
const CUT_OFF_RELEASE_MS = 700;
/** The same while the answer to an order is awaited. */
const CUT_OFF_MAX_RELEASE_MS = 1_500;
/** Shortest delay before a tick. */
const MIN_TICK_DELAY_MS = 4;

export interface EngineTaskOptions {
  selfId: string;
  /** This host's ordinal for turns, which differs from host to host. */
  hostOrdinal: number;
  termMs: Milliseconds;
  view: PublishedView;
  fleet: FleetView;
  /**
   * Addresses that are contacted first to discover peers. A daemon that isn't
   * partitioned from the fleet hears from all of them.
   */
  seedIps: readonly string[];
  control: EngineControl;
  /** This host's path to the engines. */
  path: UpstreamPath;
  log: DecisionLog;
  metrics: GatewayMetrics;
  /**
   * Tells peers which engines this daemon now owns, without waiting for the
   * next periodic heartbeat.
   */
  announceOwnership: () => void;
  /**
   * Retransmits until the peer acknowledges; resolves to false if it does not.
   */
  deliver: (peerId: string, message: GatewayMessage) => Promise<boolean>;
  /** Sends a message once, without acknowledgement; it may be lost. */
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

export class EngineTask {
  readonly #options: EngineTaskOptions;
  readonly #owners = new Map<string, EngineOwner>();
  /** Requests permits from engines' owners, here or on other daemons. */
  readonly permits: PermitClient;
  readonly #pauseDetector = new PauseDetector(performance.now(), Date.now());
  readonly #activeEngines = new Set<string>();
  readonly #fetchLimiter: FetchLimiter;
  #rolesUpdatedAt = Number.NEGATIVE_INFINITY;
  readonly #roles: OwnerRoles;
  #isStopping = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #nextTickAt = Number.POSITIVE_INFINITY;

  constructor(options: EngineTaskOptions) {
    this.#options = options;
    this.#fetchLimiter = new FetchLimiter(options);
    this.#roles = new OwnerRoles({
      fleet: options.fleet,
      seedIps: options.seedIps,
      startedAt: performance.now(),
    });
    this.permits = new PermitClient({
      selfId: options.selfId,
      termMs: options.termMs,
      fleet: options.fleet,
      isOwnedLocally: (engineId) => this.#getOwned(engineId) !== undefined,
      isStopping: () => this.#isStopping,
      listOwners: (now) => this.#listOwners(now),
      send: (peerId, message) => this.#send(peerId, message),
      sendOnce: (peerId, message) => {
        if (peerId === options.selfId) this.handleMessage(peerId, message);
        else options.sendOnce(peerId, message);
      },
    });
  }

  start(): void {
    this.#scheduleTick(performance.now() + TICK_INTERVAL_MS);
  }

  listOwnedEngines(): string[] {
    return [...this.#activeEngines].filter((engineId) =>
      this.#owners.get(engineId)?.isOwner()
    );
  }

  /**
   * Returns the engines that this daemon has owned at any time since its start,
   * or undefined once it no longer counts as recently started.
   */
  listOwnedSinceStart(now: Milliseconds): string[] | undefined {
    return this.#roles.listOwnedSinceStart(now);
  }

  /**
   * Returns the engines to which this daemon has recently sent an order that
   * others may have sent too; undefined if there are none.
   */
  listContested(now: Milliseconds): string[] | undefined {
    return this.#roles.listContested(now);
  }

  countFetches(): number {
    let count = 0;
    for (const engineId of this.#activeEngines) {
      count += this.#owners.get(engineId)?.countLoadsInFlight() ?? 0;
    }
    return count;
  }

  /**
   * Returns how many concurrent fetches (loads from the weight store) run at
   * full speed, as estimated from this daemon's own; undefined before it has
   * observed any.
   */
  getFullSpeedFetches(): number | undefined {
    return this.#fetchLimiter.measuredLimit;
  }

  describe(): object {
    return Object.fromEntries(
      [...this.#owners].map(([id, owner]) => [id, owner.describe()]),
    );
  }

  /**
   * Returns whether a permit for the engine is worth requesting. In a small
   * fleet the owner of every owned engine is known. In a large one it may not
   * be; a permit is then requested unless the engine had no owner a moment ago.
   */
  canRequestPermit(engineId: string): boolean {
    const now = performance.now();
    const { fleet } = this.#options;
    const isKnown = this.#getOwned(engineId) !== undefined ||
      fleet.findOwner(engineId, now) !== undefined;
    return isKnown ||
      (!fleet.isFullMesh() && !this.permits.isUnowned(engineId, now));
  }

  /**
   * Returns the time until this daemon may claim the next engine that it
   * doesn't own, as far as is known here; at most one ownership term.
   */
  estimateClaimMs(): Milliseconds {
    const now = performance.now();
    let soonestMs = this.#options.termMs;
    for (const engineId of this.#activeEngines) {
      const owner = this.#owners.get(engineId);
      if (!owner || owner.isOwner()) continue;
      soonestMs = Math.min(soonestMs, owner.estimateClaimMs(now));
    }
    return soonestMs;
  }

  handleMessage(from: string, message: GatewayMessage): void {
    const now = performance.now();
    this.#checkPause(now);
    switch (message.kind) {
      case "permitRequest":
        this.#handlePermitRequest(message.engineId, message.request, now);
        break;
      case "permitAnswer":
        this.permits.settlePermit(message.engineId, message.answer, from);
        break;
      case "permitReleased":
        this.#getOwned(message.engineId)
          ?.admission.releasePermit(
            message.permitId,
            now,
            message.longestPauseMs,
          );
        this.#serveQueue(message.engineId, now);
        break;
      case "firstToken":
        this.#getOwned(message.engineId)
          ?.admission.recordFirstToken(message.permitId, now);
        this.#serveQueue(message.engineId, now);
        break;
      case "permitUnusable":
        this.#recordUnusable(from, message, now);
        break;
      case "runsHeld":
        this.#getOwned(message.engineId)?.adoptRuns(from, message, now);
        this.#serveQueue(message.engineId, now);
        break;
      case "handover":
        this.#acceptHandover(from, message.engineId, message.handover, now);
        break;
      case "heartbeat":
        break;
    }
  }

  /**
   * Reports this daemon's runs on an engine to its new owner as soon as a
   * heartbeat has announced the owner.
   */
  notifyNewOwners(now: Milliseconds): void {
    this.permits.reportRunsToNewOwners(now);
  }

  /**
   * Hands every owned engine over to the daemon that ranks next as its owner.
   */
  async stop(): Promise<void> {
    this.#isStopping = true;
    clearTimeout(this.#timer);
    await this.#awaitPendingOrders();
    const now = performance.now();
    await Promise.all(
      [...this.#owners.values()].filter((owner) => owner.isOwner())
        .map((owner) => this.#handOver(owner, now)),
    );
  }

  /** Releases an engine, to the daemon that ranks next if that can be. */
  async #handOver(owner: EngineOwner, now: Milliseconds): Promise<void> {
    const { view, fleet, deliver } = this.#options;
    const { engineId } = owner;
    const { handover, effects } = owner.handOver(now);
    this.#runEffects(effects);
    const engine = view.getUpstream(engineId);
    const successor = engine && fleet.rankOwners(engine, true, now)[0];
    if (!handover || !successor) return;
    await deliver(successor.id, { kind: "handover", engineId, handover });
  }

  /**
   * Releases the engines that can't be reached from here, so that others order
   * them. Waits a moment for the answer to an order, without which an engine
   * can't be handed over.
   */
  #releaseCutOffEngines(now: Milliseconds): void {
    const { view, path } = this.#options;
    for (const owner of this.#owners.values()) {
      if (!owner.isOwner()) continue;
      const engine = view.getUpstream(owner.engineId);
      if (!engine) continue;
      const cutOffMs = path.getCutOffMs(engine.service, now);
      if (cutOffMs === undefined || cutOffMs < CUT_OFF_RELEASE_MS) continue;
      if (owner.hasPendingOrder && cutOffMs < CUT_OFF_MAX_RELEASE_MS) continue;
      this.#options.log.warn("cutOffEngineReleased", {
        upstream: engine.id,
        hasPendingOrder: owner.hasPendingOrder,
      });
      void this.#handOver(owner, now);
    }
  }

  /** Returns whether the engine can't be ordered from here. */
  #isCutOff(engine: PublishedUpstream | undefined): boolean {
    return engine !== undefined && this.#options.path.isCutOff(engine.service);
  }

  #recordControlFailure(
    engine: PublishedUpstream,
    error: unknown,
    now: Milliseconds,
  ): void {
    const isUnreachable = error instanceof HttpRequestError &&
      !error.hasBeenSent;
    if (isUnreachable) this.#options.path.recordUnreachable(engine, now);
  }

  /**
   * Stops giving orders and waits for those in flight: an engine can't be
   * handed over while the outcome of an order is unknown.
   */
  async #awaitPendingOrders(): Promise<void> {
    const endsAt = performance.now() + LAST_ORDER_TIMEOUT_MS;
    const hasPendingOrders = () =>
      [...this.#owners.values()].filter((owner) => owner.stopOrders())
        .length > 0;
    while (hasPendingOrders() && performance.now() < endsAt) {
      await waitMs(LAST_ORDER_POLL_INTERVAL_MS);
    }
  }

  /** Schedules a tick no later than the given time. */
  #scheduleTick(at: Milliseconds): void {
    if (this.#isStopping || at >= this.#nextTickAt) return;
    clearTimeout(this.#timer);
    this.#nextTickAt = at;
    const delayMs = Math.max(MIN_TICK_DELAY_MS, at - performance.now());
    this.#timer = setTimeout(() => this.#tick(), delayMs);
  }

  #tick(): void {
    const now = performance.now();
    this.#nextTickAt = Number.POSITIVE_INFINITY;
    this.#checkPause(now);
    this.permits.retryUndeliveredReleases(now);
    this.permits.reportRunsToNewOwners(now);
    this.#updateRoles(now);
    this.#releaseCutOffEngines(now);
    for (const engineId of this.#activeEngines) {
      const owner = this.#owners.get(engineId);
      if (!owner) continue;
      this.#runEffects(owner.tick(this.#describeContext(owner, now), now));
      this.#roles.recordOwned(owner, now);
      this.#countEarlyGrants(owner);
      this.#scheduleTick(owner.getNextDueAt());
    }
    this.#scheduleTick(now + TICK_INTERVAL_MS);
  }

  #countEarlyGrants(owner: EngineOwner): void {
    const count = owner.admission.takeEarlyGrants();
    for (let index = 0; index < count; index += 1) {
      this.#options.metrics.count("customer_turns", "early");
    }
  }

  /**
   * After a pause of this process, owners have to prove their right to give
   * orders again before they load anything, since another daemon may have
   * claimed the engines meanwhile.
   */
  #checkPause(now: Milliseconds): void {
    if (!this.#pauseDetector.hasPaused(now, Date.now())) return;
    this.#options.log.warn("pauseDetected", { held: this.listOwnedEngines() });
    this.#options.metrics.count("pauses", "holder");
    this.#options.fleet.recordPause(now);
    for (const owner of this.#owners.values()) owner.recordPause(now);
  }

  /**
   * Recomputes the engines that this daemon owns, should own or should observe.
   */
  #updateRoles(now: Milliseconds): void {
    if (now - this.#rolesUpdatedAt < ROLES_INTERVAL_MS) return;
    this.#rolesUpdatedAt = now;
    this.#reconcileOwners();
    this.#fetchLimiter.recordPeerLimits(now);
    this.#activeEngines.clear();
    const fetchShare = this.#computeFetchShare(now);
    for (const owner of this.#owners.values()) {
      const { isDesiredOwner, isCandidate } = this.#describeContext(
        owner,
        now,
        fetchShare,
      );
      const isActive = isDesiredOwner || isCandidate || owner.isOwner();
      if (isActive) this.#activeEngines.add(owner.engineId);
    }
  }

  /**
   * Creates an EngineOwner for each newly published engine, updates the
   * existing ones, and removes those of engines that are gone.
   */
  #reconcileOwners(): void {
    const { view, termMs } = this.#options;
    const engines = view.listEngines();
    const ids = new Set(engines.map((engine) => engine.id));
    this.#fetchLimiter.setEngineCount(engines.length);
    for (const id of this.#owners.keys()) {
      if (!ids.has(id)) this.#owners.delete(id);
    }
    for (const engine of engines) {
      const limits = view.getService(engine.service)?.engine;
      if (!limits) continue;
      const existing = this.#owners.get(engine.id);
      if (existing) {
        existing.setLimits(limits);
        existing.recordRegistration(engine.bornAtUnixMs);
      } else {
        this.#owners.set(
          engine.id,
          new EngineOwner({
            selfId: this.#options.selfId,
            hostOrdinal: this.#options.hostOrdinal,
            engineId: engine.id,
            limits,
            termMs,
            listClaimants: () =>
              this.#options.fleet.listClaimants(engine, performance.now()),
            selectOwnAdapter: (model) =>
              this.#selectOwnAdapter(engine.id, model),
            isClockSteady: (now) => this.#pauseDetector.isClockSteady(now),
          }),
        );
      }
    }
  }

  #describeContext(
    owner: EngineOwner,
    now: Milliseconds,
    fetchShare = this.#computeFetchShare(now),
  ): OwnershipContext {
    const engine = this.#options.view.getUpstream(owner.engineId);
    return this.#roles.describeContext({
      engine,
      owner,
      fetchShare,
      isStopping: this.#isStopping || this.#isCutOff(engine),
    }, now);
  }

  #computeFetchShare(now: Milliseconds): FetchShare {
    return this.#fetchLimiter.computeShare({
      fetches: this.countFetches(),
      heldEngines: this.listOwnedEngines().length,
    }, now);
  }

  /**
   * Picks an adapter by a hash of this daemon's id and the engine's, for an
   * order that proves this daemon's right to give orders: other daemons hardly
   * ever pick the same one.
   */
  #selectOwnAdapter(engineId: string, model: string): string | undefined {
    const { view, selfId, control } = this.#options;
    const engine = view.getUpstream(engineId);
    const limits = engine && view.getService(engine.service)?.engine;
    const count = limits?.models.find((each) => each.name === model)
      ?.adapterCount ?? 0;
    return count === 0
      ? undefined
      : control.formatAdapterName(hashText(`${selfId} ${engineId}`) % count);
  }

  #handlePermitRequest(
    engineId: string,
    request: PermitRequest,
    now: Milliseconds,
  ): void {
    const owner = this.#getOwned(engineId);
    if (!owner || this.#options.view.getUpstream(engineId)?.isLeaving) {
      this.#refuseAsNotOwner(engineId, request, now);
      return;
    }
    this.#runEffects(owner.requestPermit(request, now), request.permitId);
    this.#serveQueue(engineId, now);
  }

  /**
   * Denies a permit for an engine that this daemon doesn't own. The answer
   * names the owner if it is known, and the time until the engine may be
   * claimed.
   */
  #refuseAsNotOwner(
    engineId: string,
    request: PermitRequest,
    now: Milliseconds,
  ): void {
    const answer: PermitAnswer = {
      kind: "denied",
      permitId: request.permitId,
      holder: request.holder,
      reason: DenialReason.NotOwner,
      retryAfterMs: this.#owners.get(engineId)?.estimateClaimMs(now) ??
        this.#options.termMs,
    };
    const knownOwner = this.#options.fleet.findOwner(engineId, now);
    if (knownOwner !== undefined) answer.knownHolder = knownOwner;
    this.#runEffects(
      [{ kind: "answerPermit", engineId, answer }],
      request.permitId,
    );
  }

  #recordUnusable(
    from: string,
    message: Extract<GatewayMessage, { kind: "permitUnusable" }>,
    now: Milliseconds,
  ): void {
    const owner = this.#getOwned(message.engineId);
    if (!owner) return;
    owner.recordUnusable({ ...message, holder: from }, now);
    this.#serveQueue(message.engineId, now);
  }

  #acceptHandover(
    from: string,
    engineId: string,
    handover: Extract<GatewayMessage, { kind: "handover" }>["handover"],
    now: Milliseconds,
  ): void {
    this.#reconcileOwners();
    const owner = this.#owners.get(engineId);
    this.#options.log.info("handoverReceived", {
      upstream: engineId,
      peer: from,
      isKnown: owner !== undefined,
    });
    if (!owner) return;
    this.#activeEngines.add(engineId);
    this.#runEffects(owner.acceptHandover(handover, now));
    this.#roles.recordOwned(owner, now);
  }

  #serveQueue(engineId: string, now: Milliseconds): void {
    const owner = this.#getOwned(engineId);
    if (!owner) return;
    this.#fetchLimiter.recordLoads(owner, now);
    this.#runEffects(
      owner.serveQueue(this.#describeContext(owner, now), now),
    );
    this.#scheduleTick(owner.getNextDueAt());
  }

  /**
   * Returns the owner of each engine as far as is known. For engines owned here
   * this takes precedence over what peers have announced.
   */
  #listOwners(now: Milliseconds): ReadonlyMap<string, string> {
    const owners = new Map(this.#options.fleet.listOwners(now));
    for (const engineId of this.listOwnedEngines()) {
      owners.set(engineId, this.#options.selfId);
    }
    return owners;
  }

  #getOwned(engineId: string): EngineOwner | undefined {
    const owner = this.#owners.get(engineId);
    return owner?.isOwner() ? owner : undefined;
  }

  /**
   * Carries out the effects that an owner has returned.
   * @param requestedPermitId permit whose request is being handled. Its answer
   * is sent once, without retransmission: if it is lost, the acknowledgement of
   * the request is lost with it, and the requester sends the request again.
   */
  #runEffects(
    effects: readonly EngineOwnerEffect[],
    requestedPermitId?: string,
  ): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case "answerPermit":
          this.#sendAnswer(effect, requestedPermitId);
          break;
        case "readReport":
          void this.#readReport(effect.engineId);
          break;
        case "giveOrder":
          void this.#giveOrder(effect);
          break;
        case "belief":
          this.#options.metrics.count("holder_belief", effect.change);
          if (effect.isTakeover) this.#options.announceOwnership();
          this.#options.log.info("engineBelief", {
            upstream: effect.engineId,
            change: effect.change,
            ...effect.detail,
          });
          break;
      }
    }
  }

  async #readReport(engineId: string): Promise<void> {
    const { view, control, log } = this.#options;
    const owner = this.#owners.get(engineId);
    const engine = view.getUpstream(engineId);
    if (!owner) return;
    if (!engine) {
      owner.recordReportFailure();
      return;
    }
    try {
      const report = await control.readReport(engine, performance.now());
      if (report.isLeaving && view.recordLeavingNotice(engine)) {
        log.info("upstreamLeaving", {
          upstream: engineId,
          bornAtUnixMs: engine.bornAtUnixMs,
        });
      }
      const now = performance.now();
      this.#checkPause(now);
      this.#runEffects(owner.recordReport(report, now));
      this.#serveQueue(engineId, now);
    } catch (error) {
      owner.recordReportFailure();
      this.#recordControlFailure(engine, error, performance.now());
      log.info("reportUnread", {
        upstream: engineId,
        detail: describeStep(error),
      });
    }
  }

  async #giveOrder(
    effect: Extract<EngineOwnerEffect, { kind: "giveOrder" }>,
  ): Promise<void> {
    const { view, control, selfId, log, metrics } = this.#options;
    const { engineId, order, fence, expectedSequence, evidence, grounds } =
      effect;
    const owner = this.#owners.get(engineId);
    const engine = view.getUpstream(engineId);
    const { model, adapter } = order;
    const version = order.kind === "load" ? order.version : undefined;
    const sentAt = performance.now();
    const answer = engine
      ? await control.giveOrder(
        engine,
        { kind: order.kind, model, adapter, version },
        { holder: selfId, fence, expectedSequence },
      )
      : { kind: "notSent" as const, detail: "the engine is gone" };
    metrics.count(`order_${order.kind}`, answer.kind);
    log.info("orderGiven", {
      upstream: engineId,
      order: order.kind,
      adapter: order.adapterPath,
      version,
      fence,
      expectedSequence,
      evidence,
      hasQuorum: grounds.hasQuorum,
      isIsolated: grounds.isIsolated,
      claimants: grounds.claimants,
      engineAgeMs: grounds.engineAgeMs && Math.round(grounds.engineAgeMs),
      bornAtUnixMs: engine?.bornAtUnixMs,
      elapsedMs: Math.round(performance.now() - sentAt),
      outcome: answer.kind,
    });
    const now = performance.now();
    if (!owner) return;
    this.#checkPause(now);
    this.#runEffects(owner.recordOrderAnswer(answer, now));
    this.#serveQueue(engineId, now);
  }

  #sendAnswer(
    { engineId, answer }: Extract<EngineOwnerEffect, { kind: "answerPermit" }>,
    requestedPermitId: string | undefined,
  ): void {
    const message: GatewayMessage = { kind: "permitAnswer", engineId, answer };
    const isRemote = answer.holder !== this.#options.selfId;
    if (isRemote && answer.permitId === requestedPermitId) {
      this.#options.sendOnce(answer.holder, message);
    } else void this.#send(answer.holder, message);
  }

  async #send(peerId: string, message: GatewayMessage): Promise<boolean> {
    if (peerId === this.#options.selfId) {
      this.handleMessage(peerId, message);
      return true;
    }
    return await this.#options.deliver(peerId, message);
  }
}
