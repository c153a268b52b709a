/**
 * Applies the allotments of customers (core/limits/customer_allotments.ts) to
 * callers' requests, and exchanges the messages about them with the other
 * gateways. Does nothing unless the configuration limits a customer.
 */
import type { FleetView } from "../core/fleet/fleet_view.ts";
import {
  type AllotmentDecision,
  CustomerAllotments,
  type SettledRequest,
} from "../core/limits/customer_allotments.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedView } from "../core/view/published_view.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayMessage } from "./peer_messages.ts";

/** Interval at which leases and waiting requests are looked after. */
const TICK_INTERVAL_MS = 50;
/** Interval at which the members of the fleet are read. */
const PEERS_INTERVAL_MS = 200;
/**
 * Time for which a silent host counts among those that share the limits. While
 * it may be cut off and spend its part, the others do not take that over; each
 * host that was lost costs the customers one part in the number of hosts.
 */
const SILENT_MEMORY_MS = 60 * 60 * 1_000;
/** Shortest time between two log lines about a customer. */
const LOG_INTERVAL_MS = 5_000;
/** Customers that are counted by name, which bounds the number of series. */
const MAX_NAMED_CUSTOMERS = 200;

export type AdmissionDecision = SettledRequest["decision"];

export interface AllotmentTaskOptions {
  selfId: string;
  incarnation: string;
  /** Addresses of the seeds other than this host. */
  seedIps: readonly string[];
  view: PublishedView;
  fleet: FleetView;
  log: DecisionLog;
  metrics: GatewayMetrics;
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

interface WaitingRequest {
  beganAt: Milliseconds;
  settle: (decision: AdmissionDecision) => void;
}

export class AllotmentTask {
  readonly #options: AllotmentTaskOptions;
  readonly #allotments: CustomerAllotments;
  readonly #waiting = new Map<number, WaitingRequest>();
  /** Requests rejected since the last log line, by customer. */
  readonly #rejections = new Map<string, { count: number; loggedAt: number }>();
  #peersReadAt = Number.NEGATIVE_INFINITY;
  #coordinator: string | undefined;
  #isStopping = false;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: AllotmentTaskOptions) {
    this.#options = options;
    const { selfId, incarnation } = options;
    this.#allotments = new CustomerAllotments(
      { selfId, incarnation },
      performance.now(),
    );
  }

  /** Applies the limits of the present configuration. */
  applyConfiguration(): void {
    this.#allotments.setCustomers(this.#options.view.customers?.list() ?? []);
    if (this.#allotments.isActive) {
      this.#timer ??= setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    } else {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
    this.#advance(performance.now());
  }

  /** Moves what this host coordinates to others, while it still answers. */
  beginStop(): void {
    this.#isStopping = true;
    this.#peersReadAt = Number.NEGATIVE_INFINITY;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Decides on a request, which may wait briefly for a grant. */
  async admit(customer: string, cost: number): Promise<AdmissionDecision> {
    const beganAt = performance.now();
    const decision = await this.#decide(customer, cost, beganAt);
    if (decision.kind === "rejected") this.#recordRejection(customer);
    return decision;
  }

  #decide(
    customer: string,
    cost: number,
    now: Milliseconds,
  ): AdmissionDecision | Promise<AdmissionDecision> {
    const decision: AllotmentDecision = this.#allotments.decideAdmission(
      customer,
      cost,
      now,
    );
    switch (decision.kind) {
      case "admitted":
      case "rejected":
        return decision;
      case "waiting":
        return new Promise((resolve) => {
          this.#waiting.set(decision.id, { beganAt: now, settle: resolve });
          this.#advance(now);
        });
    }
  }

  handleMessage(from: string, message: GatewayMessage): void {
    const now = performance.now();
    // The answer goes to the address that the member's heartbeats gave.
    if (!this.#options.fleet.getMember(from)) return;
    switch (message.kind) {
      case "allotmentRequest": {
        const grant = this.#allotments.handleRequest(
          from,
          message.request,
          now,
        );
        this.#options.metrics.count("allotment_messages", "grant");
        this.#options.sendOnce(from, { kind: "allotmentGrant", grant });
        break;
      }
      case "allotmentGrant":
        this.#settle(
          this.#allotments.recordGrant(from, message.grant, now),
          now,
        );
        this.#advance(now);
        break;
      default:
        break;
    }
  }

  #tick(): void {
    const now = performance.now();
    this.#advance(now);
    this.#options.metrics.setGauge(
      "coordinated_allotments",
      this.#allotments.coordinatedFraction,
    );
    const { coordinator } = this.#allotments;
    if (coordinator === undefined || coordinator === this.#coordinator) return;
    this.#coordinator = coordinator;
    this.#options.log.info("allotmentCoordinatorChanged", { coordinator });
  }

  #advance(now: Milliseconds): void {
    if (now - this.#peersReadAt >= PEERS_INTERVAL_MS) this.#readPeers(now);
    const { settled, outgoing } = this.#allotments.advance(now);
    this.#settle(settled, now);
    for (const { to, request } of outgoing) {
      this.#options.metrics.count("allotment_messages", "request");
      this.#options.sendOnce(to, { kind: "allotmentRequest", request });
    }
  }

  #readPeers(now: Milliseconds): void {
    this.#peersReadAt = now;
    const { fleet, seedIps } = this.#options;
    const candidates = fleet.listAlive(now)
      .filter(({ sharesAllotments, isLeaving }) =>
        sharesAllotments && !isLeaving
      )
      .map(({ sender }) => sender.id);
    const members = fleet.countSharing(now, SILENT_MEMORY_MS);
    this.#allotments.setPeers({
      candidates,
      members,
      isSolitary: seedIps.length === 0 && members === 1,
      seeds: seedIps.length,
      isStopping: this.#isStopping,
    });
  }

  #settle(settled: readonly SettledRequest[], now: Milliseconds): void {
    for (const { id, decision } of settled) {
      const waiting = this.#waiting.get(id);
      this.#waiting.delete(id);
      if (!waiting) continue;
      const waitMs = now - waiting.beganAt;
      this.#options.metrics.measure("allotment_wait", decision.kind, waitMs);
      waiting.settle(decision);
    }
  }

  #recordRejection(customer: string): void {
    const now = performance.now();
    const isNamed = this.#rejections.has(customer) ||
      this.#rejections.size < MAX_NAMED_CUSTOMERS;
    const name = isNamed ? customer : "other";
    this.#options.metrics.count("allotment_rejections", name);
    const known = this.#rejections.get(name) ??
      { count: 0, loggedAt: Number.NEGATIVE_INFINITY };
    this.#rejections.set(name, known);
    known.count += 1;
    if (now - known.loggedAt < LOG_INTERVAL_MS) return;
    this.#options.log.info("allotmentExceeded", {
      customer: name,
      rejected: known.count,
      coordinator: this.#coordinator,
    });
    known.count = 0;
    known.loggedAt = now;
  }
}
