/** The task that owns the core: passes it events one at a time and publishes its effects. */
import { performance } from "node:perf_hooks";
import { DaemonCore, type DaemonCoreOptions } from "../core/daemon_core.ts";
import type { Effect } from "../core/effects.ts";
import type { CoreEvent } from "../core/events.ts";
import { PauseDetector } from "../core/fleet/pause_detector.ts";
import type { Bus } from "./bus.ts";
import type { Logger } from "./logger.ts";

export class CoreTask {
  readonly core: DaemonCore;
  readonly #bus: Bus;
  readonly #logger: Logger;
  readonly #pauseDetector: PauseDetector;
  readonly #timer: NodeJS.Timeout;

  constructor(
    options: DaemonCoreOptions & {
      bus: Bus;
      logger: Logger;
      tickIntervalMs: number;
    },
  ) {
    this.#bus = options.bus;
    this.#logger = options.logger;
    const now = performance.now();
    this.core = new DaemonCore(options, now);
    this.#pauseDetector = new PauseDetector(
      now,
      Date.now(),
      options.settings.pauseThresholdMs,
    );
    this.#bus.on("event", (event) => this.#handle(event));
    this.#timer = setInterval(
      () => this.#handle({ kind: "tick" }),
      options.tickIntervalMs,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #handle(event: CoreEvent): void {
    try {
      const now = performance.now();
      const hasPaused = this.#pauseDetector.hasPaused(now, Date.now());
      const expired = hasPaused ? this.core.recordPause(now) : [];
      for (const effect of [...expired, ...this.core.handle(event, now)]) {
        this.#publish(effect);
      }
    } catch (error) {
      this.#logger.error("Event could not be handled", {
        step: event.kind,
        peer: event.kind === "peerMessage" ? event.from : "",
        error: error instanceof Error ? error.stack : String(error),
      });
    }
  }

  #publish<Kind extends Effect["kind"]>(
    effect: Extract<Effect, { kind: Kind }>,
  ): void {
    // Each channel carries only effects of its own kind.
    this.#bus.emit(effect.kind, effect as never).catch((error: unknown) => {
      this.#logger.error("Effect could not be carried out", {
        step: effect.kind,
        peer: getEffectPeer(effect),
        error: error instanceof Error ? error.stack : String(error),
      });
    });
  }
}

function getEffectPeer(effect: Effect): string {
  if ("to" in effect) return effect.to;
  return "upstreamId" in effect ? effect.upstreamId : "";
}
