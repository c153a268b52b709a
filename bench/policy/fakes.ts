/**
 * Models of the weight store and of engines in virtual time, for benchmarks of
 * scheduling decisions.
 */
import type { OrderResult } from "../../src/core/events.ts";
import type { AttemptResult } from "../../src/core/outcomes.ts";
import type {
  HostStructure,
  UpstreamStateStructure,
} from "../../src/core/structures.ts";
import type { EventHeap } from "./event_heap.ts";

/**
 * The two interpretations of the specified limit of the weight store: `Rate`
 * limits load starts of all engines together, `InFlight` those of each engine.
 */
export const StoreLimitMode = { Rate: "rate", InFlight: "inflight" } as const;
export type StoreLimitMode =
  (typeof StoreLimitMode)[keyof typeof StoreLimitMode];

const LOAD_TIME_MS = 250;
const FULL_SPEED_CONCURRENT_LOADS = 8;

export class FakeStore {
  readonly #heap: EventHeap;
  readonly #loadsPerSecond: number;
  readonly #limitMode: StoreLimitMode;
  readonly #nextStartAt = new Map<string, number>();
  #inFlight = 0;
  loads = 0;
  /** Maximum number of concurrent loads. */
  maxInFlight = 0;

  constructor(heap: EventHeap, options: {
    loadsPerSecond: number;
    limitMode: StoreLimitMode;
  }) {
    this.#heap = heap;
    this.#loadsPerSecond = options.loadsPerSecond;
    this.#limitMode = options.limitMode;
  }

  /**
   * Loads one adapter. Starts are spaced by the specified rate, over all
   * engines or for each engine alone. Beyond 8 concurrent loads each of them
   * slows down.
   */
  load(
    engineId: string,
    now: number,
    reportLoaded: (now: number) => void,
  ): void {
    const queueKey = this.#limitMode === StoreLimitMode.Rate ? "" : engineId;
    const startAt = Math.max(now, this.#nextStartAt.get(queueKey) ?? 0);
    this.#nextStartAt.set(queueKey, startAt + 1_000 / this.#loadsPerSecond);
    this.#heap.schedule(startAt, (start) => {
      this.loads += 1;
      this.#inFlight += 1;
      this.maxInFlight = Math.max(this.maxInFlight, this.#inFlight);
      const slowdown = Math.max(
        1,
        this.#inFlight / FULL_SPEED_CONCURRENT_LOADS,
      );
      this.#heap.schedule(start + LOAD_TIME_MS * slowdown, (end) => {
        this.#inFlight -= 1;
        reportLoaded(end);
      });
    });
  }
}

export interface EngineRun {
  attemptId: string;
  /** Empty for a plain service. */
  adapterKey: string;
  tokensLeft: number;
  hasStarted: boolean;
  reportFirstToken(now: number): void;
  reportEnd(result: AttemptResult, now: number): void;
}

export interface FakeEngineOptions {
  host: HostStructure;
  /** 0 for a plain service. */
  slots: number;
  batchSize: number;
  heap: EventHeap;
  store: FakeStore;
  /** Returns whether the next load fails. */
  isLoadFailing: () => boolean;
  /** Time from which decoding steps are counted. */
  measureFrom: number;
}

const STEP_MS = 24;
const STEP_PER_RUN_MS = 0.5;
const PREFILL_MS = 15;
/** Age of the counts of running requests in the reported state. */
const STATE_DELAY_MS = 300;
const SNAPSHOT_INTERVAL_MS = 100;

/**
 * An engine with continuous batching; a plain service is an engine without
 * adapter slots.
 */
export class FakeEngine {
  readonly #options: FakeEngineOptions;
  readonly #residents = new Set<string>();
  readonly #runs: EngineRun[] = [];
  readonly #snapshots: { at: number; inFlight: Map<string, number> }[] = [];
  #incarnation = 1;
  #fencing = 0;
  #isStepping = false;
  isUp = true;
  steps = 0;
  /** Sum over the steps of the fraction of the batch in use. */
  batchFillSum = 0;
  /** Number of adapters evicted while a run was using them; must stay 0. */
  unsafeEvictions = 0;

  constructor(options: FakeEngineOptions) {
    this.#options = options;
    options.heap.schedule(0, this.#takeSnapshot);
  }

  get host(): HostStructure {
    return this.#options.host;
  }

  start(run: EngineRun, now: number): void {
    if (!this.isUp) {
      run.reportEnd({ kind: "notSent", detail: "connection refused" }, now);
      return;
    }
    if (this.#options.slots > 0 && !this.#residents.has(run.adapterKey)) {
      run.reportEnd(
        { kind: "refused", status: 404, detail: "not loaded" },
        now,
      );
      return;
    }
    this.#runs.push(run);
    this.#stepIfIdle(now);
  }

  cancel(attemptId: string, now: number): void {
    const index = this.#runs.findIndex((run) => run.attemptId === attemptId);
    const [run] = index < 0 ? [] : this.#runs.splice(index, 1);
    run?.reportEnd({ kind: "cancelled" }, now);
  }

  /** Ends the runs of callers that a partition separates from the engine. */
  abortRuns(
    isAffected: (attemptId: string) => boolean,
    now: number,
  ): void {
    for (const run of [...this.#runs]) {
      if (!isAffected(run.attemptId)) continue;
      this.#runs.splice(this.#runs.indexOf(run), 1);
      this.#endLost(run, now);
    }
  }

  giveOrder(
    order: { kind: string; adapterKey?: string },
    fencing: number,
    now: number,
    report: (result: OrderResult, now: number) => void,
  ): void {
    if (!this.isUp) return report({ kind: "unknown", detail: "down" }, now);
    if (fencing < this.#fencing) {
      return report(
        { kind: "refusedByFencing", fencing: this.#fencing },
        now,
      );
    }
    this.#fencing = fencing;
    const adapterKey = order.adapterKey ?? "";
    if (order.kind === "load") return this.#load(adapterKey, now, report);
    if (order.kind === "evict") this.#evict(adapterKey);
    report({ kind: "done" }, now);
  }

  readState(now: number): UpstreamStateStructure | undefined {
    if (!this.isUp) return undefined;
    const delayedCounts = this.#snapshots.findLast((entry) =>
      entry.at <= now - STATE_DELAY_MS
    )?.inFlight;
    return {
      incarnation: String(this.#incarnation),
      fencing: this.#fencing,
      leaving: false,
      residents: [...this.#residents].map((adapterKey) => ({
        adapterKey,
        inFlight: delayedCounts?.get(adapterKey) ?? 0,
      })),
      running: this.#runs.length,
    };
  }

  /** Restarts the engine; all runs and loaded adapters are lost. */
  restart(now: number, downMs: number): void {
    this.isUp = false;
    this.#incarnation += 1;
    this.#residents.clear();
    this.#snapshots.length = 0;
    for (const run of this.#runs.splice(0)) this.#endLost(run, now);
    this.#options.heap.schedule(now + downMs, () => {
      this.isUp = true;
    });
  }

  #load(
    adapterKey: string,
    now: number,
    report: (result: OrderResult, now: number) => void,
  ): void {
    const incarnation = this.#incarnation;
    const isFailing = this.#options.isLoadFailing();
    this.#options.store.load(this.host.id, now, (end) => {
      const hasFailed = isFailing || incarnation !== this.#incarnation ||
        this.#residents.size >= this.#options.slots;
      if (hasFailed) return report({ kind: "failed", detail: "load" }, end);
      this.#residents.add(adapterKey);
      report({ kind: "done" }, end);
    });
  }

  #evict(adapterKey: string): void {
    if (this.#runs.some((run) => run.adapterKey === adapterKey)) {
      this.unsafeEvictions += 1;
    }
    this.#residents.delete(adapterKey);
  }

  #endLost(run: EngineRun, now: number): void {
    const bytesForwarded = run.hasStarted ? 1 : 0;
    run.reportEnd({ kind: "lost", detail: "cut", bytesForwarded }, now);
  }

  #stepIfIdle(now: number): void {
    if (this.#isStepping || this.#runs.length === 0) return;
    this.#isStepping = true;
    const batch = this.#runs.slice(0, this.#options.batchSize);
    const prefills = batch.filter((run) => !run.hasStarted).length;
    const stepMs = STEP_MS + STEP_PER_RUN_MS * batch.length +
      PREFILL_MS * prefills;
    this.#options.heap.schedule(
      now + stepMs,
      (end) => this.#endStep(batch, end),
    );
  }

  #endStep(batch: EngineRun[], now: number): void {
    this.#isStepping = false;
    if (now >= this.#options.measureFrom) {
      this.steps += 1;
      this.batchFillSum += batch.length / this.#options.batchSize;
    }
    for (const run of batch) {
      if (!this.#runs.includes(run)) continue;
      if (!run.hasStarted) run.reportFirstToken(now);
      run.hasStarted = true;
      run.tokensLeft -= 1;
      if (run.tokensLeft > 0) continue;
      this.#runs.splice(this.#runs.indexOf(run), 1);
      run.reportEnd({ kind: "completed", servedModel: run.adapterKey }, now);
    }
    this.#stepIfIdle(now);
  }

  readonly #takeSnapshot = (now: number): void => {
    const inFlight = new Map<string, number>();
    for (const { adapterKey } of this.#runs) {
      inFlight.set(adapterKey, (inFlight.get(adapterKey) ?? 0) + 1);
    }
    this.#snapshots.push({ at: now, inFlight });
    if (this.#snapshots.length > 8) this.#snapshots.shift();
    this.#options.heap.schedule(now + SNAPSHOT_INTERVAL_MS, this.#takeSnapshot);
  };
}
