/**
 * State that the parts of request execution share: options, open requests,
 * identifiers and counters.
 */
import type { CorePolicy } from "../core_policy.ts";
import type { CoreSettings } from "../core_settings.ts";
import type { Effect } from "../effects.ts";
import { IdGenerator } from "../id_generator.ts";
import type { CrashQuarantine } from "../limits/crash_quarantine.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type { Membership } from "../membership/membership.ts";
import { Outcome, type RefusalReason, type RetryReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import type { TableReplica } from "../tables/table_replica.ts";
import type { LiveRequest } from "./live_request.ts";
import type { TicketIssuer } from "./ticket_issuer.ts";

export interface RequestExecutorOptions {
  selfId: string;
  incarnation: string;
  failureDomain: string;
  settings: CoreSettings;
  policy: CorePolicy;
  tables: TableReplica;
  membership: Membership;
  quarantine: CrashQuarantine;
  /** Sends new strikes to the peers immediately. */
  publishStrikes: (now: Milliseconds) => void;
  retryBudget: RetryBudget;
  tickets: TicketIssuer;
  emit: (effect: Effect) => void;
}

/** Retry-After value when no better estimate is known. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Fields of a refusal other than its reason. */
export interface Refusal {
  hasStalled?: boolean;
  outcome: Outcome;
  retryAfterMs?: Milliseconds;
  ticket?: string;
}

export class ExecutionContext {
  readonly options: RequestExecutorOptions;
  /** Requests without a final response, by identifier. */
  readonly requests = new Map<string, LiveRequest>();
  /** End of a planned stop, when the requests that are left are refused. */
  stopEndsAt: Milliseconds = Number.POSITIVE_INFINITY;
  readonly #ids: IdGenerator;

  constructor(options: RequestExecutorOptions) {
    this.options = options;
    this.#ids = new IdGenerator(options);
  }

  /** Emits the final response of a request that did not complete. */
  emitRefusal(
    requestId: string,
    reason: RefusalReason,
    refusal: Partial<Refusal> = {},
  ): void {
    this.options.emit({ kind: "count", counter: "refused", tag: reason });
    this.options.emit({
      kind: "refuse",
      requestId,
      reason,
      outcome: refusal.outcome ?? Outcome.NotRun,
      hasStalled: refusal.hasStalled ?? false,
      ...(refusal.retryAfterMs === undefined
        ? {}
        : { retryAfterMs: Math.max(1, Math.ceil(refusal.retryAfterMs)) }),
      ...(refusal.ticket === undefined ? {} : { ticket: refusal.ticket }),
    });
  }

  /**
   * Returns whether the request must run exclusively, as it is suspected of
   * crashing upstreams.
   */
  isSuspect(request: LiveRequest, now: Milliseconds): boolean {
    return this.options.quarantine.isSuspect(request.event, now);
  }

  countRetry(reason: RetryReason): void {
    this.options.emit({ kind: "count", counter: "retried", tag: reason });
  }

  /** Returns an identifier that is unique across daemons and incarnations. */
  createId(prefix: string): string {
    return this.#ids.createId(prefix);
  }
}
