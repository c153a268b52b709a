/** Runs of the stand-in engine: their records, and how they are cut and cancelled. */
import type { Response } from "express";
import { waitMs } from "./fake_server.ts";
import type { AnswerIdentity } from "./run_fault.ts";
import type { StreamLog } from "./stream_log.ts";

/** Time between looks at whether a stalled run has been cancelled. */
const POLL_INTERVAL_MS = 5;

export interface Run {
  id: string;
  model: string;
  isCancelled: boolean;
  /** Events of a streamed answer; undefined for an answer in one piece. */
  log: StreamLog | undefined;
  /** What the answer says of itself. */
  identity: AnswerIdentity | undefined;
}

/** A run as the engine saw it, for the checks of tests. */
export interface RunRecord {
  id: string;
  model: string;
  body: string;
  ended: "running" | "completed" | "cancelled" | "cut" | "crashed";
}

/** Cuts the connection once what was written has left. */
export function cutAnswer(response: Response, record: RunRecord): void {
  record.ended = "cut";
  setImmediate(() => response.destroy());
}

export async function waitUntilCancelled(
  run: Run,
  response: Response,
): Promise<void> {
  while (!run.isCancelled && !response.destroyed) {
    await waitMs(POLL_INTERVAL_MS);
  }
}
