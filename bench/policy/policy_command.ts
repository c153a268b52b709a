/**
 * `bench policy`: compares policies for routing and adapter residency by
 * simulating the daemon cores.
 */
import { writeFileSync } from "node:fs";
import type { Subcommand, SubcommandArguments } from "../subcommand.ts";
import { StoreLimitMode } from "./fakes.ts";
import {
  computeFairShareRatios,
  computeRow,
  type PolicyRow,
} from "./measures.ts";
import { computeOfflineBound } from "./offline_bound.ts";
import { createPolicy, POLICY_NAMES, type PolicyName } from "./policies.ts";
import { formatReport, formatTable } from "./report.ts";
import { Simulation } from "./simulation.ts";
import {
  type CaseName,
  CASES,
  createWorkload,
  type Deployment,
  DEPLOYMENTS,
} from "./workloads.ts";

/** The result of one case, in the form printed with `--json`. */
export interface CaseResult {
  deployment: string;
  case: CaseName;
  seed: number;
  rows: PolicyRow[];
}

/** Figures of a case that are not part of its rows. */
export interface CaseDetail {
  /** Lowest fair-share ratio of any customer, by policy. */
  minFairShareRatios: Map<string, number>;
  unsafeEvictions: number;
  maxLoadsInFlight: number;
}

interface CaseOptions {
  deployment: Deployment;
  caseName: CaseName;
  seed: number;
  store: StoreLimitMode;
  /** Policies to run; all when absent. */
  policies?: readonly PolicyName[];
}

/** Simulates one case under each policy and adds the offline bound. */
export function runCase(
  options: CaseOptions,
): { result: CaseResult; detail: CaseDetail } {
  const { deployment, caseName, seed, store } = options;
  const workload = createWorkload(deployment, caseName, seed);
  const measuredSeconds = (workload.endAt - workload.measureFrom) / 1_000;
  const detail: CaseDetail = {
    minFairShareRatios: new Map(),
    unsafeEvictions: 0,
    maxLoadsInFlight: 0,
  };
  const rows = (options.policies ?? POLICY_NAMES).map((policy) => {
    const run = new Simulation({
      deployment,
      workload,
      policy: createPolicy(policy, seed),
      store,
      seed,
    }).run();
    const fairShareRatios = computeFairShareRatios(run.records, deployment);
    detail.minFairShareRatios.set(policy, Math.min(...fairShareRatios));
    detail.unsafeEvictions += run.unsafeEvictions;
    detail.maxLoadsInFlight = Math.max(
      detail.maxLoadsInFlight,
      run.maxLoadsInFlight,
    );
    if (process.env.BENCH_COUNTERS) console.error(policy, run.counters);
    return computeRow({ policy, deployment, measuredSeconds, ...run });
  });
  const bound = computeOfflineBound(deployment, workload);
  rows.push({
    policy: "offline-bound",
    loadStallShare: Math.round(bound.loadStallShare * 10_000) / 10_000,
    loadStallP95Ms: null,
    batchFill: null,
    goodput: null,
    refused: null,
    lateShare: null,
    loads: bound.loads,
    firstTokenP95Ms: null,
    fairness: null,
  });
  return {
    result: { deployment: deployment.name, case: caseName, seed, rows },
    detail,
  };
}

export const policyCommand: Subcommand = {
  name: "policy",
  description: "Measure load stalls, batch fill and goodput by policy",
  options: [
    { flags: "--deployment", description: "derwent or solljus" },
    { flags: "--seed", description: "Seed of the workload", value: 1 },
    { flags: "--case", description: `One of ${CASES.join(", ")}` },
    { flags: "--store", description: "rate or inflight", value: "rate" },
    { flags: "--policy", description: "Run this policy alone" },
    { flags: "--json", description: "Print one JSON object", value: false },
    { flags: "--report", description: "Write an HTML picture of the cases" },
  ],
  run(options) {
    const { deployment, seed, store } = readCommonOptions(options);
    const caseNames = options.case === undefined
      ? CASES
      : [readChoice("case", options.case, CASES)];
    const policies = options.policy === undefined
      ? undefined
      : [readChoice("policy", options.policy, POLICY_NAMES)];
    const results: CaseResult[] = [];
    for (const caseName of caseNames) {
      const { result, detail } = runCase({
        deployment,
        caseName,
        seed,
        store,
        ...(policies ? { policies } : {}),
      });
      results.push(result);
      if (!options.json) console.log(formatTable(result, detail));
    }
    if (options.json) {
      const [first] = results;
      console.log(JSON.stringify(
        options.case === undefined
          ? { deployment: deployment.name, seed, cases: results }
          : first,
      ));
    }
    if (typeof options.report === "string") {
      writeFileSync(options.report, formatReport(results));
    }
  },
};

function readCommonOptions(options: SubcommandArguments): {
  deployment: Deployment;
  seed: number;
  store: StoreLimitMode;
} {
  const name = readChoice(
    "deployment",
    options.deployment,
    Object.keys(DEPLOYMENTS),
  );
  const seed = Number(options.seed);
  if (!Number.isInteger(seed)) {
    throw new Error(`Expected a whole number as --seed, found ${options.seed}`);
  }
  const modes = Object.values(StoreLimitMode);
  const store = readChoice("store", options.store, modes);
  return { deployment: DEPLOYMENTS[name]!, seed, store };
}

function readChoice<T extends string>(
  flag: string,
  value: unknown,
  choices: readonly T[],
): T {
  const choice = choices.find((candidate) => candidate === value);
  if (choice !== undefined) return choice;
  throw new Error(
    `Expected one of ${choices.join(", ")} as --${flag}, found ${value}`,
  );
}
