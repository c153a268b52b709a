/**
 * Mutation tests of the fuzzers: each mutant is a fault that is inserted into
 * the core, and an oracle must detect it within a limited number of runs.
 */
import { Invariant } from "./oracle.ts";

export interface Patch {
  /** Path relative to `src/core`. */
  file: string;
  /** Text that occurs exactly once in the file. */
  search: string;
  replacement: string;
}

export interface Mutant {
  name: string;
  /**
   * Invariant that the mutant violates; the oracle may detect a violation of
   * another one first.
   */
  invariant: Invariant;
  patches: Patch[];
  /** Seed that is used instead of the one given on the command line. */
  seed?: number;
  /**
   * Whether the mutant is tested with the fuzzer of engine ownership instead of
   * the fuzzer of whole daemons.
   */
  usesTenureFuzzer?: true;
  /** Whether it is tested with faults round an engine's restart. */
  usesScheduleFuzzer?: true;
}

export const MUTANTS: readonly Mutant[] = [
  {
    name: "evict adapters that have leases",
    invariant: Invariant.NoEvictionInUse,
    patches: [{
      file: "residency/slot_loader.ts",
      search: "return !this.#parts.leases.hasLeases(adapterKey) &&",
      replacement: "return true ||",
    }],
  },
  {
    name: "evict immediately after a change of the owner",
    invariant: Invariant.NoEvictionInUse,
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
    invariant: Invariant.NoEvictionInUse,
    patches: [{
      file: "residency/ownership_claim.ts",
      search: "predecessorWaitMs: Math.max(0, this.#evictionAllowedAt - now),",
      replacement: "predecessorWaitMs: 0,",
    }],
  },
  {
    name: "dispatch after the end of the dispatch window",
    invariant: Invariant.NoEvictionInUse,
    patches: [{
      file: "execution/lease_group.ts",
      search: "grant.requestSentAtMs + grant.windowMs - marginMs",
      replacement: "now + 60_000",
    }],
  },
  {
    name: "send orders that have expired",
    seed: 12,
    invariant: Invariant.NoEvictionInUse,
    patches: [{
      file: "residency/pending_orders.ts",
      search: "const ORDER_VALIDITY_MS = 200;",
      replacement: "const ORDER_VALIDITY_MS = 60_000;",
    }],
  },
  {
    name: "return the credits of a duplicate grant",
    invariant: Invariant.NoEvictionInUse,
    patches: [{
      file: "execution/lease_client.ts",
      search: "if (this.#seenLeaseIds.has(grant.leaseId)) return;",
      replacement: "",
    }],
  },
  {
    name: "return the credit of a run that may continue",
    invariant: Invariant.NoEvictionInUse,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "if (mayStillRun) this.#leases.abandonCredit",
      replacement: "if (mayStillRun) this.#leases.freeCredit",
    }],
  },
  {
    name: "retry after the first byte of the answer",
    invariant: Invariant.CompleteAnswer,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "result.bytesForwarded === 0",
      replacement: "result.bytesForwarded >= 0",
    }],
  },
  {
    name: "accept an answer of another model",
    invariant: Invariant.CompleteAnswer,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: 'case "completed":\n        this.#complete',
      replacement:
        'case "completed":\n      case "wrongAdapter":\n        this.#complete',
    }],
  },
  {
    name: "dispatch by the newest tables, not the pinned ones",
    invariant: Invariant.AdapterVersion,
    patches: [{
      file: "execution/attempt_runner.ts",
      search:
        "model: pool.kind === PoolKind.Engine ? request.adapterKey : route.name,",
      replacement:
        `model: pool.kind === PoolKind.Engine ? ((row) => row ? \`\${row.adapter}@\${row.version}\` : request.adapterKey)(this.#context.options.tables.getSnapshot()?.getRoute(route.name, route.customer)) : route.name,`,
    }],
  },
  {
    name: "retry a lost attempt that is not idempotent",
    invariant: Invariant.AtMostOnce,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "const canRetry = isLive && request.route.idempotent &&",
      replacement: "const canRetry = isLive &&",
    }],
  },
  {
    name: "grant a ticket twice",
    invariant: Invariant.AtMostOnce,
    patches: [{
      file: "execution/ticket_issuer.ts",
      search: "return createVerdict(claim, ClaimVerdict.InProgress);",
      replacement: "return createVerdict(claim, ClaimVerdict.Granted);",
    }],
  },
  {
    name: "release a ticket whose request may have run",
    invariant: Invariant.AtMostOnce,
    patches: [{
      file: "execution/ticket_admission.ts",
      search: "outcome === Outcome.NotRun ? undefined : {",
      replacement: "outcome !== Outcome.Completed ? undefined : {",
    }],
  },
  {
    name: "forget that an attempt may have run",
    invariant: Invariant.NotRunAccurate,
    patches: [{
      file: "execution/attempt_runner.ts",
      search: "attempt.request.mayHaveRun = true;",
      replacement: "{ /* Forgotten. */ }",
    }],
  },
  {
    name: "report notRun for an unclaimed ticket",
    invariant: Invariant.NotRunAccurate,
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
    invariant: Invariant.NoWorkForLeaving,
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
    name: "stop without waiting for runs to end",
    invariant: Invariant.GracefulStop,
    patches: [{
      file: "daemon_core.ts",
      search: "if (!this.#executor.isDrained()) return false;",
      replacement: "",
    }],
  },
  {
    name: "accept an older revision",
    invariant: Invariant.Configuration,
    patches: [{
      file: "tables/table_replica.ts",
      search: "if (tables.revision <= this.getTablesRevision())",
      replacement: "if (tables.revision === this.getTablesRevision())",
    }],
  },
  {
    name: "ignore all tables after the first",
    invariant: Invariant.Configuration,
    patches: [{
      file: "tables/table_replica.ts",
      search: "if (tables.revision <= this.getTablesRevision())",
      replacement: "if (this.getTablesRevision() > 0)",
    }],
  },
  {
    name: "add strikes to concurrent requests",
    invariant: Invariant.CrashBound,
    patches: [{
      file: "limits/crash_quarantine.ts",
      search: "const strikes = wasAlone ? 1 : 0;",
      replacement: "const strikes = 1;",
    }],
  },
  {
    name: "never refuse a crashing request",
    invariant: Invariant.CrashBound,
    patches: [{
      file: "limits/crash_quarantine.ts",
      search: "request.strikes + 1 >= maxStrikes;",
      replacement: "false;",
    }],
  },
  {
    name: "never repeat an unanswered lease request",
    invariant: Invariant.Liveness,
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
    invariant: Invariant.Robustness,
    patches: [{
      file: "limits/retry_budget.ts",
      search: "if (this.#savedRetries < 1) return false;",
      replacement: "if (this.#savedRetries < Date.now() * 0 + 1) return false;",
    }],
  },
  {
    name: "claim an engine before a term has elapsed",
    usesTenureFuzzer: true,
    invariant: Invariant.NoAlternation,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search: "now - this.#state.observedAt >= this.#getTurnMs()",
      replacement: "now >= this.#state.observedAt",
    }],
  },
  {
    name: "adopt another daemon's order sequence",
    usesTenureFuzzer: true,
    invariant: Invariant.NoAlternation,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search: "if (report.sequence > state.sequence) return this.#depose(now);",
      replacement: "",
    }, {
      file: "ordering/engine_ownership.ts",
      search: "...state,\n      startedAt: report.readAt - report.ageMs,",
      replacement:
        "...state,\n      sequence: report.sequence,\n      startedAt: report.readAt - report.ageMs,",
    }],
  },
  {
    name: "settle an unanswered order by any sequence",
    usesTenureFuzzer: true,
    invariant: Invariant.NoAlternation,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search: "if (!isOwn) return this.#depose(now);",
      replacement: "",
    }],
  },
  {
    name: "order an engine that may have restarted",
    usesTenureFuzzer: true,
    invariant: Invariant.NoAlternation,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search: "(isContested ? CONTESTED_VERIFIED_MS : VERIFIED_MS);",
      replacement: "Number.POSITIVE_INFINITY;",
    }],
  },
  {
    name: "do not rest after a blind order",
    usesScheduleFuzzer: true,
    invariant: Invariant.NoAlternation,
    patches: [{
      file: "ordering/engine_ownership.ts",
      search: "return CONTESTED_WINDOW_MS + this.#getTurnMs();",
      replacement: "return 0;",
    }],
  },
  {
    name: "prove ownership with another claimant's eviction",
    usesTenureFuzzer: true,
    invariant: Invariant.NoAlternation,
    patches: [{
      file: "ordering/proving_order.ts",
      search:
        "const own = selectVictim(input, listShare(input, input.selfId));",
      replacement:
        "const own = selectVictim(input, input.idlePaths.slice(0, 1));",
    }],
  },
];
