/**
 * `bench leases`: compares the cost of one permit per request with that of
 * leases that hold several credits.
 */
import type { CoreSettings } from "../../src/core/core_settings.ts";
import type { Subcommand } from "../subcommand.ts";
import { StoreLimitMode } from "./fakes.ts";
import { computeRow } from "./measures.ts";
import { createPolicy } from "./policies.ts";
import { Simulation } from "./simulation.ts";
import {
  type CaseName,
  CASES,
  createWorkload,
  type Deployment,
  DEPLOYMENTS,
} from "./workloads.ts";

const POLICY = "pistachiohatch";

/** The compared ways to grant batch capacity. */
const LEASE_VARIANTS: { way: string; settings: Partial<CoreSettings> }[] = [
  { way: "permit", settings: { maxLeaseCredits: 1, leaseIdleMs: 1 } },
  { way: "credits, returned at once", settings: { leaseIdleMs: 1 } },
  { way: "credits, kept 50 ms", settings: { leaseIdleMs: 50 } },
  { way: "credits, kept 500 ms", settings: { leaseIdleMs: 500 } },
  { way: "credits, kept 2 s", settings: { leaseIdleMs: 2_000 } },
];

interface LeaseRow {
  way: string;
  messagesPerRequest: number;
  bytesPerRequest: number;
  loadStallShare: number | null;
  batchFill: number | null;
  goodput: number | null;
  firstTokenP95Ms: number | null;
}

export const leasesCommand: Subcommand = {
  name: "leases",
  description: "Permits per request against leases with credits.",
  options: [
    {
      flags: "--deployment",
      description: "derwent or solljus",
      value: "solljus",
    },
    {
      flags: "--case",
      description: "Case of the policy bench",
      value: "steady",
    },
    { flags: "--seed", description: "Seed of the workload", value: 1 },
    { flags: "--json", description: "Print JSON" },
  ],
  run(options) {
    const deployment = DEPLOYMENTS[String(options["deployment"])];
    const caseName = CASES.find((name) => name === options["case"]);
    if (!deployment || !caseName) {
      throw new Error(
        `Expected a known deployment and case, found ${
          options["deployment"]
        } and ${options["case"]}`,
      );
    }
    const seed = Number(options["seed"]);
    const rows = LEASE_VARIANTS.map(({ way, settings }) =>
      measureVariant({ deployment, caseName, seed, way, settings })
    );
    if (options["json"]) console.log(JSON.stringify(rows));
    else console.table(rows);
  },
};

function measureVariant(options: {
  deployment: Deployment;
  caseName: CaseName;
  seed: number;
  way: string;
  settings: Partial<CoreSettings>;
}): LeaseRow {
  const { deployment, caseName, seed, way, settings } = options;
  const workload = createWorkload(deployment, caseName, seed);
  const run = new Simulation({
    deployment,
    workload,
    policy: createPolicy(POLICY, seed),
    store: StoreLimitMode.Rate,
    seed,
    settings,
  }).run();
  const row = computeRow({
    policy: POLICY,
    deployment,
    records: run.records,
    measuredSeconds: (workload.endAt - workload.measureFrom) / 1_000,
    batchFill: run.batchFill,
    loads: run.loads,
  });
  const requests = run.records.length;
  return {
    way,
    messagesPerRequest: toHundredths(run.leaseMessages / requests),
    bytesPerRequest: Math.round(run.leaseBytes / requests),
    loadStallShare: row.loadStallShare,
    batchFill: row.batchFill,
    goodput: row.goodput,
    firstTokenP95Ms: row.firstTokenP95Ms,
  };
}

function toHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
