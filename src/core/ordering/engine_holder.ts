/**
 * What one daemon does about one engine: seeks the right to order it where it
 * should hold it, keeps its desk while it does, and gives it up to another.
 * Events go in with the present time, effects come out.
 */
import { BatchCapacity } from "../admission/batch_room.ts";
import {
  AdmissionController,
  type AdoptedRun,
  DenialReason,
  type EngineOrder,
  type PermitAnswer,
  type PermitRequest,
} from "../admission/engine_desk.ts";
import { AdapterSlots } from "../placement/adapter_places.ts";
import type { FetchShare } from "../placement/fetch_window.ts";
import type { Milliseconds } from "../structures.ts";
import type { EngineLimits } from "../view/published_view.ts";
import {
  OrderPlanner,
  type OrderPlannerOptions,
  type PlannedOrder,
} from "./order_planner.ts";
import { OrderEvidence, OrderTenure } from "./order_tenure.ts";
import { RunAdoption } from "./run_adoption.ts";
import type {
  OrderAnswer,
  OrderReport,
  RivalKnowledge,
} from "./tenure_state.ts";

/** A report with what the engine holds. */
export interface HeldReport extends OrderReport {
  models: readonly string[];
  adapters: ReadonlyMap<string, { version: number; isComing: boolean }>;
}

/** What a holder that stops tells the next one. */
export interface TenureHandover {
  /** Time since the engine last accepted an order. */
  acceptedAgeMs: Milliseconds;
  models: string[];
  sequence: number;
  bornAtUnixMs: number;
  adapters: [adapterPath: string, version: number, isComing: boolean][];
}

export type HolderEffect =
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

type BeliefEffect = Extract<HolderEffect, { kind: "belief" }>;

export interface EngineHolderOptions extends OrderPlannerOptions {
  engineId: string;
  limits: EngineLimits;
  termMs: Milliseconds;
  drawFence: () => number;
}

/** What the daemon knows besides. */
export interface HolderSituation extends RivalKnowledge {
  /** Whether this daemon should give the engine's orders. */
  isWanted: boolean;
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

export class EngineHolder {
  readonly #options: EngineHolderOptions;
  readonly #tenure: OrderTenure;
  readonly desk: AdmissionController;
  readonly #planner: OrderPlanner;
  #observed: HeldReport | undefined;
  #isReading = false;
  #lastReadAt = Number.NEGATIVE_INFINITY;
  #ordered:
    | { order: EngineOrder; evidence: OrderEvidence; sentAt: Milliseconds }
    | undefined;
  #nextOrderAt = Number.NEGATIVE_INFINITY;
  #lastOrderAt = Number.NEGATIVE_INFINITY;
  #isInDoubt = false;
  /** Whether an order waits for a report that shows no restart. */
  #isVerificationDue = false;
  #isWanted = false;
  #rivals: RivalKnowledge = { hearsMajority: false, isUnheld: false };
  /** Living peers, of which each tells a new holder of its runs; undefined in a large fleet. */
  #peers: readonly string[] | undefined;
  readonly #adoption = new RunAdoption();
  /** Whether no more orders are given, before the engine is handed over. */
  #isEnding = false;
  readonly #models = new Set<string>();
  #limits: EngineLimits;

  constructor(options: EngineHolderOptions) {
    this.#options = options;
    this.#limits = options.limits;
    this.#tenure = new OrderTenure({ termMs: options.termMs });
    this.desk = new AdmissionController(
      new AdapterSlots(options.limits.adapterSlots),
      new BatchCapacity(options.limits),
    );
    this.#planner = new OrderPlanner(options, this.#tenure, this.desk);
  }

  get engineId(): string {
    return this.#options.engineId;
  }

  isHolding(): boolean {
    return this.#tenure.isHolding();
  }

  /** Returns when the report was read from which the engine is observed here. */
  get observedAt(): Milliseconds | undefined {
    return this.#tenure.observedAt;
  }

  /** Returns the time until the engine may be claimed here. */
  estimateClaimMs(now: Milliseconds): Milliseconds {
    return this.#tenure.estimateClaimMs(this.#rivals, now);
  }

  setLimits(limits: EngineLimits): void {
    this.#limits = limits;
    this.desk.slots.setCapacity(limits.adapterSlots);
    this.desk.batch.setLimits(limits);
  }

  /** Counts loads from the weight store that are on their way. */
  countComing(): number {
    return this.isHolding() ? this.desk.slots.countLoading() : 0;
  }

  /** Takes a request for a place in; only a daemon that holds the engine may. */
  requestPermit(request: PermitRequest, now: Milliseconds): HolderEffect[] {
    this.desk.requestPermit(request, now);
    return this.#takeAnswers();
  }

  /** Counts runs that a daemon has here; nothing needs to be waited for once all have told of theirs. */
  adoptRuns(
    from: string,
    told: { runs: readonly AdoptedRun[]; total: number },
    now: Milliseconds,
  ): void {
    for (const run of told.runs) this.desk.adoptPermit(run, now);
    this.#adoption.recordTold(from, told.runs.length, told.total);
    if (this.#adoption.isComplete()) this.desk.endAdoption(now);
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
    if (backoffMs > 0) this.desk.recordBackoff(holder, backoffMs, now);
    const isLoadLate = this.desk.recordNotReady(permitId, delayMs, now);
    // What should long be there is not: only the engine itself can tell.
    if (isMisdirected && !isLoadLate) this.#isInDoubt = true;
  }

  /** Notes that this process stood still for longer than its clock says. */
  recordPause(): void {
    this.#tenure.recordPause();
  }

  /** Notes which start of the engine is registered: another one than is held holds nothing of before. */
  recordRegistration(bornAtUnixMs: number): void {
    const { state } = this.#tenure;
    if (state.kind !== "holding" || bornAtUnixMs === 0) return;
    if (bornAtUnixMs !== state.bornAtUnixMs) this.#isInDoubt = true;
  }

  recordReport(report: HeldReport, now: Milliseconds): HolderEffect[] {
    this.#isReading = false;
    const wasHolding = this.isHolding();
    const settlement = this.#tenure.recordReport(report, now);
    if (!wasHolding) {
      this.#observed = report;
      return [];
    }
    switch (settlement.kind) {
      case "deposed":
        return [
          this.#describeBelief("deposed", { sequence: report.sequence }),
          ...this.#dropDesk(now),
        ];
      case "restarted":
        this.desk.clearPermits();
        this.desk.slots.clear();
        this.#planner.recordRight(!this.#tenure.isYoung(now), now);
        this.#recordHeld(report, now);
        return [this.#describeBelief("engineRestarted", {})];
      case "lastOrderAccepted":
      case "lastOrderNotAccepted":
      case "evictionNotCounted":
      case "none":
        this.#reconcile(report, now);
        return [this.#describeBelief("reconciled", {
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
  ): HolderEffect[] {
    const ordered = this.#ordered;
    if (!ordered) return [];
    this.#ordered = undefined;
    const { evidence, sentAt } = ordered;
    const wasProven = this.#tenure.isExclusive(now);
    this.#tenure.recordOrderAnswer(answer, evidence, sentAt, now);
    if (!wasProven && this.#tenure.isExclusive(now)) {
      this.#planner.recordProof(now);
    }
    if (answer.kind === "accepted") {
      this.#applyOrder(ordered.order, answer.isDraining ?? false, now);
      return [];
    }
    this.#nextOrderAt = now + ORDER_RETRY_MS;
    if (answer.kind === "rejected") this.#isInDoubt = true;
    return [this.#describeBelief("orderNotAccepted", {
      order: ordered.order,
      answer,
    })];
  }

  /** Seeks or keeps the right to order, and gives the next order. */
  tick(situation: HolderSituation, now: Milliseconds): HolderEffect[] {
    const effects: HolderEffect[] = [];
    this.#isWanted = situation.isWanted;
    this.#peers = situation.peers;
    this.#rivals = situation;
    if (!situation.isWanted) effects.push(...this.#giveUp(now));
    if (situation.isWanted) effects.push(...this.#claim(situation, now));
    if (this.isHolding()) {
      this.desk.tick(now);
      effects.push(...this.#giveNextOrder(situation, now));
      effects.push(...this.#takeAnswers());
    }
    if (situation.isCandidate) effects.push(...this.#readIfNeeded(now));
    return effects;
  }

  /** Returns when the holder has to look again, beside the regular ticks. */
  getNextDueAt(): Milliseconds {
    if (!this.isHolding()) return Number.POSITIVE_INFINITY;
    const hasWork = this.desk.countWaiting() > 0;
    const orderAt = hasWork ? this.#nextOrderAt : Number.POSITIVE_INFINITY;
    return Math.min(this.desk.getNextTickAt(), orderAt);
  }

  /** Serves the queue and gives the next order, without waiting for the tick. */
  pump(situation: HolderSituation, now: Milliseconds): HolderEffect[] {
    if (!this.isHolding()) return [];
    const effects = this.#giveNextOrder(situation, now);
    effects.push(...this.#readIfNeeded(now));
    return [...effects, ...this.#takeAnswers()];
  }

  #readIfNeeded(now: Milliseconds): HolderEffect[] {
    if (!this.#needsReport(now)) return [];
    this.#isReading = true;
    this.#lastReadAt = now;
    return [{ kind: "readReport", engineId: this.engineId }];
  }

  /** Gives no more orders; returns whether one is still under way. */
  endOrders(): boolean {
    this.#isEnding = true;
    return this.isHolding() && this.#ordered !== undefined;
  }

  /** Returns what the next holder needs, and gives the engine up; undefined while an order is in doubt. */
  handOver(now: Milliseconds): {
    handover: TenureHandover | undefined;
    effects: HolderEffect[];
  } {
    const { state } = this.#tenure;
    const canHandOver = state.kind === "holding" && !this.#ordered;
    const handover = canHandOver
      ? {
        sequence: state.sequence,
        bornAtUnixMs: state.bornAtUnixMs,
        // Longer ages say no more than this one, and infinity can't be sent.
        acceptedAgeMs: Math.min(now - state.acceptedAt, MAX_ACCEPTED_AGE_MS),
        models: [...this.#models],
        adapters: this.desk.slots.listSlots().map((
          place,
        ): TenureHandover["adapters"][number] => [
          place.adapterPath,
          place.version ?? 0,
          place.state === "loading",
        ]),
      }
      : undefined;
    return { handover, effects: this.#giveUp(now) };
  }

  acceptHandover(handover: TenureHandover, now: Milliseconds): HolderEffect[] {
    if (!this.#tenure.acceptHandover(handover, now)) return [];
    this.#takeOver(now);
    this.#planner.recordRight(false, now);
    this.#recordHeld({
      models: handover.models,
      adapters: new Map(
        handover.adapters.map(([path, version, isComing]) => [
          path,
          { version, isComing },
        ]),
      ),
    }, now);
    const { sequence } = handover;
    return [{
      ...this.#describeBelief("handedOver", { sequence }),
      isTakeover: true,
    }];
  }

  /** Returns places and queue, for the operators and the log. */
  describe(): object {
    return {
      tenure: this.#tenure.state,
      places: this.desk.slots.listSlots().map((place) => ({
        adapter: place.adapterPath,
        version: place.version,
        state: place.state,
        permits: place.permitIds.size,
      })),
      waiting: this.desk.countWaiting(),
      running: this.desk.batch.countRunning(),
    };
  }

  #claim(situation: HolderSituation, now: Milliseconds): HolderEffect[] {
    if (!this.#tenure.claim(situation, now)) return [];
    this.#takeOver(now);
    this.desk.clearPermits();
    const isUntouched = this.#tenure.getExpectedSequence(now) === 0;
    const mayHaveRivals = !(isUntouched && situation.hearsMajority);
    this.#planner.recordRight(mayHaveRivals, now);
    if (this.#observed) this.#recordHeld(this.#observed, now);
    const sequence = this.#tenure.getExpectedSequence(now);
    return [{
      ...this.#describeBelief("claimed", { sequence }),
      isTakeover: true,
    }];
  }

  /** Starts with an engine whose adapters are to be noted, and whose runs nobody has told yet. */
  #takeOver(now: Milliseconds): void {
    this.desk.slots.clear();
    this.desk.beginAdoption(now);
    this.#adoption.begin(this.#peers);
  }

  #giveNextOrder(
    situation: HolderSituation,
    now: Milliseconds,
  ): HolderEffect[] {
    const expectedSequence = this.#tenure.getExpectedSequence(now);
    const isBlocked = expectedSequence === undefined || this.#ordered ||
      this.#isEnding ||
      this.#isInDoubt || now < this.#nextOrderAt;
    if (isBlocked) return [];
    this.desk.slots.setFetchShare(situation.fetchShare);
    const wanted = this.#findMissingModel() ??
      this.desk.findNextOrder(situation.fetchShare.canFetch, now);
    const planned = wanted &&
      this.#planner.plan(wanted, situation.hearsMajority, now);
    this.#isVerificationDue = planned !== undefined &&
      !this.#tenure.isVerified(planned.isContested, now);
    if (!planned || this.#isVerificationDue) return [];
    const { order } = planned;
    const evidence = getEvidence(planned);
    this.#ordered = { order, evidence, sentAt: now };
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
    const { slots: places } = this.desk;
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

  #recordHeld(
    held: Pick<HeldReport, "models" | "adapters">,
    now: Milliseconds,
  ): void {
    this.#models.clear();
    for (const model of held.models) this.#models.add(model);
    this.desk.slots.reconcile(held.adapters, now);
  }

  #needsReport(now: Milliseconds): boolean {
    if (this.#isReading || now - this.#lastReadAt < REPORT_INTERVAL_MS) {
      return false;
    }
    if (this.#isVerificationDue) return true;
    if (this.#tenure.needsReport(this.#isWanted, this.#rivals, now)) {
      return true;
    }
    if (!this.isHolding() || this.#ordered) return false;
    return this.#isInDoubt || this.desk.slots.hasOverdueLoad(now) ||
      this.desk.slots.hasDraining();
  }

  /** Believes the report where it is newer than every order. */
  #reconcile(report: HeldReport, now: Milliseconds): void {
    const isNewer = !this.#ordered && report.readAt >= this.#lastOrderAt;
    const { state } = this.#tenure;
    const isSame = state.kind === "holding" &&
      state.sequence === report.sequence;
    if (!isNewer || !isSame) return;
    this.#isInDoubt = false;
    this.#recordHeld(report, now);
    this.desk.grantWaiting(now);
  }

  #giveUp(now: Milliseconds): HolderEffect[] {
    if (!this.isHolding()) return [];
    this.#tenure.release();
    return [this.#describeBelief("released", {}), ...this.#dropDesk(now)];
  }

  #dropDesk(now: Milliseconds): HolderEffect[] {
    this.desk.refuseAll(DenialReason.NotOwner, now);
    this.desk.clearPermits();
    this.#observed = undefined;
    this.#isInDoubt = false;
    return this.#takeAnswers();
  }

  #takeAnswers(): HolderEffect[] {
    return this.desk.takeAnswers().map((answer) => ({
      kind: "answerPermit",
      engineId: this.engineId,
      answer,
    }));
  }

  #describeBelief(change: string, detail: object): BeliefEffect {
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
function getEvidence({ order, isBlind }: PlannedOrder): OrderEvidence {
  if (isBlind) return OrderEvidence.Blind;
  return order.kind === "evict" ? OrderEvidence.Eviction : OrderEvidence.Load;
}
