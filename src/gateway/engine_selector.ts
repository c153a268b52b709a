/**
 * Selects the engine for one request and obtains a permit there. The owners of
 * the candidate engines are asked in rank order, the adapter's preferred engine
 * first; if all deny, the request waits for a permit of the engine where the
 * first token is expected soonest. If no owner can be asked, it goes without a
 * permit to an engine on which the adapter is reported as resident.
 */
import {
  DenialReason,
  type PermitAnswer,
} from "../core/admission/admission_controller.ts";
import { DEFAULT_PREFILL_TOKENS_PER_MS } from "../core/admission/batch_capacity.ts";
import { computeMaxPermitWaitMs } from "../core/admission/permit_wait.ts";
import { AttemptOutcome } from "../core/execution/retry_decision.ts";
import { hashText } from "../core/hashing.ts";
import { formatAdapterPath } from "../core/placement/adapter_path.ts";
import {
  type DomainDemand,
  MAX_ADAPTER_REPLICAS,
  rankEngines,
} from "../core/placement/upstream_ranking.ts";
import type { Milliseconds } from "../core/structures.ts";
import type {
  PublishedRoute,
  PublishedService,
  PublishedUpstream,
} from "../core/view/published_view.ts";
import type { AttemptResult } from "./attempt_runner.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { PermitReply } from "./permit_client.ts";
import { type AttemptMetadata, NotRunReason } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import { listUsableUpstreams } from "./usable_upstreams.ts";

/**
 * Amount by which the expected wait at an engine of lower rank must be shorter
 * for the request to go there.
 */
const MIN_SPILLOVER_GAIN_MS = 120;
/**
 * Time from the claim of an engine by a new owner until its peers know of it
 * and a load has completed.
 */
const CLAIM_PROPAGATION_MS = 500;
/**
 * Time after which the owner is to take a load for complete that had not
 * completed when the request reached the engine.
 */
const LATE_LOAD_DELAY_MS = 60;
/** Retry-After of a refusal for which there is no estimate. */
const DEFAULT_RETRY_AFTER_MS = 300;

/**
 * The engine that the request was sent to, and the id of its permit there. The
 * id is also set for a request that went without a permit.
 */
interface EngineAssignment {
  engine: PublishedUpstream;
  permitId: string;
}

export interface EngineSelectorOptions {
  context: RequestContext;
  exchange: CallerExchange;
  route: PublishedRoute;
  service: PublishedService;
  caller: AttemptMetadata["caller"];
  /** Returns when the request has to have ended. */
  getEndsAt: () => Milliseconds;
  /** Upstreams that are not to be tried again for this request. */
  excludedUpstreamIds: ReadonlySet<string>;
  isFinished: () => boolean;
}

export class EngineSelector {
  readonly #options: EngineSelectorOptions;
  readonly #context: RequestContext;
  readonly #exchange: CallerExchange;
  /** Tells customers apart at the owner; undefined for requests without one. */
  readonly #customerHash: number | undefined;
  #expectedWaitMs: Milliseconds = DEFAULT_RETRY_AFTER_MS;
  #assignment: EngineAssignment | undefined;
  #permitCount = 0;
  /** Whether the request has been counted as demand for its adapter. */
  #hasRecordedDemand = false;

  constructor(options: EngineSelectorOptions) {
    this.#options = options;
    this.#context = options.context;
    this.#exchange = options.exchange;
    const customer = options.caller?.customer;
    this.#customerHash = customer === undefined
      ? undefined
      : hashText(customer);
  }

  /**
   * Number of permit ids used so far: one for each permit that was requested,
   * and one for each assignment without a permit.
   */
  get permitCount(): number {
    return this.#permitCount;
  }

  /**
   * Time after which a permit is likely to be granted; basis of the Retry-After
   * of a refusal.
   */
  get expectedWaitMs(): Milliseconds {
    return this.#expectedWaitMs;
  }

  /**
   * Version that the request's adapter must have; undefined if none is
   * declared.
   */
  get adapterVersion(): number | undefined {
    return this.#exchange.metadata.adapter === ""
      ? undefined
      : this.#context.view.getAdapterVersion(this.#getAdapterPath());
  }

  /**
   * Returns the engine that is to run the request, or undefined if there is
   * none. `releaseEngine` has to be called after the attempt.
   */
  async selectEngine(): Promise<PublishedUpstream | undefined> {
    const { view, health, backoff } = this.#context;
    const { metadata } = this.#exchange;
    const serving = view.listServing(this.#options.service.name).filter((
      engine,
    ) => metadata.model === "" || engine.models.includes(metadata.model));
    const startedAt = performance.now();
    const engines = listUsableUpstreams(this.#context, serving, startedAt);
    if (engines.length === 0) {
      this.#expectedWaitMs =
        backoff.getShortestRemainingMs(serving, startedAt) ??
          DEFAULT_RETRY_AFTER_MS;
      return undefined;
    }
    const placementKey = metadata.adapter === ""
      ? `${metadata.model}|${metadata.promptParts[0]?.id ?? metadata.requestId}`
      : this.#getAdapterPath();
    this.#recordDemand(placementKey, startedAt);
    const ranked = rankEngines(
      placementKey,
      engines,
      this.#computeDemand(placementKey, startedAt),
      health,
      startedAt,
    );
    const untried = ranked.filter((each) =>
      !this.#options.excludedUpstreamIds.has(each.id)
    );
    const candidates = (untried.length > 0 ? untried : ranked)
      .filter((engine) => this.#context.engines.canRequestPermit(engine.id))
      .slice(0, MAX_ADAPTER_REPLICAS);
    let shortestWait:
      | { engine: PublishedUpstream; ms: Milliseconds }
      | undefined;
    for (const engine of candidates) {
      const { answer, grantorId } = await this.#requestPermit(engine, false);
      if (this.#applyPermitAnswer(engine, answer, grantorId)) return engine;
      if (this.#options.isFinished() || answer.kind !== "denied") {
        return undefined;
      }
      if (answer.reason === DenialReason.Overdue) return undefined;
      if (answer.reason === DenialReason.NotOwner) continue;
      // Each further engine that serves an adapter costs a load: an engine of
      // lower rank is chosen only if its wait is clearly shorter.
      const isClearlyShorter = !shortestWait ||
        answer.retryAfterMs < shortestWait.ms - MIN_SPILLOVER_GAIN_MS;
      if (isClearlyShorter) {
        shortestWait = { engine, ms: answer.retryAfterMs };
      }
    }
    if (candidates.length === 0) {
      this.#expectedWaitMs = this.#context.engines.estimateClaimMs() +
        CLAIM_PROPAGATION_MS;
    }
    if (!shortestWait) {
      return this.#assignWithoutPermit(this.#findEngineWithAdapter(ranked));
    }
    const { engine } = shortestWait;
    const { answer, grantorId } = await this.#requestPermit(engine, true);
    return this.#applyPermitAnswer(engine, answer, grantorId)
      ? engine
      : undefined;
  }

  /** Counts the request as demand for its adapter, once. */
  #recordDemand(placementKey: string, now: Milliseconds): void {
    if (this.#hasRecordedDemand) return;
    this.#hasRecordedDemand = true;
    const { promptTokens, promptParts } = this.#exchange.metadata;
    const sharedTokens = promptParts.slice(0, -1)
      .reduce((sum, part) => sum + part.tokens, 0);
    this.#context.demand.recordRequest({
      adapterPath: placementKey,
      unsharedPromptTokens: Math.max(0, promptTokens - sharedTokens),
    }, now);
  }

  /**
   * Estimates the demand in this failure domain from that at this daemon: the
   * callers of a failure domain are spread evenly over its hosts.
   */
  #computeDemand(placementKey: string, now: Milliseconds): DomainDemand {
    const { demand, engines, failureDomain, fleet } = this.#context;
    const rate = demand.getRate(placementKey, now);
    const hosts = fleet.countAliveIn(failureDomain, now);
    return {
      failureDomain,
      concurrentRuns: hosts * rate.requestsPerMs * engines.permits.meanRunMs,
      prefillLoad: hosts * rate.tokensPerMs / DEFAULT_PREFILL_TOKENS_PER_MS,
      isLoadNeeded: this.#exchange.metadata.adapter !== "",
      spreadKey: this.#exchange.metadata.requestId,
    };
  }

  /**
   * Assigns an engine without a permit. The run is recorded, so that it can be
   * reported to the engine's next owner.
   */
  #assignWithoutPermit(
    engine: PublishedUpstream | undefined,
  ): PublishedUpstream | undefined {
    if (!engine || this.#options.isFinished()) return undefined;
    this.#permitCount += 1;
    const permitId = this.#formatPermitId();
    this.#addRun(engine, permitId, undefined);
    return engine;
  }

  #addRun(
    engine: PublishedUpstream,
    permitId: string,
    reportedTo: string | undefined,
  ): void {
    const { metadata } = this.#exchange;
    this.#assignment = { engine, permitId };
    this.#context.engines.permits.addRun({
      engineId: engine.id,
      permitId,
      reportedTo,
      adapterPath: this.#getAdapterPath(),
      promptTokens: metadata.promptTokens,
      outputTokens: metadata.outputTokens,
      promptParts: metadata.promptParts,
      startedAt: performance.now(),
      endsAt: this.#options.getEndsAt(),
    });
  }

  /**
   * Returns the first engine on which the adapter is reported as resident, in
   * the required version or a newer one. Used if no owner can be asked.
   */
  #findEngineWithAdapter(
    ranked: readonly PublishedUpstream[],
  ): PublishedUpstream | undefined {
    const { metadata } = this.#exchange;
    const path = this.#getAdapterPath();
    const version = this.adapterVersion;
    return ranked.find((engine) => {
      if (this.#options.excludedUpstreamIds.has(engine.id)) return false;
      if (metadata.adapter === "") return true;
      const residentVersion = engine.adapters.get(path);
      return residentVersion !== undefined &&
        (version === undefined || residentVersion >= version);
    });
  }

  #requestPermit(
    engine: PublishedUpstream,
    isLastChoice: boolean,
  ): Promise<PermitReply> {
    const { selfId, engines } = this.#context;
    const { metadata } = this.#exchange;
    const { latencyObjectiveMs, interTokenObjectiveMs, priorityRank } =
      this.#options.route;
    const remainingMs = Math.max(
      1,
      this.#options.getEndsAt() - performance.now(),
    );
    const elapsedMs = performance.now() - this.#exchange.arrivedAt;
    const firstTokenBudgetMs = Math.max(0, latencyObjectiveMs - elapsedMs);
    const patienceMs = computeMaxPermitWaitMs({
      latencyObjectiveMs,
      interTokenObjectiveMs,
      elapsedMs,
      remainingMs,
    });
    this.#permitCount += 1;
    return engines.permits.requestPermit(engine, {
      permitId: this.#formatPermitId(),
      holder: selfId,
      model: metadata.model,
      adapter: metadata.adapter,
      adapterPath: this.#getAdapterPath(),
      version: this.adapterVersion,
      priorityRank,
      latencyObjectiveMs,
      customer: this.#customerHash,
      promptTokens: metadata.promptTokens,
      outputTokens: metadata.outputTokens,
      promptParts: metadata.promptParts,
      patienceMs,
      firstTokenBudgetMs,
      interTokenObjectiveMs: interTokenObjectiveMs > 0
        ? interTokenObjectiveMs
        : undefined,
      lifetimeMs: remainingMs,
      isLastChoice,
    });
  }

  /** Applies an owner's answer; returns whether it granted the permit. */
  #applyPermitAnswer(
    engine: PublishedUpstream,
    answer: PermitAnswer,
    grantorId: string,
  ): boolean {
    switch (answer.kind) {
      case "granted":
        this.#addRun(engine, answer.permitId, grantorId);
        return true;
      case "denied":
        this.#expectedWaitMs = answer.retryAfterMs;
        this.#context.log.info("placeDenied", {
          requestId: this.#exchange.metadata.requestId,
          upstream: engine.id,
          grantor: grantorId,
          reason: answer.reason,
          retryAfterMs: answer.retryAfterMs,
          customer: this.#options.caller?.customer,
        });
        return false;
    }
  }

  /**
   * Releases the permit after the attempt, and tells the owner if the engine
   * did not run the request, or how long the stream paused at most.
   */
  releaseEngine(
    result?: AttemptResult,
    longestPauseMs?: Milliseconds,
  ): void {
    const assignment = this.#assignment;
    this.#assignment = undefined;
    if (!assignment) return;
    const isUnusable = result?.outcome === AttemptOutcome.NotRun;
    const backoffMs = this.#context.backoff
      .getRemainingMs(assignment.engine, performance.now());
    this.#context.engines.permits.notifyOwner(
      isUnusable
        ? {
          kind: "permitUnusable",
          engineId: assignment.engine.id,
          permitId: assignment.permitId,
          isMisdirected: result.notRunReason === NotRunReason.Misdirected,
          delayMs: LATE_LOAD_DELAY_MS,
          backoffMs,
        }
        : {
          kind: "permitReleased",
          engineId: assignment.engine.id,
          permitId: assignment.permitId,
          longestPauseMs,
        },
    );
  }

  /** Tells the owner that the engine has finished prefill of the request. */
  notifyFirstToken(): void {
    if (!this.#assignment) return;
    this.#context.engines.permits.notifyOwner({
      kind: "firstToken",
      engineId: this.#assignment.engine.id,
      permitId: this.#assignment.permitId,
    });
  }

  /** Returns an id that differs from those of a host that relayed the request. */
  #formatPermitId(): string {
    const { metadata, isRelayed } = this.#exchange;
    const suffix = isRelayed ? `.${this.#context.selfId}` : "";
    return `${metadata.requestId}${suffix}.${this.#permitCount}`;
  }

  #getAdapterPath(): string {
    const { model, adapter } = this.#exchange.metadata;
    return formatAdapterPath(model, adapter);
  }
}
