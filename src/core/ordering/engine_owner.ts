/**
 * What one daemon does about one engine: seeks the right to order it where it
 * should hold it, keeps its desk while it does, and gives it up to another.
 * Events go in with the present time, effects come out.
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
import type { FetchShare } from "../placement/fetch_concurrency_limit.ts";
import type { Milliseconds } from "../structures.ts";
import type { EngineLimits } from "../view/published_view.ts";
import {
  OrderPlanner,
  type OrderPlannerOptions,
  type PlannedOrder,
} from "./order_planner.ts";
import { EngineOwnership, OrderEvidence } from "./engine_ownership.ts";
import { RunAdoption } from "./run_adoption.ts";
import type {
  ClaimConditions,
  OrderAnswer,
  OrderReport,
} from "./ownership_state.ts";

/** A report with what the engine holds. */
export interface ContentsReport extends OrderReport {
  models: readonly string[];
  adapters: ReadonlyMap<string, { version: number; isLoading: boolean }>;
}

/** What a holder that stops tells the next one. */
export interface OwnershipHandover {
  /** Time since the engine last accepted an order. */
  acceptedAgeMs: Milliseconds;
  models: string[];
  sequence: number;
  bornAtUnixMs: number;
  adapters: [adapterPath: string, version: number, isLoading: boolean][];
}

export type EngineOwnerEffect =
  | { kind: "readReport"; engineId: string }
  | {
    kind: "giveOrder";
    engineId: string;
    order: EngineOrder;
    fence: number;
    expectedSequence: number;
  }
  | { kind: "answerPermit"; engineId: string; answer: PermitAnswer }
  /** A change of what is believed of the engine, for the log; one that makes this daemon its holder is news for the peers. */
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
  drawFence: () => number;
}

/** What the daemon knows besides. */
export interface OwnershipContext extends ClaimConditions {
  /** Whether this daemon should give the engine's orders. */
  isDesiredOwner: boolean;
  /** Whether it should observe the engine, as it may come to give its orders. */
  isCandidate: boolean;
  /** Daemons that may have runs at the engine, this one included; undefined where not all are known. */
  peers: readonly string[] | undefined;
  /** Whether and beside how many others a load from the weight store may start. */
  fetchShare: FetchShare;
}

/** Shortest time between two readings of one engine. */
const REPORT_INTERVAL_MS = 300;
/** Age of the last accepted order beyond which it tells nothing. */
const MAX_ACCEPTED_AGE_MS = 3_600_000;
/** Time after which a conflicting or failed order is tried again. */
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
  #nextOrderAt = Number.NEGATIVE_INFINITY;
  #lastOrderAt = Number.NEGATIVE_INFINITY;
  #needsReconciliation = false;
  /** Whether an order waits for a report that shows no restart. */
  #isVerificationDue = false;
  #isDesiredOwner = false;
  #claimConditions: ClaimConditions = { hasQuorum: false, isUnowned: false };
  /** Living peers, of which each tells a new holder of its runs; undefined in a large fleet. */
  #peers: readonly string[] | undefined;
  readonly #adoption = new RunAdoption();
  /** Whether no more orders are given, before the engine is handed over. */
  #hasStoppedOrders = false;
  readonly #models = new Set<string>();
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

  /** Returns when the report was read from which the engine is observed here. */
  get observedAt(): Milliseconds | undefined {
    return this.#ownership.observedAt;
  }

  /** Returns the time until the engine may be claimed here. */
  estimateClaimMs(now: Milliseconds): Milliseconds {
    return this.#ownership.estimateClaimMs(this.#claimConditions, now);
  }

  setLimits(limits: EngineLimits): void {
    this.#limits = limits;
    this.admission.slots.setCapacity(limits.adapterSlots);
    this.admission.batch.setLimits(limits);
  }

  /** Counts loads from the weight store that are on their way. */
  countLoadsInFlight(): number {
    return this.isOwner() ? this.admission.slots.countLoading() : 0;
  }

  /** Takes a request for a place in; only a daemon that holds the engine may. */
  requestPermit(
    request: PermitRequest,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    this.admission.requestPermit(request, now);
    return this.#takeAnswers();
  }

  /** Counts runs that a daemon has here; nothing needs to be waited for once all have told of theirs. */
  adoptRuns(
    from: string,
    told: { runs: readonly AdoptedRun[]; total: number },
    now: Milliseconds,
  ): void {
    for (const run of told.runs) this.admission.adoptPermit(run, now);
    this.#adoption.recordReported(from, told.runs.length, told.total);
    if (this.#adoption.isComplete()) this.admission.endAdoption(now);
  }

  /** Notes that the engine did not run a permitted request. */
  recordUnusable(
    unusable: {
      permitId: string;
      isMisdirected: boolean;
      delayMs: Milliseconds;
      /** Daemon whose request it was, and the time for which the engine wants no other of it. */
      holder: string;
      backoffMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    const { permitId, isMisdirected, delayMs, holder, backoffMs } = unusable;
    if (backoffMs > 0) this.admission.recordBackoff(holder, backoffMs, now);
    const isLoadLate = this.admission.recordNotReady(permitId, delayMs, now);
    // What should long be there is not: only the engine itself can tell.
    if (isMisdirected && !isLoadLate) this.#needsReconciliation = true;
  }

  /** Notes that this process stood still for longer than its clock says. */
  recordPause(): void {
    this.#ownership.recordPause();
  }

  /** Notes which start of the engine is registered: another one than is held holds nothing of before. */
  recordRegistration(bornAtUnixMs: number): void {
    const { state } = this.#ownership;
    if (state.kind !== "holding" || bornAtUnixMs === 0) return;
    if (bornAtUnixMs !== state.bornAtUnixMs) this.#needsReconciliation = true;
  }

  recordReport(report: ContentsReport, now: Milliseconds): EngineOwnerEffect[] {
    this.#isReading = false;
    const wasHolding = this.isOwner();
    const settlement = this.#ownership.recordReport(report, now);
    if (!wasHolding) {
      this.#observedReport = report;
      return [];
    }
    switch (settlement.kind) {
      case "deposed":
        return [
          this.#describeChange("deposed", { sequence: report.sequence }),
          ...this.#clearAdmission(now),
        ];
      case "restarted":
        this.admission.clearPermits();
        this.admission.slots.clear();
        this.#planner.recordOwnership(
          !this.#ownership.isSoleOwnerSinceRestart(now),
          now,
        );
        this.#recordContents(report, now);
        return [this.#describeChange("engineRestarted", {})];
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
    const ordered = this.#pendingOrder;
    if (!ordered) return [];
    this.#pendingOrder = undefined;
    const { evidence, sentAt } = ordered;
    const wasProven = this.#ownership.isExclusive(now);
    this.#ownership.recordOrderAnswer(answer, evidence, sentAt, now);
    if (!wasProven && this.#ownership.isExclusive(now)) {
      this.#planner.recordProof(now);
    }
    if (answer.kind === "accepted") {
      this.#applyOrder(ordered.order, answer.isDraining ?? false, now);
      return [];
    }
    this.#nextOrderAt = now + ORDER_RETRY_MS;
    if (answer.kind === "rejected") this.#needsReconciliation = true;
    return [this.#describeChange("orderNotAccepted", {
      order: ordered.order,
      answer,
    })];
  }

  /** Seeks or keeps the right to order, and gives the next order. */
  tick(situation: OwnershipContext, now: Milliseconds): EngineOwnerEffect[] {
    const effects: EngineOwnerEffect[] = [];
    this.#isDesiredOwner = situation.isDesiredOwner;
    this.#peers = situation.peers;
    this.#claimConditions = situation;
    if (!situation.isDesiredOwner) effects.push(...this.#releaseOwnership(now));
    if (situation.isDesiredOwner) effects.push(...this.#claim(situation, now));
    if (this.isOwner()) {
      this.admission.tick(now);
      effects.push(...this.#giveNextOrder(situation, now));
      effects.push(...this.#takeAnswers());
    }
    if (situation.isCandidate) effects.push(...this.#readIfNeeded(now));
    return effects;
  }

  /** Returns when the holder has to look again, beside the regular ticks. */
  getNextDueAt(): Milliseconds {
    if (!this.isOwner()) return Number.POSITIVE_INFINITY;
    const hasWork = this.admission.countWaiting() > 0;
    const orderAt = hasWork ? this.#nextOrderAt : Number.POSITIVE_INFINITY;
    return Math.min(this.admission.getNextTickAt(), orderAt);
  }

  /** Serves the queue and gives the next order, without waiting for the tick. */
  serveQueue(
    situation: OwnershipContext,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    if (!this.isOwner()) return [];
    const effects = this.#giveNextOrder(situation, now);
    effects.push(...this.#readIfNeeded(now));
    return [...effects, ...this.#takeAnswers()];
  }

  #readIfNeeded(now: Milliseconds): EngineOwnerEffect[] {
    if (!this.#needsReport(now)) return [];
    this.#isReading = true;
    this.#lastReadAt = now;
    return [{ kind: "readReport", engineId: this.engineId }];
  }

  /** Gives no more orders; returns whether one is still under way. */
  stopOrders(): boolean {
    this.#hasStoppedOrders = true;
    return this.isOwner() && this.#pendingOrder !== undefined;
  }

  /** Returns what the next holder needs, and gives the engine up; undefined while an order is in doubt. */
  handOver(now: Milliseconds): {
    handover: OwnershipHandover | undefined;
    effects: EngineOwnerEffect[];
  } {
    const { state } = this.#ownership;
    const canHandOver = state.kind === "holding" && !this.#pendingOrder;
    const handover = canHandOver
      ? {
        sequence: state.sequence,
        bornAtUnixMs: state.bornAtUnixMs,
        // Longer ages say no more than this one, and infinity can't be sent.
        acceptedAgeMs: Math.min(now - state.acceptedAt, MAX_ACCEPTED_AGE_MS),
        models: [...this.#models],
        adapters: this.admission.slots.listSlots().map((
          place,
        ): OwnershipHandover["adapters"][number] => [
          place.adapterPath,
          place.version ?? 0,
          place.state === "loading",
        ]),
      }
      : undefined;
    return { handover, effects: this.#releaseOwnership(now) };
  }

  acceptHandover(
    handover: OwnershipHandover,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    if (!this.#ownership.acceptHandover(handover, now)) return [];
    this.#beginOwnership(now);
    this.#planner.recordOwnership(false, now);
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

  /** Returns places and queue, for the operators and the log. */
  describe(): object {
    return {
      tenure: this.#ownership.state,
      places: this.admission.slots.listSlots().map((place) => ({
        adapter: place.adapterPath,
        version: place.version,
        state: place.state,
        permits: place.permitIds.size,
      })),
      waiting: this.admission.countWaiting(),
      running: this.admission.batch.countRunning(),
    };
  }

  #claim(situation: OwnershipContext, now: Milliseconds): EngineOwnerEffect[] {
    if (!this.#ownership.claim(situation, now)) return [];
    this.#beginOwnership(now);
    this.admission.clearPermits();
    const isUntouched = this.#ownership.getExpectedSequence(now) === 0;
    const mayHaveRivals = !(isUntouched && situation.hasQuorum);
    this.#planner.recordOwnership(mayHaveRivals, now);
    if (this.#observedReport) this.#recordContents(this.#observedReport, now);
    const sequence = this.#ownership.getExpectedSequence(now);
    return [{
      ...this.#describeChange("claimed", { sequence }),
      isTakeover: true,
    }];
  }

  /** Starts with an engine whose adapters are to be noted, and whose runs nobody has told yet. */
  #beginOwnership(now: Milliseconds): void {
    this.admission.slots.clear();
    this.admission.beginAdoption(now);
    this.#adoption.begin(this.#peers);
  }

  #giveNextOrder(
    situation: OwnershipContext,
    now: Milliseconds,
  ): EngineOwnerEffect[] {
    const expectedSequence = this.#ownership.getExpectedSequence(now);
    const isBlocked = expectedSequence === undefined || this.#pendingOrder ||
      this.#hasStoppedOrders ||
      this.#needsReconciliation || now < this.#nextOrderAt;
    if (isBlocked) return [];
    this.admission.slots.setFetchShare(situation.fetchShare);
    const wanted = this.#findMissingModel() ??
      this.admission.findNextOrder(situation.fetchShare.canFetch, now);
    const planned = wanted &&
      this.#planner.plan(wanted, situation.hasQuorum, now);
    this.#isVerificationDue = planned !== undefined &&
      !this.#ownership.isVerified(planned.isContested, now);
    if (!planned || this.#isVerificationDue) return [];
    const { order } = planned;
    const evidence = getEvidence(planned);
    this.#pendingOrder = { order, evidence, sentAt: now };
    this.#lastOrderAt = now;
    return [{
      kind: "giveOrder",
      engineId: this.engineId,
      order,
      // Drawn anew for each order, so that a later order has a higher number.
      fence: this.#options.drawFence(),
      expectedSequence,
    }];
  }

  /** Returns the load of a base model that the engine lacks and has room for. */
  #findMissingModel(): EngineOrder | undefined {
    const { models, weightsMb } = this.#limits;
    const heldMb = models.filter((model) => this.#models.has(model.name))
      .reduce((sum, model) => sum + model.weightsMb, 0);
    const missing = models.find((model) =>
      !this.#models.has(model.name) && heldMb + model.weightsMb <= weightsMb
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
    const { slots: places } = this.admission;
    if (isDraining) places.recordDraining(order.adapterPath);
    else if (order.kind === "evict") places.recordEvicted(order.adapterPath);
    else if (order.adapter !== "") {
      places.recordLoadOrdered(order.adapterPath, order.version, now);
    } else {
      this.#models.add(order.model);
      const loadMs = this.#limits.models
        .find((model) => model.name === order.model)?.loadMs ?? 0;
      // The engine refuses other orders until the model is there.
      this.#nextOrderAt = now + loadMs;
    }
  }

  #recordContents(
    held: Pick<ContentsReport, "models" | "adapters">,
    now: Milliseconds,
  ): void {
    this.#models.clear();
    for (const model of held.models) this.#models.add(model);
    this.admission.slots.reconcile(held.adapters, now);
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

  /** Believes the report where it is newer than every order. */
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

/** Returns what it will show that the engine accepts the order. */
function getEvidence(
  { order, isInconclusive: isBlind }: PlannedOrder,
): OrderEvidence {
  if (isBlind) return OrderEvidence.Inconclusive;
  return order.kind === "evict" ? OrderEvidence.Eviction : OrderEvidence.Load;
}
