/**
 * Knows what ran where and what each caller was told, and checks the promises
 * at each of these steps. Shares no code with what it judges.
 */
import { Outcome, RefusalReason } from "../../src/core/outcomes.ts";
import type { Call, CallEnd } from "./calls.ts";
import type { UpstreamRun } from "./model_upstream.ts";
import type { Trace } from "./trace.ts";

/** The promises, as breaches name them. */
export const FuzzPromise = {
  RightAdapter: "right adapter and version",
  NoEvictionInUse: "no eviction in use",
  WholeAnswer: "whole answer to the right caller",
  NotRunIsTrue: "not run is true",
  AtMostOnce: "at most once",
  LeavingIsLeft: "no new work for a leaving upstream",
  GracefulStop: "graceful stop",
  Configuration: "configuration in force and never back",
  CrashBound: "crashing requests are bounded, neighbours spared",
  Liveness: "every request is answered",
  OneHolder: "holders of an engine take no turns",
  Robustness: "no event is refused and no wall clock is read",
} as const;
export type FuzzPromise = (typeof FuzzPromise)[keyof typeof FuzzPromise];

/** A promise that was broken. */
export class BreachError extends Error {
  readonly promise: FuzzPromise;

  constructor(promise: FuzzPromise, detail: string) {
    super(`${promise}: ${detail}`);
    this.promise = promise;
  }
}

/** Time after which no daemon may begin work on an upstream that says it leaves. */
const LEAVING_BOUND_MS = 4_000;
/** Time in which a death is found out and told to the peers. */
const STRIKE_SPREAD_MS = 3_000;
const MAX_STRIKES = 2;

export class Oracle {
  readonly #readTime: () => number;
  readonly #trace: Trace;
  readonly #calls = new Map<string, Call>();
  readonly #leavingSince = new Map<string, number>();
  readonly #revisions = new Map<string, number>();
  #disturbedAt = 0;
  breach: BreachError | undefined;

  constructor(readTime: () => number, trace: Trace) {
    this.#readTime = readTime;
    this.#trace = trace;
  }

  /** Keeps the first breach; the run stops at the end of its step. */
  fail(promise: FuzzPromise, detail: string): void {
    if (this.breach) return;
    this.#trace.add("ORACLE", `BREACH ${promise}: ${detail}`);
    this.breach = new BreachError(promise, detail);
  }

  /** Notes that daemons or the ways between them are disturbed now. */
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
      `run begins: ${run.call.callId} as ${run.call.attemptId} on ${run.call.model}`,
    );
    if (!call) return;
    const { work } = call;
    call.runs += 1;
    work.runs += 1;
    if (call.end?.kind === "refused" && call.end.outcome === Outcome.NotRun) {
      this.fail(
        FuzzPromise.NotRunIsTrue,
        `${call.id} runs after its caller was told that it did not`,
      );
    }
    if (call.pinnedModel !== run.call.model) {
      this.fail(
        FuzzPromise.RightAdapter,
        `${call.id} runs on ${run.call.model}, pinned was ${call.pinnedModel}`,
      );
    }
    if (!work.isIdempotent && work.runs > 1) {
      this.fail(FuzzPromise.AtMostOnce, `${work.id} runs ${work.runs} times`);
    }
    const since = this.#leavingSince.get(run.upstreamId);
    if (since !== undefined && this.#readTime() - since > LEAVING_BOUND_MS) {
      this.fail(
        FuzzPromise.LeavingIsLeft,
        `${run.upstreamId} says since ${
          (since / 1_000).toFixed(3)
        }s that it leaves, ${call.id} begins`,
      );
    }
  }

  recordRunEnd(run: UpstreamRun, how: string): void {
    this.#trace.add(run.upstreamId, `run ${how}: ${run.call.attemptId}`);
    const call = this.#calls.get(run.call.callId);
    if (call && how === "completed") call.work.completedRuns += 1;
    if (call && how === "died") call.work.chanceDeaths += 1;
  }

  /** Records that a crash-marked run kills its upstream, before the upstream dies. */
  recordCrash(run: UpstreamRun): void {
    this.#trace.add(run.upstreamId, `crashed by ${run.call.callId}`);
    const call = this.#calls.get(run.call.callId);
    if (!call) return;
    const { kills } = call.work;
    const first = kills[0];
    const last = kills.at(-1);
    kills.push({ at: this.#readTime(), callId: call.id });
    if (first === undefined || last === undefined) return;
    const isCalm = this.#disturbedAt < first.at - STRIKE_SPREAD_MS;
    const hadTime = call.sentAt > last.at + STRIKE_SPREAD_MS ||
      kills.every((kill) => kill.callId === call.id);
    if (kills.length > MAX_STRIKES && isCalm && hadTime) {
      this.fail(
        FuzzPromise.CrashBound,
        `${call.work.id} kills for the ${kills.length}th time`,
      );
    }
  }

  recordRestart(upstreamId: string): void {
    this.#trace.add(upstreamId, "restarts empty");
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
      FuzzPromise.NoEvictionInUse,
      `${upstreamId} evicts ${adapterKey} under ${ids}`,
    );
  }

  /** Records a part of an answer that reaches the caller. */
  recordPart(call: Call, attemptId: string, index: number): void {
    call.parts.push({ attemptId, index });
    if (call.end !== undefined) {
      this.fail(FuzzPromise.WholeAnswer, `${call.id} gets more after its end`);
    }
    const isNext = call.parts.every((part, position) =>
      part.attemptId === attemptId && part.index === position
    );
    if (!isNext) {
      this.fail(FuzzPromise.WholeAnswer, `${call.id} gets a mixed answer`);
    }
  }

  /** Records the final answer of a call. */
  recordEnd(call: Call, end: CallEnd): void {
    if (call.end !== undefined) {
      this.fail(FuzzPromise.WholeAnswer, `${call.id} is answered twice`);
      return;
    }
    call.end = end;
    switch (end.kind) {
      case "completed":
        if (!call.isCallerGone && call.parts.length !== call.work.parts) {
          this.fail(
            FuzzPromise.WholeAnswer,
            `${call.id} is completed with ${call.parts.length} of ${call.work.parts} parts`,
          );
        }
        break;
      case "replayed":
        if (call.work.completedRuns === 0) {
          this.fail(FuzzPromise.WholeAnswer, `${call.id} replays no run`);
        }
        break;
      case "refused":
        this.#checkRefusal(call, end);
        break;
      case "broken":
        break;
    }
  }

  /** Checks that a replayed answer is the one of the caller's own work. */
  recordReplayedBody(call: Call, body: string): void {
    if (body === call.work.id) return;
    this.fail(FuzzPromise.WholeAnswer, `${call.id} gets the answer of ${body}`);
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
      FuzzPromise.Configuration,
      `${daemonId} goes back from revision ${known} to ${revision}`,
    );
  }

  #checkRefusal(
    call: Call,
    end: Extract<CallEnd, { kind: "refused" }>,
  ): void {
    const { work } = call;
    if (end.outcome === Outcome.NotRun) {
      const runs = call.ticket === undefined ? call.runs : work.runs;
      if (runs > 0) {
        this.fail(
          FuzzPromise.NotRunIsTrue,
          `${call.id} is told notRun (${end.reason}) after ${runs} runs`,
        );
      }
    }
    const isPunished = end.reason === RefusalReason.Quarantined &&
      !work.isCrashing && work.chanceDeaths === 0;
    if (isPunished) {
      this.fail(FuzzPromise.CrashBound, `${call.id} is quarantined unjustly`);
    }
  }
}
