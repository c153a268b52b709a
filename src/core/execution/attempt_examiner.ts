/** Reads the upstream of a lost attempt, to learn whether it died under it. */
import type { CoreEvent } from "../events.ts";
import type { RetryReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import type { ExecutionContext } from "./execution_context.ts";
import type { LiveAttempt, LiveRequest } from "./live_request.ts";

/** An attempt in progress, with what it was started for. */
export interface RunningAttempt extends LiveAttempt {
  request: LiveRequest;
  holdingKey: string;
}

interface ExaminedAttempt extends RunningAttempt {
  /** Absent once the request has had its final answer. */
  retry: RetryReason | undefined;
  /** Readings that have been asked for. */
  readings: number;
}

/** Readings asked for until one is answered, or refused because nobody listens. */
const MAX_READINGS = 3;

export class AttemptExaminer {
  readonly #context: ExecutionContext;
  readonly #retry: (
    request: LiveRequest,
    reason: RetryReason,
    now: Milliseconds,
  ) => void;
  readonly #examinations = new Map<string, ExaminedAttempt>();

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
  examine(attempt: RunningAttempt, retry: RetryReason | undefined): boolean {
    return this.#read({ ...attempt, retry, readings: 0 });
  }

  /** Takes the outcome of reading a lost attempt's upstream; returns false when it was not asked for here. */
  handleExamination(
    event: Extract<
      CoreEvent,
      { kind: "upstreamStateRead" | "upstreamStateUnread" }
    >,
    now: Milliseconds,
  ): boolean {
    const examined = this.#examinations.get(event.readId);
    if (!examined) return false;
    this.#examinations.delete(event.readId);
    const isUnanswered = event.kind === "upstreamStateUnread" &&
      !event.isRefused && examined.readings < MAX_READINGS;
    if (isUnanswered && this.#read(examined)) return true;
    const hasDied = event.kind === "upstreamStateRead"
      ? event.state.incarnation !== examined.credit.upstreamIncarnation
      : event.isRefused;
    const { request, retry } = examined;
    if (hasDied) {
      this.#context.options.quarantine.recordCrash(
        request.event.fingerprint,
        this.#isAloneAt(examined),
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
  #isAloneAt(examined: ExaminedAttempt): boolean {
    const { credit, upstreamId } = examined;
    const view = this.#context.options.membership.getUpstreamView(upstreamId);
    return credit.exclusive && view?.ownerId === credit.ownerId;
  }

  #read(examined: ExaminedAttempt): boolean {
    const { membership, emit } = this.#context.options;
    const host = membership.getUpstreamHost(examined.upstreamId);
    if (!host) return false;
    const readId = this.#context.createId("examination");
    this.#examinations.set(readId, {
      ...examined,
      readings: examined.readings + 1,
    });
    emit({
      kind: "readUpstreamState",
      upstreamId: examined.upstreamId,
      upstreamKind: examined.request.pool.kind,
      address: host.address,
      readId,
    });
    return true;
  }
}
