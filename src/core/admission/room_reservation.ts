/**
 * Room of an engine's batch that is kept for requests of higher priority, which
 * are expected because of their recent demand: what they would use at their
 * recent rate beyond what they use now. It is given back as their demand goes.
 * Requests of the same priority reserve nothing from each other, since the less
 * urgent ones lost more than the others gained.
 *
 * Load: long background runs fill the engine's memory, so that it releases no
 * room for seconds, in which urgent requests with a short objective arrive.
 */
import { computeDecayFactor } from "../decay.ts";
import type { Milliseconds } from "../structures.ts";
import type { BatchDemand } from "./batch_capacity.ts";
import { formatUrgencyClass, type Urgency } from "./urgency.ts";

/** Room that is kept free. */
export interface Reservation {
  tokens: number;
  runs: number;
}

/** Half-life of the demand of a class. */
const DEMAND_HALF_LIFE_MS = 3_000;
/**
 * Largest fraction of the engine's room that is kept. Twice as much gained the
 * urgent requests nothing in the replayed loads.
 */
const MAX_RESERVED_FRACTION = 0.05;
/** Duration of a run of a class before any was observed. */
const INITIAL_RUN_MS = 1_000;
/** Weight of the latest run in the average. */
const RUN_WEIGHT = 1 / 16;
/** Maximum number of classes; they come from messages of peers. */
const MAX_CLASSES = 64;

interface ClassDemand {
  urgency: Urgency;
  /** Sums that decay with the half-life. */
  tokens: number;
  requests: number;
  updatedAt: Milliseconds;
  usedTokens: number;
  running: number;
  meanRunMs: Milliseconds;
}

interface ReservedRun {
  demand: ClassDemand;
  tokens: number;
  grantedAt: Milliseconds;
}

export class RoomReservation {
  readonly #classes = new Map<string, ClassDemand>();
  readonly #runs = new Map<string, ReservedRun>();

  recordArrival(request: Urgency & BatchDemand, now: Milliseconds): void {
    const demand = this.#getClass(request, now);
    const factor = computeDecayFactor(
      now - demand.updatedAt,
      DEMAND_HALF_LIFE_MS,
    );
    demand.tokens = demand.tokens * factor + sumTokens(request);
    demand.requests = demand.requests * factor + 1;
    demand.updatedAt = now;
  }

  recordGrant(
    permitId: string,
    request: Urgency & BatchDemand,
    now: Milliseconds,
  ): void {
    const demand = this.#getClass(request, now);
    const tokens = sumTokens(request);
    demand.usedTokens += tokens;
    demand.running += 1;
    this.#runs.set(permitId, { demand, tokens, grantedAt: now });
  }

  recordRelease(permitId: string, now: Milliseconds): void {
    const run = this.#runs.get(permitId);
    if (!run) return;
    this.#runs.delete(permitId);
    const { demand } = run;
    demand.usedTokens -= run.tokens;
    demand.running -= 1;
    demand.meanRunMs += RUN_WEIGHT *
      (now - run.grantedAt - demand.meanRunMs);
  }

  clear(): void {
    this.#classes.clear();
    this.#runs.clear();
  }

  /** Returns the room that a request has to leave free for higher priorities. */
  computeReservation(
    request: Urgency,
    room: Reservation,
    now: Milliseconds,
  ): Reservation {
    let tokens = 0;
    let runs = 0;
    for (const demand of this.#classes.values()) {
      if (demand.urgency.priorityRank >= request.priorityRank) continue;
      // The decayed sum of a constant rate is the rate times the mean age.
      const share = computeDecayFactor(
        now - demand.updatedAt,
        DEMAND_HALF_LIFE_MS,
      ) * demand.meanRunMs * Math.LN2 / DEMAND_HALF_LIFE_MS;
      tokens += Math.max(0, demand.tokens * share - demand.usedTokens);
      runs += Math.max(0, demand.requests * share - demand.running);
    }
    return {
      tokens: Math.min(tokens, MAX_RESERVED_FRACTION * room.tokens),
      runs: Math.min(
        Math.floor(runs),
        Math.floor(MAX_RESERVED_FRACTION * room.runs),
      ),
    };
  }

  #getClass(request: Urgency, now: Milliseconds): ClassDemand {
    const key = formatUrgencyClass(request);
    const { priorityRank, latencyObjectiveMs } = request;
    const demand = this.#classes.get(key) ?? {
      urgency: { priorityRank, latencyObjectiveMs },
      tokens: 0,
      requests: 0,
      updatedAt: now,
      usedTokens: 0,
      running: 0,
      meanRunMs: INITIAL_RUN_MS,
    };
    this.#classes.delete(key);
    this.#classes.set(key, demand);
    const [oldest] = this.#classes.keys();
    if (this.#classes.size > MAX_CLASSES && oldest !== undefined) {
      this.#classes.delete(oldest);
    }
    return demand;
  }
}

function sumTokens({ promptTokens, outputTokens }: BatchDemand): number {
  return promptTokens + outputTokens;
}
