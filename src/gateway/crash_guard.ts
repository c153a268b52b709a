/**
 * One request's part in the attribution of crashes: keeps it from upstreams
 * while the request or one of its prompt parts is convicted of crashing them,
 * reports the output that clears them, and reports it as a suspect when its upstream
 * crashes before any output.
 */
import type { CrashAdmission } from "../core/limits/crash_attribution.ts";
import type { Milliseconds } from "../core/structures.ts";
import type {
  PublishedService,
  PublishedUpstream,
} from "../core/view/published_view.ts";
import { formatIncarnation } from "./crash_probe.ts";
import type { RequestMetadata } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";

/** Most prompt parts that are considered: prompts have a few. */
const MAX_PARTS = 12;

export type CrashRefusal = Extract<CrashAdmission, { kind: "refused" }>;

export class CrashGuard {
  readonly #context: Pick<
    RequestContext,
    "crashAttribution" | "crashProbe" | "notifyCrashes" | "log" | "metrics"
  >;
  readonly #requestId: string;
  readonly #traits: readonly string[];
  /** The convicted traits of which this request is the trial. */
  #trial: readonly string[] | undefined;

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
    this.#traits = [...parts, fingerprint];
  }

  /** Returns why the request may not be sent now; undefined if it may. */
  findRefusal(now: Milliseconds): CrashRefusal | undefined {
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

  /** Records a connection that broke before the upstream sent any output. */
  async recordBreak(
    upstream: PublishedUpstream,
    { hasResponseHead, sentAt }: {
      hasResponseHead: boolean;
      sentAt: Milliseconds;
    },
  ): Promise<void> {
    const runMs = performance.now() - sentAt;
    const { crashAttribution, crashProbe, notifyCrashes, log, metrics } =
      this.#context;
    if (!(await crashProbe.hasCrashed(upstream))) return;
    const now = performance.now();
    const suspect = { traits: this.#traits, hasResponseHead, runMs };
    crashAttribution.recordCrash(formatIncarnation(upstream), suspect, now);
    metrics.count("crash_suspects", hasResponseHead ? "likely" : "possible");
    log.info("upstreamCrashed", {
      requestId: this.#requestId,
      upstream: upstream.id,
      bornAtUnixMs: upstream.bornAtUnixMs,
      ...suspect,
      convictions: crashAttribution.listConvictions(now)
        .map(({ traits, crashes }) => ({ traits, crashes })),
    });
    notifyCrashes();
  }

  /** Returns whether another attempt would risk another upstream. */
  isSuspect(now: Milliseconds): boolean {
    return this.#context.crashAttribution.isSuspect(this.#traits, now);
  }

  /** Returns whether the request would crash its upstream, and is no trial. */
  isConvicted(now: Milliseconds): boolean {
    return this.#trial === undefined &&
      this.#context.crashAttribution.isConvicted(this.#traits, now);
  }

  /** Ends the request's trial, whether it had an outcome or not. */
  finish(): void {
    if (this.#trial) this.#context.crashAttribution.endTrial(this.#trial);
    this.#trial = undefined;
  }
}
