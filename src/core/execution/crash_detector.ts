/**
 * Reads the state of a lost attempt's upstream, to tell whether it crashed
 * during the attempt.
 */
import type { CoreEvent } from "../events.ts";
import type { RetryReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import type { ExecutionContext } from "./execution_context.ts";
import type { LiveAttempt, LiveRequest } from "./live_request.ts";

/** An attempt in progress, with its request and lease group. */
export interface RunningAttempt extends LiveAttempt {
  request: LiveRequest;
  groupKey: string;
}

interface CrashCheck extends RunningAttempt {
  /**
   * Reason for the retry that follows; undefined if the request already has its
   * final response.
   */
  retry: RetryReason | undefined;
  /** Whether the upstream had sent output, which clears the shared parts. */
  hadOutput: boolean;
  /** State reads started so far. */
  reads: number;
}

/**
 * Maximum number of state reads for one lost attempt. The check ends earlier
 * when a read is answered, or when the connection is refused because no process
 * listens.
 */
const MAX_READS = 3;

export class CrashDetector {
  readonly #context: ExecutionContext;
  readonly #retry: (
    request: LiveRequest,
    reason: RetryReason,
    now: Milliseconds,
  ) => void;
  readonly #crashChecks = new Map<string, CrashCheck>();

  constructor(
    context: ExecutionContext,
    retry: (
      request: LiveRequest,
      reason: RetryReason,
      now: Milliseconds,
    ) => void,
  ) {
    this.#context = context;
    this.#retry = retry;
  }

  /**
   * Starts the check; returns false if the upstream is no longer in the host
   * list.
   */
  checkForCrash(
    attempt: RunningAttempt,
    retry: RetryReason | undefined,
    hadOutput: boolean,
  ): boolean {
    return this.#readState({ ...attempt, retry, hadOutput, reads: 0 });
  }

  /**
   * Handles the result of a state read; returns false if it belongs to no crash
   * check.
   */
  handleStateRead(
    event: Extract<
      CoreEvent,
      { kind: "upstreamStateRead" | "upstreamStateUnread" }
    >,
    now: Milliseconds,
  ): boolean {
    const crashCheck = this.#crashChecks.get(event.readId);
    if (!crashCheck) return false;
    this.#crashChecks.delete(event.readId);
    const isUnanswered = event.kind === "upstreamStateUnread" &&
      !event.isConnectionRefused && crashCheck.reads < MAX_READS;
    if (isUnanswered && this.#readState(crashCheck)) return true;
    const hasCrashed = event.kind === "upstreamStateRead"
      ? event.state.incarnation !== crashCheck.credit.upstreamIncarnation
      : event.isConnectionRefused;
    const { request, retry } = crashCheck;
    if (hasCrashed) {
      this.#context.options.quarantine.recordCrash(
        crashCheck.hadOutput
          ? { ...request.event, sharedParts: [] }
          : request.event,
        this.#hasRunAlone(crashCheck),
        now,
      );
      this.#context.options.publishStrikes(now);
    }
    if (retry !== undefined && this.#context.requests.has(request.id)) {
      this.#retry(request, retry, now);
    }
    return true;
  }

  /**
   * Returns whether no other request can have run on the upstream: the lease
   * was exclusive, and the daemon that granted it still owns the upstream.
   */
  #hasRunAlone(crashCheck: CrashCheck): boolean {
    const { credit, upstreamId } = crashCheck;
    const view = this.#context.options.membership.getUpstreamView(upstreamId);
    return credit.exclusive && view?.ownerId === credit.ownerId;
  }

  #readState(crashCheck: CrashCheck): boolean {
    const { membership, emit } = this.#context.options;
    const host = membership.getUpstreamHost(crashCheck.upstreamId);
    if (!host) return false;
    const readId = this.#context.createId("examination");
    this.#crashChecks.set(readId, {
      ...crashCheck,
      reads: crashCheck.reads + 1,
    });
    emit({
      kind: "readUpstreamState",
      upstreamId: crashCheck.upstreamId,
      upstreamKind: crashCheck.request.pool.kind,
      address: host.address,
      readId,
    });
    return true;
  }
}
