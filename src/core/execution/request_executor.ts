/**
 * Executes each accepted request from its arrival to its single final response:
 * ticket claim, upstream selection, lease, attempt, retry or refusal. A facade
 * over the classes that perform these steps.
 */
import type { CoreEvent, RequestArrivedEvent } from "../events.ts";
import type {
  LeaseGrantMessage,
  LeaseRefusalMessage,
  TicketVerdictMessage,
} from "../messages.ts";
import { getUnclaimedOutcome, Outcome, RefusalReason } from "../outcomes.ts";
import type { RankedUpstream } from "../routing/upstream_selector.ts";
import {
  formatAdapterKey,
  type Milliseconds,
  PoolKind,
  type PoolStructure,
  type RouteStructure,
} from "../structures.ts";
import { AttemptRunner } from "./attempt_runner.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  ExecutionContext,
  type RequestExecutorOptions,
} from "./execution_context.ts";
import { LeaseClient } from "./lease_client.ts";
import { LiveRequest } from "./live_request.ts";
import { RequestAssigner } from "./request_assigner.ts";
import { RequestFinisher } from "./request_finisher.ts";
import { canStartBeforeStop } from "./stop_limit.ts";
import { UpstreamExclusions } from "./upstream_exclusions.ts";
import { TicketAdmission } from "./ticket_admission.ts";

export type { RequestExecutorOptions } from "./execution_context.ts";

export class RequestExecutor {
  readonly #context: ExecutionContext;
  readonly #leases: LeaseClient;
  readonly #tickets: TicketAdmission;
  readonly #finisher: RequestFinisher;
  readonly #assigner: RequestAssigner;
  readonly #runner: AttemptRunner;

  constructor(options: RequestExecutorOptions) {
    const context = new ExecutionContext(options);
    const leases = new LeaseClient(context, {
      dispatch: (request, groupKey, credit, now) =>
        this.#runner.dispatch(request, groupKey, credit, now),
      reassign: (request, refusal, now) =>
        this.#assigner.reassignRefused(request, refusal, now),
    });
    const tickets = new TicketAdmission(context, {
      admit: (request, now) => this.#assigner.assign(request, now),
      refuse: (request, reason, refusal, now) =>
        this.#finisher.refuse(request, reason, refusal, now),
    });
    const finisher = new RequestFinisher(context, { leases, tickets });
    const assigner = new RequestAssigner(context, {
      leases,
      finisher,
    });
    this.#context = context;
    this.#leases = leases;
    this.#tickets = tickets;
    this.#finisher = finisher;
    this.#assigner = assigner;
    this.#runner = new AttemptRunner(context, {
      leases,
      assigner,
      finisher,
    });
  }

  /**
   * Returns whether no request, attempt or settlement is pending that a
   * shutdown would interrupt.
   */
  isDrained(): boolean {
    return this.#context.requests.size === 0 &&
      this.#runner.countAttempts() === 0 && this.#tickets.isSettled();
  }

  describe(): { requests: number; attempts: number; heldCredits: number } {
    return {
      requests: this.#context.requests.size,
      attempts: this.#runner.countAttempts(),
      heldCredits: this.#leases.countHeldCredits(),
    };
  }

  /** Returns the current ranking of the upstreams for a route. */
  explainRoute(route: RouteStructure, now: Milliseconds): RankedUpstream[] {
    const pool = this.#context.options.tables.getSnapshot()
      ?.getPool(route.pool);
    if (!pool) return [];
    const adapterKey = getAdapterKey(route, pool);
    return this.#assigner.rank(pool, adapterKey, new UpstreamExclusions(), now);
  }

  handleAttemptEnded(
    event: Extract<CoreEvent, { kind: "attemptEnded" }>,
    now: Milliseconds,
  ): void {
    this.#runner.handleAttemptEnded(event, now);
  }

  handleLeaseGrant(
    from: string,
    grant: LeaseGrantMessage,
    now: Milliseconds,
  ): void {
    this.#leases.handleLeaseGrant(from, grant, now);
  }

  handleLeaseRefusal(refusal: LeaseRefusalMessage, now: Milliseconds): void {
    this.#leases.handleLeaseRefusal(refusal, now);
  }

  handleTicketVerdict(
    from: string,
    verdict: TicketVerdictMessage,
    now: Milliseconds,
  ): void {
    this.#tickets.handleTicketVerdict(from, verdict, now);
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
    return this.#runner.handleStateRead(event, now);
  }

  /** Drops all leases, after a pause of this process. */
  expireLeases(now: Milliseconds): void {
    this.#leases.expireAll();
    this.tick(now);
  }

  /**
   * Refuses overdue requests, watches the upstreams of departed callers' runs,
   * resends unanswered messages and returns idle credits.
   */
  tick(now: Milliseconds): void {
    for (const request of this.#context.requests.values()) {
      this.#tickRequest(request, now);
    }
    this.#runner.tick(now);
    this.#leases.tick(now);
    this.#tickets.tick(now);
  }

  /** Accepts the request, or refuses it immediately. */
  handleArrival(event: RequestArrivedEvent, now: Milliseconds): void {
    const { settings, quarantine } = this.#context.options;
    const tables = this.#context.options.tables.getSnapshot();
    const route = tables?.getRoute(event.route, event.customer);
    const pool = route && tables?.getPool(route.pool);
    const outcome = route?.idempotent
      ? Outcome.NotRun
      : getUnclaimedOutcome(event.ticket);
    if (!tables || !route || !pool) {
      this.#context.emitRefusal(event.requestId, RefusalReason.UnknownRoute, {
        outcome,
      });
      return;
    }
    if (this.#context.requests.size >= settings.maxRequests) {
      this.#context.emitRefusal(event.requestId, RefusalReason.Overloaded, {
        outcome,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      });
      return;
    }
    if (quarantine.isQuarantined(event, now)) {
      this.#context.emitRefusal(event.requestId, RefusalReason.Quarantined, {
        outcome,
        retryAfterMs: quarantine.getRemainingMs(event, now),
      });
      return;
    }
    if (!route.idempotent && event.ticket === undefined) {
      this.#context.emitRefusal(event.requestId, RefusalReason.TicketRequired, {
        ticket: this.#context.options.tickets.issueTicket(event.customer, now),
      });
      return;
    }
    const request = new LiveRequest({
      event,
      route,
      pool,
      adapterKey: getAdapterKey(route, pool),
      tablesRevision: tables.revision,
      needsTicket: !route.idempotent,
    }, now);
    this.#context.requests.set(request.id, request);
    if (route.idempotent) this.#assigner.assign(request, now);
    else this.#tickets.claimTicket(request, now);
  }

  /**
   * Handles a caller that has disconnected. A running non-idempotent request
   * runs to its end, so that its answer is stored with the ticket; any other
   * request is ended, and its attempt is cancelled.
   */
  handleCallerGone(requestId: string, now: Milliseconds): void {
    const request = this.#context.requests.get(requestId);
    if (!request) return;
    if (!request.route.idempotent && request.state === "running") return;
    this.#cancelAndRefuse(request, RefusalReason.CallerGone, now);
  }

  /**
   * Refuses the waiting requests whose run can outlast the stop, now and until
   * it ends.
   */
  beginStop(endsAt: Milliseconds, now: Milliseconds): void {
    this.#context.stopEndsAt = endsAt;
    for (const request of this.#context.requests.values()) {
      this.#refuseIfTooLate(request, now);
    }
  }

  /**
   * Ends all requests in progress; attempts that are running are cancelled. No
   * answer waits any longer for its settlement.
   */
  refuseAll(reason: RefusalReason, now: Milliseconds): void {
    for (const request of this.#context.requests.values()) {
      this.#cancelAndRefuse(request, reason, now);
    }
    this.#tickets.answerAll();
  }

  #cancelAndRefuse(
    request: LiveRequest,
    reason: RefusalReason,
    now: Milliseconds,
  ): void {
    if (request.attempt) {
      this.#context.options.emit({
        kind: "cancelAttempt",
        attemptId: request.attempt.attemptId,
      });
    }
    const hasRun = request.state === "running" ||
      request.state === "checkingForCrash" ||
      request.state === "claimingTicket";
    this.#finisher.refuse(request, reason, {
      outcome: hasRun ? Outcome.MayHaveRun : Outcome.NotRun,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    }, now);
  }

  #refuseIfTooLate(request: LiveRequest, now: Milliseconds): void {
    const isWaiting = request.state === "unassigned" ||
      request.state === "leasing";
    const { stopEndsAt } = this.#context;
    if (!isWaiting || canStartBeforeStop(request.route, stopEndsAt, now)) {
      return;
    }
    this.#finisher.refuseStopping(request, now);
  }

  #tickRequest(request: LiveRequest, now: Milliseconds): void {
    this.#refuseIfTooLate(request, now);
    switch (request.state) {
      case "claimingTicket":
        this.#tickets.tickClaim(request, now);
        break;
      case "unassigned":
        if (now >= request.deadlineAt) this.#refuseOverdue(request, now);
        else this.#assigner.assign(request, now);
        break;
      case "leasing":
        if (now >= request.deadlineAt) this.#refuseOverdue(request, now);
        break;
      case "running":
      case "checkingForCrash":
      case "done":
        break;
    }
  }

  #refuseOverdue(request: LiveRequest, now: Milliseconds): void {
    this.#finisher.refuse(request, RefusalReason.DeadlineExceeded, {
      outcome: Outcome.NotRun,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    }, now);
  }
}

function getAdapterKey(route: RouteStructure, pool: PoolStructure): string {
  return pool.kind === PoolKind.Engine
    ? formatAdapterKey(route.adapter, route.version)
    : "";
}
