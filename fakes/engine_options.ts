/** Options of the stand-in engine, and the table of its faults. */
import type { RunFault } from "./run_fault.ts";

export interface FakeEngineOptions {
  slots: number;
  batchSize: number;
  checksFencing: boolean;
  /** Address of the weight store; loads take `loadTimeMs` without one. */
  storeAddress?: string;
  loadTimeMs: number;
  tokenIntervalMs: number;
  tokens: number;
}

export interface EngineFaults {
  /** Loads that fail from now on. */
  failLoads: number;
  /** Streams and answers that are cut after this many tokens; 0 for none. */
  cutAfterTokens: number;
  /** Answers that name another model from now on. */
  crossAnswers: number;
  /** Text in a body that crashes the engine. */
  crashMarker: string;
  /** Time after which a crashed engine listens again. */
  restartAfterMs: number;
  /** Lag of the in-flight counts. */
  reportLagMs: number;
  leaving: boolean;
  /** Runs refused before they start, from now on. */
  refuseRuns: number;
  /** Whether states are answered. */
  isStateHidden: boolean;
  /** Faults of the next runs, one each. */
  nextRuns: RunFault[];
  /** Numbers of tokens after which the connection of a stream is cut while its run goes on. */
  dropConnectionsAfter: number[];
  /** Time for which a run goes on, or its stream is kept, without a reader. */
  resumeWindowMs: number;
}

export const DEFAULT_FAULTS: EngineFaults = {
  failLoads: 0,
  cutAfterTokens: 0,
  crossAnswers: 0,
  crashMarker: "CRASH-ENGINE",
  restartAfterMs: 300,
  reportLagMs: 0,
  leaving: false,
  refuseRuns: 0,
  isStateHidden: false,
  nextRuns: [],
  dropConnectionsAfter: [],
  resumeWindowMs: 500,
};
