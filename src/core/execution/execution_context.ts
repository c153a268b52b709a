/** What the parts of the execution share: options, the requests in hand, identifiers and counters. */
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
  /** Tells peers of new strikes at once. */
  publishStrikes: (now: Milliseconds) => void;
  retryBudget: RetryBudget;
  tickets: TicketIssuer;
  emit: (effect: Effect) => void;
}

/** Time after which a caller may come back when nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/** What a refusal tells the caller besides its reason. */
export interface Refusal {
  hasStalled?: boolean;
  outcome: Outcome;
  retryAfterMs?: Milliseconds;
  ticket?: string;
}

export class ExecutionContext {
  readonly options: RequestExecutorOptions;
  /** Requests that have no final answer yet, by identifier. */
  readonly requests = new Map<string, LiveRequest>();
  readonly #ids: IdGenerator;

  constructor(options: RequestExecutorOptions) {
    this.options = options;
    this.#ids = new IdGenerator(options);
  }

  /** Emits a final answer other than a completed one. */
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

  /** Returns whether the request must run alone. */
  isSuspect(request: LiveRequest, now: Milliseconds): boolean {
    return this.options.quarantine.isSuspect(request.event.fingerprint, now);
  }

  countRetry(reason: RetryReason): void {
    this.options.emit({ kind: "count", counter: "retried", tag: reason });
  }

  /** Returns an identifier that no other daemon or incarnation makes. */
  createId(prefix: string): string {
    return this.#ids.createId(prefix);
  }
}
