/**
 * A soak test run: injects faults that are drawn from a seed and may overlap,
 * while callers send requests, and checks the invariants from what the callers
 * and the replicas receive.
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type ReplicaBehaviour,
  STREAM_EVENT_COUNT,
} from "../../fakes/fake_platform_replica.ts";
import { OrderOracle } from "../fuzz/order_oracle.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { ProxyFault } from "./fault_proxy.ts";
import { SoakCustomers, STEADY_CUSTOMER } from "./soak_customers.ts";
import { SOAK_TERM_MS, SoakFleet } from "./soak_fleet.ts";

const GATEWAYS = 3;
const CALLERS = 6;
/** Time for the processes to start and to claim the engines. */
const STARTUP_MS = 5_000;
/** Time after the last fault in which delayed runs may still appear. */
const DRAIN_MS = 4_000;
/**
 * Minimum fraction of the calls that must be answered with status 200; a run
 * with fewer proves nothing.
 */
const MIN_SERVED_RATIO = 0.2;
const SLOTS = 2;
const SERVICE_ANSWER = "the whole answer of the service";
const BEHAVIOURS: ReplicaBehaviour[] = [
  "fail",
  "shed",
  "hang",
  "reset",
  "truncate",
  "unframedReset",
  "extra",
  "wrongId",
  "noProof",
  "breakStream",
  "slow",
];

export interface SoakReport {
  violations: string[];
  trace: string[];
  calls: number;
  served: number;
  /** Requests that must not run, because their key was removed long ago. */
  revoked: number;
  /** Periods in which all gateways had a lowered quota. */
  quotas: number;
  /**
   * Requests for a route of the first configuration after a restore, which has
   * to be in force.
   */
  restored: number;
}

export interface Answer {
  status: number;
  body: string;
  isComplete: boolean;
}

export async function runSoak(
  seed: number,
  faultMs: number,
  port: number,
): Promise<SoakReport> {
  const fleet = new SoakFleet(port);
  const report: SoakReport = {
    violations: [],
    trace: [],
    calls: 0,
    served: 0,
    revoked: 0,
    quotas: 0,
    restored: 0,
  };
  const customers = new SoakCustomers(fleet, seed, report);
  await fleet.start(GATEWAYS);
  try {
    await waitMs(STARTUP_MS);
    const endsAt = Date.now() + faultMs;
    await Promise.all([
      injectFaults(fleet, seed, endsAt, report),
      ...Array.from(
        { length: CALLERS },
        (_, index) => runCaller(fleet, seed, index, endsAt, report),
      ),
      customers.run(endsAt),
    ]);
    await waitMs(DRAIN_MS);
    checkRuns(fleet, report);
    checkOrders(fleet, report);
    customers.checkRuns();
    if (report.served < MIN_SERVED_RATIO * report.calls) {
      report.violations.push(
        `only ${report.served} of ${report.calls} calls were served`,
      );
    }
  } finally {
    await fleet.stop();
  }
  return report;
}

async function injectFaults(
  fleet: SoakFleet,
  seed: number,
  endsAt: number,
  report: SoakReport,
): Promise<void> {
  const generator = xoroshiro128plus(seed);
  const draw = (from: number, to: number) => uniformInt(generator, from, to);
  const drawFrom = <T>(values: readonly T[]): T =>
    values[draw(0, values.length - 1)] as T;
  const startedAt = Date.now();
  while (Date.now() < endsAt) {
    const gateway = drawFrom(fleet.gateways);
    const replica = drawFrom([...fleet.engines, ...fleet.services]);
    const proxy = drawFrom([...fleet.proxies.values(), gateway.storeProxy]);
    const fault = draw(0, 10);
    const spanMs = draw(200, 3_000);
    report.trace.push(
      `${
        Date.now() - startedAt
      } ms: fault ${fault} ${gateway.ip} ${replica.id} ${spanMs}`,
    );
    switch (fault) {
      case 0:
        fleet.signal(gateway, "SIGKILL");
        break;
      case 1:
        fleet.signal(gateway, "SIGTERM");
        break;
      case 2:
        fleet.signal(gateway, "SIGSTOP");
        setTimeout(() => fleet.signal(gateway, "SIGCONT"), spanMs);
        break;
      case 3:
        fleet.signal(gateway, "SIGHUP");
        break;
      case 4:
        proxy.resetAll();
        break;
      case 5:
        proxy.fault = drawFrom(Object.values(ProxyFault));
        setTimeout(() => proxy.fault = ProxyFault.None, spanMs);
        break;
      case 6:
        fleet.publish();
        break;
      case 7:
        replica.restart();
        fleet.register(replica, "ready");
        break;
      case 8:
        replica.behaviours = [drawFrom(BEHAVIOURS), drawFrom(BEHAVIOURS)];
        break;
      case 9:
        fleet.store.fault = drawFrom(
          ["busy", "silent", "historyGone"] as const,
        );
        setTimeout(() => fleet.store.fault = "none", spanMs);
        break;
      case 10:
        fleet.register(replica, "draining");
        setTimeout(() => fleet.register(replica, "ready"), spanMs);
        break;
    }
    await waitMs(draw(50, 900));
  }
}

/** Ids of requests that were refused and therefore must not have run. */
const refusedIds = new Set<string>();
/** Ids of requests that must not run more than once. */
const unsafeIds = new Set<string>();

async function runCaller(
  fleet: SoakFleet,
  seed: number,
  index: number,
  endsAt: number,
  report: SoakReport,
): Promise<void> {
  const generator = xoroshiro128plus(seed * 1_000 + index + 1);
  const draw = (from: number, to: number) => uniformInt(generator, from, to);
  const agent = new Agent({ keepAlive: true });
  const newestSeen = new Map<string, number>();
  for (let call = 0; Date.now() < endsAt; call += 1) {
    const gateway = fleet.gateways[draw(0, fleet.gateways.length - 1)];
    if (!gateway) continue;
    const incarnationKey = `${gateway.ip} ${gateway.incarnation}`;
    const number = Math.max(1, fleet.configurationCount - draw(0, 2));
    const path =
      ["/safe/", "/unsafe/", "/brief/", "/resume/", `/only-${number}/`][
        draw(0, 4)
      ] ?? "/safe/";
    const id = `${seed}.${index}.${call}`;
    report.calls += 1;
    const answer = await callGateway(
      agent,
      `${gateway.ip}:${fleet.port}`,
      path,
      {
        id,
        adapter: `a${draw(1, 6)}`,
        key: STEADY_CUSTOMER.key,
      },
    );
    if (path === "/unsafe/" || path === "/brief/") unsafeIds.add(id);
    if (answer) checkAnswer(report, path, id, answer);
    const isSameIncarnation =
      incarnationKey === `${gateway.ip} ${gateway.incarnation}`;
    if (
      answer?.status === 200 && path.startsWith("/only-") && isSameIncarnation
    ) {
      if (number < (newestSeen.get(incarnationKey) ?? 0)) {
        report.violations.push(
          `${id}: served by configuration ${number} after a newer one`,
        );
      }
      newestSeen.set(
        incarnationKey,
        Math.max(number, newestSeen.get(incarnationKey) ?? 0),
      );
    }
    await waitMs(draw(5, 60));
  }
  agent.destroy();
}

function checkAnswer(
  report: SoakReport,
  path: string,
  id: string,
  answer: Answer,
): void {
  if (answer.status === 503 && answer.isComplete) refusedIds.add(id);
  if (answer.status === 401 || answer.status === 429) {
    report.violations.push(`${id} ${path}: refused with ${answer.status}`);
  }
  if (answer.status !== 200 || !answer.isComplete) return;
  report.served += 1;
  const isStream = path === "/brief/" || path === "/resume/";
  const expected = isStream
    ? Array.from(
      { length: STREAM_EVENT_COUNT },
      (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`,
    ).join("")
    : SERVICE_ANSWER;
  if (answer.body !== expected) {
    report.violations.push(`${id} ${path}: wrong answer ${answer.body}`);
  }
}

function checkRuns(fleet: SoakFleet, report: SoakReport): void {
  const runs = new Map<string, number>();
  for (const replica of [...fleet.engines, ...fleet.services]) {
    for (const seen of replica.receivedRequests) {
      runs.set(seen.id, (runs.get(seen.id) ?? 0) + 1);
    }
  }
  for (const [id, count] of runs) {
    if (count > 1 && unsafeIds.has(id)) {
      report.violations.push(`${id}: ran ${count} times`);
    }
    if (refusedIds.has(id) && unsafeIds.has(id)) {
      report.violations.push(`${id}: ran although it was refused`);
    }
  }
}

function checkOrders(fleet: SoakFleet, report: SoakReport): void {
  for (const engine of fleet.engines) {
    const oracle = new OrderOracle(SOAK_TERM_MS);
    for (const order of engine.receivedOrders) {
      if (order.status >= 300) continue;
      const { holder, fence, at } = order;
      oracle.check({ daemon: holder, fence, at });
    }
    report.violations.push(
      ...oracle.violations.map((violation) => `${engine.id}: ${violation}`),
    );
    if (engine.adapters.size > SLOTS) {
      report.violations.push(
        `${engine.id}: ${engine.adapters.size} adapters are resident`,
      );
    }
  }
}

/**
 * Sends a request to a gateway; returns undefined if the connection fails or no
 * answer starts.
 */
export function callGateway(
  agent: Agent,
  address: string,
  path: string,
  call: { id: string; adapter: string; key?: string; tokens?: string },
): Promise<Answer | undefined> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sent = request({
      host,
      port,
      path,
      method: "POST",
      agent,
      timeout: 6_000,
      headers: {
        Host: "mill.example",
        "X-Request-Id": call.id,
        "X-Deadline-Ms": "2500",
        "X-Model": `m/${call.adapter}`,
        "X-Token-Counts": call.tokens ?? "400,20",
        ...(call.key === undefined ? {} : { "X-Key": call.key }),
      },
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        }));
    });
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(undefined));
    sent.end(call.id);
  });
}
