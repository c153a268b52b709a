/**
 * Simulates the cores of all daemons with models of the engines and the weight
 * store under one workload, in virtual time.
 */
import type { CorePolicy } from "../../src/core/core_policy.ts";
import {
  type CoreSettings,
  DEFAULT_CORE_SETTINGS,
} from "../../src/core/core_settings.ts";
import { DaemonCore } from "../../src/core/daemon_core.ts";
import type { DispatchEffect, Effect } from "../../src/core/effects.ts";
import type { PeerMessage } from "../../src/core/messages.ts";
import type { CoreEvent } from "../../src/core/events.ts";
import type { AttemptResult } from "../../src/core/outcomes.ts";
import {
  HostRole,
  type HostStructure,
  PoolKind,
} from "../../src/core/structures.ts";
import { encodeEnvelope } from "../../src/protocol/peer_codec.ts";
import { EventHeap } from "./event_heap.ts";
import {
  createHosts,
  createTables,
  MAX_RUN_MS,
  SERVICE_BATCH_SIZE,
} from "./deployment_tables.ts";
import { FakeEngine, FakeStore, StoreLimitMode } from "./fakes.ts";
import type { RequestRecord } from "./measures.ts";
import { createRandom } from "./random.ts";
import {
  CALLER_DELAY_MS,
  type Deployment,
  type Fault,
  LOCAL_DELAY_MS,
  type Workload,
} from "./workloads.ts";

export interface SimulationResult {
  records: RequestRecord[];
  batchFill: number;
  loads: number;
  maxLoadsInFlight: number;
  unsafeEvictions: number;
  counters: Map<string, number>;
  /**
   * Number and size of the lease messages between daemons in the measured
   * time.
   */
  leaseMessages: number;
  leaseBytes: number;
}

interface SimulationOptions {
  deployment: Deployment;
  workload: Workload;
  policy: CorePolicy;
  store: StoreLimitMode;
  seed: number;
  /** Settings that replace the defaults. */
  settings?: Partial<CoreSettings>;
}

const TICK_MS = 50;
const CONNECT_TIMEOUT_MS = 1_000;
/** Rate of 8 concurrent loads of 250 ms each. */
const FULL_SPEED_LOADS_PER_SECOND = 32;

export class Simulation {
  readonly #options: SimulationOptions;
  readonly #heap = new EventHeap();
  readonly #store: FakeStore;
  readonly #daemons = new Map<string, DaemonCore>();
  readonly #domainByHost = new Map<string, string>();
  readonly #upstreams = new Map<string, FakeEngine>();
  readonly #records = new Map<string, RequestRecord>();
  readonly #daemonByAttempt = new Map<string, string>();
  readonly #counters = new Map<string, number>();
  #isolatedDomain: string | undefined;
  #leaseMessages = 0;
  #leaseBytes = 0;
  #loadFailureShare = 0;
  #loadsBeforeMeasurement = 0;

  constructor(options: SimulationOptions) {
    const { deployment, store, workload, seed } = options;
    this.#options = options;
    this.#store = new FakeStore(this.#heap, {
      loadsPerSecond: deployment.storeLoadsPerSecond,
      limitMode: store,
    });
    const hosts = createHosts(deployment);
    const random = createRandom(seed + 1);
    for (const host of hosts) {
      this.#domainByHost.set(host.id, host.failureDomain);
      if (host.role === HostRole.Entry) this.#addDaemon(host, hosts);
      else this.#addUpstream(host, () => random() < this.#loadFailureShare);
    }
    for (const fault of workload.faults) this.#scheduleFault(fault);
    this.#scheduleRequests();
    this.#heap.schedule(workload.measureFrom, () => {
      this.#loadsBeforeMeasurement = this.#store.loads;
    });
  }

  run(): SimulationResult {
    const { workload } = this.#options;
    // Runs longer so that the last requests can still be answered.
    this.#heap.runUntil(workload.endAt + 2 * MAX_RUN_MS);
    const engines = [...this.#upstreams.values()].filter((engine) =>
      engine.host.service === this.#options.deployment.engineService
    );
    const steps = sum(engines, (engine) => engine.steps);
    return {
      records: [...this.#records.values()].filter(({ request }) =>
        request.at >= workload.measureFrom
      ),
      batchFill: sum(engines, (engine) => engine.batchFillSum) / steps,
      loads: this.#store.loads - this.#loadsBeforeMeasurement,
      maxLoadsInFlight: this.#store.maxInFlight,
      unsafeEvictions: sum(engines, (engine) => engine.unsafeEvictions),
      counters: this.#counters,
      leaseMessages: this.#leaseMessages,
      leaseBytes: this.#leaseBytes,
    };
  }

  #addDaemon(host: HostStructure, hosts: HostStructure[]): void {
    const { deployment, store, policy } = this.#options;
    const core = new DaemonCore({
      selfId: host.id,
      incarnation: "1",
      failureDomain: host.failureDomain,
      settings: {
        ...DEFAULT_CORE_SETTINGS,
        storeLoadsPerSecond: store === StoreLimitMode.Rate
          ? deployment.storeLoadsPerSecond
          : FULL_SPEED_LOADS_PER_SECOND,
        ...this.#options.settings,
      },
      seedHosts: hosts.filter(({ role }) => role === HostRole.Entry),
      policy,
      ticketSecret: new Uint8Array(32),
    }, 0);
    this.#daemons.set(host.id, core);
    const tables = createTables(deployment);
    this.#deliverEvent(host.id, { kind: "tablesPublished", tables }, 0);
    const hostList = { revision: 1, hosts };
    this.#deliverEvent(host.id, { kind: "hostListPublished", hostList }, 0);
    const tick = (now: number) => {
      this.#deliverEvent(host.id, { kind: "tick" }, now);
      this.#heap.schedule(now + TICK_MS, tick);
    };
    this.#heap.schedule(this.#daemons.size, tick);
  }

  #addUpstream(host: HostStructure, isLoadFailing: () => boolean): void {
    const { deployment, workload } = this.#options;
    const isEngine = host.service === deployment.engineService;
    this.#upstreams.set(
      host.id,
      new FakeEngine({
        host,
        slots: isEngine ? deployment.slots : 0,
        batchSize: isEngine ? deployment.batchSize : SERVICE_BATCH_SIZE,
        heap: this.#heap,
        store: this.#store,
        isLoadFailing,
        measureFrom: workload.measureFrom,
      }),
    );
  }

  #scheduleRequests(): void {
    const { deployment, workload } = this.#options;
    const daemons = [...this.#daemons.keys()];
    for (const [index, request] of workload.requests.entries()) {
      const requestId = `request-${index}`;
      const daemon =
        daemons[Math.floor(request.balancerDraw * daemons.length)]!;
      this.#heap.schedule(request.at + CALLER_DELAY_MS, (now) => {
        this.#records.set(requestId, {
          request,
          deadlineMs: deployment.deadlinesMs[request.priority],
          hasStalled: false,
        });
        this.#deliverEvent(daemon, {
          kind: "requestArrived",
          requestId,
          customer: request.customer,
          route: request.route,
          fingerprint: requestId,
          sharedParts: [],
        }, now);
      });
    }
  }

  #scheduleFault(fault: Fault): void {
    switch (fault.kind) {
      case "restart": {
        const engine = [...this.#upstreams.values()][fault.engine]!;
        this.#heap.schedule(
          fault.at,
          (now) => engine.restart(now, fault.downMs),
        );
        break;
      }
      case "loadFailures":
        this.#heap.schedule(fault.at, () => {
          this.#loadFailureShare = fault.share;
        });
        this.#heap.schedule(fault.untilMs, () => {
          this.#loadFailureShare = 0;
        });
        break;
      case "cut":
        this.#heap.schedule(fault.at, (now) => {
          this.#isolatedDomain =
            this.#options.deployment.failureDomains[fault.domain];
          this.#abortIsolatedRuns(now);
        });
        this.#heap.schedule(fault.untilMs, () => {
          this.#isolatedDomain = undefined;
        });
        break;
    }
  }

  #abortIsolatedRuns(now: number): void {
    for (const engine of this.#upstreams.values()) {
      engine.abortRuns((attemptId) => {
        const daemon = this.#daemonByAttempt.get(attemptId);
        return daemon !== undefined &&
          this.#isPartitioned(daemon, engine.host.id);
      }, now);
    }
  }

  #isPartitioned(a: string, b: string): boolean {
    if (this.#isolatedDomain === undefined) return false;
    return (this.#domainByHost.get(a) === this.#isolatedDomain) !==
      (this.#domainByHost.get(b) === this.#isolatedDomain);
  }

  #getDelayMs(a: string, b: string): number {
    return this.#domainByHost.get(a) === this.#domainByHost.get(b)
      ? LOCAL_DELAY_MS
      : this.#options.deployment.domainDelayMs;
  }

  #deliverEvent(daemonId: string, event: CoreEvent, now: number): void {
    const daemon = this.#daemons.get(daemonId)!;
    let hasStalled = false;
    for (const effect of daemon.handle(event, now)) {
      if (effect.kind === "measure") {
        hasStalled = effect.histogram === "load_stall";
      } else if (effect.kind === "dispatch") {
        this.#dispatch(daemonId, effect, hasStalled, now);
        hasStalled = false;
      } else this.#runEffect(daemonId, effect, now);
    }
  }

  #runEffect(daemonId: string, effect: Effect, now: number): void {
    switch (effect.kind) {
      case "send":
        this.#send(daemonId, effect, now);
        break;
      case "cancelAttempt":
        for (const engine of this.#upstreams.values()) {
          engine.cancel(effect.attemptId, now);
        }
        break;
      case "refuse":
        this.#recordRefusal(effect);
        break;
      case "complete":
        this.#records.get(effect.requestId)!.completedAt = now;
        break;
      case "order":
        this.#order(daemonId, effect, now);
        break;
      case "readUpstreamState":
        this.#readState(daemonId, effect, now);
        break;
      case "count": {
        const key = `${effect.counter}:${effect.tag}`;
        this.#counters.set(key, (this.#counters.get(key) ?? 0) + 1);
        break;
      }
      case "dispatch":
      case "measure":
      case "replay":
      case "stopCompleted":
        break;
    }
  }

  #recordRefusal(effect: Extract<Effect, { kind: "refuse" }>): void {
    const record = this.#records.get(effect.requestId)!;
    record.refusal = effect.reason;
    record.hasStalled ||= effect.hasStalled;
  }

  #send(
    from: string,
    effect: Extract<Effect, { kind: "send" }>,
    now: number,
  ): void {
    if (this.#isPartitioned(from, effect.to)) return;
    const { to, message } = effect;
    this.#countMessage(from, message, now);
    this.#heap.schedule(now + this.#getDelayMs(from, to), (at) => {
      this.#deliverEvent(to, { kind: "peerMessage", from, message }, at);
    });
  }

  /** Counts the lease messages that are sent in the measured time. */
  #countMessage(from: string, message: PeerMessage, now: number): void {
    const { workload } = this.#options;
    const isMeasured = now >= workload.measureFrom && now < workload.endAt;
    if (!isMeasured || !message.kind.startsWith("lease")) return;
    const bytes = encodeEnvelope({ from, messages: [message] }).length;
    this.#leaseMessages += 1;
    this.#leaseBytes += bytes;
  }

  #dispatch(
    daemonId: string,
    effect: DispatchEffect,
    hasStalled: boolean,
    now: number,
  ): void {
    const { attemptId, upstreamId } = effect;
    const record = this.#records.get(effect.requestId)!;
    const delayMs = this.#getDelayMs(daemonId, upstreamId);
    record.dispatchedAt ??= now;
    record.hasStalled ||= hasStalled;
    const end = (result: AttemptResult, at: number) => {
      this.#daemonByAttempt.delete(attemptId);
      this.#heap.schedule(at + delayMs, (later) => {
        this.#deliverEvent(daemonId, {
          kind: "attemptEnded",
          attemptId,
          result,
        }, later);
      });
    };
    if (this.#isPartitioned(daemonId, upstreamId)) {
      end({ kind: "notSent", detail: "timed out" }, now + CONNECT_TIMEOUT_MS);
      return;
    }
    this.#daemonByAttempt.set(attemptId, daemonId);
    this.#heap.schedule(now + delayMs, (at) => {
      this.#upstreams.get(upstreamId)!.start({
        attemptId,
        adapterKey: effect.upstreamKind === PoolKind.Engine ? effect.model : "",
        tokensLeft: record.request.tokens,
        hasStarted: false,
        reportFirstToken: (first) => {
          record.firstTokenAt ??= first + delayMs + CALLER_DELAY_MS;
        },
        reportEnd: end,
      }, at);
    });
  }

  #order(
    daemonId: string,
    effect: Extract<Effect, { kind: "order" }>,
    now: number,
  ): void {
    const engine = this.#upstreams.get(effect.upstreamId)!;
    const delayMs = this.#getDelayMs(daemonId, effect.upstreamId);
    this.#heap.schedule(now + delayMs, (at) => {
      engine.giveOrder(effect.order, effect.fencing, at, (result, end) => {
        this.#heap.schedule(end + delayMs, (later) => {
          const { orderId } = effect;
          this.#deliverEvent(
            daemonId,
            { kind: "orderEnded", orderId, result },
            later,
          );
        });
      });
    });
  }

  #readState(
    daemonId: string,
    effect: Extract<Effect, { kind: "readUpstreamState" }>,
    now: number,
  ): void {
    const { upstreamId, readId } = effect;
    const delayMs = this.#getDelayMs(daemonId, upstreamId);
    if (this.#isPartitioned(daemonId, upstreamId)) {
      this.#heap.schedule(now + CONNECT_TIMEOUT_MS, (at) => {
        this.#deliverEvent(daemonId, {
          kind: "upstreamStateUnread",
          upstreamId,
          readId,
          isConnectionRefused: false,
        }, at);
      });
      return;
    }
    this.#heap.schedule(now + delayMs, (readAt) => {
      const state = this.#upstreams.get(upstreamId)!.readState(readAt);
      this.#heap.schedule(readAt + delayMs, (at) => {
        this.#deliverEvent(
          daemonId,
          state ? { kind: "upstreamStateRead", upstreamId, readId, state } : {
            kind: "upstreamStateUnread",
            upstreamId,
            readId,
            isConnectionRefused: true,
          },
          at,
        );
      });
    });
  }
}

function sum<T>(items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((total, item) => total + getValue(item), 0);
}
