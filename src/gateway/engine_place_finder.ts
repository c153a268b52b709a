/**
 * Finds a place in an engine for one request: asks the holders of the engines
 * that may have its adapter, home first, and waits where the first token comes
 * soonest. Without a holder to ask, goes where the adapter is said to be.
 */
import {
  DenialReason,
  type PermitAnswer,
} from "../core/admission/engine_desk.ts";
import { DEFAULT_PREFILL_TOKENS_PER_MS } from "../core/admission/batch_room.ts";
import { computeMaxPermitWaitMs } from "../core/admission/place_patience.ts";
import { AttemptOutcome } from "../core/execution/attempt_verdict.ts";
import { formatAdapterPath } from "../core/placement/adapter_path.ts";
import {
  type DomainDemand,
  MAX_ADAPTER_REPLICAS,
  rankEngines,
} from "../core/placement/upstream_choice.ts";
import type { Milliseconds } from "../core/structures.ts";
import type {
  PublishedRoute,
  PublishedService,
  PublishedUpstream,
} from "../core/view/published_view.ts";
import type { AttemptResult } from "./attempt_runner.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { PermitReply } from "./permit_client.ts";
import { NotRunReason } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import { listUsableUpstreams } from "./usable_upstreams.ts";

/** Time by which another engine must be faster than an adapter's home. */
const COPY_GAIN_MS = 120;
/** Time from a claim until peers have heard of it and a load is done. */
const CLAIM_SLACK_MS = 500;
/** Delay before a load that was not done is asked for again. */
const NOT_READY_DELAY_MS = 60;
/** Return time for a refusal that no estimate speaks for. */
const DEFAULT_RETRY_AFTER_MS = 300;

/** A place in an engine's batch, or the right to go there without one. */
interface EnginePlace {
  engine: PublishedUpstream;
  permitId: string;
}

export interface EnginePlaceFinderOptions {
  context: RequestContext;
  exchange: CallerExchange;
  route: PublishedRoute;
  service: PublishedService;
  /** When the request has to be over. */
  endsAt: Milliseconds;
  /** Upstreams that are not to be tried again. */
  passedOver: ReadonlySet<string>;
  isFinished: () => boolean;
}

export class EnginePlaceFinder {
  readonly #options: EnginePlaceFinderOptions;
  readonly #context: RequestContext;
  readonly #exchange: CallerExchange;
  #expectedMs: Milliseconds = DEFAULT_RETRY_AFTER_MS;
  #place: EnginePlace | undefined;
  #placeCount = 0;
  /** Whether the request has been counted as demand. */
  #isCounted = false;

  constructor(options: EnginePlaceFinderOptions) {
    this.#options = options;
    this.#context = options.context;
    this.#exchange = options.exchange;
  }

  /** Questions for a place that were asked so far. */
  get questions(): number {
    return this.#placeCount;
  }

  /** Time after which a place is expected, for a request that is refused. */
  get expectedMs(): Milliseconds {
    return this.#expectedMs;
  }

  /** Version that the request's adapter must have; undefined when none is declared. */
  get adapterVersion(): number | undefined {
    return this.#exchange.facts.adapter === ""
      ? undefined
      : this.#context.view.getAdapterVersion(this.#getAdapterPath());
  }

  /** Finds an engine with a place for the request; the place is released after the attempt. */
  async findEngine(): Promise<PublishedUpstream | undefined> {
    const { view, health, backoff } = this.#context;
    const { facts } = this.#exchange;
    const serving = view.listServing(this.#options.service.name).filter((
      engine,
    ) => facts.model === "" || engine.models.includes(facts.model));
    const startedAt = performance.now();
    const engines = listUsableUpstreams(this.#context, serving, startedAt);
    if (engines.length === 0) {
      this.#expectedMs = backoff.getShortestRemainingMs(serving, startedAt) ??
        DEFAULT_RETRY_AFTER_MS;
      return undefined;
    }
    const placementKey = facts.adapter === ""
      ? `${facts.model}|${facts.promptParts[0]?.id ?? facts.requestId}`
      : this.#getAdapterPath();
    this.#recordDemand(placementKey, startedAt);
    const ranked = rankEngines(
      placementKey,
      engines,
      this.#describeDemand(placementKey, startedAt),
      health,
      startedAt,
    );
    const fresh = ranked.filter((each) =>
      !this.#options.passedOver.has(each.id)
    );
    const candidates = (fresh.length > 0 ? fresh : ranked)
      .filter((engine) => this.#context.engines.hasHolder(engine.id))
      .slice(0, MAX_ADAPTER_REPLICAS);
    let shortest: { engine: PublishedUpstream; ms: Milliseconds } | undefined;
    for (const engine of candidates) {
      const { answer, grantorId } = await this.#askPlace(engine, false);
      if (this.#takeAnswer(engine, answer, grantorId)) return engine;
      if (this.#options.isFinished() || answer.kind !== "denied") {
        return undefined;
      }
      if (answer.reason === DenialReason.Overdue) return undefined;
      if (answer.reason === DenialReason.NotOwner) continue;
      // Each copy of an adapter costs a load: the home is left only for a clear gain.
      const isClearlyShorter = !shortest ||
        answer.retryAfterMs < shortest.ms - COPY_GAIN_MS;
      if (isClearlyShorter) {
        shortest = { engine, ms: answer.retryAfterMs };
      }
    }
    if (candidates.length === 0) {
      this.#expectedMs = this.#context.engines.estimateClaimMs() +
        CLAIM_SLACK_MS;
    }
    if (!shortest) {
      return this.#assignWithoutPermit(this.#findResident(ranked));
    }
    const { engine } = shortest;
    const { answer, grantorId } = await this.#askPlace(engine, true);
    return this.#takeAnswer(engine, answer, grantorId) ? engine : undefined;
  }

  /** Counts the request as demand, once. */
  #recordDemand(placementKey: string, now: Milliseconds): void {
    if (this.#isCounted) return;
    this.#isCounted = true;
    const { promptTokens, promptParts } = this.#exchange.facts;
    const sharedTokens = promptParts.slice(0, -1)
      .reduce((sum, part) => sum + part.tokens, 0);
    this.#context.demand.recordRequest({
      adapterPath: placementKey,
      unsharedPromptTokens: Math.max(0, promptTokens - sharedTokens),
    }, now);
  }

  /** Returns how much is asked for in this failure domain, whose callers come to its hosts alike. */
  #describeDemand(placementKey: string, now: Milliseconds): DomainDemand {
    const { demand, engines, failureDomain, fleet } = this.#context;
    const rate = demand.getRate(placementKey, now);
    const hosts = fleet.countLivingIn(failureDomain, now);
    return {
      failureDomain,
      concurrentRuns: hosts * rate.requestsPerMs * engines.permits.meanRunMs,
      prefillLoad: hosts * rate.tokensPerMs / DEFAULT_PREFILL_TOKENS_PER_MS,
      isLoadNeeded: this.#exchange.facts.adapter !== "",
      spreadKey: this.#exchange.facts.requestId,
    };
  }

  /** Notes the run, so that a holder to come knows of it. */
  #assignWithoutPermit(
    engine: PublishedUpstream | undefined,
  ): PublishedUpstream | undefined {
    if (!engine || this.#options.isFinished()) return undefined;
    this.#placeCount += 1;
    const permitId = `${this.#exchange.facts.requestId}.${this.#placeCount}`;
    this.#addRun(engine, permitId, undefined);
    return engine;
  }

  #addRun(
    engine: PublishedUpstream,
    permitId: string,
    knownTo: string | undefined,
  ): void {
    const { facts } = this.#exchange;
    this.#place = { engine, permitId };
    this.#context.engines.permits.addRun({
      engineId: engine.id,
      permitId,
      knownTo,
      adapterPath: this.#getAdapterPath(),
      promptTokens: facts.promptTokens,
      outputTokens: facts.outputTokens,
      promptParts: facts.promptParts,
      startedAt: performance.now(),
      endsAt: this.#options.endsAt,
    });
  }

  /** Without a holder to ask, goes where the adapter is said to be resident. */
  #findResident(
    ranked: readonly PublishedUpstream[],
  ): PublishedUpstream | undefined {
    const { facts } = this.#exchange;
    const path = this.#getAdapterPath();
    const version = this.adapterVersion;
    return ranked.find((engine) => {
      if (this.#options.passedOver.has(engine.id)) return false;
      if (facts.adapter === "") return true;
      const held = engine.adapters.get(path);
      return held !== undefined && (version === undefined || held >= version);
    });
  }

  #askPlace(
    engine: PublishedUpstream,
    isLastChoice: boolean,
  ): Promise<PermitReply> {
    const { selfId, engines } = this.#context;
    const { facts } = this.#exchange;
    const { latencyObjectiveMs, pauseObjectiveMs, priorityRank } =
      this.#options.route;
    const remainingMs = Math.max(1, this.#options.endsAt - performance.now());
    const elapsedMs = performance.now() - this.#exchange.arrivedAt;
    const firstTokenBudgetMs = Math.max(0, latencyObjectiveMs - elapsedMs);
    const patienceMs = computeMaxPermitWaitMs({
      latencyObjectiveMs,
      pauseObjectiveMs,
      elapsedMs,
      remainingMs,
    });
    this.#placeCount += 1;
    return engines.permits.askPermit(engine, {
      permitId: `${facts.requestId}.${this.#placeCount}`,
      holder: selfId,
      model: facts.model,
      adapter: facts.adapter,
      adapterPath: this.#getAdapterPath(),
      version: this.adapterVersion,
      priorityRank,
      promptTokens: facts.promptTokens,
      outputTokens: facts.outputTokens,
      promptParts: facts.promptParts,
      patienceMs,
      firstTokenBudgetMs,
      lifetimeMs: remainingMs,
      isLastChoice,
    });
  }

  /** Returns whether the answer grants a place that is still wanted. */
  #takeAnswer(
    engine: PublishedUpstream,
    answer: PermitAnswer,
    grantorId: string,
  ): boolean {
    switch (answer.kind) {
      case "granted":
        this.#addRun(engine, answer.permitId, grantorId);
        return true;
      case "denied":
        this.#expectedMs = answer.retryAfterMs;
        this.#context.log.info("placeDenied", {
          requestId: this.#exchange.facts.requestId,
          upstream: engine.id,
          grantor: grantorId,
          reason: answer.reason,
          retryAfterMs: answer.retryAfterMs,
        });
        return false;
    }
  }

  /** Gives the place back after its attempt. */
  releasePlace(result?: AttemptResult): void {
    const place = this.#place;
    this.#place = undefined;
    if (!place) return;
    const isUnusable = result?.outcome === AttemptOutcome.NotRun;
    const backoffMs = this.#context.backoff
      .getRemainingMs(place.engine, performance.now());
    this.#context.engines.permits.notifyHolder(
      isUnusable
        ? {
          kind: "permitUnusable",
          engineId: place.engine.id,
          permitId: place.permitId,
          isMisdirected: result.notRun === NotRunReason.Misdirected,
          delayMs: NOT_READY_DELAY_MS,
          backoffMs,
        }
        : {
          kind: "permitReleased",
          engineId: place.engine.id,
          permitId: place.permitId,
        },
    );
  }

  /** Tells the holder that the engine has read the prompt. */
  notifyFirstToken(): void {
    if (!this.#place) return;
    this.#context.engines.permits.notifyHolder({
      kind: "firstToken",
      engineId: this.#place.engine.id,
      permitId: this.#place.permitId,
    });
  }

  #getAdapterPath(): string {
    const { model, adapter } = this.#exchange.facts;
    return formatAdapterPath(model, adapter);
  }
}
