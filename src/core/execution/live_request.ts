/** A request that this daemon has accepted and not yet answered. */
import {
  requestChart,
  type RequestState,
  type RequestTrigger,
} from "../../charts/request_chart.ts";
import type { RequestArrivedEvent } from "../events.ts";
import type { StoredAnswerStructure } from "../messages.ts";
import type { AttemptResult } from "../outcomes.ts";
import type {
  Milliseconds,
  PoolStructure,
  RouteStructure,
} from "../structures.ts";
import type { TakenCredit } from "./lease_group.ts";
import { UpstreamExclusions } from "./upstream_exclusions.ts";

export interface LiveAttempt {
  attemptId: string;
  upstreamId: string;
  credit: TakenCredit;
}

export interface TicketClaim {
  claimId: string;
  ticket: string;
  issuerId: string;
  sentAt: Milliseconds;
}

/**
 * A lost attempt whose upstream's state is being read, to tell whether the
 * upstream crashed.
 */
export interface PendingCrashCheck {
  readId: string;
  attempt: LiveAttempt;
  result: AttemptResult;
}

export class LiveRequest {
  readonly event: RequestArrivedEvent;
  readonly route: RouteStructure;
  readonly pool: PoolStructure;
  readonly adapterKey: string;
  readonly tablesRevision: number;
  readonly arrivedAt: Milliseconds;
  /** Time by which the next attempt must start. */
  deadlineAt: Milliseconds;
  readonly excludedUpstreams = new UpstreamExclusions();
  attempts = 0;
  loadFailures = 0;
  /** Whether an owner has redirected the request to another upstream. */
  hasBeenRedirected = false;
  /**
   * Whether the adapter is resident on another upstream and an additional copy
   * is wanted.
   */
  wantsCopy = false;
  /** Time since which no upstream has been ready; undefined while one is. */
  noUpstreamSince: Milliseconds | undefined;
  hasStalled = false;
  /** Whether the assigned upstream still has to load the adapter. */
  awaitsLoad = false;
  /** Whether an earlier attempt may have run. */
  mayHaveRun = false;
  claim: TicketClaim | undefined;
  /** Upstream whose lease group the request waits in or runs under. */
  upstreamId: string | undefined;
  attempt: LiveAttempt | undefined;
  crashCheck: PendingCrashCheck | undefined;
  /**
   * Response of the last attempt, stored with the ticket when it is settled.
   */
  answer: StoredAnswerStructure | undefined;
  #state: RequestState;

  constructor(options: {
    event: RequestArrivedEvent;
    route: RouteStructure;
    pool: PoolStructure;
    adapterKey: string;
    tablesRevision: number;
    needsTicket: boolean;
  }, now: Milliseconds) {
    this.event = options.event;
    this.route = options.route;
    this.pool = options.pool;
    this.adapterKey = options.adapterKey;
    this.tablesRevision = options.tablesRevision;
    this.arrivedAt = now - (options.event.unreadMs ?? 0);
    this.deadlineAt = this.arrivedAt + options.route.queueDeadlineMs;
    this.#state = options.needsTicket ? "claimingTicket" : requestChart.initial;
  }

  get id(): string {
    return this.event.requestId;
  }

  get state(): RequestState {
    return this.#state;
  }

  /**
   * Removes the assignment to an upstream, when no lease was obtained there.
   */
  unassign(): void {
    if (this.#state === "leasing") this.apply("leaseLost");
    this.upstreamId = undefined;
  }

  /**
   * Returns whether the request has waited, or is waiting, for an adapter load.
   */
  isStalled(): boolean {
    const isWaiting = this.#state === "leasing" || this.#state === "unassigned";
    return this.hasStalled || (this.awaitsLoad && isWaiting);
  }

  /** Applies a transition of the request's state chart. */
  apply(trigger: RequestTrigger): void {
    this.#state = requestChart.getNextOrThrow(this.#state, trigger);
  }
}
