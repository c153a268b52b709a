/** Faults put into the core on purpose; the oracle must catch each within its runs. */
import { FuzzPromise } from "./oracle.ts";

export interface Patch {
  /** Path from `src/core`. */
  file: string;
  /** Text that occurs exactly once in the file. */
  search: string;
  replacement: string;
}

export interface Mutant {
  name: string;
  /** The promise that it breaks; another one may show it first. */
  promise: FuzzPromise;
  patches: Patch[];
  /** Seed that the mutant is tried with in place of the one given. */
  seed?: number;
  /** Whether the fuzzer of the right to order tries it, in place of the daemon's. */
  isOfTenure?: true;
}

export const MUTANTS: readonly Mutant[] = [
  {
    name: "evict without looking at the leases",
    promise: FuzzPromise.NoEvictionInUse,
    patches: [{
      file: "residency/slot_loader.ts",
      search: "return !this.#parts.leases.hasLeases(adapterKey) &&",
      replacement: "return true ||",
    }],
  },
  {
    name: "evict at once after a takeover",
    promise: FuzzPromise.NoEvictionInUse,
    patches: [{
      file: "residency/ownership_claim.ts",
      search:
        "this.#evictionAllowedAt = this.#predecessorWindowEndsAt + maxRunMs;",
      replacement: "this.#evictionAllowedAt = now;",
    }],
  },
  {
    name: "hand over without the wait for earlier owners",
    seed: 12,
    promise: FuzzPromise.NoEvictionInUse,
    patches: [{
      file: "residency/ownership_claim.ts",
      search: "predecessorWaitMs: Math.max(0, this.#evictionAllowedAt - now),",
      replacement: "predecessorWaitMs: 0,",
    }],
  },
  {
    name: "ignore the dispatch window",
    promise: FuzzPromise.NoEvictionInUse,
    patches: [{
      file: "execution/lease_group.ts",
      search: "grant.requestSentAtMs + grant.windowMs - marginMs",
      replacement: "now + 60_000",
    }],
  },
  {
    name: "send an order however late",
    seed: 12,
    promise: FuzzPromise.NoEvictionInUse,
    patches: [{
      file: "residency/pending_orders.ts",
      search: "const ORDER_VALIDITY_MS = 200;",
      replacement: "const ORDER_VALIDITY_MS = 60_000;",
    }],
  },
  {
    name: "return the credits of a repeated grant",
    promise: FuzzPromise.NoEvictionInUse,
    patches: [{
      file: "execution/lease_client.ts",
      search: "if (this.#seenLeaseIds.has(grant.leaseId)) return;",
      replacement: "",
    }],
  },
  {
    name: "return the credit of a run that may go on",
    promise: FuzzPromise.NoEvictionInUse,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "if (mayStillRun) this.#leases.abandonCredit",
      replacement: "if (mayStillRun) this.#leases.freeCredit",
    }],
  },
  {
    name: "retry after the first byte",
    promise: FuzzPromise.WholeAnswer,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "result.bytesForwarded === 0",
      replacement: "result.bytesForwarded >= 0",
    }],
  },
  {
    name: "take an answer of another model for the right one",
    promise: FuzzPromise.WholeAnswer,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: 'case "completed":\n        this.#complete',
      replacement:
        'case "completed":\n      case "wrongAdapter":\n        this.#complete',
    }],
  },
  {
    name: "dispatch by the newest table, not the pinned row",
    promise: FuzzPromise.RightAdapter,
    patches: [{
      file: "execution/attempt_runner.ts",
      search:
        "model: pool.kind === PoolKind.Engine ? request.adapterKey : route.name,",
      replacement:
        `model: pool.kind === PoolKind.Engine ? ((row) => row ? \`\${row.adapter}@\${row.version}\` : request.adapterKey)(this.#context.options.tables.getSnapshot()?.getRoute(route.name, route.customer)) : route.name,`,
    }],
  },
  {
    name: "retry a lost attempt that must not be repeated",
    promise: FuzzPromise.AtMostOnce,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "const canRetry = isLive && request.route.idempotent &&",
      replacement: "const canRetry = isLive &&",
    }],
  },
  {
    name: "grant a ticket twice",
    promise: FuzzPromise.AtMostOnce,
    patches: [{
      file: "execution/ticket_issuer.ts",
      search: "return createVerdict(claim, ClaimVerdict.InProgress);",
      replacement: "return createVerdict(claim, ClaimVerdict.Granted);",
    }],
  },
  {
    name: "release a ticket whose run may have been",
    promise: FuzzPromise.AtMostOnce,
    patches: [{
      file: "execution/ticket_admission.ts",
      search: "outcome === Outcome.NotRun ? undefined : {",
      replacement: "outcome !== Outcome.Completed ? undefined : {",
    }],
  },
  {
    name: "forget that an attempt may have run",
    promise: FuzzPromise.NotRunIsTrue,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "attempt.request.mayHaveRun = true;",
      replacement: "{ /* Forgotten. */ }",
    }],
  },
  {
    name: "call an unclaimed ticket unused",
    promise: FuzzPromise.NotRunIsTrue,
    patches: [{
      file: "outcomes.ts",
      search:
        "return ticket === undefined ? Outcome.NotRun : Outcome.MayHaveRun;",
      replacement:
        'return ticket === "" ? Outcome.MayHaveRun : Outcome.NotRun;',
    }],
  },
  {
    name: "dispatch to a leaving upstream",
    promise: FuzzPromise.LeavingIsLeft,
    patches: [{
      file: "residency/upstream_reader.ts",
      search: 'return this.#context.options.host.state === "leaving" ||',
      replacement: "return false &&",
    }, {
      file: "execution/request_assigner.ts",
      search: "if (host.state === HostState.Leaving) continue;",
      replacement: "",
    }],
  },
  {
    name: "stop without waiting for runs",
    promise: FuzzPromise.GracefulStop,
    patches: [{
      file: "daemon_core.ts",
      search: "if (!this.#executor.isDrained()) return false;",
      replacement: "",
    }],
  },
  {
    name: "accept an older revision",
    promise: FuzzPromise.Configuration,
    patches: [{
      file: "tables/table_replica.ts",
      search: "if (tables.revision <= this.getTablesRevision())",
      replacement: "if (tables.revision === this.getTablesRevision())",
    }],
  },
  {
    name: "never take the tables again",
    promise: FuzzPromise.Configuration,
    patches: [{
      file: "tables/table_replica.ts",
      search: "if (tables.revision <= this.getTablesRevision())",
      replacement: "if (this.getTablesRevision() > 0)",
    }],
  },
  {
    name: "count neighbours as crashing",
    promise: FuzzPromise.CrashBound,
    patches: [{
      file: "limits/crash_quarantine.ts",
      search: "+ (wasAlone ? 1 : 0)",
      replacement: "+ 1",
    }],
  },
  {
    name: "never refuse a crashing request",
    promise: FuzzPromise.CrashBound,
    patches: [{
      file: "limits/crash_quarantine.ts",
      search: "return strikes >= 1 && strikes + 1 >= this.#options.maxStrikes;",
      replacement: "return false;",
    }],
  },
  {
    name: "never ask an owner again",
    promise: FuzzPromise.Liveness,
    patches: [{
      file: "execution/lease_client.ts",
      search: "now - pending.sentAt >= settings.leaseReplyTimeoutMs",
      replacement: "false",
    }, {
      file: "execution/request_executor.ts",
      search:
        'case "leasing":\n        if (now >= request.deadlineAt) this.#refuseOverdue(request, now);',
      replacement: 'case "leasing":',
    }],
  },
  {
    name: "read the wall clock",
    promise: FuzzPromise.Robustness,
    patches: [{
      file: "limits/retry_budget.ts",
      search: "if (this.#savedRetries < 1) return false;",
      replacement: "if (this.#savedRetries < Date.now() * 0 + 1) return false;",
    }],
  },
  {
    name: "claim an engine before a term has passed",
    isOfTenure: true,
    promise: FuzzPromise.OneHolder,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search:
        "now - this.#state.observedAt >= this.#options.termMs + TERM_MARGIN_MS",
      replacement: "now >= this.#state.observedAt",
    }],
  },
  {
    name: "follow another daemon's orders by the count of a report",
    isOfTenure: true,
    promise: FuzzPromise.OneHolder,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search:
        "if (report.sequence > state.sequence) return this.#depose(now);\n    this.#state = {\n      ...state,",
      replacement:
        "this.#state = {\n      ...state,\n      sequence: report.sequence,",
    }],
  },
  {
    name: "settle a doubtful order by whatever count is reported",
    isOfTenure: true,
    promise: FuzzPromise.OneHolder,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search: "if (!isOwn) return this.#depose(now);",
      replacement: "",
    }],
  },
  {
    name: "order an engine that may have restarted unseen",
    isOfTenure: true,
    promise: FuzzPromise.OneHolder,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search: "(isContested ? CONTESTED_VERIFIED_MS : VERIFIED_MS);",
      replacement: "Number.POSITIVE_INFINITY;",
    }],
  },
  {
    name: "do not rest after a blind order",
    isOfTenure: true,
    promise: FuzzPromise.OneHolder,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search:
        "? now + CONTESTED_WINDOW_MS + this.#options.termMs + TERM_MARGIN_MS",
      replacement: "? sentAt",
    }],
  },
  {
    name: "prove the right by an eviction of a rival's share",
    isOfTenure: true,
    promise: FuzzPromise.OneHolder,
    patches: [{
      file: "ordering/proving_order.ts",
      search: "const own = selectVictim(input, listOwnShare(input));",
      replacement:
        "const own = selectVictim(input, input.idlePaths.slice(0, 1));",
    }],
  },
];
