/**
 * Applies the allotments of customers (core/limits/customer_allotments.ts) to
 * callers' requests, and exchanges offered rates with the coordinator: the host
 * that rendezvous hashing selects from those alive, which may be this one. Does
 * nothing unless the configuration limits a customer.
 */
import { hashText, rankByRendezvous } from "../core/hashing.ts";
import type { FleetView } from "../core/fleet/fleet_view.ts";
import {
  AllotmentCoordinator,
  type AllotmentDecision,
  type AllotmentTolerance,
  CustomerAllotments,
} from "../core/limits/customer_allotments.ts";
import type { Milliseconds } from "../core/structures.ts";
import type { PublishedView } from "../core/view/published_view.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayMessage } from "./peer_messages.ts";

/** Interval at which reports that are due are sent. */
const TICK_INTERVAL_MS = 200;
/** Interval at which the members of the fleet are read. */
const FLEET_INTERVAL_MS = 400;
/** Unanswered reports after which another coordinator is taken. */
const MAX_UNANSWERED = 3;
/** Time for which a coordinator that did not answer is not taken again. */
const EXCLUSION_MS = 5_000;
const COORDINATOR_KEY = "allotments";
/** Shortest time between two log lines about a customer. */
const LOG_INTERVAL_MS = 5_000;
/** Customers that are counted by name, which bounds the number of series. */
const MAX_NAMED_CUSTOMERS = 200;
const MAX_HASH = 2 ** 32;

export interface AllotmentTaskOptions {
  selfId: string;
  /** Addresses of the seeds other than this host. */
  seedIps: readonly string[];
  /** What the platform tolerates beyond the limits; nothing if undefined. */
  tolerance: AllotmentTolerance | undefined;
  view: PublishedView;
  fleet: FleetView;
  log: DecisionLog;
  metrics: GatewayMetrics;
  sendOnce: (peerId: string, message: GatewayMessage) => void;
}

export class AllotmentTask {
  readonly #options: AllotmentTaskOptions;
  readonly #allotments: CustomerAllotments;
  readonly #ledger = new AllotmentCoordinator();
  /** Requests rejected since the last log line, by customer. */
  readonly #rejections = new Map<
    string,
    { count: number; loggedAt: Milliseconds }
  >();
  /** Until when hosts that did not answer are not taken as coordinators. */
  readonly #excludedUntil = new Map<string, Milliseconds>();
  #coordinator: string | undefined;
  #unanswered = 0;
  #fleetReadAt = Number.NEGATIVE_INFINITY;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: AllotmentTaskOptions) {
    this.#options = options;
    this.#allotments = new CustomerAllotments(
      performance.now(),
      options.tolerance,
    );
  }

  /** Applies the limits of the present configuration. */
  applyConfiguration(): void {
    this.#allotments.setCustomers(this.#options.view.customers?.list() ?? []);
    if (this.#allotments.isActive) {
      this.#timer ??= setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    } else {
      this.stop();
    }
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Decides on a request before anything of it is sent. */
  decideAdmission(
    customer: string,
    cost: number,
    requestId: string,
  ): AllotmentDecision {
    const now = performance.now();
    const decision = this.#allotments.decideAdmission(
      customer,
      cost,
      hashText(requestId) / MAX_HASH,
      now,
    );
    if (decision.kind === "rejected") this.#recordRejection(customer, now);
    this.#reportIfDue(now);
    return decision;
  }

  handleMessage(from: string, message: GatewayMessage): void {
    const now = performance.now();
    switch (message.kind) {
      case "allotmentReport": {
        const totals = this.#ledger.handleReport(from, message.report, now);
        this.#options.metrics.count("allotment_messages", "totals");
        this.#options.sendOnce(from, { kind: "allotmentTotals", totals });
        break;
      }
      case "allotmentTotals":
        if (from === this.#coordinator) this.#unanswered = 0;
        this.#allotments.recordTotals(message.totals, now);
        break;
      default:
        break;
    }
  }

  #tick(): void {
    const now = performance.now();
    if (now - this.#fleetReadAt >= FLEET_INTERVAL_MS) this.#readFleet(now);
    this.#reportIfDue(now);
    this.#options.metrics.setGauge(
      "reporting_hosts",
      this.#ledger.countHosts(),
    );
  }

  #readFleet(now: Milliseconds): void {
    this.#fleetReadAt = now;
    const { fleet, seedIps, selfId, log } = this.#options;
    const members = fleet.countSharing(now);
    this.#allotments.setFleet({
      members,
      isSolitary: seedIps.length === 0 && members === 1,
    });
    const peers = fleet.listAlive(now)
      .filter(({ sender, sharesAllotments, isLeaving }) =>
        sharesAllotments && !isLeaving &&
        (this.#excludedUntil.get(sender.id) ?? 0) <= now
      )
      .map(({ sender }) => ({ id: sender.id }));
    const [first] = rankByRendezvous(COORDINATOR_KEY, [
      ...peers,
      { id: selfId },
    ]);
    if (first && first.id !== this.#coordinator) {
      this.#coordinator = first.id;
      this.#unanswered = 0;
      log.info("allotmentCoordinatorChanged", { coordinator: first.id });
    }
  }

  #reportIfDue(now: Milliseconds): void {
    if (this.#coordinator === undefined) return;
    if (!this.#allotments.isActive || !this.#allotments.needsReport(now)) {
      return;
    }
    const report = this.#allotments.takeReport(now);
    const { selfId, metrics, sendOnce } = this.#options;
    if (this.#coordinator === selfId) {
      this.#allotments.recordTotals(
        this.#ledger.handleReport(selfId, report, now),
        now,
      );
      return;
    }
    this.#unanswered += 1;
    if (this.#unanswered > MAX_UNANSWERED) {
      this.#excludedUntil.set(this.#coordinator, now + EXCLUSION_MS);
      this.#readFleet(now);
    }
    metrics.count("allotment_messages", "report");
    sendOnce(this.#coordinator, { kind: "allotmentReport", report });
  }

  #recordRejection(customer: string, now: Milliseconds): void {
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
