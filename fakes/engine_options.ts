/** Options of the fake engine, and the faults that tests can inject into it. */
import type { RunFault } from "./run_fault.ts";

export interface FakeEngineOptions {
  slots: number;
  batchSize: number;
  checksFencing: boolean;
  /** Address of the weight store; without one, each load takes `loadTimeMs`. */
  storeAddress?: string;
  loadTimeMs: number;
  tokenIntervalMs: number;
  tokens: number;
}

export interface EngineFaults {
  /** Number of upcoming loads that fail. */
  failLoads: number;
  /**
   * Number of tokens after which each answer is aborted, streamed or not; 0 for
   * never.
   */
  cutAfterTokens: number;
  /** Number of upcoming answers that name another model in their header. */
  crossAnswers: number;
  /** Text that crashes the engine when a request body contains it. */
  crashMarker: string;
  /**
   * Time from the beginning of such a run to the crash, whether or not the run
   * is cancelled meanwhile.
   */
  crashDelayMs: number;
  /** Delay after a crash until the engine listens again. */
  restartAfterMs: number;
  /** Delay of the reported in-flight counts; this fake does not apply it. */
  reportLagMs: number;
  leaving: boolean;
  /** Number of upcoming runs that are refused before they start. */
  refuseRuns: number;
  /** Whether the connection is closed instead of answering `GET /state`. */
  isStateHidden: boolean;
  /** Faults of the upcoming runs, one per run. */
  nextRuns: RunFault[];
  /**
   * Numbers of tokens after which the connection of a stream is closed while
   * its run continues.
   */
  dropConnectionsAfter: number[];
  /**
   * Time without a reader for which a run continues, or for which a completed
   * stream stays resumable.
   */
  resumeWindowMs: number;
}

export const DEFAULT_FAULTS: EngineFaults = {
  failLoads: 0,
  cutAfterTokens: 0,
  crossAnswers: 0,
  crashMarker: "CRASH-ENGINE",
  crashDelayMs: 0,
  restartAfterMs: 300,
  reportLagMs: 0,
  leaving: false,
  refuseRuns: 0,
  isStateHidden: false,
  nextRuns: [],
  dropConnectionsAfter: [],
  resumeWindowMs: 500,
};
