/**
 * One request's part in the attribution of crashes: keeps it from upstreams
 * while it was running in several crashes, or while the request or one of its
 * prompt parts is convicted of causing them; reports the output that clears
 * them; and reports the request when its upstream crashes during its run.
 */
import type { CrashAdmission } from "../core/limits/crash_attribution.ts";
import type { Milliseconds } from "../core/structures.ts";
import type {
  PublishedService,
  PublishedUpstream,
} from "../core/view/published_view.ts";
import { formatCrashId, formatIncarnation } from "./crash_probe.ts";
import type { RequestMetadata } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";

/** Most prompt parts that are considered: prompts have a few. */
const MAX_PARTS = 12;

/**
 * Times after the departure of a caller at which its upstream is probed, if an
 * earlier run of the same request ended so, too. The host list alone shows a
 * crash after the missed heartbeats of several seconds.
 */
const DEPARTURE_PROBE_DELAYS_MS = [100, 300, 700, 1_500];

export type CrashRefusal = Extract<CrashAdmission, { kind: "refused" }>;

/** A run whose connection broke. */
export interface BrokenRun {
  hasResponseHead: boolean;
  hasOutput: boolean;
  sentAt: Milliseconds;
}

interface EndedRun {
  upstream: PublishedUpstream;
  /** Name of the crash that would end this start of the upstream. */
  crashId: string;
  sentAt: Milliseconds;
  endedAt: Milliseconds;
}

export class CrashGuard {
  readonly #context: Pick<
    RequestContext,
    | "crashAttribution"
    | "crashHistory"
    | "crashProbe"
    | "unconfirmedCrashes"
    | "view"
    | "notifyCrashes"
    | "log"
    | "metrics"
  >;
  readonly #requestId: string;
  readonly #fingerprint: string;
  readonly #traits: readonly string[];
  /** The convicted traits of which this request is the trial. */
  #trial: readonly string[] | undefined;
  /** Whether this is the trial of a request that is held back as a whole. */
  #isTrial = false;

  /** @param fingerprint hash of what stays the same when a caller retries */
  constructor(
    context: RequestContext,
    metadata: RequestMetadata,
    service: PublishedService,
    fingerprint: string,
  ) {
    this.#context = context;
    this.#requestId = metadata.requestId;
    // The last part belongs to this request alone: its fingerprint covers it.
    const parts = metadata.promptParts.slice(0, -1).slice(0, MAX_PARTS)
      .map((part) => `${service.name}/${part.id}`);
    this.#fingerprint = fingerprint;
    this.#traits = [...parts, fingerprint];
  }

  get fingerprint(): string {
    return this.#fingerprint;
  }

  /** Returns why the request may not be sent now; undefined if it may. */
  findRefusal(now: Milliseconds): CrashRefusal | undefined {
    return this.#findRequestRefusal(now) ?? this.#findTraitRefusal(now);
  }

  #findRequestRefusal(now: Milliseconds): CrashRefusal | undefined {
    if (this.#isTrial) return undefined;
    const { crashHistory, log, metrics } = this.#context;
    const trait = this.#fingerprint;
    const admission = crashHistory.decideAdmission(trait, now);
    switch (admission.kind) {
      case "admitted":
        return undefined;
      case "trial":
        this.#isTrial = true;
        metrics.count("crash_trials", "started");
        log.info("crashTrial", { requestId: this.#requestId, traits: [trait] });
        return undefined;
      case "refused":
        return { ...admission, trait };
    }
  }

  #findTraitRefusal(now: Milliseconds): CrashRefusal | undefined {
    if (this.#trial) return undefined;
    const { crashAttribution, log, metrics } = this.#context;
    const admission = crashAttribution.decideAdmission(this.#traits, now);
    switch (admission.kind) {
      case "admitted":
        return undefined;
      case "trial":
        this.#trial = admission.traits;
        metrics.count("crash_trials", "started");
        log.info("crashTrial", {
          requestId: this.#requestId,
          traits: admission.traits,
        });
        return undefined;
      case "refused":
        return admission;
    }
  }

  recordOutput(now: Milliseconds): void {
    const { crashAttribution, notifyCrashes, log } = this.#context;
    const hasEndedConviction = crashAttribution.recordOutput(
      this.#traits,
      now,
    );
    if (!hasEndedConviction) return;
    log.info("crashTraitsCleared", {
      requestId: this.#requestId,
      traits: this.#traits,
    });
    notifyCrashes();
  }

  /** Records a run that completed, which shows that it does not always crash. */
  recordCompletion(now: Milliseconds): void {
    this.#context.crashHistory.recordCompletion(
      this.#fingerprint,
      this.#isTrial,
      now,
    );
  }

  /** Records a connection that broke during the run. */
  async recordBreak(
    upstream: PublishedUpstream,
    { hasResponseHead, hasOutput, sentAt }: BrokenRun,
  ): Promise<void> {
    const run = createEndedRun(upstream, sentAt);
    const { crashAttribution, crashProbe, metrics, unconfirmedCrashes } =
      this.#context;
    if (!(await crashProbe.hasCrashed(upstream))) {
      this.#awaitConfirmation(run);
      return;
    }
    const now = performance.now();
    const runMs = run.endedAt - sentAt;
    const suspect = { traits: this.#traits, hasResponseHead, runMs };
    if (!hasOutput) {
      crashAttribution.recordCrash(formatIncarnation(upstream), suspect, now);
      metrics.count("crash_suspects", hasResponseHead ? "likely" : "possible");
    }
    this.#recordCrash(run, { ...suspect, hasOutput, isLate: false }, now);
    unconfirmedCrashes.confirmCrashes(new Set([run.crashId]), now);
  }

  /**
   * Records that the caller has left during a run, which may yet crash its
   * upstream.
   */
  recordDeparture(upstream: PublishedUpstream, sentAt: Milliseconds): void {
    const { crashHistory, unconfirmedCrashes } = this.#context;
    const isRepeated = crashHistory.hasCrashes(this.#fingerprint) ||
      unconfirmedCrashes.hasRunOf(this.#fingerprint);
    const run = createEndedRun(upstream, sentAt);
    this.#awaitConfirmation(run);
    if (!isRepeated) return;
    for (const delayMs of DEPARTURE_PROBE_DELAYS_MS) {
      setTimeout(() => void this.#confirmIfCrashed(run), delayMs).unref();
    }
  }

  async #confirmIfCrashed({ upstream, crashId }: EndedRun): Promise<void> {
    const { crashProbe, unconfirmedCrashes } = this.#context;
    if (!(await crashProbe.hasCrashed(upstream))) return;
    unconfirmedCrashes.confirmCrashes(new Set([crashId]), performance.now());
  }

  /** Records the run as one of a crash if that turns out to have happened. */
  #awaitConfirmation(run: EndedRun): void {
    const { unconfirmedCrashes, view } = this.#context;
    const { upstream, crashId, sentAt, endedAt } = run;
    // An upstream that shuts down ends without a crash.
    if (view.getUpstream(upstream.id)?.isLeaving) return;
    unconfirmedCrashes.add({
      upstream,
      crashId,
      fingerprint: this.#fingerprint,
      endedAt,
      confirm: (now) =>
        this.#recordCrash(
          run,
          { runMs: endedAt - sentAt, isLate: true },
          now,
        ),
    });
  }

  #recordCrash(
    { upstream, crashId, sentAt, endedAt }: EndedRun,
    details: object,
    now: Milliseconds,
  ): void {
    const { crashAttribution, crashHistory, notifyCrashes, log } =
      this.#context;
    const isHeldBack = crashHistory.recordCrash(
      this.#fingerprint,
      { crashId, sentAt, endedAt },
      now,
    );
    log.info("upstreamCrashed", {
      requestId: this.#requestId,
      upstream: upstream.id,
      bornAtUnixMs: upstream.bornAtUnixMs,
      ...details,
      fingerprint: this.#fingerprint,
      isHeldBack,
      convictions: crashAttribution.listConvictions(now)
        .map(({ traits, crashes }) => ({ traits, crashes })),
    });
    notifyCrashes();
  }

  /** Returns whether another attempt would risk another upstream. */
  isSuspect(now: Milliseconds): boolean {
    const { crashAttribution, crashHistory } = this.#context;
    return crashHistory.isHeldBack(this.#fingerprint, now) ||
      crashHistory.isOnProbation(this.#fingerprint) ||
      crashAttribution.isSuspect(this.#traits, now);
  }

  /** Returns whether the request would crash its upstream, and is no trial. */
  isConvicted(now: Milliseconds): boolean {
    const { crashAttribution, crashHistory } = this.#context;
    if (!this.#isTrial && crashHistory.isHeldBack(this.#fingerprint, now)) {
      return true;
    }
    return this.#trial === undefined &&
      crashAttribution.isConvicted(this.#traits, now);
  }

  /** Ends the request's trial, whether it had an outcome or not. */
  finish(): void {
    if (this.#trial) this.#context.crashAttribution.endTrial(this.#trial);
    this.#trial = undefined;
    if (this.#isTrial) this.#context.crashHistory.endTrial(this.#fingerprint);
    this.#isTrial = false;
  }
}

function createEndedRun(
  upstream: PublishedUpstream,
  sentAt: Milliseconds,
): EndedRun {
  const crashId = formatCrashId(formatIncarnation(upstream));
  return { upstream, crashId, sentAt, endedAt: performance.now() };
}
