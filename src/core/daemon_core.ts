/**
 * Decision logic of one daemon, free of I/O: it is called with events and the
 * current time, and returns effects. The daemon, the fuzzer and the benchmarks
 * all drive this class.
 */
import {
  daemonChart,
  type DaemonState,
  type DaemonTrigger,
} from "../charts/daemon_chart.ts";
import { type CorePolicy, DEFAULT_CORE_POLICY } from "./core_policy.ts";
import { ControlPlane } from "./control_plane.ts";
import type { CoreSettings } from "./core_settings.ts";
import type { Effect } from "./effects.ts";
import type { CoreEvent, RequestArrivedEvent } from "./events.ts";
import { RequestExecutor } from "./execution/request_executor.ts";
import { TicketIssuer } from "./execution/ticket_issuer.ts";
import { CrashQuarantine } from "./limits/crash_quarantine.ts";
import { RetryBudget } from "./limits/retry_budget.ts";
import { Membership } from "./membership/membership.ts";
import { ClaimVerdict, type PeerMessage } from "./messages.ts";
import { getUnclaimedOutcome, RefusalReason } from "./outcomes.ts";
import { StorePermitClient } from "./residency/store_permit_client.ts";
import type { OwnedUpstreamDescription } from "./residency/owner_description.ts";
import { OwnedUpstreams } from "./residency/owned_upstreams.ts";
import type { RankedUpstream } from "./routing/upstream_selector.ts";
import type { HostStructure, Milliseconds } from "./structures.ts";
import { TableReplica } from "./tables/table_replica.ts";
import type { TableSnapshot } from "./tables/table_snapshot.ts";

export interface DaemonCoreOptions {
  selfId: string;
  /** Unique to each start of the process. */
  incarnation: string;
  failureDomain: string;
  settings: CoreSettings;
  /**
   * Hosts from the settings, used until the platform or a peer provides a host
   * list.
   */
  seedHosts: HostStructure[];
  /** Replaces the default policy, to compare policies. */
  policy?: CorePolicy;
  /** Random secret for the check codes of tickets. */
  ticketSecret: Uint8Array;
}

/** State of a daemon as shown to operators. */
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

/**
 * Ticket claims older than the longest possible queueing and run time are
 * considered lost.
 */
const CLAIM_TIMEOUT_MS = 1_200_000;

export class DaemonCore {
  readonly #options: DaemonCoreOptions;
  readonly #tables = new TableReplica();
  readonly #membership: Membership;
  readonly #quarantine: CrashQuarantine;
  readonly #store: StorePermitClient;
  readonly #tickets: TicketIssuer;
  readonly #executor: RequestExecutor;
  readonly #ownership: OwnedUpstreams;
  readonly #controlPlane: ControlPlane;
  #state: DaemonState = daemonChart.initial;
  #effects: Effect[] = [];
  #lastEventAt: Milliseconds;

  constructor(options: DaemonCoreOptions, now: Milliseconds) {
    const { settings, selfId, incarnation, failureDomain } = options;
    const policy = options.policy ?? DEFAULT_CORE_POLICY;
    this.#options = options;
    this.#lastEventAt = now;
    this.#membership = new Membership({ selfId, failureDomain });
    this.#quarantine = new CrashQuarantine(settings);
    this.#store = new StorePermitClient({
      selfId,
      incarnation,
      failureDomain,
      settings,
      membership: this.#membership,
      emit: this.#emit,
    });
    this.#controlPlane = new ControlPlane({
      selfId,
      incarnation,
      failureDomain,
      settings,
      seedHosts: options.seedHosts,
      tables: this.#tables,
      membership: this.#membership,
      emit: this.#emit,
      getStrikes: (at) => this.#quarantine.getDigests(at),
      mergeStrikes: (strikes, at) => this.#quarantine.mergeDigests(strikes, at),
      mergeEvictions: (evictions, at) =>
        this.#ownership.mergeEvictions(evictions, at),
      handleTablesChanged: (at) => this.#updateOwnership(at),
    }, now);
    this.#ownership = new OwnedUpstreams({
      selfId,
      incarnation,
      settings,
      policy,
      tables: this.#tables,
      membership: this.#membership,
      store: this.#store,
      emit: this.#emit,
      publishUpstream: (digest, at) =>
        this.#controlPlane.publishUpstream(digest, at),
      removeUpstream: (id) => this.#controlPlane.removeUpstream(id),
      publishEvictions: (evictions) =>
        this.#controlPlane.publishEvictions(evictions),
    });
    this.#tickets = new TicketIssuer({
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
      publishStrikes: (at) => this.#controlPlane.publishStrikes(at),
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

  /** Returns the address of a peer, to carry out `send` effects. */
  getPeerAddress(id: string): string | undefined {
    return this.#membership.getEntryHost(id)?.address;
  }

  /**
   * Handles an event at the given time and returns the effects to carry out.
   */
  handle(event: CoreEvent, now: Milliseconds): Effect[] {
    const hasPaused =
      now - this.#lastEventAt > this.#options.settings.pauseThresholdMs;
    this.#lastEventAt = now;
    if (hasPaused) this.#expireAfterPause(now);
    this.#apply(event, now);
    return this.#takeEffects(now);
  }

  /**
   * Records that this process was suspended for longer than its monotonic clock
   * shows, and returns the effects to carry out.
   */
  recordPause(now: Milliseconds): Effect[] {
    this.#expireAfterPause(now);
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

  /**
   * Returns the owner of the upstream as known to this daemon, or undefined.
   */
  getOwnerId(upstreamId: string): string | undefined {
    return this.#membership.getOwnerId(upstreamId);
  }

  /** Returns the current ranking of the upstreams for a route, best first. */
  explainRoute(routeName: string, now: Milliseconds): RankedUpstream[] {
    const route = this.#tables.getSnapshot()?.getRouteByName(routeName);
    return route ? this.#executor.explainRoute(route, now) : [];
  }

  readonly #emit = (effect: Effect): void => {
    this.#effects.push(effect);
  };

  /**
   * Delivers messages that this daemon sends to itself; returns all other
   * effects.
   */
  #takeEffects(now: Milliseconds): Effect[] {
    const external: Effect[] = [];
    for (
      let effect = this.#effects.shift();
      effect !== undefined;
      effect = this.#effects.shift()
    ) {
      if (effect.kind === "send" && effect.to === this.#options.selfId) {
        this.#receive(effect.to, effect.message, now);
      } else external.push(effect);
    }
    return external;
  }

  #apply(event: CoreEvent, now: Milliseconds): void {
    switch (event.kind) {
      case "requestArrived":
        if (this.#state === "serving") {
          this.#executor.handleArrival(event, now);
        } else this.#refuseNotServing(event);
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
        if (this.#executor.handleStateRead(event, now)) break;
        this.#ownership.getOwner(event.upstreamId)
          ?.recordState(event.readId, event.state, now);
        break;
      case "upstreamStateUnread":
        if (this.#executor.handleStateRead(event, now)) break;
        this.#ownership.getOwner(event.upstreamId)
          ?.recordStateReadFailure(
            event.readId,
            event.isConnectionRefused,
            now,
          );
        break;
      case "orderEnded":
        this.#ownership.recordOrderEnd(event.orderId, event.result, now);
        break;
      case "tablesPublished":
        this.#controlPlane.offerTables(event.tables, now);
        break;
      case "tablesDeltaPublished":
        this.#controlPlane.offerPublishedDelta(event.delta, now);
        break;
      case "hostListPublished":
        this.#controlPlane.offerHostList(event.hostList, now);
        break;
      case "platformReached":
        this.#controlPlane.recordPlatformReached(now);
        break;
      case "platformUnreachable":
        this.#controlPlane.recordPlatformUnreachable(now);
        break;
      case "tick":
        this.#tick(now);
        break;
      case "stopRequested":
        this.#stop(event.endsAt, now);
        break;
      case "stopTimedOut":
        this.#executor.refuseAll(RefusalReason.Stopping, now);
        break;
    }
  }

  #receive(from: string, message: PeerMessage, now: Milliseconds): void {
    switch (message.kind) {
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
        if (permit) this.#ownership.startMostUrgentLoad(permit, now);
        break;
      }
      case "storePermitReturn":
        this.#store.recordReturn(message, now);
        break;
      case "storeStatus":
        this.#store.recordStatus(message, now);
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
      default:
        this.#controlPlane.handleMessage(from, message, now);
    }
  }

  #refuseNotServing(event: RequestArrivedEvent): void {
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

  #tick(now: Milliseconds): void {
    this.#updateOwnership(now);
    if (this.#controlPlane.hasConverged(now)) this.#store.tick(now);
    this.#ownership.tick(now);
    this.#executor.tick(now);
    this.#controlPlane.tick(now);
    if (this.#state === "starting" && this.#controlPlane.isReadyToServe(now)) {
      this.#changeState("tablesInForce");
    }
    if (this.#state === "stopping" && this.#isDrained(now)) {
      this.#changeState("drained");
      this.#controlPlane.flush(now);
      this.#emit({ kind: "stopCompleted" });
    }
  }

  /**
   * Returns whether no request is in progress here, nor elsewhere under a
   * ticket that this daemon issued.
   */
  #isDrained(now: Milliseconds): boolean {
    if (!this.#executor.isDrained()) return false;
    const routes = this.#tables.getSnapshot()?.getRoutes() ?? [];
    const longestRequestMs = routes.reduce(
      (longest, route) =>
        route.idempotent
          ? longest
          : Math.max(longest, route.queueDeadlineMs + route.maxRunMs),
      0,
    );
    return !this.#tickets.hasTicketsInUse(longestRequestMs, now);
  }

  #updateOwnership(now: Milliseconds): void {
    if (this.#controlPlane.hasConverged(now)) this.#ownership.update(now);
  }

  #stop(endsAt: Milliseconds, now: Milliseconds): void {
    if (daemonChart.getNext(this.#state, "stopRequested") === undefined) return;
    this.#changeState("stopRequested");
    this.#executor.beginStop(endsAt, now);
    this.#controlPlane.publishLeaving(now);
    this.#ownership.handOverAll(now);
    this.#controlPlane.flush(now);
  }

  /**
   * Expires leases, ownership and peer state, which are outdated after a pause.
   */
  #expireAfterPause(now: Milliseconds): void {
    this.#emit({ kind: "count", counter: "pause_detected", tag: "" });
    this.#ownership.expireAll(now);
    this.#controlPlane.expireAll(now);
    this.#executor.expireLeases(now);
  }

  #changeState(trigger: DaemonTrigger): void {
    this.#state = daemonChart.getNextOrThrow(this.#state, trigger);
  }
}
