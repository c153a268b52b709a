/**
 * Test oracle: records what ran on which upstream and what each caller
 * received, and checks the invariants at each of these events. It shares no
 * logic with the system under test, so that a fault cannot affect both.
 */
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import type { Call, CallEnd } from "./calls.ts";
import type { UpstreamRun } from "./model_upstream.ts";
import type { Trace } from "./trace.ts";

/** Invariants, with the texts by which violations name them. */
export const Invariant = {
  AdapterVersion: "right adapter and version",
  NoEvictionInUse: "no eviction in use",
  CompleteAnswer: "whole answer to the right caller",
  NotRunAccurate: "not run is true",
  AtMostOnce: "at most once",
  NoWorkForLeaving: "no new work for a leaving upstream",
  GracefulStop: "graceful stop",
  Configuration: "configuration in force and never back",
  CrashBound: "crashing requests are bounded, neighbours spared",
  Liveness: "every request is answered",
  NoAlternation: "holders of an engine take no turns",
  Robustness: "no event is refused and no wall clock is read",
} as const;
export type Invariant = (typeof Invariant)[keyof typeof Invariant];

/** Violation of an invariant. */
export class InvariantError extends Error {
  readonly invariant: Invariant;

  constructor(invariant: Invariant, detail: string) {
    super(`${invariant}: ${detail}`);
    this.invariant = invariant;
  }
}

/**
 * Time after which no daemon may start a run on an upstream that reports that
 * it is leaving.
 */
const LEAVING_BOUND_MS = 4_000;
/**
 * Maximum time in which the crash of an upstream is detected and the strike for
 * it is disseminated to the other daemons.
 */
const STRIKE_DISSEMINATION_MS = 3_000;
const MAX_STRIKES = 2;

export class Oracle {
  readonly #readTime: () => number;
  readonly #trace: Trace;
  readonly #calls = new Map<string, Call>();
  readonly #leavingSince = new Map<string, number>();
  readonly #revisions = new Map<string, number>();
  #disturbedAt = 0;
  violation: InvariantError | undefined;

  constructor(readTime: () => number, trace: Trace) {
    this.#readTime = readTime;
    this.#trace = trace;
  }

  /**
   * Records a violation. Only the first one is kept; the run ends after the
   * current step.
   */
  fail(invariant: Invariant, detail: string): void {
    if (this.violation) return;
    this.#trace.add("ORACLE", `BREACH ${invariant}: ${detail}`);
    this.violation = new InvariantError(invariant, detail);
  }

  /**
   * Records that daemons, or the connections between them, are faulty at
   * present.
   */
  recordDisturbance(): void {
    this.#disturbedAt = this.#readTime();
  }

  recordCall(call: Call): void {
    this.#calls.set(call.id, call);
  }

  getCall(callId: string): Call | undefined {
    return this.#calls.get(callId);
  }

  getCalls(): Iterable<Call> {
    return this.#calls.values();
  }

  recordLeaving(upstreamId: string, isLeaving: boolean): void {
    if (isLeaving) this.#leavingSince.set(upstreamId, this.#readTime());
    else this.#leavingSince.delete(upstreamId);
  }

  recordRunBegin(run: UpstreamRun): void {
    const call = this.#calls.get(run.call.callId);
    this.#trace.add(
      run.upstreamId,
      `run starts: ${run.call.callId} as ${run.call.attemptId} on ${run.call.model}`,
    );
    if (!call) return;
    const { workItem } = call;
    call.runs += 1;
    workItem.runs += 1;
    if (call.end?.kind === "refused" && call.end.outcome === Outcome.NotRun) {
      this.fail(
        Invariant.NotRunAccurate,
        `${call.id} runs after its caller was told that it did not run`,
      );
    }
    if (call.pinnedModel !== run.call.model) {
      this.fail(
        Invariant.AdapterVersion,
        `${call.id} runs on ${run.call.model} instead of the pinned ${call.pinnedModel}`,
      );
    }
    if (!workItem.isIdempotent && workItem.runs > 1) {
      this.fail(
        Invariant.AtMostOnce,
        `${workItem.id} runs ${workItem.runs} times`,
      );
    }
    const since = this.#leavingSince.get(run.upstreamId);
    if (since !== undefined && this.#readTime() - since > LEAVING_BOUND_MS) {
      this.fail(
        Invariant.NoWorkForLeaving,
        `${run.upstreamId} reports since ${
          (since / 1_000).toFixed(3)
        }s that it is leaving, but ${call.id} starts`,
      );
    }
  }

  recordRunEnd(run: UpstreamRun, how: string): void {
    this.#trace.add(run.upstreamId, `run ${how}: ${run.call.attemptId}`);
    const call = this.#calls.get(run.call.callId);
    if (call && how === "completed") call.workItem.completedRuns += 1;
    if (call && how === "died") call.workItem.unrelatedCrashes += 1;
  }

  /**
   * Records that a run marked as crashing is about to crash its upstream, and
   * checks the limit of such crashes. The limit applies only if no daemon or
   * connection was disturbed since STRIKE_DISSEMINATION_MS before the first
   * crash, and if the daemons had as much time to learn of the last crash
   * before the call was sent, or all crashes come from one call.
   */
  recordCrash(run: UpstreamRun): void {
    this.#trace.add(run.upstreamId, `crashed by ${run.call.callId}`);
    const call = this.#calls.get(run.call.callId);
    if (!call) return;
    const { causedCrashes } = call.workItem;
    const first = causedCrashes[0];
    const last = causedCrashes.at(-1);
    causedCrashes.push({ at: this.#readTime(), callId: call.id });
    if (first === undefined || last === undefined) return;
    const wasUndisturbed =
      this.#disturbedAt < first.at - STRIKE_DISSEMINATION_MS;
    const wereStrikesKnown = call.sentAt > last.at + STRIKE_DISSEMINATION_MS ||
      causedCrashes.every((crash) => crash.callId === call.id);
    if (
      causedCrashes.length > MAX_STRIKES && wasUndisturbed && wereStrikesKnown
    ) {
      this.fail(
        Invariant.CrashBound,
        `${call.workItem.id} crashes an upstream for the ${causedCrashes.length}th time`,
      );
    }
  }

  recordRestart(upstreamId: string): void {
    this.#trace.add(upstreamId, "restarts without adapters");
  }

  recordLoad(upstreamId: string, adapterKey: string, isDone: boolean): void {
    this.#trace.add(
      upstreamId,
      isDone ? `loaded ${adapterKey}` : `load of ${adapterKey} failed`,
    );
  }

  recordEviction(
    upstreamId: string,
    adapterKey: string,
    inUse: readonly UpstreamRun[],
  ): void {
    this.#trace.add(upstreamId, `evicts ${adapterKey}`);
    if (inUse.length === 0) return;
    const ids = inUse.map((run) => run.call.attemptId).join(", ");
    this.fail(
      Invariant.NoEvictionInUse,
      `${upstreamId} evicts ${adapterKey} while it is used by ${ids}`,
    );
  }

  /** Records a part of an answer that the caller receives. */
  recordPart(call: Call, attemptId: string, index: number): void {
    call.parts.push({ attemptId, index });
    if (call.end !== undefined) {
      this.fail(
        Invariant.CompleteAnswer,
        `${call.id} receives a part after its end`,
      );
    }
    const isNext = call.parts.every((part, position) =>
      part.attemptId === attemptId && part.index === position
    );
    if (!isNext) {
      this.fail(
        Invariant.CompleteAnswer,
        `${call.id} receives parts out of order or of several attempts`,
      );
    }
  }

  /** Records the final answer of a call. */
  recordEnd(call: Call, end: CallEnd): void {
    if (call.end !== undefined) {
      this.fail(Invariant.CompleteAnswer, `${call.id} is answered twice`);
      return;
    }
    call.end = end;
    switch (end.kind) {
      case "completed":
        if (!call.isCallerGone && call.parts.length !== call.workItem.parts) {
          this.fail(
            Invariant.CompleteAnswer,
            `${call.id} completes after ${call.parts.length} of ${call.workItem.parts} parts`,
          );
        }
        break;
      case "replayed":
        if (call.workItem.completedRuns === 0) {
          this.fail(
            Invariant.CompleteAnswer,
            `${call.id} receives a replayed answer, though no run completed`,
          );
        }
        break;
      case "refused":
        this.#checkRefusal(call, end);
        break;
      case "broken":
        break;
    }
  }

  /** Checks that a replayed answer belongs to the caller's own work. */
  recordReplayedBody(call: Call, body: string): void {
    if (body === call.workItem.id) return;
    this.fail(
      Invariant.CompleteAnswer,
      `${call.id} receives the answer of ${body}`,
    );
  }

  recordRevision(
    daemonId: string,
    incarnation: number,
    revision: number,
  ): void {
    const key = `${daemonId}#${incarnation}`;
    const known = this.#revisions.get(key) ?? 0;
    if (revision === known) return;
    this.#revisions.set(key, revision);
    this.#trace.add(daemonId, `tables revision ${known} -> ${revision}`);
    if (revision > known) return;
    this.fail(
      Invariant.Configuration,
      `${daemonId} returns from revision ${known} to the older ${revision}`,
    );
  }

  #checkRefusal(
    call: Call,
    end: Extract<CallEnd, { kind: "refused" }>,
  ): void {
    const { workItem } = call;
    if (end.outcome === Outcome.NotRun) {
      const runs = call.ticket === undefined ? call.runs : workItem.runs;
      if (runs > 0) {
        this.fail(
          Invariant.NotRunAccurate,
          `${call.id} is refused as notRun (${end.reason}) after ${runs} runs`,
        );
      }
    }
    const isUnfounded = end.reason === RefusalReason.Quarantined &&
      !workItem.isCrashing && workItem.unrelatedCrashes === 0;
    if (isUnfounded) {
      this.fail(
        Invariant.CrashBound,
        `${call.id} is quarantined without cause`,
      );
    }
  }
}
