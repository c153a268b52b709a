/** Counts the connections that are closed because of a limit, and logs some of them. */
import type { Milliseconds } from "../core/structures.ts";

/** Time in which one log line is written for each reason. */
const LOG_INTERVAL_MS = 1_000;

/** Why a connection was closed. */
export const CutReason = {
  /** The longest idle one, in favour of a new one. */
  Idle: "idle",
  /** A new one, as none of the others was idle. */
  Full: "full",
  /** The client did not read its responses. */
  Unread: "unread",
  /** The input of paused connections takes too much memory. */
  HeldInput: "heldInput",
} as const;
export type CutReason = typeof CutReason[keyof typeof CutReason];

/** What is known of a connection that is closed. */
export interface CutReport {
  reason: CutReason;
  /** Name of the port. */
  port: string;
  /** IP address of the client. */
  client: string;
  unanswered: number;
  /** Other connections closed for this reason since the last line of the log. */
  unlogged: number;
}

export interface CutReporterOptions {
  /** Counts a closed connection. */
  countCut: (reason: CutReason) => void;
  /** Writes a log line; called at most once a second for each reason. */
  logCut: (report: CutReport) => void;
}

export class CutReporter {
  readonly #options: CutReporterOptions;
  readonly #cuts = new Map<
    CutReason,
    { loggedAt: Milliseconds; unlogged: number }
  >();

  constructor(options: CutReporterOptions) {
    this.#options = options;
  }

  report(cut: Omit<CutReport, "unlogged">, now: Milliseconds): void {
    const { reason } = cut;
    this.#options.countCut(reason);
    const cuts = this.#cuts.get(reason) ??
      { loggedAt: Number.NEGATIVE_INFINITY, unlogged: 0 };
    this.#cuts.set(reason, cuts);
    if (now - cuts.loggedAt < LOG_INTERVAL_MS) {
      cuts.unlogged += 1;
      return;
    }
    this.#options.logCut({ ...cut, unlogged: cuts.unlogged });
    cuts.loggedAt = now;
    cuts.unlogged = 0;
  }
}
