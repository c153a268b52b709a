/**
 * Deployments of the specified sizes, and the requests and faults of each case.
 */
import { Priority } from "../../src/core/structures.ts";
import { ZipfPopularity } from "./popularity_law.ts";
import { createRandom, type Random } from "./random.ts";

export interface Deployment {
  name: string;
  failureDomains: readonly string[];
  daemonsByDomain: readonly number[];
  engineService: string;
  enginesByDomain: readonly number[];
  plainService: string;
  servicesByDomain: readonly number[];
  adapters: number;
  slots: number;
  batchSize: number;
  zipfExponent: number;
  storeLoadsPerSecond: number;
  /** One-way delay between failure domains. */
  domainDelayMs: number;
  requestsPerSecond: number;
  serviceRequestsPerSecond: number;
  customers: readonly { name: string; share: number }[];
  deadlinesMs: Record<Priority, number>;
  loadStallWeight: number;
  batchEfficiencyWeight: number;
}

/** One-way delay within a failure domain, also to its upstreams. */
export const LOCAL_DELAY_MS = 0.2;
/** One-way delay between callers and daemons. */
export const CALLER_DELAY_MS = 3;

export const DEPLOYMENTS: Record<string, Deployment> = {
  derwent: {
    name: "derwent",
    failureDomains: ["hobart-a", "huon-b", "dover-c", "triabunna-d"],
    daemonsByDomain: [3, 2, 2, 2],
    engineService: "brief-writer",
    enginesByDomain: [4, 3, 3, 3],
    plainService: "dispatch-core",
    servicesByDomain: [1, 1, 1, 1],
    adapters: 3_000,
    slots: 8,
    batchSize: 8,
    zipfExponent: 1.2,
    storeLoadsPerSecond: 4,
    domainDelayMs: 1.5,
    requestsPerSecond: 11,
    serviceRequestsPerSecond: 2,
    customers: [
      { name: "mill-a", share: 1 },
      { name: "mill-b", share: 1 },
      { name: "mill-c", share: 1 },
    ],
    deadlinesMs: { interactive: 3_000, standard: 8_000, bulk: 20_000 },
    loadStallWeight: 1,
    batchEfficiencyWeight: 3,
  },
  solljus: {
    name: "solljus",
    failureDomains: ["lulea-a", "lulea-b", "umea-a", "umea-b"],
    daemonsByDomain: [2, 2, 2, 2],
    engineService: "assistent",
    enginesByDomain: [2, 2, 1, 1],
    plainService: "kassa",
    servicesByDomain: [1, 1, 1, 1],
    adapters: 3_000,
    slots: 8,
    batchSize: 8,
    zipfExponent: 1.3,
    storeLoadsPerSecond: 2,
    domainDelayMs: 1,
    requestsPerSecond: 5.5,
    serviceRequestsPerSecond: 1.5,
    customers: [
      { name: "agents", share: 2 },
      { name: "households", share: 1 },
      { name: "office", share: 1 },
      { name: "partners", share: 1 },
    ],
    deadlinesMs: { interactive: 2_500, standard: 6_000, bulk: 20_000 },
    loadStallWeight: 3,
    batchEfficiencyWeight: 1,
  },
};

/** Cases of the benchmark, in the order in which they run. */
export const CASES = [
  "steady",
  "shift",
  "morning",
  "flood",
  "restart",
  "cut",
  "many",
] as const;
export type CaseName = (typeof CASES)[number];

export interface WorkloadRequest {
  at: number;
  customer: string;
  route: string;
  /** Empty for a plain service. */
  adapter: string;
  priority: Priority;
  tokens: number;
  /** The load balancer's random choice of a daemon, in [0, 1). */
  balancerDraw: number;
}

export type Fault =
  | { kind: "restart"; at: number; engine: number; downMs: number }
  | { kind: "loadFailures"; at: number; untilMs: number; share: number }
  | { kind: "cut"; at: number; untilMs: number; domain: number };

export interface Workload {
  requests: WorkloadRequest[];
  faults: Fault[];
  measureFrom: number;
  endAt: number;
}

const WARM_UP_MS = 300_000;
const MEASURED_MS = 300_000;
const DRIFT_INTERVAL_MS = 30_000;
/**
 * Pairs of adapters that swap ranks in each interval: 8.6% of 3,000
 * in an hour.
 */
const DRIFT_SWAPPED_PAIRS = 2;
const SERVICE_TOKENS = 4;

export function getAdapterPriority(adapter: number): Priority {
  const bucket = (adapter * 7_919) % 10;
  if (bucket < 5) return Priority.Interactive;
  return bucket < 8 ? Priority.Standard : Priority.Bulk;
}

export function getAdapterCustomer(
  adapter: number,
  deployment: Deployment,
): string {
  const { customers } = deployment;
  return customers[(adapter * 31) % customers.length]!.name;
}

function drawTokenCount(priority: Priority, random: Random): number {
  switch (priority) {
    case Priority.Interactive:
      return 40 + Math.floor(random() * 40);
    case Priority.Standard:
      return 80 + Math.floor(random() * 80);
    case Priority.Bulk:
      return 200 + Math.floor(random() * 200);
  }
}

/**
 * Returns the rate of requests to engines at a time, as a multiple of the
 * steady rate.
 */
function getRateFactor(caseName: CaseName, at: number): number {
  const elapsedMs = at - WARM_UP_MS;
  if (elapsedMs < 0) return 1;
  switch (caseName) {
    case "morning":
      return elapsedMs < 60_000
        ? 1 + elapsedMs / 60_000
        : elapsedMs < 180_000
        ? 2
        : 1;
    case "flood":
      return elapsedMs < 30_000 || elapsedMs > 270_000 ? 1 : 4;
    case "steady":
    case "shift":
    case "restart":
    case "cut":
    case "many":
      return 1;
  }
}

/** Returns the requests and faults of a case, the same for each policy. */
export function createWorkload(
  deployment: Deployment,
  caseName: CaseName,
  seed: number,
): Workload {
  const random = createRandom(seed);
  const popularity = new ZipfPopularity(deployment, random);
  const endAt = WARM_UP_MS + MEASURED_MS;
  const requests: WorkloadRequest[] = [];
  let nextDriftAt = DRIFT_INTERVAL_MS;
  let nextShiftAt = WARM_UP_MS + 30_000;
  let oneOffAdapter = deployment.adapters - 1;
  let at = 0;
  while (at < endAt) {
    const rate = deployment.requestsPerSecond * getRateFactor(caseName, at);
    at += -Math.log(1 - random()) / rate * 1_000;
    for (; at >= nextDriftAt; nextDriftAt += DRIFT_INTERVAL_MS) {
      popularity.swapRandomRanks(DRIFT_SWAPPED_PAIRS);
    }
    if (caseName === "shift" && at >= nextShiftAt) {
      popularity.swapRanks(
        1 + Math.floor(random() * 4),
        500 + Math.floor(random() * 2_000),
      );
      nextShiftAt += 60_000;
    }
    const isOneOff = caseName === "many" && at >= WARM_UP_MS &&
      random() < 0.15;
    if (isOneOff) oneOffAdapter -= 1;
    const adapter = isOneOff ? oneOffAdapter : drawAdapter(popularity, {
      deployment,
      // In a flood, one customer sends most of the excess requests.
      isFromNoisyCustomer: caseName === "flood" &&
        getRateFactor(caseName, at) > 1 &&
        random() < 0.4,
    });
    const priority = getAdapterPriority(adapter);
    requests.push({
      at,
      customer: getAdapterCustomer(adapter, deployment),
      route: `route-${adapter}`,
      adapter: `adapter-${adapter}`,
      priority,
      tokens: drawTokenCount(priority, random),
      balancerDraw: random(),
    });
  }
  addServiceRequests(requests, deployment, endAt, random);
  requests.sort((a, b) => a.at - b.at);
  return {
    requests,
    faults: createFaults(deployment, caseName, random),
    measureFrom: WARM_UP_MS,
    endAt,
  };
}

function drawAdapter(
  popularity: ZipfPopularity,
  options: { deployment: Deployment; isFromNoisyCustomer: boolean },
): number {
  const noisyCustomer = options.deployment.customers[0]!.name;
  let adapter = popularity.drawAdapter();
  while (
    options.isFromNoisyCustomer &&
    getAdapterCustomer(adapter, options.deployment) !== noisyCustomer
  ) {
    adapter = popularity.drawAdapter();
  }
  return adapter;
}

function addServiceRequests(
  requests: WorkloadRequest[],
  deployment: Deployment,
  endAt: number,
  random: Random,
): void {
  let at = 0;
  while (at < endAt) {
    at += -Math.log(1 - random()) / deployment.serviceRequestsPerSecond * 1_000;
    const customer = deployment
      .customers[Math.floor(random() * deployment.customers.length)]!;
    requests.push({
      at,
      customer: customer.name,
      route: `${deployment.plainService}-${customer.name}`,
      adapter: "",
      priority: Priority.Interactive,
      tokens: SERVICE_TOKENS,
      balancerDraw: random(),
    });
  }
}

function createFaults(
  deployment: Deployment,
  caseName: CaseName,
  random: Random,
): Fault[] {
  const engines = deployment.enginesByDomain.reduce((sum, n) => sum + n, 0);
  if (caseName === "cut") {
    return [{
      kind: "cut",
      at: WARM_UP_MS + 60_000,
      untilMs: WARM_UP_MS + 150_000,
      domain: 1,
    }];
  }
  if (caseName !== "restart") return [];
  const faults: Fault[] = [{
    kind: "loadFailures",
    at: WARM_UP_MS + 30_000,
    untilMs: WARM_UP_MS + 270_000,
    share: 0.05,
  }];
  const restarts = Math.ceil(engines / 3);
  for (let index = 0; index < restarts; index += 1) {
    faults.push({
      kind: "restart",
      at: WARM_UP_MS + 40_000 + index * 60_000 % 200_000 + random() * 10_000,
      engine: Math.floor(random() * engines),
      downMs: 2_000,
    });
  }
  return faults;
}
