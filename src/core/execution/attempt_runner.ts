/**
 * Dispatches attempts, and completes, retries or refuses their requests
 * according to the results.
 */
import type { CoreEvent } from "../events.ts";
import {
  type AttemptResult,
  Outcome,
  RefusalReason,
  RetryReason,
} from "../outcomes.ts";
import { type Milliseconds, PoolKind } from "../structures.ts";
import { CrashDetector, type RunningAttempt } from "./crash_detector.ts";
import { DepartedRuns } from "./departed_runs.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  type ExecutionContext,
} from "./execution_context.ts";
import type { LeaseClient } from "./lease_client.ts";
import type { TakenCredit } from "./lease_group.ts";
import type { LiveRequest } from "./live_request.ts";
import type { RequestAssigner } from "./request_assigner.ts";
import type { RequestFinisher } from "./request_finisher.ts";
import { canStartBeforeStop } from "./stop_limit.ts";

/** Status with which an engine responds if the adapter isn't loaded. */
const NOT_RESIDENT_STATUS = 404;

export class AttemptRunner {
  readonly #context: ExecutionContext;
  readonly #leases: LeaseClient;
  readonly #assigner: RequestAssigner;
  readonly #finisher: RequestFinisher;
  readonly #crashDetector: CrashDetector;
  readonly #departedRuns: DepartedRuns;
  readonly #attempts = new Map<string, RunningAttempt>();

  constructor(
    context: ExecutionContext,
    parts: {
      leases: LeaseClient;
      assigner: RequestAssigner;
      finisher: RequestFinisher;
    },
  ) {
    this.#context = context;
    this.#leases = parts.leases;
    this.#assigner = parts.assigner;
    this.#finisher = parts.finisher;
    this.#crashDetector = new CrashDetector(
      context,
      (request, reason, now) => this.retry(request, reason, now),
    );
    this.#departedRuns = new DepartedRuns(context);
  }

  countAttempts(): number {
    return this.#attempts.size;
  }

  /**
   * Handles the result of a state read; returns false if it belongs to no crash
   * check.
   */
  handleStateRead(
    event: Extract<
      CoreEvent,
      { kind: "upstreamStateRead" | "upstreamStateUnread" }
    >,
    now: Milliseconds,
  ): boolean {
    return this.#departedRuns.handleStateRead(event, now) ||
      this.#crashDetector.handleStateRead(event, now);
  }

  tick(now: Milliseconds): void {
    this.#departedRuns.tick(now);
  }

  handleAttemptEnded(
    event: Extract<CoreEvent, { kind: "attemptEnded" }>,
    now: Milliseconds,
  ): void {
    const attempt = this.#attempts.get(event.attemptId);
    if (!attempt) {
      this.#context.options.emit({
        kind: "count",
        counter: "stray_attempt_end",
        tag: event.result.kind,
      });
      return;
    }
    this.#attempts.delete(event.attemptId);
    if (!isCertainlyNotRun(event.result)) attempt.request.mayHaveRun = true;
    const isLive =
      this.#context.requests.get(attempt.request.id) === attempt.request &&
      attempt.request.attempt?.attemptId === event.attemptId;
    if (isLive) {
      attempt.request.answer = event.answer;
      attempt.request.attempt = undefined;
    }
    const { result } = event;
    if (!isLive && (result.kind === "cancelled" || result.kind === "lost")) {
      this.#watchDeparted(attempt, result, now);
    } else {
      this.#releaseCredit(attempt, result, now);
      this.#checkCrashIfLost(attempt, result, now);
    }
    if (isLive) this.#handleResult(attempt, event.result, now);
    this.#leases.dispatchWaiting(attempt.groupKey, now);
  }

  /**
   * Starts an attempt with a credit. Frees the credit instead if the upstream
   * has left the host list, if a planned stop leaves too little time, or if the
   * request was quarantined or became a suspect while it waited for the lease: a
   * suspect needs an exclusive lease.
   */
  dispatch(
    request: LiveRequest,
    groupKey: string,
    credit: TakenCredit,
    now: Milliseconds,
  ): void {
    const { route, pool } = request;
    const upstreamId = request.upstreamId ?? "";
    const host = this.#context.options.membership.getUpstreamHost(upstreamId);
    if (!host) {
      this.#leases.freeCredit(groupKey, credit.leaseId, now);
      request.unassign();
      return;
    }
    if (!canStartBeforeStop(route, this.#context.stopEndsAt, now)) {
      this.#leases.freeCredit(groupKey, credit.leaseId, now);
      this.#finisher.refuseStopping(request, now);
      return;
    }
    const { quarantine } = this.#context.options;
    if (quarantine.isQuarantined(request.event, now)) {
      this.#leases.freeCredit(groupKey, credit.leaseId, now);
      this.#refuseQuarantined(request, now);
      return;
    }
    if (!credit.exclusive && this.#context.isSuspect(request, now)) {
      this.#leases.freeCredit(groupKey, credit.leaseId, now);
      request.unassign();
      return;
    }
    request.apply("dispatched");
    request.attempts += 1;
    if (request.attempts === 1) this.#recordFirstAttempt(request, now);
    const attempt = {
      attemptId: this.#context.createId("attempt"),
      upstreamId,
      credit,
    };
    request.attempt = attempt;
    this.#attempts.set(attempt.attemptId, {
      ...attempt,
      request,
      groupKey,
    });
    this.#context.options.emit({
      kind: "dispatch",
      attemptId: attempt.attemptId,
      requestId: request.id,
      upstreamId,
      upstreamKind: pool.kind,
      address: host.address,
      model: pool.kind === PoolKind.Engine ? request.adapterKey : route.name,
      route,
      tablesRevision: request.tablesRevision,
      timeoutMs: route.maxRunMs,
      dispatchUntil: credit.dispatchUntil,
      upstreamIncarnation: credit.upstreamIncarnation,
    });
  }

  #recordFirstAttempt(request: LiveRequest, now: Milliseconds): void {
    this.#context.options.retryBudget.recordFirstAttempt();
    this.#context.options.emit({
      kind: "measure",
      histogram: request.hasStalled ? "load_stall" : "lease_wait",
      valueMs: now - request.arrivedAt,
    });
  }

  #releaseCredit(
    attempt: RunningAttempt,
    result: AttemptResult,
    now: Milliseconds,
  ): void {
    const mayStillRun = result.kind === "lost" || result.kind === "timedOut" ||
      result.kind === "wrongAdapter";
    const { groupKey, credit } = attempt;
    if (mayStillRun) this.#leases.abandonCredit(groupKey, credit.leaseId);
    else this.#leases.freeCredit(groupKey, credit.leaseId, now);
  }

  /**
   * Watches the upstream of a run whose request ended before it. An exclusive
   * lease is kept meanwhile, so that a crash is due to this run alone.
   */
  #watchDeparted(
    attempt: RunningAttempt,
    result: Extract<AttemptResult, { kind: "cancelled" | "lost" }>,
    now: Milliseconds,
  ): void {
    const isExclusive = attempt.credit.exclusive;
    if (!isExclusive) this.#releaseCredit(attempt, result, now);
    const release = (at: Milliseconds): void => {
      this.#releaseCredit(attempt, result, at);
      this.#leases.dispatchWaiting(attempt.groupKey, at);
    };
    const isLost = result.kind === "lost";
    this.#departedRuns.add(attempt, {
      isLost,
      suspectsParts: isLost && result.bytesForwarded === 0,
      release: isExclusive ? release : undefined,
    }, now);
  }

  /**
   * Starts a crash check of the upstream of an open request's lost attempt,
   * which precedes any retry.
   */
  #checkCrashIfLost(
    attempt: RunningAttempt,
    result: AttemptResult,
    now: Milliseconds,
  ): void {
    if (result.kind !== "lost") return;
    const { request } = attempt;
    const canRetry = request.route.idempotent && result.bytesForwarded === 0;
    const isChecking = this.#crashDetector.checkForCrash(
      attempt,
      canRetry ? RetryReason.UpstreamLost : undefined,
      result.bytesForwarded > 0,
    );
    if (!isChecking) return;
    if (canRetry) {
      request.apply("upstreamSuspected");
      request.excludedUpstreams.add(attempt.upstreamId);
    } else {
      this.#finisher.refuse(request, RefusalReason.UpstreamLost, {
        outcome: Outcome.MayHaveRun,
      }, now);
    }
  }

  #handleResult(
    attempt: RunningAttempt,
    result: AttemptResult,
    now: Milliseconds,
  ): void {
    const { request } = attempt;
    if (request.state !== "running") return;
    switch (result.kind) {
      case "completed":
        this.#complete(request, attempt, now);
        break;
      case "notSent":
        this.#assigner.excludeTemporarily(request, attempt.upstreamId, now);
        this.retry(request, RetryReason.NotSent, now);
        break;
      case "refused":
        this.#excludeAfterRefusal(attempt, result.status, now);
        this.retry(request, RetryReason.RefusedByUpstream, now);
        break;
      case "rejected":
        this.#finisher.refuse(request, RefusalReason.UpstreamRejected, {
          outcome: Outcome.NotRun,
        }, now);
        break;
      case "failed":
        this.#finisher.refuse(request, RefusalReason.UpstreamRejected, {
          outcome: Outcome.Failed,
        }, now);
        break;
      case "wrongAdapter":
        request.excludedUpstreams.add(attempt.upstreamId);
        if (request.route.idempotent) {
          this.retry(request, RetryReason.WrongAdapter, now);
        } else {
          this.#finisher.refuse(request, RefusalReason.WrongAdapter, {
            outcome: Outcome.MayHaveRun,
          }, now);
        }
        break;
      case "timedOut":
        this.#finisher.refuse(request, RefusalReason.RunTimeExceeded, {
          outcome: Outcome.MayHaveRun,
        }, now);
        break;
      case "cancelled":
      case "lost":
        this.#finisher.refuse(request, RefusalReason.UpstreamLost, {
          outcome: Outcome.MayHaveRun,
        }, now);
        break;
    }
  }

  /**
   * Excludes an upstream that refused the request. An engine that answers that
   * the adapter isn't loaded has restarted or lost it; its owner loads it
   * again, so that the engine is excluded only for a time.
   */
  #excludeAfterRefusal(
    attempt: RunningAttempt,
    status: number,
    now: Milliseconds,
  ): void {
    const { request, upstreamId } = attempt;
    const isNotResident = request.pool.kind === PoolKind.Engine &&
      status === NOT_RESIDENT_STATUS;
    if (isNotResident) {
      this.#assigner.excludeTemporarily(request, upstreamId, now);
    } else request.excludedUpstreams.add(upstreamId);
  }

  #complete(
    request: LiveRequest,
    attempt: RunningAttempt,
    now: Milliseconds,
  ): void {
    this.#context.options.quarantine.recordCompletion(
      request.event,
      attempt.credit.exclusive,
      now,
    );
    this.#finisher.complete(request, now);
  }

  /**
   * Retries the request on another upstream, or refuses it if its limits are
   * used up.
   */
  retry(request: LiveRequest, reason: RetryReason, now: Milliseconds): void {
    const { settings, quarantine, retryBudget } = this.#context.options;
    if (quarantine.isQuarantined(request.event, now)) {
      this.#refuseQuarantined(request, now);
      return;
    }
    const isExhausted = request.attempts >= settings.maxAttempts ||
      now >= request.deadlineAt + request.route.maxRunMs ||
      !retryBudget.trySpend();
    if (isExhausted) {
      this.#finisher.refuse(request, RefusalReason.RetriesExhausted, {
        outcome: Outcome.NotRun,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      }, now);
      return;
    }
    this.#context.countRetry(reason);
    request.apply("attemptRetried");
    const { queueDeadlineMs } = request.route;
    request.deadlineAt = Math.max(request.deadlineAt, now + queueDeadlineMs);
    request.upstreamId = undefined;
    this.#assigner.assign(request, now);
  }

  #refuseQuarantined(request: LiveRequest, now: Milliseconds): void {
    const { quarantine } = this.#context.options;
    this.#finisher.refuse(request, RefusalReason.Quarantined, {
      outcome: Outcome.NotRun,
      retryAfterMs: quarantine.getRemainingMs(request.event, now),
    }, now);
  }
}

/** Returns whether the upstream certainly did not start the request. */
function isCertainlyNotRun(result: AttemptResult): boolean {
  switch (result.kind) {
    case "notSent":
    case "refused":
    case "rejected":
      return true;
    case "completed":
    case "failed":
    case "lost":
    case "wrongAdapter":
    case "timedOut":
    case "cancelled":
      return false;
  }
}
