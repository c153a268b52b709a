/**
 * Binds the gateway's ports. A port may be taken for a moment, by the process
 * before this one, or its address not be configured yet; binding is tried again
 * then. A port that only some functions need is bound whenever it is free.
 */
import type { Milliseconds } from "../core/structures.ts";
import {
  describeError,
  getErrorCode,
  StepError,
} from "../daemon/step_error.ts";
import type { DecisionLog } from "./decision_log.ts";
import { waitMs } from "./wait.ts";

export interface PortBinding {
  /** Name of the port in log lines and errors. */
  step: string;
  /** `IP:port`. */
  address: string;
  /** Tries once; rejects if the port can't be bound. */
  bind: () => Promise<unknown>;
  /** Returns whether the gateway stops, so that the port is needed no more. */
  isStopped: () => boolean;
  log: DecisionLog;
}

const RETRY_INTERVAL_MS = 100;
/**
 * Time after which the start fails: longer than the grace period of the process
 * before this one.
 */
const MAX_WAIT_MS = 30_000;
/** Interval for ports without which the gateway starts. */
const OPTIONAL_RETRY_INTERVAL_MS = 1_000;
const RETRIED_CODES: ReadonlySet<string> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);

/** Throws a StepError if the port can't be bound in time. */
export async function listenOnPort(
  binding: PortBinding,
  maxWaitMs: Milliseconds = MAX_WAIT_MS,
): Promise<void> {
  const endsAt = performance.now() + maxWaitMs;
  for (let isFirst = true; !binding.isStopped(); isFirst = false) {
    try {
      await binding.bind();
      return;
    } catch (error) {
      const canRetry = RETRIED_CODES.has(getErrorCode(error));
      if (!canRetry || performance.now() >= endsAt) {
        throw new StepError(describeError(error), {
          step: binding.step,
          peer: binding.address,
          cause: error,
        });
      }
      if (isFirst) reportFailure(binding, error);
    }
    await waitMs(RETRY_INTERVAL_MS);
  }
}

/** Binds the port as soon as that is possible, and calls the listener then. */
export async function listenOnOptionalPort(
  binding: PortBinding,
  handleBound: () => void = () => {},
): Promise<void> {
  for (let isFirst = true; !binding.isStopped(); isFirst = false) {
    try {
      await binding.bind();
      handleBound();
      return;
    } catch (error) {
      if (isFirst) reportFailure(binding, error);
    }
    await waitMs(OPTIONAL_RETRY_INTERVAL_MS);
  }
}

function reportFailure(
  { log, step, address }: PortBinding,
  error: unknown,
): void {
  log.warn("portNotBound", { step, address, detail: describeError(error) });
}
