/**
 * Handles one request: selects an upstream, sends attempts, and responds to the
 * caller once. The core decides whether to retry, deliver, refuse or fail; this
 * class carries the decisions out.
 */
import type { Buffer } from "node:buffer";
import { BodyFraming } from "../core/execution/body_framing.ts";
import { MAX_SMALL_CHUNKS } from "../core/execution/byte_accumulator.ts";
import { computeRetryAfterMs } from "../core/admission/retry_after.ts";
import {
  canDispatchWhileStopping,
  type RequestWork,
  type StopPeriod,
  STOPPING_RETRY_AFTER_MS,
} from "../core/admission/stop_admission.ts";
import {
  AttemptOutcome,
  decideRetry,
  isIdempotent,
  type RetryDecision,
} from "../core/execution/retry_decision.ts";
import {
  EventSplitter,
  findFirstEventId,
} from "../core/execution/event_splitter.ts";
import { PauseMeter } from "../core/execution/pause_meter.ts";
import { countSharingDaemons } from "../core/limits/fleet_retry_budget.ts";
import {
  canFollowEvent,
  isContinuation,
  type StreamHead,
} from "../core/execution/stream_continuation.ts";
import { HealthSignal } from "../core/placement/upstream_health.ts";
import { computeLongIdleLimit } from "../core/placement/idle_connections.ts";
import { rankPacedUpstreams } from "../core/placement/paced_ranking.ts";
import { rankServiceUpstreams } from "../core/placement/upstream_ranking.ts";
import type { Milliseconds } from "../core/structures.ts";
import { awaitTurnEnd } from "../daemon/unread_input.ts";
import {
  type PublishedRoute,
  type PublishedService,
  type PublishedUpstream,
  Repeatability,
} from "../core/view/published_view.ts";
import {
  type AttemptOptions,
  type AttemptResult,
  type AttemptTarget,
  classifyHealth,
  runAttempt,
  type RunningAttempt,
  SinkDecision,
} from "./attempt_runner.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { CrashGuard } from "./crash_guard.ts";
import { EngineSelector } from "./engine_selector.ts";
import { roundMs } from "./decision_log.ts";
import { isSuccess } from "./http_status.ts";
import {
  type AttemptMetadata,
  NotRunReason,
  type ResponseHead,
} from "./ports.ts";
import {
  encodeRelayUpstream,
  RelayVerdict,
  stripRelayHeaders,
} from "./relay_headers.ts";
import { RequestRelay } from "./request_relay.ts";
import type { RequestContext } from "./request_context.ts";
import { describeWork } from "./request_work.ts";
import { listUsableUpstreams } from "./usable_upstreams.ts";

/**
 * Maximum number of times that a request selects another upstream because the
 * selected one began to shut down or asked to back off.
 */
const MAX_RESELECTIONS = 3;
/**
 * Maximum size of one event in a stream. Events are some hundred bytes long;
 * the whole body of a caller is limited to 4 MB.
 */
const MAX_EVENT_BYTES = 1024 * 1024;
/**
 * Share of the remaining time that an idempotent request gives one upstream to
 * send the head of its response.
 */
const RESPONSE_HEADER_TIMEOUT_SHARE = 0.45;
/**
 * Time limit for the first event of a resumable stream, in multiples of the
 * route's latency objective; then another upstream is tried.
 */
const FIRST_EVENT_TIMEOUT_OBJECTIVES = 2;

/**
 * Maximum number of prompt parts in a log line: prompts have a few, and a line
 * must stay bounded whatever a caller sends.
 */
const MAX_LOGGED_PARTS = 8;

const Status = {
  NotFound: 404,
  BadGateway: 502,
  Unavailable: 503,
  GatewayTimeout: 504,
} as const;

/** What a request was found to ask for, and for whom. */
export interface RequestTarget {
  route: PublishedRoute;
  service: PublishedService;
  caller: AttemptMetadata["caller"];
}

export class RequestHandler {
  readonly #context: RequestContext;
  readonly #exchange: CallerExchange;
  readonly #route: PublishedRoute;
  readonly #service: PublishedService;
  readonly #caller: AttemptMetadata["caller"];
  readonly #work: RequestWork;
  /** When the request has to have its response. */
  #endsAt: Milliseconds;
  #deadlineTimer: ReturnType<typeof setTimeout> | undefined;
  /** Undefined unless the daemon is stopping. */
  #stop: StopPeriod | undefined;
  readonly #splitter: EventSplitter;
  readonly #excludedUpstreamIds = new Set<string>();
  readonly #rejectedBy = new Set<string>();
  #running: RunningAttempt | undefined;
  #totalAttempts = 0;
  #possibleRuns = 0;
  #hasForwarded = false;
  #isFinished = false;
  #head: (StreamHead & { rawHeaders: string[] }) | undefined;
  /** Id of the last event that was forwarded. */
  #forwardedEventId: string | undefined;
  /** Whether the current attempt has to show that it continues the stream. */
  #isContinuing = false;
  readonly #engineSelector: EngineSelector;
  readonly #relay: RequestRelay;
  readonly #crashGuard: CrashGuard;
  /** Time until the request, or the convicted part of its prompt, is tried again. */
  #quarantineMs: Milliseconds | undefined;
  /** Whether the current attempt's upstream has sent output. */
  #hasOutput = false;
  /** Upstream of the latest attempt. */
  #lastUpstream: PublishedUpstream | undefined;
  /**
   * Pauses of the current attempt; undefined unless the route declares an
   * objective for them.
   */
  readonly #pauseMeter: PauseMeter | undefined;
  #sentAt: Milliseconds = Number.NaN;
  #firstByteAt: Milliseconds = Number.NaN;
  #reselections = 0;
  /** Why the latest upstream was selected, for the log; empty without paces. */
  #placement: { placement?: string; pace?: number; load?: number } = {};
  /**
   * Time until the first upstream of a plain service accepts requests again, if
   * all of them asked to back off.
   */
  #shortestBackoffMs: Milliseconds | undefined;

  constructor(
    context: RequestContext,
    exchange: CallerExchange,
    target: RequestTarget,
    fingerprint: string,
  ) {
    this.#context = context;
    this.#exchange = exchange;
    this.#splitter = new EventSplitter({
      maxBytes: MAX_EVENT_BYTES,
      memory: context.memory,
      maxSmallChunks: MAX_SMALL_CHUNKS,
    });
    this.#route = target.route;
    this.#service = target.service;
    const hasPauseObjective = target.service.engine !== undefined &&
      target.route.interTokenObjectiveMs > 0;
    this.#pauseMeter = hasPauseObjective ? new PauseMeter() : undefined;
    this.#caller = target.caller;
    this.#crashGuard = new CrashGuard(
      context,
      exchange.metadata,
      target.service,
      fingerprint,
    );
    this.#work = describeWork(exchange, target);
    this.#endsAt = this.#work.deadlineAt;
    this.#engineSelector = new EngineSelector({
      context,
      exchange,
      ...target,
      getEndsAt: () => this.#endsAt,
      excludedUpstreamIds: this.#excludedUpstreamIds,
      isFinished: () => this.#isFinished,
    });
    this.#relay = new RequestRelay({
      context,
      exchange,
      serviceName: target.service.name,
      caller: target.caller,
      excludedPeerIds: this.#excludedUpstreamIds,
    });
  }

  /**
   * Handles the request; resolves when the response has been sent or the caller
   * has disconnected.
   */
  async run(): Promise<void> {
    const { retryBudget, metrics, convictionListeners } = this.#context;
    const handleConviction = () => this.#handleConviction();
    convictionListeners.add(handleConviction);
    if (this.#exchange.isRelayed) {
      metrics.count("requests", "relayed");
    } else {
      retryBudget.recordArrival(this.#service.name, performance.now());
      metrics.count("requests", this.#route.repeatability);
    }
    this.#scheduleDeadline();
    this.#exchange.onDisconnect(() => this.#handleDisconnect());
    try {
      while (!this.#isFinished) await this.#tryOnce();
    } finally {
      clearTimeout(this.#deadlineTimer);
      convictionListeners.delete(handleConviction);
      this.#crashGuard.finish();
      this.#splitter.takeRest();
    }
  }

  /**
   * Limits the request to the time until the daemon's shutdown ends. By then it
   * has a response, whatever its upstream does.
   */
  limitTo(stop: StopPeriod): void {
    this.#stop = stop;
    this.#endsAt = Math.min(this.#endsAt, stop.endsAt);
    if (this.#deadlineTimer !== undefined) this.#scheduleDeadline();
  }

  #scheduleDeadline(): void {
    clearTimeout(this.#deadlineTimer);
    this.#deadlineTimer = setTimeout(
      () => this.#handleDeadline(),
      Math.max(0, this.#getRemainingMs()),
    );
  }

  #getRemainingMs(): Milliseconds {
    return this.#endsAt - performance.now();
  }

  async #tryOnce(): Promise<void> {
    if (this.#refuseIfQuarantined() || this.#refuseIfStopping()) return;
    if (this.#relay.isCutOff) {
      await this.#tryRelay();
      return;
    }
    const upstream = await this.#selectUpstream();
    // A part may have been convicted, or the shutdown may have begun, while the
    // request waited for its permit.
    if (
      this.#isFinished || this.#refuseIfQuarantined() ||
      this.#refuseIfStopping()
    ) {
      this.#engineSelector.releaseEngine();
      return;
    }
    if (upstream && this.#isUnavailable(upstream)) {
      // The upstream began to shut down, or asked to back off, while the
      // request waited for its permit.
      this.#excludedUpstreamIds.add(upstream.id);
      this.#engineSelector.releaseEngine();
      this.#reselections += 1;
      if (this.#reselections <= MAX_RESELECTIONS) return;
    }
    if (!upstream || this.#isUnavailable(upstream)) {
      this.#applyVerdict(
        this.#shortestBackoffMs === undefined ? "noPlace" : "allBackedOff",
        this.#decideUnserved(),
      );
      return;
    }
    const result = await this.#sendAttempt(upstream);
    this.#engineSelector.releaseEngine(
      result,
      this.#pauseMeter?.longestPauseMs,
    );
    if (this.#isFinished) return;
    this.#recordResult(upstream, result);
    if (result.isConnectionBroken) {
      await this.#crashGuard.recordBreak(upstream, {
        hasResponseHead: isSuccess(result.status),
        hasOutput: this.#hasOutput,
        sentAt: this.#sentAt,
      });
      if (this.#isFinished) return;
    }
    this.#applyVerdict(result.detail, this.#decide(result), result);
  }

  /**
   * Selects an upstream, and reads the caller's departure if it lies beside the
   * permit or the end of the attempt before.
   */
  async #selectUpstream(): Promise<PublishedUpstream | undefined> {
    if (this.#service.engine) {
      const engine = await this.#engineSelector.selectEngine();
      await awaitTurnEnd();
      return engine;
    }
    if (this.#totalAttempts > 0) await awaitTurnEnd();
    return this.#isFinished ? undefined : this.#selectServiceUpstream();
  }

  /** Refuses the request if it, or one of its prompt parts, crashes upstreams. */
  #refuseIfQuarantined(): boolean {
    const refusal = this.#crashGuard.findRefusal(performance.now());
    if (!refusal) return false;
    this.#quarantineMs = refusal.retryAfterMs;
    this.#applyVerdict(
      "quarantined",
      this.#decideUnserved(),
      undefined,
      { trait: refusal.trait, retryAfterMs: roundMs(refusal.retryAfterMs) },
    );
    return true;
  }

  /** Refuses the request if an attempt could outlast the daemon. */
  #refuseIfStopping(): boolean {
    if (this.#canDispatch()) return false;
    this.#applyVerdict("stopping", this.#decideUnserved());
    return true;
  }

  /** Returns whether another attempt may begin, as far as a shutdown decides. */
  #canDispatch(): boolean {
    // A stream that has begun can only go on or break off.
    if (this.#stop === undefined || this.#hasForwarded) return true;
    return canDispatchWhileStopping(this.#stop, this.#work, performance.now());
  }

  /** Returns how the request ends now: as not run only if it certainly has not. */
  #decideUnserved(isTimeout = false): RetryDecision {
    const mayBeRunning = this.#running?.hasBeenSent() ?? false;
    return !mayBeRunning && this.#possibleRuns === 0
      ? { kind: "refuse" }
      : { kind: "fail", isTimeout };
  }

  /** Returns whether this daemon must not send the upstream a request now. */
  #isUnavailable(upstream: PublishedUpstream): boolean {
    const { view, backoff } = this.#context;
    const isLeaving = view.getUpstream(upstream.id)?.isLeaving ?? true;
    return isLeaving || backoff.getRemainingMs(upstream, performance.now()) > 0;
  }

  /** Records what a response head says about its upstream. */
  #handleHead(upstream: PublishedUpstream, head: ResponseHead): void {
    const { view, backoff, log, metrics, serviceLoads } = this.#context;
    const now = performance.now();
    const { requestId } = this.#exchange.metadata;
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
    if (head.reportedRunning !== undefined) {
      const isFirstPace = serviceLoads.recordReport(upstream.id, {
        requests: head.reportedRunning,
        waiting: head.reportedWaiting,
        slots: head.reportedSlots,
        pace: head.reportedPace,
      }, now);
      if (isFirstPace) {
        log.info("upstreamPaced", {
          requestId,
          upstream: upstream.id,
          pace: head.reportedPace,
          slots: head.reportedSlots,
        });
      }
    }
    if (head.notRunReason === NotRunReason.Rejected) {
      serviceLoads.recordRejection(upstream.id, now);
    }
  }

  async #sendAttempt(upstream: PublishedUpstream): Promise<AttemptResult> {
    const { headerCodec, crashProbe, path, serviceLoads, fleet } =
      this.#context;
    const { metadata } = this.#exchange;
    const mayReuseConnection = this.#canRetry();
    this.#lastUpstream = upstream;
    serviceLoads.recordStart(upstream.id);
    const result = await this.#runAttempt({
      id: upstream.id,
      address: upstream.address,
      rawHeaders: headerCodec.encodeAttemptHeaders(this.#listOwnHeaders(), {
        upstreamId: upstream.id,
        remainingMs: Math.max(1, this.#getRemainingMs()),
        adapterVersion: this.#engineSelector.adapterVersion,
        priorityRank: this.#service.engine && this.#route.priorityRank,
        lastEventId: this.#forwardedEventId ?? metadata.lastEventId,
        caller: this.#caller,
      }),
      decodeHead: ({ statusCode = 0, headers }) =>
        headerCodec.decodeResponseHead(statusCode, headers, metadata.requestId),
    }, {
      mayReuseConnection,
      // Counting the fleet takes time in proportion to it.
      longIdleLimit: mayReuseConnection
        ? computeLongIdleLimit(
          this.#service.maxConnections,
          fleet.countSharing(performance.now()),
        )
        : undefined,
      hasUpstreamCrashed: () => crashProbe.hasCrashed(upstream),
      handleConnect: () => path.recordReached(this.#service.name),
      handleHead: (head) => this.#handleHead(upstream, head),
    });
    serviceLoads.recordEnd(upstream.id);
    return result;
  }

  /** Returns the caller's headers, without those that a relaying peer added. */
  #listOwnHeaders(): string[] {
    const { rawHeaders, isRelayed } = this.#exchange;
    return isRelayed ? stripRelayHeaders(rawHeaders) : rawHeaders;
  }

  /** Sends the request over a peer, or ends it if there is none to try. */
  async #tryRelay(): Promise<void> {
    const { log, metrics } = this.#context;
    const { metadata } = this.#exchange;
    const peer = this.#relay.selectPeer(performance.now());
    if (!peer) {
      this.#applyVerdict("cutOff", this.#decideUnserved());
      return;
    }
    const result = this.#relay.toOwnResult(
      await this.#runAttempt(
        this.#relay.createTarget(peer, {
          remainingMs: Math.max(1, this.#getRemainingMs()),
          lastEventId: this.#forwardedEventId ?? metadata.lastEventId,
        }),
        {
          mayReuseConnection: false,
          hasUpstreamCrashed: () => Promise.resolve(false),
          handleConnect: () => {},
          handleHead: (head) => this.#handleRelayedHead(head),
        },
      ),
    );
    if (this.#isFinished) return;
    metrics.count("relays", result.outcome);
    metrics.measure(
      "relay",
      this.#route.repeatability,
      performance.now() - this.#sentAt,
    );
    log.info("requestRelayed", {
      requestId: metadata.requestId,
      peer: peer.id,
      upstream: this.#relay.upstreamId,
      outcome: result.outcome,
      status: result.status,
      elapsedMs: roundMs(performance.now() - this.#sentAt),
    });
    if (canHaveRun(result)) this.#possibleRuns += 1;
    const verdict: RetryDecision = this.#relay.isRefused
      ? this.#decideUnserved()
      : this.#decide(result);
    this.#applyVerdict(result.detail, verdict, result);
  }

  /** Records what a relayed response says about its upstream. */
  #handleRelayedHead(head: ResponseHead): void {
    const upstream = this.#context.view.getUpstream(
      this.#relay.upstreamId ?? "",
    );
    if (upstream) this.#handleHead(upstream, head);
  }

  async #runAttempt(
    target: AttemptTarget,
    options: Pick<
      AttemptOptions,
      | "mayReuseConnection"
      | "longIdleLimit"
      | "hasUpstreamCrashed"
      | "handleConnect"
      | "handleHead"
    >,
  ): Promise<AttemptResult> {
    const isStream = this.#route.repeatability === Repeatability.Stream;
    this.#totalAttempts += 1;
    this.#hasOutput = false;
    this.#pauseMeter?.clear();
    this.#sentAt = performance.now();
    const earlierEvents = this.#splitter.eventCount;
    this.#running = runAttempt(this.#context, {
      ...options,
      exchange: this.#exchange,
      target,
      responseHeaderTimeoutMs: this.#computeResponseHeaderTimeoutMs(),
      canDispatchAnother: () => this.#canDispatch(),
      sink: isStream
        ? {
          start: (head, rawHeaders) => this.#acceptStream(head, rawHeaders),
          push: (chunk) => this.#forwardChunk(chunk),
          getProgress: () => ({
            isInEvent: this.#splitter.isInEvent,
            eventCount: this.#splitter.eventCount - earlierEvents,
            incompleteEventBytes: this.#splitter.restBytes,
          }),
        }
        : undefined,
    });
    const result = await this.#running.result;
    this.#running = undefined;
    return result;
  }

  /** Keeps the head of the stream; returns whether the stream may be passed on. */
  #acceptStream(head: StreamHead, rawHeaders: string[]): boolean {
    if (!this.#hasForwarded || !this.#head) {
      this.#head = { ...head, rawHeaders };
      return true;
    }
    this.#isContinuing = true;
    return isContinuation(this.#head, head);
  }

  /** Returns whether the events may follow those that the caller has. */
  #canFollow(events: Buffer): boolean {
    const firstId = findFirstEventId(events);
    const lastId = this.#forwardedEventId;
    if (firstId === undefined || lastId === undefined) return true;
    this.#isContinuing = false;
    return canFollowEvent(lastId, firstId);
  }

  /** Forwards complete events; the head is sent with the first of them. */
  #forwardChunk(chunk: Buffer): SinkDecision {
    const events = this.#splitter.push(chunk);
    if (this.#splitter.hasOverflowed) return SinkDecision.Abort;
    if (events.length === 0 || this.#isFinished) return SinkDecision.Continue;
    if (this.#isContinuing && !this.#canFollow(events)) {
      return SinkDecision.Abort;
    }
    this.#recordOutput();
    this.#pauseMeter?.recordEvent(performance.now());
    if (!this.#hasForwarded) this.#startStream();
    this.#exchange.write(events);
    this.#forwardedEventId = this.#splitter.lastEventId;
    if (!this.#exchange.isWriteBufferFull) return SinkDecision.Continue;
    this.#pauseMeter?.recordInterruption();
    this.#context.metrics.count(
      "callers_backlogged",
      this.#route.repeatability,
    );
    this.#exchange.onDrain(() => this.#running?.resume());
    return SinkDecision.Pause;
  }

  /** Records that the upstream has produced output for the request. */
  #recordOutput(): void {
    if (this.#hasOutput) return;
    this.#hasOutput = true;
    this.#crashGuard.recordOutput(performance.now());
  }

  #startStream(): void {
    if (!this.#head) return;
    const { metrics } = this.#context;
    this.#hasForwarded = true;
    this.#exchange.startStream(
      this.#head.status,
      this.#completeHeaders(this.#head.rawHeaders),
    );
    this.#firstByteAt = performance.now();
    const elapsedMs = this.#firstByteAt - this.#exchange.arrivedAt;
    metrics.measure("first_byte", this.#route.repeatability, elapsedMs);
    this.#engineSelector.notifyFirstToken();
  }

  /**
   * Returns the headers of the response, without those that gateways set, and
   * with the upstream's id for a peer that relayed the request.
   */
  #completeHeaders(rawHeaders: readonly string[]): string[] {
    const headers = stripRelayHeaders(rawHeaders);
    const { id } = this.#lastUpstream ?? {};
    if (this.#exchange.isRelayed && id !== undefined) {
      headers.push(...encodeRelayUpstream(id));
    }
    return headers;
  }

  /** A relayed request has one attempt: the peer decides on any other. */
  get #maxAttempts(): number {
    return this.#exchange.isRelayed ? 1 : this.#route.maxAttempts;
  }

  #canRetry(): boolean {
    return isIdempotent(this.#route.repeatability, this.#route.isResumable);
  }

  #computeResponseHeaderTimeoutMs(): Milliseconds {
    const remainingMs = Math.max(1, this.#getRemainingMs());
    const isLastAttempt = !this.#canRetry() ||
      this.#possibleRuns + 1 >= this.#maxAttempts;
    if (isLastAttempt) return remainingMs;
    const { latencyObjectiveMs, repeatability } = this.#route;
    return repeatability === Repeatability.Stream
      ? Math.min(
        remainingMs,
        FIRST_EVENT_TIMEOUT_OBJECTIVES * latencyObjectiveMs,
      )
      : Math.max(
        latencyObjectiveMs,
        RESPONSE_HEADER_TIMEOUT_SHARE * remainingMs,
      );
  }

  #decide(result: AttemptResult): RetryDecision {
    const { retryBudget, fleet } = this.#context;
    const { repeatability } = this.#route;
    // A stream without ids could only begin anew.
    const isResumable = this.#route.isResumable &&
      (!this.#hasForwarded || this.#forwardedEventId !== undefined);
    return decideRetry({
      outcome: result.outcome,
      impliesNotRun: result.impliesNotRun,
      hasResponseStamp: result.hasResponseStamp,
      repeatability,
      isResumable,
      possibleRuns: this.#possibleRuns,
      maxAttempts: this.#maxAttempts,
      totalAttempts: this.#totalAttempts,
      remainingMs: this.#canDispatch() ? this.#getRemainingMs() : 0,
      isCrashSuspect: result.isConnectionBroken &&
        this.#crashGuard.isSuspect(performance.now()),
    }, () => {
      const now = performance.now();
      const daemons = countSharingDaemons(fleet, now);
      return retryBudget.trySpend(this.#service.name, daemons, now);
    });
  }

  /** Logs a verdict and carries it out. */
  #applyVerdict(
    reason: string,
    verdict: RetryDecision,
    result?: AttemptResult,
    details: object = {},
  ): void {
    const { log, metrics, view } = this.#context;
    const isDelivered = verdict.kind === "deliver";
    const fields = {
      requestId: this.#exchange.metadata.requestId,
      route: this.#route.name,
      customer: this.#caller?.customer,
      verdict: verdict.kind,
      reason,
      outcome: result?.outcome,
      upstream: result?.upstreamId,
      status: result?.status,
      isStamped: result?.impliesNotRun ? result.hasResponseStamp : undefined,
      attempts: this.#totalAttempts,
      ran: this.#possibleRuns,
      questions: this.#engineSelector.permitCount,
      objectiveMs: this.#route.latencyObjectiveMs,
      sentMs: roundMs(this.#sentAt - this.#exchange.arrivedAt),
      firstByteMs: roundMs(this.#firstByteAt - this.#exchange.arrivedAt),
      readDelayMs: roundMs(this.#exchange.readDelayMs),
      elapsedMs: roundMs(performance.now() - this.#exchange.arrivedAt),
      remainingMs: roundMs(this.#getRemainingMs()),
      configurationVersion: view.configuration?.version,
      ...this.#placement,
      ...this.#describeEnd(result),
    };
    if (isDelivered) {
      log.info("requestServed", fields);
    } else {
      log.info("requestDecision", {
        ...fields,
        ...this.#describeContent(),
        ...details,
      });
    }
    switch (verdict.kind) {
      case "tryAnother":
        metrics.count("repeats", result?.outcome ?? reason);
        if (result) this.#excludeUpstream(result);
        // Drops the incomplete event: the next upstream starts with a complete
        // one.
        this.#splitter.takeRest();
        break;
      case "deliver":
        this.#deliver(result);
        break;
      case "withhold":
        metrics.count("withheld_responses", String(result?.status));
        metrics.count("failures", result?.outcome ?? reason);
        this.#fail(false, reason);
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

  /**
   * Describes for the log how the response ended, if its connection had to show
   * the end, on either side.
   */
  #describeEnd(result: AttemptResult | undefined): object {
    const { endDetails } = result ?? {};
    const isShown = endDetails && (endDetails.framing === BodyFraming.Close ||
      !endDetails.isClean);
    return {
      ...(isShown ? endDetails : {}),
      callerFraming: this.#exchange.isFramedByClose
        ? BodyFraming.Close
        : undefined,
    };
  }

  /**
   * Describes for the log what a failed request shares with others, and the
   * start of the upstream process that it was last sent to.
   */
  #describeContent(): object {
    const { model, adapter, promptParts } = this.#exchange.metadata;
    return {
      adapter: adapter === "" ? undefined : `${model}/${adapter}`,
      promptParts: promptParts.length === 0
        ? undefined
        : promptParts.slice(0, MAX_LOGGED_PARTS).map((part) => part.id),
      fingerprint: this.#crashGuard.fingerprint,
      upstreamBornAtUnixMs: this.#lastUpstream?.bornAtUnixMs,
    };
  }

  /**
   * Excludes the upstream from further attempts. An engine is excluded only
   * after its second rejection: the first one may mean that a load had not
   * completed.
   */
  #excludeUpstream(result: AttemptResult): void {
    const { upstreamId } = result;
    const isFirstRejection = this.#service.engine !== undefined &&
      result.outcome === AttemptOutcome.NotRun &&
      !this.#rejectedBy.has(upstreamId);
    if (isFirstRejection) this.#rejectedBy.add(upstreamId);
    else this.#excludedUpstreamIds.add(upstreamId);
  }

  #deliver(result: AttemptResult | undefined): void {
    this.#isFinished = true;
    const elapsedMs = performance.now() - this.#exchange.arrivedAt;
    this.#context.metrics.measure(
      "whole_answer",
      this.#route.repeatability,
      elapsedMs,
    );
    if (result?.response && !this.#hasForwarded) {
      const { status, rawHeaders, body } = result.response;
      this.#exchange.sendResponse(
        status,
        this.#completeHeaders(rawHeaders),
        body,
      );
      return;
    }
    if (result?.response) {
      // The head of the stream has been sent, so that the failure can only be
      // signalled by closing the connection.
      this.#exchange.abort();
      return;
    }
    if (!this.#hasForwarded) this.#startStream();
    this.#exchange.write(this.#splitter.takeRest());
    this.#exchange.end();
  }

  #refuse(reason: string): void {
    this.#isFinished = true;
    if (this.#hasForwarded) {
      this.#exchange.abort();
      return;
    }
    const headers = this.#context.headerCodec.encodeRefusalHeaders(
      this.#computeRetryAfterMs(),
    );
    this.#exchange.sendError(
      Status.Unavailable,
      headers,
      `not run: ${reason}`,
      this.#isHostUnable() ? RelayVerdict.Unable : RelayVerdict.Refused,
    );
  }

  /** Returns whether a reason that concerns this host alone keeps it from serving. */
  #isHostUnable(): boolean {
    return this.#relay.isCutOff || !this.#canDispatch() ||
      this.#shortestBackoffMs !== undefined;
  }

  #computeRetryAfterMs(): Milliseconds {
    if (this.#quarantineMs !== undefined) return this.#quarantineMs;
    if (!this.#canDispatch()) return STOPPING_RETRY_AFTER_MS;
    return computeRetryAfterMs({
      requestId: this.#exchange.metadata.requestId,
      expectedWaitMs: this.#relay.isCutOff
        ? this.#relay.retryAfterMs
        : this.#shortestBackoffMs ?? this.#engineSelector.expectedWaitMs,
      remainingMs: this.#getRemainingMs(),
    });
  }

  #fail(isTimeout: boolean, reason: string): void {
    this.#isFinished = true;
    if (this.#hasForwarded) {
      this.#exchange.abort();
      return;
    }
    const status = isTimeout ? Status.GatewayTimeout : Status.BadGateway;
    this.#exchange.sendError(
      status,
      [],
      `may have run: ${reason}`,
      RelayVerdict.MayHaveRun,
    );
  }

  #handleDeadline(): void {
    if (this.#isFinished) return;
    const verdict = this.#decideUnserved(true);
    this.#running?.cancel();
    const isCutShort = this.#endsAt < this.#work.deadlineAt;
    this.#applyVerdict(isCutShort ? "stopping" : "deadline", verdict);
  }

  /**
   * Ends the request if it waits for an upstream, or at one, that it would
   * crash.
   */
  #handleConviction(): void {
    if (this.#isFinished || this.#hasOutput) return;
    if (!this.#crashGuard.isConvicted(performance.now())) return;
    const verdict = this.#decideUnserved();
    this.#running?.cancel();
    this.#applyVerdict("convicted", verdict);
  }

  #handleDisconnect(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#context.metrics.count("callers_gone", this.#route.repeatability);
    this.#context.log.info("callerGone", {
      requestId: this.#exchange.metadata.requestId,
      route: this.#route.name,
      attempts: this.#totalAttempts,
      hasStarted: this.#hasForwarded,
      sentMs: roundMs(this.#sentAt - this.#exchange.arrivedAt),
      readDelayMs: roundMs(this.#exchange.readDelayMs),
      elapsedMs: roundMs(performance.now() - this.#exchange.arrivedAt),
    });
    if (this.#lastUpstream && this.#running?.hasBeenSent()) {
      this.#crashGuard.recordDeparture(this.#lastUpstream, this.#sentAt);
    }
    this.#running?.cancel();
  }

  #recordResult(upstream: PublishedUpstream, result: AttemptResult): void {
    const { health, metrics, path } = this.#context;
    const now = performance.now();
    metrics.count("attempts", result.outcome);
    if (result.endDetails?.framing === BodyFraming.Close) {
      metrics.count("unframed_responses", result.outcome);
    }
    if (canHaveRun(result)) this.#possibleRuns += 1;
    if (result.isUnreachable) path.recordUnreachable(upstream, now);
    const signal = classifyHealth(result);
    if (signal) {
      health.recordSignal(upstream.id, signal, now);
      this.#recordReachability(upstream, signal, now);
    }
    if (result.outcome === AttemptOutcome.Answered) {
      if (result.response) this.#recordOutput();
      this.#crashGuard.recordCompletion(now);
    }
  }

  /** Records whether the attempt could reach the upstream's failure domain. */
  #recordReachability(
    { id, failureDomain }: PublishedUpstream,
    signal: HealthSignal,
    now: Milliseconds,
  ): void {
    const { reachability, fleet, log } = this.#context;
    if (signal === HealthSignal.Answered || signal === HealthSignal.Rejected) {
      reachability.recordReached(failureDomain);
      return;
    }
    if (signal !== HealthSignal.Unreachable) return;
    const hasAlivePeer = fleet.hasAlivePeer(failureDomain, now);
    const wasUnreachable = reachability.isUnreachable(
      failureDomain,
      hasAlivePeer,
      now,
    );
    reachability.recordUnreachable(failureDomain, now);
    if (hasAlivePeer || wasUnreachable) return;
    log.info("domainCutOff", {
      requestId: this.#exchange.metadata.requestId,
      failureDomain,
      upstream: id,
    });
  }

  #selectServiceUpstream(): PublishedUpstream | undefined {
    const { view, health, backoff, failureDomain, serviceLoads } =
      this.#context;
    const now = performance.now();
    const upstreams = view.listServing(this.#service.name);
    const usable = listUsableUpstreams(this.#context, upstreams, now);
    this.#shortestBackoffMs = usable.length === 0
      ? backoff.getShortestRemainingMs(upstreams, now)
      : undefined;
    if (upstreams.some(({ id }) => serviceLoads.hasPace(id))) {
      return this.#selectPacedUpstream(usable, now);
    }
    const ranked = rankServiceUpstreams(usable, {
      failureDomain,
      health,
      getLoad: (id) => serviceLoads.get(id),
      tieBreakKey: this.#exchange.metadata.requestId,
    }, now);
    return ranked.find((each) => !this.#excludedUpstreamIds.has(each.id)) ??
      ranked[0];
  }

  /** Selects an upstream of a plain service some of which report their pace. */
  #selectPacedUpstream(
    usable: readonly PublishedUpstream[],
    now: Milliseconds,
  ): PublishedUpstream | undefined {
    const { health, failureDomain, serviceLoads, metrics } = this.#context;
    const untried = usable.filter(({ id }) =>
      !this.#excludedUpstreamIds.has(id)
    );
    const { upstreams: [selected], reason } = rankPacedUpstreams(
      untried.length > 0 ? untried : usable,
      {
        failureDomain,
        health,
        loads: serviceLoads,
        spreadKey: this.#exchange.metadata.requestId,
      },
      now,
    );
    if (!selected) return undefined;
    metrics.count("service_placements", reason);
    const { pace, requests } = serviceLoads.estimateLoad(selected.id, now);
    this.#placement = {
      placement: reason,
      pace: roundEstimate(pace),
      load: roundEstimate(requests),
    };
    return selected;
  }
}

/** Rounds an estimate to two digits after the point, for the log. */
function roundEstimate(value: number): number {
  return Math.round(value * 100) / 100;
}

function canHaveRun({ outcome }: AttemptResult): boolean {
  return outcome !== AttemptOutcome.NotRun &&
    outcome !== AttemptOutcome.NotSent;
}
