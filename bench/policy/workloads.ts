/** Deployments of the brief's sizes and the requests and faults of each case. */
import { Priority } from "../../src/core/structures.ts";
import { PopularityLaw } from "./popularity_law.ts";
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
  /** One way, between failure domains. */
  domainDelayMs: number;
  requestsPerSecond: number;
  serviceRequestsPerSecond: number;
  customers: readonly { name: string; share: number }[];
  deadlinesMs: Record<Priority, number>;
  loadStallWeight: number;
  batchEfficiencyWeight: number;
}

/** One way, inside a failure domain and to its upstreams. */
export const LOCAL_DELAY_MS = 0.2;
/** One way, between callers and daemons. */
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

/** Cases of the bench, in the order in which they are run. */
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
  /** Empty on a plain service. */
  adapter: string;
  priority: Priority;
  tokens: number;
  /** In [0, 1); the balancer's choice. */
  balance: number;
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
/** Pairs of adapters that change ranks in it: 8.6% of 3,000 in an hour. */
const DRIFTING_PAIRS = 2;
const SERVICE_TOKENS = 4;

export function getPriorityOf(adapter: number): Priority {
  const place = (adapter * 7_919) % 10;
  if (place < 5) return Priority.Interactive;
  return place < 8 ? Priority.Standard : Priority.Bulk;
}

export function getCustomerOf(adapter: number, deployment: Deployment): string {
  const { customers } = deployment;
  return customers[(adapter * 31) % customers.length]!.name;
}

function getTokens(priority: Priority, random: Random): number {
  switch (priority) {
    case Priority.Interactive:
      return 40 + Math.floor(random() * 40);
    case Priority.Standard:
      return 80 + Math.floor(random() * 80);
    case Priority.Bulk:
      return 200 + Math.floor(random() * 200);
  }
}

/** Returns the rate of engine requests at a time, as a multiple of the steady one. */
function getRateFactor(caseName: CaseName, at: number): number {
  const since = at - WARM_UP_MS;
  if (since < 0) return 1;
  switch (caseName) {
    case "morning":
      return since < 60_000 ? 1 + since / 60_000 : since < 180_000 ? 2 : 1;
    case "flood":
      return since < 30_000 || since > 270_000 ? 1 : 4;
    case "steady":
    case "shift":
    case "restart":
    case "cut":
    case "many":
      return 1;
  }
}

/** Returns the requests and faults of a case; the same for every policy. */
export function createWorkload(
  deployment: Deployment,
  caseName: CaseName,
  seed: number,
): Workload {
  const random = createRandom(seed);
  const law = new PopularityLaw(deployment, random);
  const endAt = WARM_UP_MS + MEASURED_MS;
  const requests: WorkloadRequest[] = [];
  let driftAt = DRIFT_INTERVAL_MS;
  let shiftAt = WARM_UP_MS + 30_000;
  let oneOff = deployment.adapters - 1;
  let at = 0;
  while (at < endAt) {
    const rate = deployment.requestsPerSecond * getRateFactor(caseName, at);
    at += -Math.log(1 - random()) / rate * 1_000;
    for (; at >= driftAt; driftAt += DRIFT_INTERVAL_MS) {
      law.changeSomeRanks(DRIFTING_PAIRS);
    }
    if (caseName === "shift" && at >= shiftAt) {
      law.changeRanks(
        1 + Math.floor(random() * 4),
        500 + Math.floor(random() * 2_000),
      );
      shiftAt += 60_000;
    }
    const isOneOff = caseName === "many" && at >= WARM_UP_MS &&
      random() < 0.15;
    if (isOneOff) oneOff -= 1;
    const adapter = isOneOff ? oneOff : drawAdapter(law, {
      deployment,
      // In a flood one customer sends most of what is too much.
      isNoisy: caseName === "flood" && getRateFactor(caseName, at) > 1 &&
        random() < 0.4,
    });
    const priority = getPriorityOf(adapter);
    requests.push({
      at,
      customer: getCustomerOf(adapter, deployment),
      route: `route-${adapter}`,
      adapter: `adapter-${adapter}`,
      priority,
      tokens: getTokens(priority, random),
      balance: random(),
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
  law: PopularityLaw,
  options: { deployment: Deployment; isNoisy: boolean },
): number {
  const noisy = options.deployment.customers[0]!.name;
  let adapter = law.draw();
  while (
    options.isNoisy && getCustomerOf(adapter, options.deployment) !== noisy
  ) {
    adapter = law.draw();
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
      balance: random(),
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
