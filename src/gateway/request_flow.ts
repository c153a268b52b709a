/**
 * The life of one request in the gateway: finds a place for it, sends it, and
 * answers its caller once. The decisions are the core's; this carries them out.
 */
import type { Buffer } from "node:buffer";
import { computeRetryAfterMs } from "../core/admission/refusal_advice.ts";
import {
  AttemptOutcome,
  type AttemptVerdict,
  decideAfterAttempt,
  isIdempotent,
} from "../core/execution/attempt_verdict.ts";
import { EventSplitter } from "../core/execution/event_splitter.ts";
import { HealthSignal } from "../core/placement/upstream_health.ts";
import { rankServiceUpstreams } from "../core/placement/upstream_choice.ts";
import type { Milliseconds } from "../core/structures.ts";
import {
  type PublishedRoute,
  type PublishedService,
  type PublishedUpstream,
  Repeatability,
} from "../core/view/published_view.ts";
import {
  type AttemptResult,
  getHealthSign,
  PieceVerdict,
  runAttempt,
  type RunningAttempt,
} from "./attempt_runner.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { EnginePlaceFinder } from "./engine_place_finder.ts";
import { roundMs } from "./decision_log.ts";
import type { UpstreamHead } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import { listUsableUpstreams } from "./usable_upstreams.ts";

/** Time of a caller's deadline that the ways to it and back take. */
const TRAVEL_MS = 8;
/** Times that a request looks for another upstream because its own began to leave, or to back off. */
const MAX_CLOSED_WHILE_WAITING = 3;
/** Longest event of a stream: callers' whole bodies are bounded by 4 MB, events are some hundred bytes long. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Part of the time left that an idempotent request gives one upstream to answer. */
const SILENCE_SHARE = 0.45;
/** Objectives without a first event after which a resumable stream is sent elsewhere. */
const FIRST_EVENT_OBJECTIVES = 2;

const Status = {
  NotFound: 404,
  BadGateway: 502,
  Unavailable: 503,
  GatewayTimeout: 504,
} as const;

export class RequestFlow {
  readonly #context: RequestContext;
  readonly #exchange: CallerExchange;
  readonly #route: PublishedRoute;
  readonly #service: PublishedService;
  readonly #fingerprint: string;
  readonly #endsAt: Milliseconds;
  readonly #splitter = new EventSplitter();
  readonly #passedOver = new Set<string>();
  readonly #rejectedBy = new Set<string>();
  #running: RunningAttempt | undefined;
  #allAttempts = 0;
  #ranAttempts = 0;
  #hasForwarded = false;
  #isFinished = false;
  #head: { status: number; rawHeaders: string[] } | undefined;
  readonly #places: EnginePlaceFinder;
  #sentAt: Milliseconds = Number.NaN;
  #firstByteAt: Milliseconds = Number.NaN;
  #closedWhileWaiting = 0;
  /** Time until an upstream of a plain service takes requests again, where none does. */
  #reopensInMs: Milliseconds | undefined;

  constructor(
    context: RequestContext,
    exchange: CallerExchange,
    target: { route: PublishedRoute; service: PublishedService },
    fingerprint: string,
  ) {
    this.#context = context;
    this.#exchange = exchange;
    this.#route = target.route;
    this.#service = target.service;
    this.#fingerprint = fingerprint;
    const deadlineMs = exchange.facts.deadlineMs ?? target.route.timeoutMs;
    this.#endsAt = exchange.arrivedAt +
      Math.min(deadlineMs - TRAVEL_MS, target.route.timeoutMs);
    this.#places = new EnginePlaceFinder({
      context,
      exchange,
      ...target,
      endsAt: this.#endsAt,
      passedOver: this.#passedOver,
      isFinished: () => this.#isFinished,
    });
  }

  /** Serves the request; resolves when its answer has been given or its caller has left. */
  async run(): Promise<void> {
    const { allowance, metrics } = this.#context;
    allowance.recordArrival(this.#service.name, performance.now());
    metrics.count("requests", this.#route.repeatability);
    const timer = setTimeout(
      () => this.#handleTimeout(),
      Math.max(0, this.#endsAt - performance.now()),
    );
    this.#exchange.onGone(() => this.#handleGone());
    try {
      while (!this.#isFinished) await this.#tryOnce();
    } finally {
      clearTimeout(timer);
    }
  }

  #getRemainingMs(): Milliseconds {
    return this.#endsAt - performance.now();
  }

  async #tryOnce(): Promise<void> {
    const { quarantine } = this.#context;
    if (quarantine.isQuarantined(this.#fingerprint, performance.now())) {
      this.#conclude(
        "quarantined",
        this.#ranAttempts === 0
          ? { kind: "refuse" }
          : { kind: "fail", isTimeout: false },
      );
      return;
    }
    const upstream = this.#service.engine
      ? await this.#places.findEngine()
      : this.#selectServiceUpstream();
    if (this.#isFinished) {
      this.#places.releasePlace();
      return;
    }
    if (upstream && this.#isClosed(upstream)) {
      // It began to leave, or to back off, while the request waited for its place.
      this.#passedOver.add(upstream.id);
      this.#places.releasePlace();
      this.#closedWhileWaiting += 1;
      if (this.#closedWhileWaiting <= MAX_CLOSED_WHILE_WAITING) return;
    }
    if (!upstream || this.#isClosed(upstream)) {
      this.#conclude(
        this.#reopensInMs === undefined ? "noPlace" : "allBackedOff",
        this.#ranAttempts === 0
          ? { kind: "refuse" }
          : { kind: "fail", isTimeout: false },
      );
      return;
    }
    const result = await this.#send(upstream);
    this.#places.releasePlace(result);
    if (this.#isFinished) return;
    this.#recordResult(upstream, result);
    this.#conclude(result.detail, this.#decide(result), result);
  }

  /** Returns whether the upstream may not be sent anything from here now. */
  #isClosed(upstream: PublishedUpstream): boolean {
    const { view, backoff } = this.#context;
    const isLeaving = view.getUpstream(upstream.id)?.isLeaving ?? true;
    return isLeaving || backoff.getRemainingMs(upstream, performance.now()) > 0;
  }

  /** Takes in what the head of an answer says of its upstream. */
  #handleHead(upstream: PublishedUpstream, head: UpstreamHead): void {
    const { view, backoff, log, metrics, serviceLoads } = this.#context;
    const now = performance.now();
    const { requestId } = this.#exchange.facts;
    if (head.isLeaving && view.recordLeavingNotice(upstream)) {
      metrics.count("upstream_notices", "leaving");
      log.info("upstreamLeaving", {
        requestId,
        upstream: upstream.id,
        bornAtUnixMs: upstream.bornAtUnixMs,
        status: head.status,
      });
    }
    if (head.backoffMs !== undefined) {
      backoff.recordBackoff(upstream, head.backoffMs, now);
      metrics.count("upstream_notices", "backoff");
      log.info("upstreamBacksOff", {
        requestId,
        upstream: upstream.id,
        backoffMs: roundMs(head.backoffMs),
      });
    }
    const load = serviceLoads.get(upstream.id);
    if (load && head.reportedRunning !== undefined) {
      load.reportedRunning = head.reportedRunning;
      load.reportedAt = now;
    }
  }

  async #send(upstream: PublishedUpstream): Promise<AttemptResult> {
    const { facts } = this.#exchange;
    const isStream = this.#route.repeatability === Repeatability.Stream;
    const load = this.#getServiceLoad(upstream.id);
    this.#allAttempts += 1;
    this.#sentAt = performance.now();
    load.ownRunning += 1;
    this.#running = runAttempt(this.#context, {
      exchange: this.#exchange,
      upstream,
      facts: {
        upstreamId: upstream.id,
        remainingMs: Math.max(1, this.#getRemainingMs()),
        adapterVersion: this.#places.adapterVersion,
        priorityRank: this.#service.engine && this.#route.priorityRank,
        lastEventId: this.#splitter.lastEventId ?? facts.lastEventId,
      },
      mayReuseConnection: this.#canRepeat(),
      silenceMs: this.#getSilenceMs(),
      handleHead: (head) => this.#handleHead(upstream, head),
      sink: isStream
        ? {
          start: (status, rawHeaders) => this.#head ??= { status, rawHeaders },
          push: (piece) => this.#forward(piece),
        }
        : undefined,
    });
    const result = await this.#running.result;
    this.#running = undefined;
    load.ownRunning -= 1;
    return result;
  }

  /** Passes on whole events; the head goes out with the first of them. */
  #forward(piece: Buffer): PieceVerdict {
    const whole = this.#splitter.push(piece);
    if (this.#splitter.restBytes > MAX_EVENT_BYTES) return PieceVerdict.Cut;
    if (whole.length === 0 || this.#isFinished) return PieceVerdict.ReadOn;
    if (!this.#hasForwarded) this.#startStream();
    this.#exchange.write(whole);
    if (!this.#exchange.isBacklogged) return PieceVerdict.ReadOn;
    this.#context.metrics.count(
      "callers_backlogged",
      this.#route.repeatability,
    );
    this.#exchange.awaitDrained(() => this.#running?.resume());
    return PieceVerdict.Pause;
  }

  #startStream(): void {
    if (!this.#head) return;
    const { metrics } = this.#context;
    this.#hasForwarded = true;
    this.#exchange.startStream(this.#head.status, this.#head.rawHeaders);
    this.#firstByteAt = performance.now();
    const elapsedMs = this.#firstByteAt - this.#exchange.arrivedAt;
    metrics.measure("first_byte", this.#route.repeatability, elapsedMs);
    this.#places.notifyFirstToken();
  }

  #canRepeat(): boolean {
    return isIdempotent(this.#route.repeatability, this.#route.isResumable);
  }

  #getSilenceMs(): Milliseconds {
    const remainingMs = Math.max(1, this.#getRemainingMs());
    const isLastAttempt = !this.#canRepeat() ||
      this.#ranAttempts + 1 >= this.#route.maxAttempts;
    if (isLastAttempt) return remainingMs;
    const { latencyObjectiveMs, repeatability } = this.#route;
    return repeatability === Repeatability.Stream
      ? Math.min(remainingMs, FIRST_EVENT_OBJECTIVES * latencyObjectiveMs)
      : Math.max(latencyObjectiveMs, SILENCE_SHARE * remainingMs);
  }

  #decide(result: AttemptResult): AttemptVerdict {
    const { allowance, fleet } = this.#context;
    const { repeatability, isResumable, maxAttempts } = this.#route;
    const mayHaveRun = result.outcome !== AttemptOutcome.NotRun &&
      result.outcome !== AttemptOutcome.NotSent;
    if (mayHaveRun) this.#ranAttempts += 1;
    return decideAfterAttempt({
      outcome: result.outcome,
      repeatability,
      isResumable,
      ranAttempts: this.#ranAttempts,
      maxAttempts,
      allAttempts: this.#allAttempts,
      remainingMs: this.#getRemainingMs(),
    }, () => {
      const now = performance.now();
      const living = fleet.countLiving(now);
      return allowance.trySpend(this.#service.name, living, now);
    });
  }

  /** Carries a verdict out and logs it. */
  #conclude(
    reason: string,
    verdict: AttemptVerdict,
    result?: AttemptResult,
  ): void {
    const { log, metrics, view } = this.#context;
    const isOrdinary = verdict.kind === "deliver";
    const fields = {
      requestId: this.#exchange.facts.requestId,
      route: this.#route.name,
      verdict: verdict.kind,
      reason,
      outcome: result?.outcome,
      upstream: result?.upstreamId,
      status: result?.status,
      attempts: this.#allAttempts,
      ran: this.#ranAttempts,
      questions: this.#places.questions,
      objectiveMs: this.#route.latencyObjectiveMs,
      sentMs: roundMs(this.#sentAt - this.#exchange.arrivedAt),
      firstByteMs: roundMs(this.#firstByteAt - this.#exchange.arrivedAt),
      elapsedMs: roundMs(performance.now() - this.#exchange.arrivedAt),
      remainingMs: roundMs(this.#getRemainingMs()),
      configurationVersion: view.configuration?.version,
    };
    log.info(isOrdinary ? "requestServed" : "requestDecision", fields);
    switch (verdict.kind) {
      case "tryAnother":
        metrics.count("repeats", result?.outcome ?? reason);
        if (result) this.#excludeUpstream(result);
        // The next upstream starts with a whole event.
        this.#splitter.takeRest();
        break;
      case "deliver":
        this.#deliver(result);
        break;
      case "refuse":
        metrics.count("refusals", reason);
        this.#refuse(reason);
        break;
      case "fail":
        metrics.count("failures", result?.outcome ?? reason);
        this.#fail(verdict.isTimeout, reason);
        break;
    }
  }

  /** An engine whose load was late is asked once more; others are passed over. */
  #excludeUpstream(result: AttemptResult): void {
    const { upstreamId } = result;
    const isFirstRejection = this.#service.engine !== undefined &&
      result.outcome === AttemptOutcome.NotRun &&
      !this.#rejectedBy.has(upstreamId);
    if (isFirstRejection) this.#rejectedBy.add(upstreamId);
    else this.#passedOver.add(upstreamId);
  }

  #deliver(result: AttemptResult | undefined): void {
    this.#isFinished = true;
    const elapsedMs = performance.now() - this.#exchange.arrivedAt;
    this.#context.metrics.measure(
      "whole_answer",
      this.#route.repeatability,
      elapsedMs,
    );
    if (result?.answer && !this.#hasForwarded) {
      const { status, rawHeaders, body } = result.answer;
      this.#exchange.answer(status, rawHeaders, body);
      return;
    }
    if (result?.answer) {
      // A failure after the head of a stream was passed on can't be told any more.
      this.#exchange.breakOff();
      return;
    }
    if (!this.#hasForwarded) this.#startStream();
    this.#exchange.write(this.#splitter.takeRest());
    this.#exchange.end();
  }

  #refuse(reason: string): void {
    this.#isFinished = true;
    if (this.#hasForwarded) {
      this.#exchange.breakOff();
      return;
    }
    const retryAfterMs = computeRetryAfterMs({
      requestId: this.#exchange.facts.requestId,
      expectedWaitMs: this.#reopensInMs ?? this.#places.expectedMs,
      remainingMs: this.#getRemainingMs(),
    });
    const headers = this.#context.dialect.encodeRefusalHeaders(retryAfterMs);
    this.#exchange.answerText(
      Status.Unavailable,
      headers,
      `not run: ${reason}`,
    );
  }

  #fail(isTimeout: boolean, reason: string): void {
    this.#isFinished = true;
    if (this.#hasForwarded) {
      this.#exchange.breakOff();
      return;
    }
    const status = isTimeout ? Status.GatewayTimeout : Status.BadGateway;
    this.#exchange.answerText(status, [], `may have run: ${reason}`);
  }

  #handleTimeout(): void {
    if (this.#isFinished) return;
    const isWaiting = this.#running === undefined && this.#ranAttempts === 0;
    this.#running?.cancel();
    this.#conclude(
      "deadline",
      isWaiting ? { kind: "refuse" } : { kind: "fail", isTimeout: true },
    );
  }

  #handleGone(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#running?.cancel();
    this.#context.metrics.count("callers_gone", this.#route.repeatability);
    this.#context.log.info("callerGone", {
      requestId: this.#exchange.facts.requestId,
      route: this.#route.name,
      attempts: this.#allAttempts,
      hasStarted: this.#hasForwarded,
      elapsedMs: roundMs(performance.now() - this.#exchange.arrivedAt),
    });
  }

  #recordResult(upstream: PublishedUpstream, result: AttemptResult): void {
    const { health, quarantine, metrics } = this.#context;
    const now = performance.now();
    metrics.count("attempts", result.outcome);
    const sign = getHealthSign(result);
    if (sign) {
      health.recordSignal(upstream.id, sign, now);
      this.#recordReach(upstream, sign, now);
    }
    if (result.outcome === AttemptOutcome.Answered) {
      quarantine.recordSurvival(this.#fingerprint);
    } else if (result.hasBroken && !this.#hasForwarded) {
      quarantine.recordCrash(this.#fingerprint, true, now);
    }
  }

  /** Learns from an attempt whether the upstream's failure domain can be reached. */
  #recordReach(
    { id, failureDomain }: PublishedUpstream,
    sign: HealthSignal,
    now: Milliseconds,
  ): void {
    const { reachability, fleet, log } = this.#context;
    if (sign === HealthSignal.Answered || sign === HealthSignal.Rejected) {
      reachability.recordReached(failureDomain);
      return;
    }
    if (sign !== HealthSignal.Unreachable) return;
    const isHeard = fleet.isDomainHeard(failureDomain, now);
    const wasCutOff = reachability.isUnreachable(failureDomain, isHeard, now);
    reachability.recordUnreachable(failureDomain, now);
    if (isHeard || wasCutOff) return;
    log.info("domainCutOff", {
      requestId: this.#exchange.facts.requestId,
      failureDomain,
      upstream: id,
    });
  }

  #getServiceLoad(upstreamId: string) {
    const { serviceLoads } = this.#context;
    const load = serviceLoads.get(upstreamId) ??
      {
        ownRunning: 0,
        reportedRunning: 0,
        reportedAt: Number.NEGATIVE_INFINITY,
      };
    serviceLoads.set(upstreamId, load);
    return load;
  }

  #selectServiceUpstream(): PublishedUpstream | undefined {
    const { view, health, backoff, failureDomain, serviceLoads } =
      this.#context;
    const now = performance.now();
    const upstreams = view.listServing(this.#service.name);
    const usable = listUsableUpstreams(this.#context, upstreams, now);
    this.#reopensInMs = usable.length === 0
      ? backoff.getShortestRemainingMs(upstreams, now)
      : undefined;
    const ranked = rankServiceUpstreams(usable, {
      failureDomain,
      health,
      getLoad: (id) => serviceLoads.get(id),
      tieBreakKey: this.#exchange.facts.requestId,
    }, now);
    return ranked.find((each) => !this.#passedOver.has(each.id)) ?? ranked[0];
  }
}
