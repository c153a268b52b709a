/**
 * Model of an engine that ignores fencing but compares the expected count: it
 * loads and evicts adapters, restarts, and shows its state in late reports.
 * An oracle checks every order that it accepts.
 */
import type {
  ContentsReport,
  EngineOwnerEffect,
} from "../../src/core/ordering/engine_owner.ts";
import type { OrderAnswer } from "../../src/core/ordering/ownership_state.ts";
import type { OrderOracle } from "./order_oracle.ts";

const ADAPTER_SLOTS = 3;
/** Duration of a load, in which the engine confirms the same order again. */
const LOAD_MS = 260;
/**
 * Duration of a base model's load: the users' data sheets of their larger sites
 * give 0.6 and 2.9 s.
 */
export const MODEL_LOAD_MS = 600;
/**
 * Minimum downtime of an engine after a crash; the users' scenarios have two
 * seconds and more.
 */
const RESTART_MS = 1_500;

/** Time of day at the start of a run. */
export const RUN_START_UNIX_MS = 1_000_000;

type GiveOrder = Extract<EngineOwnerEffect, { kind: "giveOrder" }>;

/** Model of an engine that ignores fencing but compares the expected count. */
export class CountingEngine {
  sequence = 0;
  bornAtUnixMs = RUN_START_UNIX_MS;
  /**
   * Adapters that it has or is loading, with the time at which each is loaded.
   */
  readonly adapters = new Map<string, number>();
  readonly oracle: OrderOracle;
  /** Whether it starts without its base model. */
  readonly #startsEmpty: boolean;
  readonly #modelLoadMs: number;
  /** Whether it refuses the load of a base model that it is loading. */
  readonly #refusesRepeatedLoads: boolean;
  /**
   * When the base model is loaded; undefined while no daemon has ordered it.
   */
  #modelReadyAt: number | undefined;
  /**
   * Until when it is down and does not answer; a restart takes at least this
   * long.
   */
  #downUntil = 0;
  #history: { at: number; report: Omit<ContentsReport, "readAt" | "ageMs"> }[] =
    [];
  #startedAt: number;

  constructor(
    oracle: OrderOracle,
    startsEmpty: boolean,
    {
      modelLoadMs = MODEL_LOAD_MS,
      startedAt = 0,
      refusesRepeatedLoads = false,
    } = {},
  ) {
    this.oracle = oracle;
    this.#startsEmpty = startsEmpty;
    this.#modelLoadMs = modelLoadMs;
    this.#refusesRepeatedLoads = refusesRepeatedLoads;
    this.#startedAt = startedAt;
    this.#modelReadyAt = startsEmpty ? undefined : startedAt;
  }

  order(daemon: number, order: GiveOrder, at: number): OrderAnswer {
    if (this.isDown(at)) return { kind: "unanswered", detail: "down" };
    const { adapterPath, adapter, kind } = order.order;
    if (adapter === "") return this.#orderModel(daemon, order, at);
    if (!this.#hasModel(at)) return { kind: "conflict" };
    // A load in progress is confirmed whatever the order expects, as by the
    // platform's replicas.
    const isLoading = kind === "load" &&
      (this.adapters.get(adapterPath) ?? 0) > at;
    // So is the eviction of an adapter that it does not have, or is still
    // loading: that load continues.
    const isGone = kind === "evict" &&
      (this.adapters.get(adapterPath) ?? Number.POSITIVE_INFINITY) > at;
    if (isLoading || isGone) {
      this.oracle.check({ daemon, fence: order.fence, at });
      return { kind: "accepted" };
    }
    if (order.expectedSequence !== this.sequence) return { kind: "conflict" };
    this.sequence += 1;
    this.oracle.check({ daemon, fence: order.fence, at });
    if (kind === "evict") this.adapters.delete(adapterPath);
    else if (adapter !== "") this.adapters.set(adapterPath, at + LOAD_MS);
    if (this.adapters.size > ADAPTER_SLOTS) {
      this.oracle.violations.push(`${this.adapters.size} adapters at ${at}`);
    }
    return { kind: "accepted" };
  }

  /**
   * Confirms the load of a base model that is done, whatever the order expects,
   * and may do so while it is in progress.
   */
  #orderModel(daemon: number, order: GiveOrder, at: number): OrderAnswer {
    if (this.#modelReadyAt === undefined) {
      if (order.expectedSequence !== this.sequence) return { kind: "conflict" };
      this.sequence += 1;
      this.#modelReadyAt = at + this.#modelLoadMs;
    } else if (this.#refusesRepeatedLoads && !this.#hasModel(at)) {
      return { kind: "conflict" };
    }
    this.oracle.check({ daemon, fence: order.fence, at });
    return this.#hasModel(at) ? { kind: "alreadyHeld" } : { kind: "accepted" };
  }

  #hasModel(at: number): boolean {
    return this.#modelReadyAt !== undefined && this.#modelReadyAt <= at;
  }

  isDown(at: number): boolean {
    return at < this.#downUntil;
  }

  restart(at: number): void {
    this.#downUntil = at + RESTART_MS;
    this.#startedAt = this.#downUntil;
    this.sequence = 0;
    this.#modelReadyAt = this.#startsEmpty ? undefined : at;
    this.bornAtUnixMs = RUN_START_UNIX_MS + this.#startedAt;
    this.adapters.clear();
    this.#history = [];
  }

  record(at: number): void {
    this.#history.push({
      at,
      report: {
        sequence: this.sequence,
        bornAtUnixMs: this.bornAtUnixMs,
        models: this.#hasModel(at) ? ["m"] : [],
        adapters: new Map(
          [...this.adapters].map(([path, readyAt]) => [
            path,
            { version: 1, isLoading: readyAt > at },
          ]),
        ),
      },
    });
  }

  /** Returns the state as of `lagMs` before the read. */
  report(readAt: number, lagMs: number): ContentsReport {
    const seen = this.#history.filter((each) => each.at <= readAt - lagMs)
      .at(-1) ?? this.#history[0];
    const report = seen?.report ??
      {
        sequence: 0,
        bornAtUnixMs: RUN_START_UNIX_MS,
        models: [],
        adapters: new Map(),
      };
    return { ...report, ageMs: readAt - this.#startedAt, readAt };
  }
}
