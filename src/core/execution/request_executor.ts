/**
 * Carries each accepted request from its arrival to its one final answer:
 * ticket, choice of an upstream, lease, attempt, retry or refusal.
 */
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import type { CoreEvent, RequestArrivedEvent } from "../events.ts";
import type { CrashQuarantine } from "../limits/crash_quarantine.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type { Membership } from "../membership/membership.ts";
import {
  ClaimVerdict,
  type LeaseGrantMessage,
  type LeaseRefusalMessage,
  type TicketVerdictMessage,
} from "../messages.ts";
import {
  type AttemptResult,
  LeaseRefusalReason,
  Outcome,
  RefusalReason,
  RetryReason,
} from "../outcomes.ts";
import {
  type RankedUpstream,
  rankUpstreams,
  type UpstreamCandidate,
} from "../routing/upstream_selector.ts";
import {
  formatAdapterKey,
  getPriorityRank,
  HostState,
  type Milliseconds,
  PoolKind,
  type PoolStructure,
  type RouteStructure,
} from "../structures.ts";
import type { TableKeeper } from "../tables/table_keeper.ts";
import { LeaseHolding, type TakenCredit } from "./lease_holding.ts";
import { type LiveAttempt, LiveRequest } from "./live_request.ts";
import { parseTicket, type TicketBook } from "./ticket_book.ts";
import { TicketSettler } from "./ticket_settler.ts";

export interface RequestExecutorOptions {
  selfId: string;
  incarnation: string;
  failureDomain: string;
  settings: CoreSettings;
  tables: TableKeeper;
  membership: Membership;
  quarantine: CrashQuarantine;
  retryBudget: RetryBudget;
  tickets: TicketBook;
  emit: (effect: Effect) => void;
}

interface RunningAttempt extends LiveAttempt {
  request: LiveRequest;
  holdingKey: string;
}

interface ExaminedAttempt extends RunningAttempt {
  /** Absent once the request has had its final answer. */
  retry: RetryReason | undefined;
}

/** Time after which a caller may come back when nothing better is known. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Time for which a request waits for an upstream of which no owner is known yet. */
const OWNER_WAIT_MS = 3_000;
/** Credits asked for at once. */
const MAX_CREDITS_PER_REQUEST = 16;

export class RequestExecutor {
  readonly #options: RequestExecutorOptions;
  readonly #requests = new Map<string, LiveRequest>();
  readonly #holdings = new Map<string, LeaseHolding>();
  readonly #holdingKeysByLeaseRequest = new Map<string, string>();
  readonly #attempts = new Map<string, RunningAttempt>();
  readonly #examinations = new Map<string, ExaminedAttempt>();
  readonly #settler: TicketSettler;
  #lastId = 0;

  constructor(options: RequestExecutorOptions) {
    this.#options = options;
    this.#settler = new TicketSettler(options.emit);
  }

  getRequestCount(): number {
    return this.#requests.size;
  }

  /** Returns whether nothing is left that a stop would cut off. */
  isDrained(): boolean {
    return this.#requests.size === 0 && this.#attempts.size === 0 &&
      this.#settler.isEmpty();
  }

  describe(): { requests: number; attempts: number; heldCredits: number } {
    let heldCredits = 0;
    for (const holding of this.#holdings.values()) {
      heldCredits += holding.countCredits();
    }
    return {
      requests: this.#requests.size,
      attempts: this.#attempts.size,
      heldCredits,
    };
  }

  /** Returns how the upstreams rank for a route now. */
  explainRoute(route: RouteStructure, now: Milliseconds): RankedUpstream[] {
    const pool = this.#options.tables.getSnapshot()?.getPool(route.pool);
    if (!pool) return [];
    return this.#rank(pool, getAdapterKey(route, pool), new Set(), now);
  }

  handleArrival(event: RequestArrivedEvent, now: Milliseconds): void {
    const { settings, quarantine } = this.#options;
    const tables = this.#options.tables.getSnapshot();
    const route = tables?.getRoute(event.route, event.customer);
    const pool = route && tables?.getPool(route.pool);
    if (!tables || !route || !pool) {
      this.#emitRefusal(event.requestId, RefusalReason.UnknownRoute);
      return;
    }
    if (this.#requests.size >= settings.maxRequests) {
      this.#emitRefusal(event.requestId, RefusalReason.Overloaded, {
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      });
      return;
    }
    if (quarantine.isQuarantined(event.fingerprint, now)) {
      this.#emitRefusal(event.requestId, RefusalReason.Quarantined, {
        retryAfterMs: quarantine.getRemainingMs(event.fingerprint, now),
      });
      return;
    }
    if (!route.idempotent && event.ticket === undefined) {
      this.#emitRefusal(event.requestId, RefusalReason.TicketRequired, {
        ticket: this.#options.tickets.mintTicket(event.customer, now),
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
    this.#requests.set(request.id, request);
    if (route.idempotent) this.#assign(request, now);
    else this.#claimTicket(request, now);
  }

  /** A caller that went away: its idempotent work is cancelled, other work ends and is kept. */
  handleCallerGone(requestId: string, now: Milliseconds): void {
    const request = this.#requests.get(requestId);
    if (!request) return;
    if (!request.route.idempotent && request.state === "running") return;
    if (request.attempt) {
      this.#options.emit({
        kind: "cancelAttempt",
        attemptId: request.attempt.attemptId,
      });
    }
    const hasRun = request.state === "running" || request.state === "examining";
    this.#refuse(request, RefusalReason.CallerGone, {
      outcome: hasRun ? Outcome.MayHaveRun : Outcome.NotRun,
    }, now);
  }

  handleAttemptEnded(
    event: Extract<CoreEvent, { kind: "attemptEnded" }>,
    now: Milliseconds,
  ): void {
    const attempt = this.#attempts.get(event.attemptId);
    if (!attempt) {
      this.#options.emit({
        kind: "count",
        counter: "stray_attempt_end",
        tag: event.result.kind,
      });
      return;
    }
    this.#attempts.delete(event.attemptId);
    const isLive = this.#requests.get(attempt.request.id) === attempt.request &&
      attempt.request.attempt?.attemptId === event.attemptId;
    if (isLive) {
      attempt.request.answer = event.answer;
      attempt.request.attempt = undefined;
    }
    this.#releaseCredit(attempt, event.result, now);
    this.#examineIfLost(attempt, event.result, isLive, now);
    if (isLive) this.#concludeAttempt(attempt, event.result, now);
    this.#pumpHolding(attempt.holdingKey, now);
  }

  handleLeaseGrant(
    from: string,
    grant: LeaseGrantMessage,
    now: Milliseconds,
  ): void {
    const key = this.#holdingKeysByLeaseRequest.get(grant.leaseRequestId);
    const holding = key === undefined ? undefined : this.#holdings.get(key);
    const pending = holding?.pending;
    if (
      key === undefined || !holding ||
      pending?.leaseRequestId !== grant.leaseRequestId
    ) {
      this.#sendReturn(from, grant.upstreamId, {
        leaseId: grant.leaseId,
        credits: grant.credits,
      });
      return;
    }
    this.#clearPending(holding);
    holding.addLease(grant, pending.sentAt, {
      marginMs: this.#options.settings.leaseMarginMs,
      now,
    });
    if (grant.loaded) this.#markStalled(holding);
    this.#pumpHolding(key, now);
  }

  handleLeaseRefusal(refusal: LeaseRefusalMessage, now: Milliseconds): void {
    const key = this.#holdingKeysByLeaseRequest.get(refusal.leaseRequestId);
    const holding = key === undefined ? undefined : this.#holdings.get(key);
    if (!holding) return;
    this.#clearPending(holding);
    for (const requestId of holding.waiting.splice(0)) {
      const request = this.#requests.get(requestId);
      if (request) this.#reassignRefused(request, refusal, now);
    }
  }

  handleTicketVerdict(
    from: string,
    verdict: TicketVerdictMessage,
    now: Milliseconds,
  ): void {
    this.#settler.recordVerdict(from, verdict);
    for (const request of this.#requests.values()) {
      if (request.claim?.claimId !== verdict.claimId) continue;
      if (request.state === "claimingTicket") {
        this.#applyVerdict(request, verdict, now);
      }
      return;
    }
  }

  /** Takes the outcome of reading a lost attempt's upstream; returns false when it was not asked for here. */
  handleExamination(
    event: Extract<
      CoreEvent,
      { kind: "upstreamStateRead" | "upstreamStateUnread" }
    >,
    now: Milliseconds,
  ): boolean {
    const examined = this.#examinations.get(event.readId);
    if (!examined) return false;
    this.#examinations.delete(event.readId);
    const hasDied = event.kind === "upstreamStateRead"
      ? event.state.incarnation !== examined.credit.upstreamIncarnation
      : event.isRefused;
    const { request, retry } = examined;
    if (hasDied) {
      this.#options.quarantine.recordCrash(
        request.event.fingerprint,
        examined.credit.exclusive,
        now,
      );
    }
    if (retry !== undefined && this.#requests.has(request.id)) {
      this.#retry(request, retry, now);
    }
    return true;
  }

  /** Drops every lease held, after a pause of this process. */
  expireLeases(now: Milliseconds): void {
    for (const holding of this.#holdings.values()) {
      this.#clearPending(holding);
      holding.dropAll();
      for (const requestId of holding.waiting.splice(0)) {
        const request = this.#requests.get(requestId);
        if (request) this.#unassign(request);
      }
    }
    this.tick(now);
  }

  /** Gives up what is overdue, asks again for what was not answered and returns idle credits. */
  tick(now: Milliseconds): void {
    for (const request of this.#requests.values()) {
      this.#tickRequest(request, now);
    }
    for (const [key, holding] of this.#holdings) {
      this.#tickHolding(key, holding, now);
    }
    this.#settler.tick(now);
  }

  #tickRequest(request: LiveRequest, now: Milliseconds): void {
    switch (request.state) {
      case "claimingTicket":
        this.#tickClaim(request, now);
        break;
      case "unassigned":
        if (now >= request.deadlineAt) this.#refuseOverdue(request, now);
        else this.#assign(request, now);
        break;
      case "leasing":
        if (now >= request.deadlineAt) this.#refuseOverdue(request, now);
        break;
      case "running":
      case "examining":
      case "done":
        break;
    }
  }

  #tickClaim(request: LiveRequest, now: Milliseconds): void {
    if (!request.claim) return;
    if (now >= request.deadlineAt) {
      this.#refuse(request, RefusalReason.TicketHomeUnreachable, {
        outcome: Outcome.MayHaveRun,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      }, now);
      return;
    }
    const isUnanswered = now - request.claim.sentAt >=
      this.#options.settings.leaseReplyTimeoutMs;
    if (isUnanswered) this.#sendClaim(request, now);
  }

  #tickHolding(key: string, holding: LeaseHolding, now: Milliseconds): void {
    const { settings } = this.#options;
    this.#returnIdleCredits(holding, now);
    const { pending } = holding;
    const isUnanswered = pending !== undefined &&
      now - pending.sentAt >= settings.leaseReplyTimeoutMs;
    if (isUnanswered) {
      const isOwnerHeard = pending.ownerId === this.#options.selfId ||
        this.#options.membership.isPeerLive(pending.ownerId, now);
      if (isOwnerHeard) this.#sendLeaseRequest(key, holding, now);
      else this.#loseOwner(holding);
    }
    this.#pumpHolding(key, now);
    if (holding.isUnused()) this.#holdings.delete(key);
  }

  #loseOwner(holding: LeaseHolding): void {
    this.#clearPending(holding);
    this.#countRetry(RetryReason.LeaseUnanswered);
    for (const requestId of holding.waiting.splice(0)) {
      const request = this.#requests.get(requestId);
      if (request) this.#unassign(request);
    }
  }

  #claimTicket(request: LiveRequest, now: Milliseconds): void {
    const ticket = request.event.ticket ?? "";
    const parsed = parseTicket(ticket);
    if (!parsed) {
      this.#refuse(request, RefusalReason.TicketInvalid, {
        outcome: Outcome.NotRun,
        ticket: this.#options.tickets.mintTicket(request.event.customer, now),
      }, now);
      return;
    }
    const { homeId } = parsed;
    const isReachable = homeId === this.#options.selfId ||
      this.#options.membership.isPeerLive(homeId, now);
    if (!isReachable) {
      this.#refuse(request, RefusalReason.TicketHomeUnreachable, {
        outcome: Outcome.MayHaveRun,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      }, now);
      return;
    }
    request.claim = {
      claimId: this.#createId("claim"),
      ticket,
      homeId,
      sentAt: now,
    };
    this.#sendClaim(request, now);
  }

  #sendClaim(request: LiveRequest, now: Milliseconds): void {
    if (!request.claim) return;
    request.claim.sentAt = now;
    this.#options.emit({
      kind: "send",
      to: request.claim.homeId,
      message: {
        kind: "ticketClaim",
        claimId: request.claim.claimId,
        ticket: request.claim.ticket,
        customer: request.event.customer,
        fingerprint: request.event.fingerprint,
      },
    });
  }

  #applyVerdict(
    request: LiveRequest,
    verdict: TicketVerdictMessage,
    now: Milliseconds,
  ): void {
    const uncertain = { outcome: Outcome.MayHaveRun };
    switch (verdict.verdict) {
      case ClaimVerdict.Granted:
        request.apply("ticketGranted");
        this.#assign(request, now);
        return;
      case ClaimVerdict.InProgress:
        this.#refuse(request, RefusalReason.TicketInProgress, {
          ...uncertain,
          retryAfterMs: DEFAULT_RETRY_AFTER_MS,
        }, now);
        return;
      case ClaimVerdict.Spent:
        this.#replay(request, verdict, now);
        return;
      case ClaimVerdict.Expired:
        this.#refuse(request, RefusalReason.TicketExpired, uncertain, now);
        return;
      case ClaimVerdict.Mismatch:
        this.#refuse(request, RefusalReason.TicketMismatch, {
          outcome: Outcome.NotRun,
        }, now);
        return;
      case ClaimVerdict.Invalid:
        this.#refuse(request, RefusalReason.TicketInvalid, {
          outcome: Outcome.NotRun,
        }, now);
        return;
    }
  }

  #replay(
    request: LiveRequest,
    verdict: TicketVerdictMessage,
    now: Milliseconds,
  ): void {
    const { answer } = verdict;
    if (!answer?.bodyKept) {
      this.#refuse(request, RefusalReason.TicketSpent, {
        outcome: answer?.outcome ?? Outcome.MayHaveRun,
      }, now);
      return;
    }
    request.apply("finished");
    this.#requests.delete(request.id);
    this.#options.emit({ kind: "replay", requestId: request.id, answer });
  }

  /** Assigns the request to the best upstream, or refuses it when none is left. */
  #assign(request: LiveRequest, now: Milliseconds): void {
    const ranked = this.#rank(
      request.pool,
      request.adapterKey,
      request.excludedUpstreams,
      now,
    );
    const best = ranked[0];
    if (!best) {
      this.#handleNoUpstream(request, now);
      return;
    }
    const exclusive = this.#isSuspect(request, now);
    const { host } = best.candidate;
    const key = createHoldingKey(host.id, request.adapterKey, exclusive);
    let holding = this.#holdings.get(key);
    if (!holding) {
      holding = new LeaseHolding(host.id, request.adapterKey);
      this.#holdings.set(key, holding);
    }
    request.apply("assigned");
    request.upstreamId = host.id;
    holding.waiting.push(request.id);
    this.#pumpHolding(key, now);
  }

  #handleNoUpstream(request: LiveRequest, now: Milliseconds): void {
    if (request.excludedUpstreams.size > 0) {
      this.#refuse(request, RefusalReason.NoUpstream, {
        outcome: Outcome.NotRun,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      }, now);
      return;
    }
    if (now - request.arrivedAt < OWNER_WAIT_MS) return;
    this.#refuse(request, RefusalReason.NoUpstream, {
      outcome: Outcome.NotRun,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    }, now);
  }

  #rank(
    pool: PoolStructure,
    adapterKey: string,
    excluded: ReadonlySet<string>,
    now: Milliseconds,
  ): RankedUpstream[] {
    const candidates: UpstreamCandidate[] = [];
    for (const host of this.#options.membership.getUpstreamHosts()) {
      if (host.service !== pool.service || excluded.has(host.id)) continue;
      if (!pool.failureDomains.includes(host.failureDomain)) continue;
      if (host.state === HostState.Leaving) continue;
      const view = this.#options.membership.getUpstreamView(host.id, now);
      if (!view || !view.digest.up || view.digest.leaving) continue;
      candidates.push({
        host,
        ownerId: view.ownerId,
        digest: view.digest,
        localCredits: this.#countLocalCredits(host.id),
      });
    }
    return rankUpstreams(candidates, {
      pool,
      adapterKey,
      failureDomain: this.#options.failureDomain,
    });
  }

  #countLocalCredits(upstreamId: string): number {
    let credits = 0;
    for (const holding of this.#holdings.values()) {
      if (holding.upstreamId === upstreamId) credits += holding.countCredits();
    }
    return credits;
  }

  /** Dispatches what the credits at hand allow and asks for the rest. */
  #pumpHolding(key: string, now: Milliseconds): void {
    const holding = this.#holdings.get(key);
    if (!holding) return;
    const exclusive = isExclusiveKey(key);
    while (holding.waiting.length > 0) {
      const credit = holding.tryTakeCredit(exclusive, now);
      if (!credit) break;
      const request = this.#requests.get(holding.waiting.shift() ?? "");
      if (request) this.#dispatch(request, key, credit, now);
      else holding.freeCredit(credit.leaseId, now);
    }
    if (holding.waiting.length === 0) return;
    const wanted = Math.min(holding.waiting.length, MAX_CREDITS_PER_REQUEST);
    const isEnoughAsked = holding.pending !== undefined &&
      (exclusive || holding.pending.credits >= wanted);
    if (!isEnoughAsked) this.#sendLeaseRequest(key, holding, now);
  }

  #sendLeaseRequest(
    key: string,
    holding: LeaseHolding,
    now: Milliseconds,
  ): void {
    const requests = holding.waiting
      .map((id) => this.#requests.get(id))
      .filter((request) => request !== undefined);
    const first = requests[0];
    const view = this.#options.membership.getUpstreamView(
      holding.upstreamId,
      now,
    );
    if (!first || !view) return;
    const exclusive = isExclusiveKey(key);
    const isRepeat = holding.pending?.ownerId === view.ownerId;
    if (!isRepeat) this.#clearPending(holding);
    const leaseRequestId = holding.pending?.leaseRequestId ??
      this.#createId("leaseRequest");
    const credits = exclusive
      ? 1
      : Math.min(requests.length, MAX_CREDITS_PER_REQUEST);
    holding.pending = {
      leaseRequestId,
      ownerId: view.ownerId,
      sentAt: now,
      credits,
      exclusive,
    };
    this.#holdingKeysByLeaseRequest.set(leaseRequestId, key);
    this.#options.emit({
      kind: "send",
      to: view.ownerId,
      message: {
        kind: "leaseRequest",
        leaseRequestId,
        upstreamId: holding.upstreamId,
        adapterKey: holding.adapterKey,
        credits,
        priorityRank: Math.min(
          ...requests.map((request) => getPriorityRank(request.route.priority)),
        ),
        customer: first.event.customer,
        remainingMs: Math.max(
          ...requests.map((request) => request.deadlineAt - now),
        ),
        maxRunMs: Math.max(
          ...requests.map((request) => request.route.maxRunMs),
        ),
        exclusive,
      },
    });
  }

  #dispatch(
    request: LiveRequest,
    holdingKey: string,
    credit: TakenCredit,
    now: Milliseconds,
  ): void {
    const { route, pool } = request;
    const upstreamId = request.upstreamId ?? "";
    const host = this.#options.membership.getUpstreamHost(upstreamId);
    if (!host) {
      this.#holdings.get(holdingKey)?.freeCredit(credit.leaseId, now);
      this.#unassign(request);
      return;
    }
    request.apply("dispatched");
    request.attempts += 1;
    if (request.attempts === 1) this.#recordFirstAttempt(request, now);
    const attempt = {
      attemptId: this.#createId("attempt"),
      upstreamId,
      credit,
    };
    request.attempt = attempt;
    this.#attempts.set(attempt.attemptId, { ...attempt, request, holdingKey });
    this.#options.emit({
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
    });
  }

  #recordFirstAttempt(request: LiveRequest, now: Milliseconds): void {
    this.#options.retryBudget.recordFirstAttempt();
    this.#options.emit({
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
    const holding = this.#holdings.get(attempt.holdingKey);
    if (!holding) return;
    const mayStillRun = result.kind === "lost" || result.kind === "timedOut" ||
      result.kind === "wrongAdapter";
    if (mayStillRun) holding.abandonCredit(attempt.credit.leaseId);
    else holding.freeCredit(attempt.credit.leaseId, now);
  }

  /** Reads the upstream of a lost attempt, to learn whether it died. */
  #examineIfLost(
    attempt: RunningAttempt,
    result: AttemptResult,
    isLive: boolean,
    now: Milliseconds,
  ): void {
    const host = this.#options.membership.getUpstreamHost(attempt.upstreamId);
    if (result.kind !== "lost" || !host) return;
    const readId = this.#createId("examination");
    const canRetry = isLive && attempt.request.route.idempotent &&
      result.bytesForwarded === 0;
    this.#examinations.set(readId, {
      ...attempt,
      retry: canRetry ? RetryReason.UpstreamLost : undefined,
    });
    this.#options.emit({
      kind: "readUpstreamState",
      upstreamId: attempt.upstreamId,
      upstreamKind: attempt.request.pool.kind,
      address: host.address,
      readId,
    });
    if (canRetry) {
      attempt.request.apply("upstreamSuspected");
      attempt.request.excludedUpstreams.add(attempt.upstreamId);
    } else if (isLive) {
      this.#refuse(attempt.request, RefusalReason.UpstreamLost, {
        outcome: Outcome.MayHaveRun,
      }, now);
    }
  }

  #concludeAttempt(
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
        this.#retry(request, RetryReason.NotSent, now);
        break;
      case "refused":
        request.excludedUpstreams.add(attempt.upstreamId);
        this.#retry(request, RetryReason.RefusedByUpstream, now);
        break;
      case "rejected":
        this.#refuse(request, RefusalReason.UpstreamRejected, {
          outcome: Outcome.NotRun,
        }, now);
        break;
      case "failed":
        this.#refuse(request, RefusalReason.UpstreamRejected, {
          outcome: Outcome.Failed,
        }, now);
        break;
      case "wrongAdapter":
        request.excludedUpstreams.add(attempt.upstreamId);
        if (request.route.idempotent) {
          this.#retry(request, RetryReason.WrongAdapter, now);
        } else {
          this.#refuse(request, RefusalReason.WrongAdapter, {
            outcome: Outcome.MayHaveRun,
          }, now);
        }
        break;
      case "timedOut":
        this.#refuse(request, RefusalReason.RunTimeExceeded, {
          outcome: Outcome.MayHaveRun,
        }, now);
        break;
      case "cancelled":
      case "lost":
        this.#refuse(request, RefusalReason.UpstreamLost, {
          outcome: Outcome.MayHaveRun,
        }, now);
        break;
    }
  }

  #complete(
    request: LiveRequest,
    attempt: RunningAttempt,
    now: Milliseconds,
  ): void {
    if (attempt.credit.exclusive) {
      this.#options.quarantine.recordSurvival(request.event.fingerprint);
    }
    this.#settle(request, now);
    request.apply("finished");
    this.#requests.delete(request.id);
    this.#options.emit({ kind: "complete", requestId: request.id });
  }

  /** Sends the request to another upstream, within its bounds, or refuses it. */
  #retry(request: LiveRequest, reason: RetryReason, now: Milliseconds): void {
    const { settings, quarantine, retryBudget } = this.#options;
    const hasRun = reason === RetryReason.UpstreamLost ||
      reason === RetryReason.WrongAdapter;
    const outcome = hasRun ? Outcome.MayHaveRun : Outcome.NotRun;
    if (quarantine.isQuarantined(request.event.fingerprint, now)) {
      this.#refuse(request, RefusalReason.Quarantined, {
        outcome,
        retryAfterMs: quarantine.getRemainingMs(request.event.fingerprint, now),
      }, now);
      return;
    }
    const isSpent = request.attempts >= settings.maxAttempts ||
      now >= request.deadlineAt + request.route.maxRunMs ||
      !retryBudget.trySpend();
    if (isSpent) {
      this.#refuse(request, RefusalReason.RetriesExhausted, {
        outcome,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      }, now);
      return;
    }
    this.#countRetry(reason);
    request.apply("attemptRetried");
    request.upstreamId = undefined;
    this.#assign(request, now);
  }

  #reassignRefused(
    request: LiveRequest,
    refusal: LeaseRefusalMessage,
    now: Milliseconds,
  ): void {
    this.#unassign(request);
    this.#countRetry(RetryReason.LeaseRefused);
    switch (refusal.reason) {
      case LeaseRefusalReason.NotOwner:
      case LeaseRefusalReason.Claiming:
      case LeaseRefusalReason.Stopping:
        return;
      case LeaseRefusalReason.Leaving:
      case LeaseRefusalReason.UpstreamDown:
        request.excludedUpstreams.add(refusal.upstreamId);
        this.#assign(request, now);
        return;
      case LeaseRefusalReason.LoadFailed:
        request.loadFailures += 1;
        request.excludedUpstreams.add(refusal.upstreamId);
        if (request.loadFailures < this.#options.settings.maxAttempts) {
          this.#assignOrRefuse(request, RefusalReason.LoadFailed, refusal, now);
        } else {
          this.#refuse(request, RefusalReason.LoadFailed, {
            outcome: Outcome.NotRun,
            retryAfterMs: refusal.retryAfterMs,
          }, now);
        }
        return;
      case LeaseRefusalReason.DeadlineUnreachable:
      case LeaseRefusalReason.QueueFull:
        request.excludedUpstreams.add(refusal.upstreamId);
        this.#assignOrRefuse(
          request,
          refusal.reason === LeaseRefusalReason.QueueFull
            ? RefusalReason.Overloaded
            : RefusalReason.DeadlineUnreachable,
          refusal,
          now,
        );
        return;
    }
  }

  #assignOrRefuse(
    request: LiveRequest,
    reason: RefusalReason,
    refusal: LeaseRefusalMessage,
    now: Milliseconds,
  ): void {
    const { pool, adapterKey, excludedUpstreams } = request;
    const hasOther =
      this.#rank(pool, adapterKey, excludedUpstreams, now).length > 0;
    if (hasOther) {
      this.#assign(request, now);
      return;
    }
    this.#refuse(request, reason, {
      outcome: Outcome.NotRun,
      retryAfterMs: refusal.retryAfterMs,
    }, now);
  }

  #refuseOverdue(request: LiveRequest, now: Milliseconds): void {
    this.#refuse(request, RefusalReason.DeadlineExceeded, {
      outcome: request.attempts > 0 && request.route.idempotent
        ? Outcome.MayHaveRun
        : Outcome.NotRun,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    }, now);
  }

  /** Gives the request its final answer. */
  #refuse(
    request: LiveRequest,
    reason: RefusalReason,
    refusal: { outcome: Outcome; retryAfterMs?: Milliseconds; ticket?: string },
    now: Milliseconds,
  ): void {
    this.#detach(request, now);
    this.#settleRefused(request, refusal.outcome, now);
    request.apply("finished");
    this.#requests.delete(request.id);
    this.#emitRefusal(request.id, reason, refusal);
  }

  #emitRefusal(
    requestId: string,
    reason: RefusalReason,
    refusal: {
      outcome?: Outcome;
      retryAfterMs?: Milliseconds;
      ticket?: string;
    } = {},
  ): void {
    this.#options.emit({ kind: "count", counter: "refused", tag: reason });
    this.#options.emit({
      kind: "refuse",
      requestId,
      reason,
      outcome: refusal.outcome ?? Outcome.NotRun,
      ...(refusal.retryAfterMs === undefined
        ? {}
        : { retryAfterMs: Math.max(1, Math.ceil(refusal.retryAfterMs)) }),
      ...(refusal.ticket === undefined ? {} : { ticket: refusal.ticket }),
    });
  }

  /** Takes the request out of the holding in which it waits. */
  #detach(request: LiveRequest, _now: Milliseconds): void {
    if (request.state !== "leasing" || request.upstreamId === undefined) return;
    for (const exclusive of [false, true]) {
      const key = createHoldingKey(
        request.upstreamId,
        request.adapterKey,
        exclusive,
      );
      const holding = this.#holdings.get(key);
      if (!holding) continue;
      holding.removeWaiting(request.id);
      if (holding.waiting.length === 0) this.#cancelPending(holding);
    }
  }

  #cancelPending(holding: LeaseHolding): void {
    const { pending } = holding;
    if (!pending) return;
    this.#options.emit({
      kind: "send",
      to: pending.ownerId,
      message: {
        kind: "leaseCancel",
        leaseRequestId: pending.leaseRequestId,
        upstreamId: holding.upstreamId,
      },
    });
    this.#clearPending(holding);
  }

  #clearPending(holding: LeaseHolding): void {
    if (!holding.pending) return;
    this.#holdingKeysByLeaseRequest.delete(holding.pending.leaseRequestId);
    holding.pending = undefined;
  }

  #unassign(request: LiveRequest): void {
    if (request.state === "leasing") request.apply("leaseLost");
    request.upstreamId = undefined;
  }

  #settle(request: LiveRequest, now: Milliseconds): void {
    if (!request.claim) return;
    const answer = request.answer ?? {
      outcome: Outcome.Completed,
      status: 200,
      contentType: "",
      body: new Uint8Array(),
      bodyKept: false,
    };
    this.#settler.settle(request.claim, request.event.customer, answer, now);
  }

  #settleRefused(
    request: LiveRequest,
    outcome: Outcome,
    now: Milliseconds,
  ): void {
    if (!request.claim) return;
    if (request.state === "claimingTicket") {
      this.#settler.abandon(request.claim, request.event.customer);
      return;
    }
    const answer = outcome === Outcome.NotRun ? undefined : {
      outcome,
      status: 502,
      contentType: "",
      body: new Uint8Array(),
      bodyKept: false,
    };
    this.#settler.settle(request.claim, request.event.customer, answer, now);
  }

  #returnIdleCredits(holding: LeaseHolding, now: Milliseconds): void {
    const view = this.#options.membership.getUpstreamView(
      holding.upstreamId,
      now,
    );
    const idleMs = holding.waiting.length > 0
      ? Number.POSITIVE_INFINITY
      : this.#options.settings.leaseIdleMs;
    for (const credits of holding.takeIdleCredits(idleMs, now)) {
      if (view) this.#sendReturn(view.ownerId, holding.upstreamId, credits);
    }
  }

  #sendReturn(
    to: string,
    upstreamId: string,
    credits: { leaseId: string; credits: number },
  ): void {
    this.#options.emit({
      kind: "send",
      to,
      message: { kind: "leaseReturn", upstreamId, ...credits },
    });
  }

  #markStalled(holding: LeaseHolding): void {
    for (const requestId of holding.waiting) {
      const request = this.#requests.get(requestId);
      if (request) request.hasStalled = true;
    }
  }

  #isSuspect(request: LiveRequest, now: Milliseconds): boolean {
    return this.#options.quarantine.isSuspect(request.event.fingerprint, now);
  }

  #countRetry(reason: RetryReason): void {
    this.#options.emit({ kind: "count", counter: "retried", tag: reason });
  }

  #createId(prefix: string): string {
    this.#lastId += 1;
    const { selfId, incarnation } = this.#options;
    return `${prefix}/${selfId}/${incarnation}/${this.#lastId}`;
  }
}

function getAdapterKey(route: RouteStructure, pool: PoolStructure): string {
  return pool.kind === PoolKind.Engine
    ? formatAdapterKey(route.adapter, route.version)
    : "";
}

const EXCLUSIVE_MARK = "!";

function createHoldingKey(
  upstreamId: string,
  adapterKey: string,
  exclusive: boolean,
): string {
  return `${exclusive ? EXCLUSIVE_MARK : ""}${upstreamId}|${adapterKey}`;
}

function isExclusiveKey(key: string): boolean {
  return key.startsWith(EXCLUSIVE_MARK);
}
