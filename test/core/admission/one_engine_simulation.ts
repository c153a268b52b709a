/**
 * Replays a load on one engine that runs behind the real admission controller:
 * requests arrive at random times from a seed, prompts are prefilled one after
 * the other, and each run holds its memory until its last token. Time advances
 * in steps, so that a seed always gives the same result.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  AdmissionController,
  type PermitRequest,
} from "../../../src/core/admission/admission_controller.ts";
import { BatchCapacity } from "../../../src/core/admission/batch_capacity.ts";
import { computeMaxPermitWaitMs } from "../../../src/core/admission/permit_wait.ts";
import { AdapterSlots } from "../../../src/core/placement/adapter_slots.ts";

const STEP_MS = 5;
/** Interval of the owner's ticks. */
const TICK_MS = 150;
const PREFILL_TOKENS_PER_MS = 38;
const TOKEN_MS = 30;

/** Requests of one kind. */
export interface Traffic {
  name: string;
  priorityRank: number;
  latencyObjectiveMs: number;
  deadlineMs: number;
  promptTokens: number;
  /** Beginning of the prompt that all prompts of the kind share. */
  sharedTokens: number;
  outputTokens: number;
  /** Hash of the customer's name; undefined where there are no customers. */
  customer?: number;
  /** Requests per second at a time. */
  getRate: (now: number) => number;
}

export interface TrafficResult {
  arrived: number;
  granted: number;
  /** Granted, with a first token after the objective. */
  late: number;
  denied: number;
  /** Sum of the times that denied requests waited for their denials. */
  deniedWaitMs: number;
  /** Longest time between two grants while a request of this kind waited. */
  longestGapMs: number;
}

interface Running {
  name: string;
  permitId: string;
  arrivedAt: number;
  firstTokenAt: number;
  endsAt: number;
  hasFirstToken: boolean;
}

export function simulateEngine(
  { traffics, seed, durationMs, batchSize, kvCapacityTokens }: {
    traffics: readonly Traffic[];
    seed: number;
    durationMs: number;
    batchSize: number;
    kvCapacityTokens: number;
  },
): ReadonlyMap<string, TrafficResult> {
  const admission = new AdmissionController(
    new AdapterSlots(1),
    new BatchCapacity({ batchSize, kvCapacityTokens }),
  );
  const random = xoroshiro128plus(seed);
  const results = new Map(
    traffics.map(({ name }) => [name, {
      arrived: 0,
      granted: 0,
      late: 0,
      denied: 0,
      deniedWaitMs: 0,
      longestGapMs: 0,
    }]),
  );
  const sent = new Map<string, { traffic: Traffic; arrivedAt: number }>();
  const waitingSince = new Map<string, number>();
  const running: Running[] = [];
  let prefillFreeAt = 0;
  let count = 0;
  const handleAnswers = (now: number): void => {
    for (const answer of admission.takeAnswers()) {
      const { permitId } = answer;
      const origin = sent.get(permitId);
      const result = origin && results.get(origin.traffic.name);
      if (!origin || !result) continue;
      sent.delete(permitId);
      const { traffic, arrivedAt } = origin;
      if (answer.kind === "denied") {
        result.denied += 1;
        result.deniedWaitMs += now - arrivedAt;
        continue;
      }
      prefillFreeAt = Math.max(prefillFreeAt, now) +
        (traffic.promptTokens - traffic.sharedTokens) / PREFILL_TOKENS_PER_MS;
      const firstTokenAt = prefillFreeAt + TOKEN_MS;
      result.granted += 1;
      if (firstTokenAt > arrivedAt + traffic.latencyObjectiveMs) {
        result.late += 1;
      }
      waitingSince.set(traffic.name, now);
      running.push({
        name: traffic.name,
        permitId,
        arrivedAt,
        firstTokenAt,
        endsAt: firstTokenAt + traffic.outputTokens * TOKEN_MS,
        hasFirstToken: false,
      });
    }
  };
  for (let now = 0; now < durationMs; now += STEP_MS) {
    for (const run of running) {
      if (run.hasFirstToken || run.firstTokenAt > now) continue;
      run.hasFirstToken = true;
      admission.recordFirstToken(run.permitId, now);
    }
    for (let index = running.length - 1; index >= 0; index -= 1) {
      const run = running[index];
      if (!run || run.endsAt > now) continue;
      running.splice(index, 1);
      admission.releasePermit(run.permitId, now);
    }
    if (now % TICK_MS === 0) {
      admission.findNextOrder(true, now);
      admission.tick(now);
    }
    for (const traffic of traffics) {
      const chance = traffic.getRate(now) * STEP_MS / 1_000;
      if (uniformInt(random, 0, 999_999) >= chance * 1_000_000) continue;
      count += 1;
      const permitId = `p${count}`;
      sent.set(permitId, { traffic, arrivedAt: now });
      const result = results.get(traffic.name);
      if (result) result.arrived += 1;
      admission.requestPermit(createPermitRequest(traffic, permitId), now);
    }
    handleAnswers(now);
    for (const [name, result] of results) {
      const isWaiting = [...sent.values()].some((each) =>
        each.traffic.name === name
      );
      if (!isWaiting) waitingSince.set(name, now);
      result.longestGapMs = Math.max(
        result.longestGapMs,
        now - (waitingSince.get(name) ?? now),
      );
    }
  }
  return results;
}

/** Returns a request without another engine, as its gateway sends it. */
export function createPermitRequest(
  traffic: Traffic,
  permitId: string,
): PermitRequest {
  const { latencyObjectiveMs, deadlineMs, promptTokens, outputTokens } =
    traffic;
  return {
    permitId,
    holder: "entry",
    model: "m",
    adapter: "",
    adapterPath: "m",
    version: undefined,
    priorityRank: traffic.priorityRank,
    promptTokens,
    outputTokens,
    promptParts: [{ id: traffic.name, tokens: traffic.sharedTokens }],
    patienceMs: computeMaxPermitWaitMs({
      latencyObjectiveMs,
      interTokenObjectiveMs: 0,
      elapsedMs: 0,
      remainingMs: deadlineMs,
    }),
    firstTokenBudgetMs: latencyObjectiveMs,
    latencyObjectiveMs,
    customer: traffic.customer,
    lifetimeMs: deadlineMs,
    isLastChoice: true,
  };
}

/** Adds the results of several replays. */
export function sumResults(
  all: readonly ReadonlyMap<string, TrafficResult>[],
): Map<string, TrafficResult> {
  const sums = new Map<string, TrafficResult>();
  for (const results of all) {
    for (const [name, result] of results) {
      const sum = sums.get(name);
      sums.set(
        name,
        sum
          ? {
            arrived: sum.arrived + result.arrived,
            granted: sum.granted + result.granted,
            late: sum.late + result.late,
            denied: sum.denied + result.denied,
            deniedWaitMs: sum.deniedWaitMs + result.deniedWaitMs,
            longestGapMs: Math.max(sum.longestGapMs, result.longestGapMs),
          }
          : result,
      );
    }
  }
  return sums;
}
