/**
 * Runs of the fake engine: their records, and how they are aborted and
 * cancelled.
 */
import type { Response } from "express";
import { waitMs } from "./fake_server.ts";
import type { AnswerIdentity } from "./run_fault.ts";
import type { StreamLog } from "./stream_log.ts";

/** Interval at which a stalled run checks whether it has been cancelled. */
const CANCEL_POLL_INTERVAL_MS = 5;

export interface Run {
  id: string;
  model: string;
  isCancelled: boolean;
  /**
   * Events of a streamed answer; undefined for an answer that is not streamed.
   */
  log: StreamLog | undefined;
  /** Model and request id that the answer names; undefined until it starts. */
  identity: AnswerIdentity | undefined;
}

/** A run as the engine recorded it, for the assertions of tests. */
export interface RunRecord {
  id: string;
  model: string;
  body: string;
  ended: "running" | "completed" | "cancelled" | "cut" | "crashed";
}

/**
 * Closes the connection after the data written so far has been handed to the
 * socket.
 */
export function cutAnswer(response: Response, record: RunRecord): void {
  record.ended = "cut";
  setImmediate(() => response.destroy());
}

/** Waits until the run is cancelled or its connection is closed. */
export async function waitUntilCancelled(
  run: Run,
  response: Response,
): Promise<void> {
  while (!run.isCancelled && !response.destroyed) {
    await waitMs(CANCEL_POLL_INTERVAL_MS);
  }
}
