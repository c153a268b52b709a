/**
 * Manages one daemon's role for one engine: claims ownership where this daemon
 * should have it, issues permits and orders loads and evictions while it does,
 * and hands the engine over to another daemon. Takes events with the current
 * time and returns effects.
 */
import { BatchCapacity } from "../admission/batch_capacity.ts";
import {
  AdmissionController,
  type AdoptedRun,
  DenialReason,
  type EngineOrder,
  type PermitAnswer,
  type PermitRequest,
} from "../admission/admission_controller.ts";
import { AdapterSlots } from "../placement/adapter_slots.ts";
import type { DisclaimerRequirements } from "../fleet/fleet_view.ts";
import type { FetchShare } from "../placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../structures.ts";
import type { EngineLimits } from "../view/published_view.ts";
import {
  OrderPlanner,
  type OrderPlannerOptions,
  type PlannedOrder,
} from "./order_planner.ts";
import {
  EngineOwnership,
  OrderEvidence,
  REPORT_LAG_MS,
} from "./engine_ownership.ts";
import type { FencingBounds } from "./fencing_number.ts";
import { RunAdoption } from "./run_adoption.ts";
import type {
  ClaimConditions,
  OrderAnswer,
  OrderReport,
} from "./ownership_state.ts";

/**
 * An engine's report with the models and adapters that it has or is loading.
 */
export interface ContentsReport extends OrderReport {
  models: readonly string[];
  adapters: ReadonlyMap<string, { version: number; isLoading: boolean }>;
}

/** State that an owner passes to the next owner when it stops. */
export interface OwnershipHandover {
  /** Time since the engine last accepted an order. */
  acceptedAgeMs: Milliseconds;
  models: string[];
  sequence: number;
  bornAtUnixMs: number;
  /** Unknown to owners of the previous release. */
  fencing?: FencingBounds | undefined;
  adapters: [adapterPath: string, version: number, isLoading: boolean][];
  /**
   * Owners that have ordered the engine within a term, with the time since each
   * last did; unknown to owners of the previous release.
   */
  recentOwners?: [id: string, orderAgeMs: Milliseconds][] | undefined;
}

/** What the decision to send an order rested on, for the log. */
export interface OrderGrounds {
  hasQuorum: boolean;
  isIsolated: boolean;
  /** Number of daemons among which the turns were divided. */
  claimants: number;
  /**
   * Time since the engine's start by this host's wall clock; undefined if it is
   * unknown.
   */
  engineAgeMs: Milliseconds | undefined;
}

export type EngineOwnerEffect =
  | { kind: "readReport"; engineId: string }
  | {
    kind: "giveOrder";
    engineId: string;
    order: EngineOrder;
    fence: number;
    expectedSequence: number;
    /** What the engine's acceptance of the order will prove. */
    evidence: OrderEvidence;
    grounds: OrderGrounds;
  }
  | { kind: "answerPermit"; engineId: string; answer: PermitAnswer }
  /**
   * A change of ownership or of the known state of the engine, for the log;
   * `isTakeover` if this daemon became the owner, which its peers have to
   * learn.
   */
  | {
    kind: "belief";
    engineId: string;
    change: string;
    detail: object;
    isTakeover: boolean;
  };

type OwnershipChangeEffect = Extract<EngineOwnerEffect, { kind: "belief" }>;

export interface EngineOwnerOptions extends OrderPlannerOptions {
  engineId: string;
  limits: EngineLimits;
  termMs: Milliseconds;
}

/** What the decisions about an engine depend on besides the engine itself. */
export interface OwnershipContext extends ClaimConditions {
  /** Whether this daemon should own the engine. */
  isDesiredOwner: boolean;
  /** Whether it should observe the engine, because it may become the owner. */
  isCandidate: boolean;
  /** Whether this daemon knows no other one, although there may be some. */
  isIsolated: boolean;
  /**
   * Daemons that may have runs on the engine, including this one; undefined if
   * not all are known.
   */
  peers: readonly string[] | undefined;
  /**
   * Whether a fetch (a load from the weight store) may start, and beside how
   * many others.
   */
  fetchShare: FetchShare;
}

/** Minimum time between two reads of an engine's report. */
const REPORT_INTERVAL_MS = 300;
/** Age of the last accepted order beyond which it proves nothing. */
const MAX_ACCEPTED_AGE_MS = 3_600_000;
/** Delay before an order that conflicted or failed is retried. */
const ORDER_RETRY_MS = 60;

export class EngineOwner {
  readonly #options: EngineOwnerOptions;
  readonly #ownership: EngineOwnership;
  readonly admission: AdmissionController;
  readonly #planner: OrderPlanner;
  #observedReport: ContentsReport | undefined;
  #isReading = false;
  #lastReadAt = Number.NEGATIVE_INFINITY;
  #pendingOrder:
    | { order: EngineOrder; evidence: OrderEvidence; sentAt: Milliseconds }
    | undefined;
  /** When this process last resumed after a suspension. */
  #pausedAt = Number.NEGATIVE_INFINITY;
  #nextOrderAt = Number.NEGATIVE_INFINITY;
  /** When the planned order may be sent; infinity if none waits for its turn. */
  #turnAt = Number.POSITIVE_INFINITY;
  #lastOrderAt = Number.NEGATIVE_INFINITY;
  #needsReconciliation = false;
  /**
   * Whether the next order waits for a report which shows that the engine has
   * not restarted.
   */
  #isVerificationDue = false;
  #isDesiredOwner = false;
  #claimConditions: ClaimConditions = {
    hasQuorum: false,
    isUnowned: false,
    isDisclaimed: false,
  };
  /**
   * Alive daemons, each of which reports its runs to a new owner; undefined in
   * a large fleet.
   */
  #peers: readonly string[] | undefined;
  readonly #adoption = new RunAdoption();
  /**
   * Whether no more orders are sent because the engine is about to be handed
   * over.
   */
  #hasStoppedOrders = false;
  readonly #models = new Set<string>();
  /** When each owner before this one last ordered the engine, if recently. */
  readonly #lastOrders = new Map<string, Milliseconds>();
  /** Base model that the engine was last ordered to load. */
  #loadingModel: { name: string; until: Milliseconds } | undefined;
  #limits: EngineLimits;

  constructor(options: EngineOwnerOptions) {
    this.#options = options;
    this.#limits = options.limits;
    this.#ownership = new EngineOwnership({ termMs: options.termMs });
    this.admission = new AdmissionController(
      new AdapterSlots(options.limits.adapterSlots),
      new BatchCapacity(options.limits),
    );
    this.#planner = new OrderPlanner(options, this.#ownership, this.admission);
  }

  get engineId(): string {
    return this.#options.engineId;
  }

  isOwner(): boolean {
    return this.#ownership.isOwner();
  }

  /**
   * Returns when the report was read that started the observation; undefined if
   * the engine is not being observed.
   */
  get observedAt(): Milliseconds | undefined {
    return this.#ownership.observedAt;
  }

  /**
   * Returns what the other daemons' word that they do not own the engine has to
   * meet; undefined if it is not needed.
   */
  getDisclaimerRequirements(
    now: Milliseconds,
  ): DisclaimerRequirements | undefined {
    const { slots } = this.admission;
    const mayEvict = this.admission.countWaiting() > 0 && !slots.hasFreeSlot();
    return this.#ownership.getDisclaimerRequirements(now) ??
      (mayEvict
        ? this.#ownership.getEvictionDisclaimerRequirements(now)
        : undefined);
  }

  /**
   * Returns whether this daemon has recently sent the engine an order that
   * another claimant may have sent too.
   */
  hasRecentContestedOrder(now: Milliseconds): boolean {
    return this.#ownership.hasRecentContestedOrder(now);
  }

  /** Returns the time until this daemon may claim the engine. */
  estimateClaimMs(now: Milliseconds): Milliseconds {
    return this.#ownership.estimateClaimMs(this.#claimConditions, now);
  }

  setLimits(limits: EngineLimits): void {
    this.#limits = limits;
    this.admission.slots.setCapacity(limits.adapterSlots);
    this.admission.batch.setLimits(limits);
  }

  /**
   * Counts the adapter loads in progress; 0 if this daemon is not the owner.
   */
  countLoadsInFlight(): number {
    return this.isOwner() ? this.admission.slots.countLoading() : 0;
  }

  /** Requests a permit; only valid while this daemon is the owner. */
  requestPermit(
    request: PermitRequest,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    this.admission.requestPermit(request, now);
    return this.#takeAnswers();
  }

  /**
   * Counts the runs that a daemon reports on this engine. Once all daemons have
   * reported theirs, evictions no longer have to wait.
   */
  adoptRuns(
    from: string,
    reported: { runs: readonly AdoptedRun[]; total: number },
    now: Milliseconds,
  ): void {
    for (const run of reported.runs) this.admission.adoptPermit(run, now);
    this.#adoption.recordReported(from, reported.runs.length, reported.total);
    if (this.#adoption.isComplete()) this.admission.endAdoption(now);
  }

  /** Records that the engine did not run a request that had a permit. */
  recordUnusable(
    unusable: {
      permitId: string;
      isMisdirected: boolean;
      delayMs: Milliseconds;
      /**
       * Daemon that held the permit; the engine wants no other request from it
       * for `backoffMs`.
       */
      holder: string;
      backoffMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    const { permitId, isMisdirected, delayMs, holder, backoffMs } = unusable;
    if (backoffMs > 0) this.admission.recordBackoff(holder, backoffMs, now);
    const isLoadLate = this.admission.recordNotReady(permitId, delayMs, now);
    // The adapter should have been loaded long ago: only the engine's own
    // report can tell what it has.
    if (isMisdirected && !isLoadLate) this.#needsReconciliation = true;
  }

  /**
   * Records that this process was suspended for longer than its monotonic clock
   * shows.
   */
  recordPause(now: Milliseconds): void {
    this.#pausedAt = now;
    this.#ownership.recordPause();
    if (!this.#pendingOrder) return;
    // Its answer does not show how long ago the engine accepted it.
    this.#pendingOrder.sentAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records the registered start time of the engine. If it is not the known
   * one, the engine has restarted and lost its models and adapters.
   */
  recordRegistration(bornAtUnixMs: number): void {
    const { state } = this.#ownership;
    if (state.kind !== "holding" || bornAtUnixMs === 0) return;
    if (bornAtUnixMs !== state.bornAtUnixMs) this.#needsReconciliation = true;
  }

  recordReport(report: ContentsReport, now: Milliseconds): EngineOwnerEffect[] {
    this.#isReading = false;
    // It may be older than it seems by the length of the suspension.
    if (report.readAt < this.#pausedAt) return [];
    const wasOwner = this.isOwner();
    const before = this.#ownership.state;
    const settlement = this.#ownership.recordReport(report, now);
    if (!wasOwner) {
      this.#observedReport = report;
      return [];
    }
    switch (settlement.kind) {
      case "deposed":
        return [
          this.#describeChange("deposed", {
            sequence: report.sequence,
            knownSequence: "sequence" in before ? before.sequence : undefined,
            hasRestarted: "bornAtUnixMs" in before &&
              before.bornAtUnixMs !== report.bornAtUnixMs,
          }),
          ...this.#clearAdmission(now),
        ];
      case "restarted":
        this.admission.clearPermits();
        this.admission.slots.clear();
        this.#loadingModel = undefined;
        this.#planner.recordRestart(now);
        this.#recordContents(report, now);
        return [this.#describeChange("engineRestarted", {
          isSoleOwner: this.#ownership.isSoleOwnerSinceRestart(now),
          engineAgeMs: Math.round(this.#ownership.getEngineAgeMs(now) ?? 0),
        })];
      case "lastOrderAccepted":
      case "lastOrderNotAccepted":
      case "evictionNotCounted":
      case "none":
        this.#reconcile(report, now);
        return [this.#describeChange("reconciled", {
          settlement: settlement.kind,
          sequence: report.sequence,
        })];
    }
  }

  recordReportFailure(): void {
    this.#isReading = false;
  }

  recordOrderAnswer(
    answer: OrderAnswer,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    const pending = this.#pendingOrder;
    if (!pending) return [];
    this.#pendingOrder = undefined;
    const { evidence, sentAt } = pending;
    const wasProven = this.#ownership.isExclusive(now);
    this.#ownership.recordOrderAnswer(answer, evidence, sentAt, now);
    if (!wasProven && this.#ownership.isExclusive(now)) {
      this.#planner.recordProof(now);
    }
    if (answer.kind === "accepted") {
      this.#applyOrder(pending.order, answer.isDraining ?? false, now);
      return [];
    }
    this.#nextOrderAt = now + ORDER_RETRY_MS;
    if (answer.kind === "rejected") this.#needsReconciliation = true;
    return [this.#describeChange("orderNotAccepted", {
      order: pending.order,
      answer,
    })];
  }

  /** Claims or releases ownership where needed, and sends the next order. */
  tick(context: OwnershipContext, now: Milliseconds): EngineOwnerEffect[] {
    const effects: EngineOwnerEffect[] = [];
    this.#isDesiredOwner = context.isDesiredOwner;
    this.#peers = context.peers;
    this.#claimConditions = context;
    if (!context.isDesiredOwner) effects.push(...this.#releaseOwnership(now));
    if (context.isDisclaimed && this.#ownership.endRest(now)) {
      this.#planner.recordOwnership(false, now);
    }
    if (context.isDesiredOwner) effects.push(...this.#claim(context, now));
    if (this.isOwner()) {
      this.admission.tick(now);
      effects.push(...this.#giveNextOrder(context, now));
      effects.push(...this.#takeAnswers());
    }
    if (context.isCandidate) effects.push(...this.#readIfNeeded(now));
    return effects;
  }

  /**
   * Returns when the engine has to be processed again, apart from the regular
   * ticks.
   */
  getNextDueAt(): Milliseconds {
    if (!this.isOwner()) return Number.POSITIVE_INFINITY;
    const hasWork = this.admission.countWaiting() > 0;
    const orderAt = hasWork ? this.#nextOrderAt : Number.POSITIVE_INFINITY;
    return Math.min(this.admission.getNextTickAt(), orderAt, this.#turnAt);
  }

  /**
   * Serves the queue and sends the next order, without waiting for the next
   * tick.
   */
  serveQueue(
    context: OwnershipContext,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    if (!this.isOwner()) return [];
    const effects = this.#giveNextOrder(context, now);
    effects.push(...this.#readIfNeeded(now));
    return [...effects, ...this.#takeAnswers()];
  }

  #readIfNeeded(now: Milliseconds): EngineOwnerEffect[] {
    if (!this.#needsReport(now)) return [];
    this.#isReading = true;
    this.#lastReadAt = now;
    return [{ kind: "readReport", engineId: this.engineId }];
  }

  /** Whether the outcome of an order is unknown. */
  get hasPendingOrder(): boolean {
    return this.#pendingOrder !== undefined;
  }

  /** Stops sending orders; returns whether one is still in progress. */
  stopOrders(): boolean {
    this.#hasStoppedOrders = true;
    return this.isOwner() && this.#pendingOrder !== undefined;
  }

  /**
   * Releases ownership and returns what the next owner needs; the handover is
   * undefined while the outcome of an order is unknown.
   */
  handOver(now: Milliseconds): {
    handover: OwnershipHandover | undefined;
    effects: EngineOwnerEffect[];
  } {
    const { state } = this.#ownership;
    // The next owner would not know of the rest after a contested order.
    const isResting = state.kind === "holding" && now < state.ordersFrom;
    const canHandOver = state.kind === "holding" && !this.#pendingOrder &&
      !isResting;
    const handover = canHandOver
      ? {
        sequence: state.sequence,
        bornAtUnixMs: state.bornAtUnixMs,
        fencing: this.#ownership.fencingBounds,
        // Longer ages prove no more than this one, and infinity cannot be
        // encoded.
        acceptedAgeMs: Math.min(now - state.acceptedAt, MAX_ACCEPTED_AGE_MS),
        models: [...this.#models],
        adapters: this.admission.slots.listSlots().map((
          slot,
        ): OwnershipHandover["adapters"][number] => [
          slot.adapterPath,
          slot.version ?? 0,
          slot.state === "loading",
        ]),
        recentOwners: this.#listRecentOwners(now),
      }
      : undefined;
    return { handover, effects: this.#releaseOwnership(now) };
  }

  /** Lists the owners that have ordered the engine within a term. */
  #listRecentOwners(now: Milliseconds): [string, Milliseconds][] {
    const lastOrders = new Map(this.#lastOrders);
    lastOrders.set(this.#options.selfId, this.#lastOrderAt);
    return [...lastOrders]
      .map(([id, at]): [string, Milliseconds] => [id, now - at])
      .filter(([, ageMs]) => this.#ownership.isWithinTurn(ageMs));
  }

  acceptHandover(
    handover: OwnershipHandover,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    const recentOwners = new Map(handover.recentOwners);
    const ownOrderAgeMs = recentOwners.get(this.#options.selfId);
    if (!this.#ownership.acceptHandover({ ...handover, ownOrderAgeMs }, now)) {
      return [];
    }
    this.#beginOwnership(now);
    recentOwners.delete(this.#options.selfId);
    for (const [id, ageMs] of recentOwners) {
      this.#lastOrders.set(id, now - ageMs);
    }
    // Others may have claimed the engine beside an owner that has not proven its
    // ownership.
    this.#planner.recordOwnership(!this.#ownership.isExclusive(now), now);
    this.#recordContents({
      models: handover.models,
      adapters: new Map(
        handover.adapters.map(([path, version, isLoading]) => [
          path,
          { version, isLoading },
        ]),
      ),
    }, now);
    const { sequence } = handover;
    return [{
      ...this.#describeChange("handedOver", { sequence }),
      isTakeover: true,
    }];
  }

  /**
   * Returns the ownership, the adapter slots and the queue, for operators and
   * the log.
   */
  describe(): object {
    return {
      tenure: this.#ownership.state,
      places: this.admission.slots.listSlots().map((slot) => ({
        adapter: slot.adapterPath,
        version: slot.version,
        state: slot.state,
        permits: slot.permitIds.size,
      })),
      waiting: this.admission.countWaiting(),
      running: this.admission.batch.countRunning(),
    };
  }

  #claim(context: OwnershipContext, now: Milliseconds): EngineOwnerEffect[] {
    const { observedAt } = this.#ownership;
    if (!this.#ownership.claim(context, now)) return [];
    this.#beginOwnership(now);
    this.admission.clearPermits();
    this.#planner.recordOwnership(true, now);
    if (this.#observedReport) this.#recordContents(this.#observedReport, now);
    const sequence = this.#ownership.getExpectedSequence(now);
    return [{
      ...this.#describeChange("claimed", {
        sequence,
        observedMs: Math.round(now - (observedAt ?? now)),
        engineAgeMs: Math.round(this.#ownership.getEngineAgeMs(now) ?? 0),
        hasQuorum: context.hasQuorum,
        isUnowned: context.isUnowned,
      }),
      isTakeover: true,
    }];
  }

  /**
   * Resets the state for a newly owned engine, whose adapters are recorded next
   * and whose runs no daemon has reported yet.
   */
  #beginOwnership(now: Milliseconds): void {
    this.admission.slots.clear();
    this.#loadingModel = undefined;
    this.#lastOrders.clear();
    this.admission.beginAdoption(now);
    this.#adoption.begin(this.#peers);
  }

  #giveNextOrder(
    context: OwnershipContext,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    this.#turnAt = Number.POSITIVE_INFINITY;
    const expectedSequence = this.#ownership.getExpectedSequence(now);
    const isBlocked = expectedSequence === undefined || this.#pendingOrder ||
      this.#hasStoppedOrders ||
      this.#needsReconciliation || now < this.#nextOrderAt;
    if (isBlocked) return [];
    this.admission.slots.setFetchShare(context.fetchShare);
    const missingModel = this.#findMissingModel();
    // The engine's first order was the load of its first base model. While that
    // is in progress it confirms the same order, whatever its fencing number.
    const mayBeLoading = missingModel !== undefined &&
      this.#models.size === 0 && expectedSequence > 0;
    if (mayBeLoading && !context.hasQuorum) {
      this.#needsReconciliation = true;
      return [];
    }
    const wanted = missingModel ??
      this.admission.findNextOrder(context.fetchShare.canFetch, now) ??
      this.#findSpareEviction(context, now);
    const planned = wanted &&
      this.#planner.plan(wanted, context, now);
    this.#isVerificationDue = planned !== undefined &&
      planned.sendAt - now <= REPORT_INTERVAL_MS &&
      !this.#ownership.isVerified(planned.isContested, planned.sendAt);
    if (planned && now < planned.sendAt) this.#turnAt = planned.sendAt;
    if (!planned || this.#isVerificationDue || now < planned.sendAt) return [];
    const { order } = planned;
    const evidence = getEvidence(planned);
    this.#pendingOrder = { order, evidence, sentAt: now };
    if (evidence === OrderEvidence.Inconclusive) {
      this.#ownership.recordContestedOrder(now);
    }
    this.#lastOrderAt = now;
    this.#planner.recordOrder(now);
    return [{
      kind: "giveOrder",
      engineId: this.engineId,
      order,
      fence: this.#ownership.issueFence({
        kind: order.kind,
        contestedSlot: planned.contestedSlot ??
          (order.adapter === "" ? 0 : undefined),
        host: this.#options.selfId,
      }),
      expectedSequence,
      evidence,
      grounds: {
        hasQuorum: context.hasQuorum,
        isIsolated: context.isIsolated,
        claimants: this.#options.listClaimants().length,
        engineAgeMs: this.#ownership.getEngineAgeMs(now),
      },
    }];
  }

  /**
   * Returns an eviction that lets an isolated owner prove its ownership later by
   * a load, for which it need not wait for a turn.
   */
  #findSpareEviction(
    { isIsolated }: OwnershipContext,
    now: Milliseconds,
  ): EngineOrder | undefined {
    return isIsolated && this.#ownership.isExclusive(now)
      ? this.admission.findSpareEviction(now)
      : undefined;
  }

  /**
   * Returns a load order for a base model that the engine lacks and has memory
   * for.
   */
  #findMissingModel(): EngineOrder | undefined {
    const { models, weightsMb } = this.#limits;
    const loadedMb = models.filter((model) => this.#models.has(model.name))
      .reduce((sum, model) => sum + model.weightsMb, 0);
    const missing = models.find((model) =>
      !this.#models.has(model.name) && loadedMb + model.weightsMb <= weightsMb
    );
    return missing && {
      kind: "load",
      model: missing.name,
      adapter: "",
      adapterPath: missing.name,
      version: undefined,
    };
  }

  #applyOrder(
    order: EngineOrder,
    isDraining: boolean,
    now: Milliseconds,
  ): void {
    const { slots } = this.admission;
    if (isDraining) slots.recordDraining(order.adapterPath);
    else if (order.kind === "evict") slots.recordEvicted(order.adapterPath);
    else if (order.adapter !== "") {
      slots.recordLoadOrdered(order.adapterPath, order.version, now);
    } else {
      this.#models.add(order.model);
      const loadMs = this.#limits.models
        .find((model) => model.name === order.model)?.loadMs ?? 0;
      // The engine rejects other orders until the model is loaded.
      this.#nextOrderAt = now + loadMs;
      this.#loadingModel = {
        name: order.model,
        until: now + loadMs + REPORT_LAG_MS,
      };
    }
  }

  #recordContents(
    contents: Pick<ContentsReport, "models" | "adapters">,
    now: Milliseconds,
  ): void {
    this.#models.clear();
    for (const model of contents.models) this.#models.add(model);
    // A report may not show the model yet.
    if (this.#loadingModel && now < this.#loadingModel.until) {
      this.#models.add(this.#loadingModel.name);
    }
    this.admission.slots.reconcile(contents.adapters, now);
  }

  #needsReport(now: Milliseconds): boolean {
    if (this.#isReading || now - this.#lastReadAt < REPORT_INTERVAL_MS) {
      return false;
    }
    if (this.#isVerificationDue) return true;
    if (
      this.#ownership.needsReport(
        this.#isDesiredOwner,
        this.#claimConditions,
        now,
      )
    ) {
      return true;
    }
    if (!this.isOwner() || this.#pendingOrder) return false;
    return this.#needsReconciliation ||
      this.admission.slots.hasOverdueLoad(now) ||
      this.admission.slots.hasDraining();
  }

  /**
   * Replaces the recorded state by the report if that is newer than every
   * order.
   */
  #reconcile(report: ContentsReport, now: Milliseconds): void {
    const isNewer = !this.#pendingOrder && report.readAt >= this.#lastOrderAt;
    const { state } = this.#ownership;
    const isSame = state.kind === "holding" &&
      state.sequence === report.sequence;
    if (!isNewer || !isSame) return;
    this.#needsReconciliation = false;
    this.#recordContents(report, now);
    this.admission.grantWaiting(now);
  }

  #releaseOwnership(now: Milliseconds): EngineOwnerEffect[] {
    if (!this.isOwner()) return [];
    this.#ownership.release();
    return [this.#describeChange("released", {}), ...this.#clearAdmission(now)];
  }

  #clearAdmission(now: Milliseconds): EngineOwnerEffect[] {
    this.admission.refuseAll(DenialReason.NotOwner, now);
    this.admission.clearPermits();
    this.#observedReport = undefined;
    this.#needsReconciliation = false;
    return this.#takeAnswers();
  }

  #takeAnswers(): EngineOwnerEffect[] {
    return this.admission.takeAnswers().map((answer) => ({
      kind: "answerPermit",
      engineId: this.engineId,
      answer,
    }));
  }

  #describeChange(change: string, detail: object): OwnershipChangeEffect {
    return {
      kind: "belief",
      engineId: this.engineId,
      change,
      detail,
      isTakeover: false,
    };
  }
}

/** Returns what the engine's acceptance of the order will prove. */
function getEvidence(
  { order, isInconclusive }: PlannedOrder,
): OrderEvidence {
  if (isInconclusive) return OrderEvidence.Inconclusive;
  return order.kind === "evict" ? OrderEvidence.Eviction : OrderEvidence.Load;
}
