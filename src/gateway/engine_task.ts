/**
 * Owns the holders of engines: decides which this daemon should have, carries out
 * what they ask for and passes their answers on.
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
import type { FenceClock } from "../core/ordering/fence_clock.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedView } from "../core/view/published_view.ts";
import { describeStep } from "../daemon/step_error.ts";
import type { DecisionLog } from "./decision_log.ts";
import { FetchLimiter } from "./fetch_limiter.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayMessage } from "./peer_messages.ts";
import { PermitClient } from "./permit_client.ts";
import { waitMs } from "./wait.ts";
import type { EngineControl } from "./ports.ts";

/** Period in which holders look at time-outs and at who should hold. */
const TICK_INTERVAL_MS = 150;
/** Period in which a daemon looks which engines it should hold. */
const ROLES_INTERVAL_MS = 400;
/** Longest time for which a stop waits for an order's answer. */
const LAST_ORDER_TIMEOUT_MS = 400;
const LAST_ORDER_POLL_INTERVAL_MS = 10;
/** Shortest time between two looks. */
const MIN_TICK_DELAY_MS = 4;

export interface EngineTaskOptions {
  selfId: string;
  termMs: Milliseconds;
  view: PublishedView;
  fleet: FleetView;
  /** Where peers are looked for first; all of them are heard where nobody is cut off. */
  seedIps: readonly string[];
  fenceClock: FenceClock;
  control: EngineControl;
  log: DecisionLog;
  metrics: GatewayMetrics;
  /** Tells peers of engines that are newly held here, without waiting for the next heartbeat. */
  announceOwnership: () => void;
  /** Sends until the peer acknowledges; resolves to false when it does not. */
  deliver: (peerId: string, message: GatewayMessage) => Promise<boolean>;
  /** Sends what may be lost. */
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

export class EngineTask {
  readonly #options: EngineTaskOptions;
  readonly #owners = new Map<string, EngineOwner>();
  /** Asks for places at engines, here or at other daemons. */
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

  /** Returns the engines that were held here since the start, undefined when that was long ago. */
  listOwnedSinceStart(now: Milliseconds): string[] | undefined {
    return this.#roles.listOwnedSinceStart(now);
  }

  countFetches(): number {
    let count = 0;
    for (const engineId of this.#activeEngines) {
      count += this.#owners.get(engineId)?.countLoadsInFlight() ?? 0;
    }
    return count;
  }

  /** Loads from the weight store that go at full speed together, as found here; undefined before any was seen. */
  getFullSpeedFetches(): number | undefined {
    return this.#fetchLimiter.measuredLimit;
  }

  describe(): object {
    return Object.fromEntries(
      [...this.#owners].map(([id, owner]) => [id, owner.describe()]),
    );
  }

  /**
   * Returns whether it is worth asking for a place at the engine. In a small
   * fleet every living holder is known; in a large one some are not yet, and are
   * asked for unless there was none a moment ago.
   */
  canRequestPermit(engineId: string): boolean {
    const now = performance.now();
    const { fleet } = this.#options;
    const isKnown = this.#getOwned(engineId) !== undefined ||
      fleet.findOwner(engineId, now) !== undefined;
    return isKnown ||
      (!fleet.isFullMesh() && !this.permits.isUnowned(engineId, now));
  }

  /** Returns the time until engines without a holder may be claimed, as far as is known here. */
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
          ?.admission.releasePermit(message.permitId, now);
        this.#pump(message.engineId, now);
        break;
      case "firstToken":
        this.#getOwned(message.engineId)
          ?.admission.recordFirstToken(message.permitId, now);
        this.#pump(message.engineId, now);
        break;
      case "permitUnusable":
        this.#recordUnusable(from, message, now);
        break;
      case "runsHeld":
        this.#getOwned(message.engineId)?.adoptRuns(from, message, now);
        this.#pump(message.engineId, now);
        break;
      case "handover":
        this.#acceptHandover(from, message.engineId, message.handover, now);
        break;
      case "heartbeat":
        break;
    }
  }

  /** Tells new holders of the runs here, as soon as a peer says that it is one. */
  notifyNewOwners(now: Milliseconds): void {
    this.permits.reportRunsToNewOwners(now);
  }

  /** Hands every engine over to the daemon that should hold it next. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    clearTimeout(this.#timer);
    await this.#awaitPendingOrders();
    const now = performance.now();
    const deliveries: Promise<boolean>[] = [];
    for (const owner of this.#owners.values()) {
      if (!owner.isOwner()) continue;
      const { handover, effects } = owner.handOver(now);
      this.#runEffects(effects);
      const engine = this.#options.view.getUpstream(owner.engineId);
      const successor = engine &&
        this.#options.fleet.rankOwners(engine, true, now)[0];
      if (!handover || !successor) continue;
      deliveries.push(this.#options.deliver(successor.id, {
        kind: "handover",
        engineId: owner.engineId,
        handover,
      }));
    }
    await Promise.all(deliveries);
  }

  /** Waits for the orders under way, so that their engines can be handed over. */
  async #awaitPendingOrders(): Promise<void> {
    const endsAt = performance.now() + LAST_ORDER_TIMEOUT_MS;
    const hasPendingOrders = () =>
      [...this.#owners.values()].filter((owner) => owner.stopOrders())
        .length > 0;
    while (hasPendingOrders() && performance.now() < endsAt) {
      await waitMs(LAST_ORDER_POLL_INTERVAL_MS);
    }
  }

  /** Looks no later than at the given time. */
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
    this.permits.retryUndeliveredReturns(now);
    this.permits.reportRunsToNewOwners(now);
    this.#updateRoles(now);
    for (const engineId of this.#activeEngines) {
      const owner = this.#owners.get(engineId);
      if (!owner) continue;
      this.#runEffects(owner.tick(this.#describeSituation(owner, now), now));
      this.#roles.recordOwned(owner, now);
      this.#scheduleTick(owner.getNextDueAt());
    }
    this.#scheduleTick(now + TICK_INTERVAL_MS);
  }

  /** After a pause, holders prove their right anew before they load anything. */
  #checkPause(now: Milliseconds): void {
    if (!this.#pauseDetector.hasPaused(now, Date.now())) return;
    this.#options.log.warn("pauseDetected", { held: this.listOwnedEngines() });
    this.#options.metrics.count("pauses", "holder");
    for (const owner of this.#owners.values()) owner.recordPause();
  }

  /** Finds the engines that this daemon holds, should hold or should observe. */
  #updateRoles(now: Milliseconds): void {
    if (now - this.#rolesUpdatedAt < ROLES_INTERVAL_MS) return;
    this.#rolesUpdatedAt = now;
    this.#reconcileOwners();
    this.#fetchLimiter.recordPeerLimits(now);
    this.#activeEngines.clear();
    const fetchShare = this.#computeFetchShare(now);
    for (const owner of this.#owners.values()) {
      const { isDesiredOwner: isWanted, isCandidate } = this.#describeSituation(
        owner,
        now,
        fetchShare,
      );
      const isActive = isWanted || isCandidate || owner.isOwner();
      if (isActive) this.#activeEngines.add(owner.engineId);
    }
  }

  /** Keeps a holder for each engine, and none for those that are gone. */
  #reconcileOwners(): void {
    const { view, termMs, fenceClock: fenceClock } = this.#options;
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
            engineId: engine.id,
            limits,
            termMs,
            drawFence: () => fenceClock.drawFence(Date.now()),
            listClaimants: () =>
              this.#options.fleet.listClaimants(engine, performance.now()),
            selectOwnAdapter: (model) =>
              this.#selectOwnAdapter(engine.id, model),
          }),
        );
      }
    }
  }

  #describeSituation(
    owner: EngineOwner,
    now: Milliseconds,
    fetchShare = this.#computeFetchShare(now),
  ): OwnershipContext {
    return this.#roles.describeContext({
      engine: this.#options.view.getUpstream(owner.engineId),
      holder: owner,
      fetchShare,
      isStopping: this.#isStopping,
    }, now);
  }

  #computeFetchShare(now: Milliseconds): FetchShare {
    return this.#fetchLimiter.computeShare({
      fetches: this.countFetches(),
      heldEngines: this.listOwnedEngines().length,
    }, now);
  }

  /** Draws an adapter by host and engine, for orders that prove the right to give them. */
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
    this.#pump(engineId, now);
  }

  /** Tells the daemon that asks who holds the engine, and when nobody does, from when it may be claimed. */
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
    this.#pump(message.engineId, now);
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

  #pump(engineId: string, now: Milliseconds): void {
    const owner = this.#getOwned(engineId);
    if (!owner) return;
    this.#fetchLimiter.recordLoads(owner, now);
    this.#runEffects(
      owner.serveQueue(this.#describeSituation(owner, now), now),
    );
    this.#scheduleTick(owner.getNextDueAt());
  }

  /** Returns who gives each engine's orders; what this daemon holds goes before others' word. */
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

  /** @param requestedPermitId permit that was asked for in this turn: where its answer is lost it is asked for again. */
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
      this.#runEffects(owner.recordReport(report, performance.now()));
      this.#pump(engineId, performance.now());
    } catch (error) {
      owner.recordReportFailure();
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
    const { engineId, order, fence, expectedSequence } = effect;
    const owner = this.#owners.get(engineId);
    const engine = view.getUpstream(engineId);
    const { model, adapter } = order;
    const version = order.kind === "load" ? order.version : undefined;
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
      outcome: answer.kind,
    });
    const now = performance.now();
    if (!owner) return;
    this.#runEffects(owner.recordOrderAnswer(answer, now));
    this.#pump(engineId, now);
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
