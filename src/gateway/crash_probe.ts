/**
 * Finds out whether an upstream has crashed after a connection to it broke. A
 * broken connection alone is no crash: connections are also reset, and answers
 * truncated, by upstreams that live. An upstream has crashed if it refuses a new
 * connection, or if an engine reports another start.
 */
import { connect } from "node:net";
import type { PublishedUpstream } from "../core/view/published_view.ts";
import { hashText } from "../core/hashing.ts";
import { parseSocketAddress } from "../core/socket_address.ts";
import { describeError } from "../daemon/step_error.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { EngineControl } from "./ports.ts";
import { waitMs } from "./wait.ts";

/**
 * Time limit of a probe, for which the caller waits: a refusal takes one round
 * trip, a report two. A longer silence is a partition rather than a crash.
 */
const PROBE_TIMEOUT_MS = 150;
/** Time for which a crash that was found is not probed for again. */
const CRASH_LIFETIME_MS = 500;

export interface CrashProbeOptions {
  control: Pick<EngineControl, "readReport">;
  isEngine: (upstream: PublishedUpstream) => boolean;
  log: Pick<DecisionLog, "debug">;
}

export class CrashProbe {
  readonly #options: CrashProbeOptions;
  /** Probes in progress, and those that found a crash a moment ago. */
  readonly #results = new Map<string, Promise<boolean>>();

  constructor(options: CrashProbeOptions) {
    this.#options = options;
  }

  /** Resolves to whether this start of the upstream has ended; never rejects. */
  hasCrashed(upstream: PublishedUpstream): Promise<boolean> {
    const key = formatIncarnation(upstream);
    const known = this.#results.get(key);
    if (known) return known;
    const result = this.#checkUpstream(upstream);
    // Requests that broke together share one probe. One that found the upstream
    // alive says nothing about a later break.
    this.#results.set(key, result);
    void result.then((hasCrashed) => {
      if (!hasCrashed) this.#results.delete(key);
      else {
        setTimeout(() => this.#results.delete(key), CRASH_LIFETIME_MS).unref();
      }
    });
    return result;
  }

  async #checkUpstream(upstream: PublishedUpstream): Promise<boolean> {
    const startedAt = performance.now();
    switch (await openConnection(upstream.address)) {
      case "refused":
        return true;
      case "silent":
        return false;
      case "open": {
        if (!this.#options.isEngine(upstream)) return false;
        const elapsedMs = performance.now() - startedAt;
        return await Promise.race([
          this.#hasOtherStart(upstream),
          waitMs(Math.max(0, PROBE_TIMEOUT_MS - elapsedMs)).then(() => false),
        ]);
      }
    }
  }

  async #hasOtherStart(upstream: PublishedUpstream): Promise<boolean> {
    try {
      const now = performance.now();
      const report = await this.#options.control.readReport(upstream, now);
      return upstream.bornAtUnixMs !== 0 &&
        report.bornAtUnixMs !== upstream.bornAtUnixMs;
    } catch (error) {
      // An unread report proves nothing.
      this.#options.log.debug("crashProbeUnread", {
        upstream: upstream.id,
        detail: describeError(error),
      });
      return false;
    }
  }
}

/** Returns the name of one start of an upstream, the same on all hosts. */
export function formatIncarnation(
  { id, bornAtUnixMs }: Pick<PublishedUpstream, "id" | "bornAtUnixMs">,
): string {
  return `${id}.${bornAtUnixMs.toString(36)}`;
}

/** Returns a short name of the crash that ended a start of an upstream. */
export function formatCrashId(incarnation: string): string {
  return hashText(incarnation).toString(36);
}

type ProbeOutcome = "refused" | "open" | "silent";

/** Opens a connection and closes it; never rejects. */
export function openConnection(address: string): Promise<ProbeOutcome> {
  return new Promise((resolve) => {
    const socket = connect(parseSocketAddress(address));
    const finish = (outcome: ProbeOutcome): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(() => finish("silent"), PROBE_TIMEOUT_MS);
    socket.once("connect", () => finish("open"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(error.code === "ECONNREFUSED" ? "refused" : "silent"),
    );
  });
}
