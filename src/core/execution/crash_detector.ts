/** Reads the upstream of a lost attempt, to learn whether it died under it. */
import type { CoreEvent } from "../events.ts";
import type { RetryReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import type { ExecutionContext } from "./execution_context.ts";
import type { LiveAttempt, LiveRequest } from "./live_request.ts";

/** An attempt in progress, with what it was started for. */
export interface RunningAttempt extends LiveAttempt {
  request: LiveRequest;
  groupKey: string;
}

interface CrashCheck extends RunningAttempt {
  /** Absent once the request has had its final answer. */
  retry: RetryReason | undefined;
  /** Readings that have been asked for. */
  reads: number;
}

/** Readings asked for until one is answered, or refused because nobody listens. */
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

  /** Reads the upstream; returns false when it is in the host list no more. */
  checkForCrash(
    attempt: RunningAttempt,
    retry: RetryReason | undefined,
  ): boolean {
    return this.#readState({ ...attempt, retry, reads: 0 });
  }

  /** Takes the outcome of reading a lost attempt's upstream; returns false when it was not asked for here. */
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
        request.event.fingerprint,
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
   * Returns whether nothing else can have run on the upstream: the lease was
   * for a run alone, and its granter has owned the upstream ever since.
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
