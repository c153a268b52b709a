/**
 * Simulated upstream: an engine with adapter slots, loads, fencing, outdated
 * reports and crashes, or a plain service.
 */
import type { UpstreamOrder } from "../../src/core/effects.ts";
import type { OrderResult } from "../../src/core/events.ts";
import type { UpstreamStateStructure } from "../../src/core/structures.ts";
import type { EventQueue } from "./event_queue.ts";
import { ENGINE_BATCH_SIZE, type EngineTraits } from "./fleet_layout.ts";
import type { Oracle } from "./oracle.ts";
import type { RandomSource } from "./random_source.ts";

/** A call as an upstream receives it. */
export interface UpstreamCall {
  attemptId: string;
  callId: string;
  daemonId: string;
  model: string;
  durationMs: number;
  timeoutMs: number;
  /** Number of parts of the answer; 1 if the answer is not streamed. */
  parts: number;
  isCrashing: boolean;
}

/** Receives what an upstream sends back on the connection of a call. */
export interface CallListener {
  receiveRefusal(): void;
  receivePart(index: number, isLast: boolean, servedModel: string): void;
  receiveBreak(): void;
}

export interface UpstreamRun {
  call: UpstreamCall;
  upstreamId: string;
  beganAt: number;
  endedAt: number | undefined;
  listener: CallListener;
}

export interface UpstreamFaults {
  failLoads: number;
  refuseRuns: number;
  wrongModelAnswers: number;
  reportLagMs: number;
  loadTimeMs: number;
}

export interface ModelUpstreamOptions {
  id: string;
  isEngine: boolean;
  traits: EngineTraits;
  queue: EventQueue;
  random: RandomSource;
  oracle: Oracle;
}

export const DEFAULT_FAULTS: UpstreamFaults = {
  failLoads: 0,
  refuseRuns: 0,
  wrongModelAnswers: 0,
  reportLagMs: 100,
  loadTimeMs: 150,
};

export class ModelUpstream {
  readonly #options: ModelUpstreamOptions;
  readonly #residents = new Set<string>();
  readonly #loading = new Set<string>();
  #runs: UpstreamRun[] = [];
  #incarnation = 1;
  #fencing = 0;
  faults = { ...DEFAULT_FAULTS };
  isUp = true;
  isLeaving = false;

  constructor(options: ModelUpstreamOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  /**
   * Starts a run of the call, or refuses it if the model is not resident, the
   * batch is full or refusals are injected.
   */
  startRun(call: UpstreamCall, listener: CallListener): void {
    const { isEngine, oracle, queue } = this.#options;
    const running = this.#getRunning();
    const isRefused = this.faults.refuseRuns > 0 ||
      (isEngine && !this.#residents.has(call.model)) ||
      (isEngine && running.length >= ENGINE_BATCH_SIZE);
    if (isRefused) {
      this.faults.refuseRuns = Math.max(0, this.faults.refuseRuns - 1);
      listener.receiveRefusal();
      return;
    }
    const run: UpstreamRun = {
      call,
      upstreamId: this.id,
      beganAt: queue.now,
      endedAt: undefined,
      listener,
    };
    this.#runs.push(run);
    oracle.recordRunBegin(run);
    if (call.isCrashing) {
      queue.schedule(this.#options.random.drawInteger(0, 30), () => {
        if (run.endedAt !== undefined) return;
        oracle.recordCrash(run);
        this.restart("crashed");
      });
      return;
    }
    this.#scheduleAnswer(run);
  }

  /** Cancels a run; returns false if it does not run here. */
  cancelRun(attemptId: string): boolean {
    const run = this.#getRunning().find((candidate) =>
      candidate.call.attemptId === attemptId
    );
    if (!run) return false;
    this.#endRun(run, "cancelled");
    return true;
  }

  applyOrder(
    order: UpstreamOrder,
    fencing: number,
    reply: (result: OrderResult) => void,
  ): void {
    const { checksFencing } = this.#options.traits;
    if (checksFencing && fencing < this.#fencing) {
      reply({ kind: "refusedByFencing", fencing: this.#fencing });
      return;
    }
    if (checksFencing) this.#fencing = fencing;
    switch (order.kind) {
      case "claim":
        reply({ kind: "done" });
        return;
      case "load":
        this.#load(order.adapterKey, reply);
        return;
      case "evict": {
        const inUse = this.#getRunning().filter((run) =>
          run.call.model === order.adapterKey
        );
        this.#options.oracle.recordEviction(this.id, order.adapterKey, inUse);
        this.#residents.delete(order.adapterKey);
        reply({ kind: "done" });
        return;
      }
    }
  }

  /**
   * Returns the state. The counts of runs are those of `reportLagMs` ago; the
   * residents are current.
   */
  getState(): UpstreamStateStructure {
    const countedAt = this.#options.queue.now - this.faults.reportLagMs;
    const counted = this.#runs.filter((run) =>
      run.beganAt <= countedAt &&
      (run.endedAt === undefined || run.endedAt > countedAt)
    );
    return {
      incarnation: `${this.id}#${this.#incarnation}`,
      fencing: this.#fencing,
      leaving: this.isLeaving,
      residents: [...this.#residents].map((adapterKey) => ({
        adapterKey,
        inFlight: counted.filter((run) => run.call.model === adapterKey).length,
      })),
      running: counted.length,
    };
  }

  /**
   * Ends all runs and restarts without resident adapters; the upstream is up
   * again after a delay.
   */
  restart(howRunsEnd: "died" | "crashed" = "died"): void {
    const { queue, random, oracle } = this.#options;
    for (const run of this.#getRunning()) this.#endRun(run, howRunsEnd);
    this.#runs = [];
    this.#residents.clear();
    this.#loading.clear();
    this.#fencing = 0;
    this.#incarnation += 1;
    this.isUp = false;
    oracle.recordRestart(this.id);
    const incarnation = this.#incarnation;
    queue.schedule(random.drawInteger(20, 900), () => {
      if (incarnation === this.#incarnation) this.isUp = true;
    });
  }

  /**
   * Ends most runs of a daemon that has exited, after a delay: an engine
   * detects the closed connection. Some runs, and all runs of services,
   * continue.
   */
  handleDaemonExit(daemonId: string): void {
    const { queue, random, isEngine } = this.#options;
    for (const run of this.#getRunning()) {
      if (run.call.daemonId !== daemonId || !isEngine) continue;
      if (random.drawBoolean(30)) continue;
      queue.schedule(random.drawInteger(0, 300), () => {
        if (run.endedAt === undefined) this.#endRun(run, "disconnected");
      });
    }
  }

  #getRunning(): UpstreamRun[] {
    return this.#runs.filter((run) => run.endedAt === undefined);
  }

  #scheduleAnswer(run: UpstreamRun): void {
    const { queue } = this.#options;
    const { parts, durationMs, timeoutMs } = run.call;
    const isWrongModel = this.faults.wrongModelAnswers > 0;
    if (isWrongModel) this.faults.wrongModelAnswers -= 1;
    const servedModel = isWrongModel ? "other@0" : run.call.model;
    for (let index = 0; index < parts; index += 1) {
      const delayMs = durationMs * (index + 1) / parts;
      if (delayMs >= timeoutMs) break;
      const isLast = index === parts - 1;
      queue.schedule(delayMs, () => {
        if (run.endedAt !== undefined) return;
        if (isLast) this.#endRun(run, "completed");
        run.listener.receivePart(index, isLast, servedModel);
      });
    }
    queue.schedule(timeoutMs, () => {
      if (run.endedAt === undefined) this.#endRun(run, "timed out");
    });
  }

  #endRun(run: UpstreamRun, how: string): void {
    run.endedAt = this.#options.queue.now;
    this.#options.oracle.recordRunEnd(run, how);
    if (how !== "completed") run.listener.receiveBreak();
  }

  #load(adapterKey: string, reply: (result: OrderResult) => void): void {
    const { queue, oracle, traits } = this.#options;
    if (this.#residents.has(adapterKey)) {
      reply({ kind: "done" });
      return;
    }
    if (this.#residents.size + this.#loading.size >= traits.slots) {
      reply({ kind: "failed", detail: "no free slot" });
      return;
    }
    this.#loading.add(adapterKey);
    const incarnation = this.#incarnation;
    const isFailing = this.faults.failLoads > 0;
    if (isFailing) this.faults.failLoads -= 1;
    queue.schedule(this.faults.loadTimeMs, () => {
      if (incarnation !== this.#incarnation) return;
      this.#loading.delete(adapterKey);
      if (!isFailing) this.#residents.add(adapterKey);
      oracle.recordLoad(this.id, adapterKey, !isFailing);
      reply(
        isFailing ? { kind: "failed", detail: "load failed" } : {
          kind: "done",
        },
      );
    });
  }
}
