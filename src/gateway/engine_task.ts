/**
 * Owns the holders of engines: decides which this daemon should have, carries out
 * what they ask for and passes their answers on.
 */
import {
  DenialReason,
  type PermitAnswer,
  type PermitRequest,
} from "../core/admission/engine_desk.ts";
import { hashText } from "../core/hashing.ts";
import type { FleetView } from "../core/fleet/fleet_view.ts";
import { PauseDetector } from "../core/fleet/pause_detector.ts";
import {
  EngineHolder,
  type HolderEffect,
  type HolderSituation,
} from "../core/ordering/engine_holder.ts";
import { HolderRoles } from "../core/ordering/holder_roles.ts";
import type { FetchShare } from "../core/placement/fetch_window.ts";
import type { FenceClock } from "../core/ordering/fence_clock.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedView } from "../core/view/published_view.ts";
import { describeStep } from "../daemon/step_error.ts";
import type { DecisionLog } from "./decision_log.ts";
import { FetchLimiter } from "./fetch_pacer.ts";
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
const LAST_ORDER_MS = 400;
const LAST_ORDER_CHECK_MS = 10;
/** Shortest time between two looks. */
const MIN_TICK_MS = 4;

export interface EngineTaskOptions {
  selfId: string;
  termMs: Milliseconds;
  view: PublishedView;
  fleet: FleetView;
  /** Where peers are looked for first; all of them are heard where nobody is cut off. */
  seedIps: readonly string[];
  fences: FenceClock;
  control: EngineControl;
  log: DecisionLog;
  metrics: GatewayMetrics;
  /** Tells peers of engines that are newly held here, without waiting for the next heartbeat. */
  announce: () => void;
  /** Sends until the peer acknowledges; resolves to false when it does not. */
  deliver: (peerId: string, message: GatewayMessage) => Promise<boolean>;
  /** Sends what may be lost. */
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

export class EngineTask {
  readonly #options: EngineTaskOptions;
  readonly #holders = new Map<string, EngineHolder>();
  /** Asks for places at engines, here or at other daemons. */
  readonly permits: PermitClient;
  readonly #pauses = new PauseDetector(performance.now(), Date.now());
  readonly #activeEngines = new Set<string>();
  readonly #fetches: FetchLimiter;
  #lastRolesAt = Number.NEGATIVE_INFINITY;
  readonly #roles: HolderRoles;
  #isStopping = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #tickAt = Number.POSITIVE_INFINITY;

  constructor(options: EngineTaskOptions) {
    this.#options = options;
    this.#fetches = new FetchLimiter(options);
    this.#roles = new HolderRoles({
      fleet: options.fleet,
      seedIps: options.seedIps,
      startedAt: performance.now(),
    });
    this.permits = new PermitClient({
      selfId: options.selfId,
      termMs: options.termMs,
      fleet: options.fleet,
      isOwnedLocally: (engineId) => this.#getHeld(engineId) !== undefined,
      isStopping: () => this.#isStopping,
      listOwners: (now) => this.#listHolders(now),
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

  listHeldEngines(): string[] {
    return [...this.#activeEngines].filter((engineId) =>
      this.#holders.get(engineId)?.isHolding()
    );
  }

  /** Returns the engines that were held here since the start, undefined when that was long ago. */
  listNewcomerHeld(now: Milliseconds): string[] | undefined {
    return this.#roles.listNewcomerHeld(now);
  }

  countFetches(): number {
    let count = 0;
    for (const engineId of this.#activeEngines) {
      count += this.#holders.get(engineId)?.countComing() ?? 0;
    }
    return count;
  }

  /** Loads from the weight store that go at full speed together, as found here; undefined before any was seen. */
  getFullSpeedFetches(): number | undefined {
    return this.#fetches.measuredLimit;
  }

  describe(): object {
    return Object.fromEntries(
      [...this.#holders].map(([id, holder]) => [id, holder.describe()]),
    );
  }

  /**
   * Returns whether it is worth asking for a place at the engine. In a small
   * fleet every living holder is known; in a large one some are not yet, and are
   * asked for unless there was none a moment ago.
   */
  hasHolder(engineId: string): boolean {
    const now = performance.now();
    const { fleet } = this.#options;
    const isKnown = this.#getHeld(engineId) !== undefined ||
      fleet.findHolder(engineId, now) !== undefined;
    return isKnown ||
      (!fleet.isFullMesh() && !this.permits.isUnowned(engineId, now));
  }

  /** Returns the time until engines without a holder may be claimed, as far as is known here. */
  estimateClaimMs(): Milliseconds {
    const now = performance.now();
    let soonestMs = this.#options.termMs;
    for (const engineId of this.#activeEngines) {
      const holder = this.#holders.get(engineId);
      if (!holder || holder.isHolding()) continue;
      soonestMs = Math.min(soonestMs, holder.estimateClaimMs(now));
    }
    return soonestMs;
  }

  handleMessage(from: string, message: GatewayMessage): void {
    const now = performance.now();
    this.#checkPause(now);
    switch (message.kind) {
      case "permitRequest":
        this.#requestPermit(message.engineId, message.request, now);
        break;
      case "permitAnswer":
        this.permits.settlePermit(message.engineId, message.answer, from);
        break;
      case "permitReleased":
        this.#getHeld(message.engineId)
          ?.desk.releasePermit(message.permitId, now);
        this.#pump(message.engineId, now);
        break;
      case "firstToken":
        this.#getHeld(message.engineId)
          ?.desk.recordFirstToken(message.permitId, now);
        this.#pump(message.engineId, now);
        break;
      case "permitUnusable":
        this.#recordUnusable(from, message, now);
        break;
      case "runsHeld":
        this.#getHeld(message.engineId)?.adoptRuns(from, message, now);
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
  followHolders(now: Milliseconds): void {
    this.permits.reportRunsToNewOwners(now);
  }

  /** Hands every engine over to the daemon that should hold it next. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    clearTimeout(this.#timer);
    await this.#endOrders();
    const now = performance.now();
    const sendings: Promise<boolean>[] = [];
    for (const holder of this.#holders.values()) {
      if (!holder.isHolding()) continue;
      const { handover, effects } = holder.handOver(now);
      this.#carryOut(effects);
      const engine = this.#options.view.getUpstream(holder.engineId);
      const next = engine &&
        this.#options.fleet.rankHolders(engine, true, now)[0];
      if (!handover || !next) continue;
      sendings.push(this.#options.deliver(next.id, {
        kind: "handover",
        engineId: holder.engineId,
        handover,
      }));
    }
    await Promise.all(sendings);
  }

  /** Waits for the orders under way, so that their engines can be handed over. */
  async #endOrders(): Promise<void> {
    const endsAt = performance.now() + LAST_ORDER_MS;
    const isOrdering = () =>
      [...this.#holders.values()].filter((holder) => holder.endOrders())
        .length > 0;
    while (isOrdering() && performance.now() < endsAt) {
      await waitMs(LAST_ORDER_CHECK_MS);
    }
  }

  /** Looks no later than at the given time. */
  #scheduleTick(at: Milliseconds): void {
    if (this.#isStopping || at >= this.#tickAt) return;
    clearTimeout(this.#timer);
    this.#tickAt = at;
    const delayMs = Math.max(MIN_TICK_MS, at - performance.now());
    this.#timer = setTimeout(() => this.#tick(), delayMs);
  }

  #tick(): void {
    const now = performance.now();
    this.#tickAt = Number.POSITIVE_INFINITY;
    this.#checkPause(now);
    this.permits.retryUndeliveredReturns(now);
    this.permits.reportRunsToNewOwners(now);
    this.#updateRoles(now);
    for (const engineId of this.#activeEngines) {
      const holder = this.#holders.get(engineId);
      if (!holder) continue;
      this.#carryOut(holder.tick(this.#describeSituation(holder, now), now));
      this.#roles.recordHeld(holder, now);
      this.#scheduleTick(holder.getNextDueAt());
    }
    this.#scheduleTick(now + TICK_INTERVAL_MS);
  }

  /** After a pause, holders prove their right anew before they load anything. */
  #checkPause(now: Milliseconds): void {
    if (!this.#pauses.hasPaused(now, Date.now())) return;
    this.#options.log.warn("pauseDetected", { held: this.listHeldEngines() });
    this.#options.metrics.count("pauses", "holder");
    for (const holder of this.#holders.values()) holder.recordPause();
  }

  /** Finds the engines that this daemon holds, should hold or should observe. */
  #updateRoles(now: Milliseconds): void {
    if (now - this.#lastRolesAt < ROLES_INTERVAL_MS) return;
    this.#lastRolesAt = now;
    this.#followView();
    this.#fetches.recordPeerLimits(now);
    this.#activeEngines.clear();
    const fetchShare = this.#computeFetchShare(now);
    for (const holder of this.#holders.values()) {
      const { isWanted, isCandidate } = this.#describeSituation(
        holder,
        now,
        fetchShare,
      );
      const isActive = isWanted || isCandidate || holder.isHolding();
      if (isActive) this.#activeEngines.add(holder.engineId);
    }
  }

  /** Keeps a holder for each engine, and none for those that are gone. */
  #followView(): void {
    const { view, termMs, fences } = this.#options;
    const engines = view.listEngines();
    const ids = new Set(engines.map((engine) => engine.id));
    this.#fetches.setEngineCount(engines.length);
    for (const id of this.#holders.keys()) {
      if (!ids.has(id)) this.#holders.delete(id);
    }
    for (const engine of engines) {
      const limits = view.getService(engine.service)?.engine;
      if (!limits) continue;
      const known = this.#holders.get(engine.id);
      if (known) {
        known.setLimits(limits);
        known.recordRegistration(engine.bornAtUnixMs);
      } else {
        this.#holders.set(
          engine.id,
          new EngineHolder({
            selfId: this.#options.selfId,
            engineId: engine.id,
            limits,
            termMs,
            drawFence: () => fences.drawFence(Date.now()),
            listRivals: () =>
              this.#options.fleet.listRivals(engine, performance.now()),
            selectOwnAdapter: (model) =>
              this.#selectOwnAdapter(engine.id, model),
          }),
        );
      }
    }
  }

  #describeSituation(
    holder: EngineHolder,
    now: Milliseconds,
    fetchShare = this.#computeFetchShare(now),
  ): HolderSituation {
    return this.#roles.describeSituation({
      engine: this.#options.view.getUpstream(holder.engineId),
      holder,
      fetchShare,
      isStopping: this.#isStopping,
    }, now);
  }

  #computeFetchShare(now: Milliseconds): FetchShare {
    return this.#fetches.computeShare({
      fetches: this.countFetches(),
      heldEngines: this.listHeldEngines().length,
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

  #requestPermit(
    engineId: string,
    request: PermitRequest,
    now: Milliseconds,
  ): void {
    const holder = this.#getHeld(engineId);
    if (!holder || this.#options.view.getUpstream(engineId)?.isLeaving) {
      this.#refuseAsNotHolder(engineId, request, now);
      return;
    }
    this.#carryOut(holder.requestPermit(request, now), request.permitId);
    this.#pump(engineId, now);
  }

  /** Tells the daemon that asks who holds the engine, and when nobody does, from when it may be claimed. */
  #refuseAsNotHolder(
    engineId: string,
    request: PermitRequest,
    now: Milliseconds,
  ): void {
    const answer: PermitAnswer = {
      kind: "denied",
      permitId: request.permitId,
      holder: request.holder,
      reason: DenialReason.NotOwner,
      retryAfterMs: this.#holders.get(engineId)?.estimateClaimMs(now) ??
        this.#options.termMs,
    };
    const knownHolder = this.#options.fleet.findHolder(engineId, now);
    if (knownHolder !== undefined) answer.knownHolder = knownHolder;
    this.#carryOut(
      [{ kind: "answerPermit", engineId, answer }],
      request.permitId,
    );
  }

  #recordUnusable(
    from: string,
    message: Extract<GatewayMessage, { kind: "permitUnusable" }>,
    now: Milliseconds,
  ): void {
    const holder = this.#getHeld(message.engineId);
    if (!holder) return;
    holder.recordUnusable({ ...message, holder: from }, now);
    this.#pump(message.engineId, now);
  }

  #acceptHandover(
    from: string,
    engineId: string,
    handover: Extract<GatewayMessage, { kind: "handover" }>["handover"],
    now: Milliseconds,
  ): void {
    this.#followView();
    const holder = this.#holders.get(engineId);
    this.#options.log.info("handoverReceived", {
      upstream: engineId,
      peer: from,
      isKnown: holder !== undefined,
    });
    if (!holder) return;
    this.#activeEngines.add(engineId);
    this.#carryOut(holder.acceptHandover(handover, now));
    this.#roles.recordHeld(holder, now);
  }

  #pump(engineId: string, now: Milliseconds): void {
    const holder = this.#getHeld(engineId);
    if (!holder) return;
    this.#fetches.recordLoads(holder, now);
    this.#carryOut(holder.pump(this.#describeSituation(holder, now), now));
    this.#scheduleTick(holder.getNextDueAt());
  }

  /** Returns who gives each engine's orders; what this daemon holds goes before others' word. */
  #listHolders(now: Milliseconds): ReadonlyMap<string, string> {
    const holders = new Map(this.#options.fleet.listHolders(now));
    for (const engineId of this.listHeldEngines()) {
      holders.set(engineId, this.#options.selfId);
    }
    return holders;
  }

  #getHeld(engineId: string): EngineHolder | undefined {
    const holder = this.#holders.get(engineId);
    return holder?.isHolding() ? holder : undefined;
  }

  /** @param askedPermitId permit that was asked for in this turn: where its answer is lost it is asked for again. */
  #carryOut(effects: readonly HolderEffect[], askedPermitId?: string): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case "answerPermit":
          this.#sendAnswer(effect, askedPermitId);
          break;
        case "readReport":
          void this.#readReport(effect.engineId);
          break;
        case "giveOrder":
          void this.#giveOrder(effect);
          break;
        case "belief":
          this.#options.metrics.count("holder_belief", effect.change);
          if (effect.isTakeover) this.#options.announce();
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
    const holder = this.#holders.get(engineId);
    const engine = view.getUpstream(engineId);
    if (!holder) return;
    if (!engine) {
      holder.recordReportFailure();
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
      this.#carryOut(holder.recordReport(report, performance.now()));
      this.#pump(engineId, performance.now());
    } catch (error) {
      holder.recordReportFailure();
      log.info("reportUnread", {
        upstream: engineId,
        detail: describeStep(error),
      });
    }
  }

  async #giveOrder(
    effect: Extract<HolderEffect, { kind: "giveOrder" }>,
  ): Promise<void> {
    const { view, control, selfId, log, metrics } = this.#options;
    const { engineId, order, fence, expectedSequence } = effect;
    const holder = this.#holders.get(engineId);
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
    if (!holder) return;
    this.#carryOut(holder.recordOrderAnswer(answer, now));
    this.#pump(engineId, now);
  }

  #sendAnswer(
    { engineId, answer }: Extract<HolderEffect, { kind: "answerPermit" }>,
    askedPermitId: string | undefined,
  ): void {
    const message: GatewayMessage = { kind: "permitAnswer", engineId, answer };
    const isRemote = answer.holder !== this.#options.selfId;
    if (isRemote && answer.permitId === askedPermitId) {
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
