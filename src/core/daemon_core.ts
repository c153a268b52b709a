/**
 * The decisions of one daemon, without input or output: events go in with the
 * present time, effects come out. The daemon, the fuzzer and the benches drive
 * the same class.
 */
import {
  daemonChart,
  type DaemonState,
  type DaemonTrigger,
} from "../charts/daemon_chart.ts";
import { type CorePolicy, DEFAULT_CORE_POLICY } from "./core_policy.ts";
import type { CoreSettings } from "./core_settings.ts";
import type { Effect } from "./effects.ts";
import type { CoreEvent, RequestArrivedEvent } from "./events.ts";
import { RequestExecutor } from "./execution/request_executor.ts";
import { TicketBook } from "./execution/ticket_book.ts";
import { CrashQuarantine } from "./limits/crash_quarantine.ts";
import { RetryBudget } from "./limits/retry_budget.ts";
import { Membership } from "./membership/membership.ts";
import {
  ClaimVerdict,
  type HeartbeatMessage,
  type PeerMessage,
} from "./messages.ts";
import { getUnclaimedOutcome, RefusalReason } from "./outcomes.ts";
import { StoreAccess } from "./residency/store_access.ts";
import type { OwnedUpstreamDescription } from "./residency/upstream_owner.ts";
import { UpstreamOwnership } from "./residency/upstream_ownership.ts";
import type { RankedUpstream } from "./routing/upstream_selector.ts";
import {
  type HostListStructure,
  type HostStructure,
  type Milliseconds,
  type TablesStructure,
} from "./structures.ts";
import { TableExchange } from "./tables/table_exchange.ts";
import { type OfferResult, TableKeeper } from "./tables/table_keeper.ts";
import type { TableSnapshot } from "./tables/table_snapshot.ts";

export interface DaemonCoreOptions {
  selfId: string;
  /** Differs in each start of the process. */
  incarnation: string;
  failureDomain: string;
  settings: CoreSettings;
  /** Hosts known from the settings, until the platform or a peer names more. */
  seedHosts: HostStructure[];
  /** Replaces the daemon's own policy, in comparisons. */
  policy?: CorePolicy;
  /** Random bytes for the check codes of tickets. */
  ticketSecret: Uint8Array;
}

/** A daemon as operators see it. */
export interface DaemonDescription {
  id: string;
  incarnation: string;
  failureDomain: string;
  state: DaemonState;
  tablesRevision: number;
  hostListRevision: number;
  peers: ReturnType<Membership["describePeers"]>;
  upstreams: OwnedUpstreamDescription[];
  execution: ReturnType<RequestExecutor["describe"]>;
  tickets: number;
  storeLoadsInFlight: number;
}

/** Ticket claims older than the longest run and queue are taken for lost. */
const CLAIM_TIMEOUT_MS = 1_200_000;

export class DaemonCore {
  readonly #options: DaemonCoreOptions;
  readonly #tables = new TableKeeper();
  readonly #membership: Membership;
  readonly #quarantine: CrashQuarantine;
  readonly #store: StoreAccess;
  readonly #tickets: TicketBook;
  readonly #executor: RequestExecutor;
  readonly #ownership: UpstreamOwnership;
  readonly #tableExchange: TableExchange;
  readonly #startedAt: Milliseconds;
  #state: DaemonState = daemonChart.initial;
  #effects: Effect[] = [];
  #lastEventAt: Milliseconds;
  #lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  #heartbeatSequence = 0;
  #isPlatformHeard = false;

  constructor(options: DaemonCoreOptions, now: Milliseconds) {
    const { settings, selfId, incarnation, failureDomain } = options;
    const policy = options.policy ?? DEFAULT_CORE_POLICY;
    this.#options = options;
    this.#startedAt = now;
    this.#lastEventAt = now;
    this.#membership = new Membership({
      selfId,
      failureDomain,
      peerTimeoutMs: settings.peerTimeoutMs,
    });
    this.#membership.applyHostList({ revision: 0, hosts: options.seedHosts });
    this.#quarantine = new CrashQuarantine(settings);
    this.#store = new StoreAccess({
      selfId,
      incarnation,
      failureDomain,
      settings,
      membership: this.#membership,
      emit: this.#emit,
    });
    this.#tableExchange = new TableExchange(this.#tables, this.#emit);
    this.#ownership = new UpstreamOwnership({
      selfId,
      incarnation,
      failureDomain,
      settings,
      policy,
      tables: this.#tables,
      membership: this.#membership,
      store: this.#store,
      emit: this.#emit,
    });
    this.#tickets = new TicketBook({
      selfId,
      incarnation,
      secret: options.ticketSecret,
      lifetimeMs: settings.ticketLifetimeMs,
      maxTickets: settings.maxTickets,
      claimTimeoutMs: CLAIM_TIMEOUT_MS,
    });
    this.#executor = new RequestExecutor({
      selfId,
      incarnation,
      failureDomain,
      settings,
      policy,
      tables: this.#tables,
      membership: this.#membership,
      quarantine: this.#quarantine,
      retryBudget: new RetryBudget(settings.retryRatio),
      tickets: this.#tickets,
      emit: this.#emit,
    });
  }

  get id(): string {
    return this.#options.selfId;
  }

  get state(): DaemonState {
    return this.#state;
  }

  getSnapshot(): TableSnapshot | undefined {
    return this.#tables.getSnapshot();
  }

  /** Returns the address of a peer, for the effects that send to it. */
  getPeerAddress(id: string): string | undefined {
    return this.#membership.getEntryHost(id)?.address;
  }

  /** Takes an event at the present time and returns what is to be done. */
  handle(event: CoreEvent, now: Milliseconds): Effect[] {
    const hasPaused =
      now - this.#lastEventAt > this.#options.settings.pauseThresholdMs;
    this.#lastEventAt = now;
    if (hasPaused) this.#expireBeliefs(now);
    this.#apply(event, now);
    return this.#takeEffects(now);
  }

  describe(now: Milliseconds): DaemonDescription {
    return {
      id: this.#options.selfId,
      incarnation: this.#options.incarnation,
      failureDomain: this.#options.failureDomain,
      state: this.#state,
      tablesRevision: this.#tables.getTablesRevision(),
      hostListRevision: this.#tables.getHostListRevision(),
      peers: this.#membership.describePeers(now),
      upstreams: this.#ownership.describe(now),
      execution: this.#executor.describe(),
      tickets: this.#tickets.getTicketCount(),
      storeLoadsInFlight: this.#store.getInFlight(),
    };
  }

  /** Returns how the upstreams rank for a route now, best first. */
  explainRoute(routeName: string, now: Milliseconds): RankedUpstream[] {
    const route = this.#tables.getSnapshot()?.getRoutes()
      .find((candidate) => candidate.name === routeName);
    return route ? this.#executor.explainRoute(route, now) : [];
  }

  readonly #emit = (effect: Effect): void => {
    this.#effects.push(effect);
  };

  /** Delivers messages to this daemon itself; returns the other effects. */
  #takeEffects(now: Milliseconds): Effect[] {
    const outward: Effect[] = [];
    for (
      let effect = this.#effects.shift();
      effect !== undefined;
      effect = this.#effects.shift()
    ) {
      if (effect.kind === "send" && effect.to === this.#options.selfId) {
        this.#receive(effect.to, effect.message, now);
      } else outward.push(effect);
    }
    return outward;
  }

  #apply(event: CoreEvent, now: Milliseconds): void {
    switch (event.kind) {
      case "requestArrived":
        if (this.#state === "serving") {
          this.#executor.handleArrival(event, now);
        } else this.#refuseUnserved(event);
        break;
      case "callerGone":
        this.#executor.handleCallerGone(event.requestId, now);
        break;
      case "attemptEnded":
        this.#executor.handleAttemptEnded(event, now);
        break;
      case "peerMessage":
        this.#receive(event.from, event.message, now);
        break;
      case "upstreamStateRead":
        if (this.#executor.handleExamination(event, now)) break;
        this.#ownership.getOwner(event.upstreamId)
          ?.recordState(event.readId, event.state, now);
        break;
      case "upstreamStateUnread":
        if (this.#executor.handleExamination(event, now)) break;
        this.#ownership.getOwner(event.upstreamId)
          ?.recordStateUnread(event.readId, event.isRefused, now);
        break;
      case "orderEnded":
        this.#ownership.recordOrderEnd(event.orderId, event.result, now);
        break;
      case "tablesPublished":
        this.#isPlatformHeard = true;
        this.#offerTables(event.tables, now);
        break;
      case "hostListPublished":
        this.#offerHostList(event.hostList, now);
        break;
      case "platformUnreachable":
        this.#isPlatformHeard = true;
        break;
      case "tick":
        this.#tick(now);
        break;
      case "stopRequested":
        this.#stop(now);
        break;
    }
  }

  #receive(from: string, message: PeerMessage, now: Milliseconds): void {
    switch (message.kind) {
      case "heartbeat":
        this.#receiveHeartbeat(from, message, now);
        break;
      case "leaseRequest":
        this.#ownership.requestLease(from, message, now);
        break;
      case "leaseCancel":
        this.#ownership.getOwner(message.upstreamId)
          ?.cancelLeaseRequest(message.leaseRequestId, now);
        break;
      case "leaseReturn":
        this.#ownership.getOwner(message.upstreamId)
          ?.returnLease(message.leaseId, message.returnedCredits, now);
        break;
      case "leaseGrant":
        this.#executor.handleLeaseGrant(from, message, now);
        break;
      case "leaseRefusal":
        this.#executor.handleLeaseRefusal(message, now);
        break;
      case "handover":
        this.#ownership.acceptHandover(message, now);
        break;
      case "storeDemand":
        this.#store.recordDemand(from, message, now);
        break;
      case "storePermit": {
        const permit = this.#store.acceptPermit(from, message, now);
        if (permit) this.#ownership.takePermit(permit, now);
        break;
      }
      case "storePermitReturn":
        this.#store.recordReturn(message, now);
        break;
      case "storeStatus":
        this.#store.recordStatus(message, now);
        break;
      case "tablesRequest":
        this.#tableExchange.sendTables(from, message);
        break;
      case "tablesTransfer":
        if (message.tables) this.#offerTables(message.tables, now);
        if (message.hostList) this.#offerHostList(message.hostList, now);
        break;
      case "ticketClaim":
        this.#emit({
          kind: "send",
          to: from,
          message: this.#tickets.claimTicket(message, now),
        });
        break;
      case "ticketSettle":
        this.#tickets.settleTicket(message, now);
        this.#emit({
          kind: "send",
          to: from,
          message: {
            kind: "ticketVerdict",
            claimId: message.claimId,
            verdict: ClaimVerdict.Spent,
          },
        });
        break;
      case "ticketVerdict":
        this.#executor.handleTicketVerdict(from, message, now);
        break;
    }
  }

  #receiveHeartbeat(
    from: string,
    heartbeat: HeartbeatMessage,
    now: Milliseconds,
  ): void {
    if (!this.#membership.recordHeartbeat(from, heartbeat, now)) return;
    this.#quarantine.mergeDigests(heartbeat.strikes, now);
    this.#ownership.mergeEvictions(heartbeat.evictions, now);
    this.#tableExchange.handlePeerRevisions(from, heartbeat, now);
  }

  #refuseUnserved(event: RequestArrivedEvent): void {
    const reason = this.#state === "starting"
      ? RefusalReason.NotReady
      : RefusalReason.Stopping;
    this.#emit({ kind: "count", counter: "refused", tag: reason });
    this.#emit({
      kind: "refuse",
      requestId: event.requestId,
      reason,
      outcome: getUnclaimedOutcome(event.ticket),
      hasStalled: false,
      retryAfterMs: this.#options.settings.startGraceMs,
    });
  }

  #offerTables(tables: TablesStructure, now: Milliseconds): void {
    this.#countOffer("tables", this.#tables.offerTables(tables));
    this.#updateOwnership(now);
  }

  #offerHostList(hostList: HostListStructure, now: Milliseconds): void {
    const result = this.#tables.offerHostList(hostList);
    this.#countOffer("host_list", result);
    if (result.kind !== "accepted") return;
    this.#membership.applyHostList(hostList);
    this.#updateOwnership(now);
  }

  #countOffer(counter: string, result: OfferResult): void {
    this.#emit({ kind: "count", counter, tag: result.kind });
  }

  #tick(now: Milliseconds): void {
    this.#updateOwnership(now);
    if (this.#isSettled(now)) this.#store.tick(now);
    this.#ownership.tick(now);
    this.#executor.tick(now);
    const isHeartbeatDue = now - this.#lastHeartbeatAt >=
      this.#options.settings.heartbeatIntervalMs;
    if (isHeartbeatDue) this.#sendHeartbeats(now);
    if (this.#state === "starting" && this.#isReadyToServe(now)) {
      this.#move("tablesInForce");
    }
    const isDrained = this.#executor.isDrained() &&
      !this.#tickets.hasTicketsInUse(now);
    if (this.#state === "stopping" && isDrained) {
      this.#move("drained");
      this.#sendHeartbeats(now);
      this.#emit({ kind: "stopCompleted" });
    }
  }

  #isReadyToServe(now: Milliseconds): boolean {
    return this.#tables.getSnapshot() !== undefined &&
      this.#isPlatformHeard && this.#isSettled(now);
  }

  /** Returns whether peers have had the time to make themselves heard. */
  #isSettled(now: Milliseconds): boolean {
    return now - this.#startedAt >= this.#options.settings.startGraceMs ||
      (this.#membership.getPeerHosts().length > 0 &&
        this.#membership.hasHeardAllDomainPeers(now));
  }

  #sendHeartbeats(now: Milliseconds): void {
    this.#lastHeartbeatAt = now;
    this.#heartbeatSequence += 1;
    const message: HeartbeatMessage = {
      kind: "heartbeat",
      incarnation: this.#options.incarnation,
      sequence: this.#heartbeatSequence,
      failureDomain: this.#options.failureDomain,
      tablesRevision: this.#tables.getTablesRevision(),
      hostListRevision: this.#tables.getHostListRevision(),
      leaving: this.#state === "stopping" || this.#state === "stopped",
      upstreams: this.#ownership.describeDigests(now),
      strikes: this.#quarantine.getDigests(now),
      evictions: this.#ownership.listEvictions(now),
    };
    for (const host of this.#membership.getPeerHosts()) {
      this.#emit({ kind: "send", to: host.id, message });
    }
  }

  #updateOwnership(now: Milliseconds): void {
    if (this.#isSettled(now)) this.#ownership.update(now);
  }

  #stop(now: Milliseconds): void {
    if (daemonChart.getNext(this.#state, "stopRequested") === undefined) return;
    this.#move("stopRequested");
    this.#membership.markSelfLeaving();
    this.#sendHeartbeats(now);
    this.#ownership.handOverAll(now);
  }

  /** After a pause, takes leases, ownership and views of peers for expired. */
  #expireBeliefs(now: Milliseconds): void {
    this.#emit({ kind: "count", counter: "pause_detected", tag: "" });
    this.#membership.expireAll();
    this.#ownership.expireAll(now);
    this.#executor.expireLeases(now);
  }

  #move(trigger: DaemonTrigger): void {
    this.#state = daemonChart.getNextOrThrow(this.#state, trigger);
  }
}
