/** A request that its entry daemon has accepted and not yet answered. */
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

/** An attempt that was lost, while the upstream's state is read to learn whether it died. */
export interface Examination {
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
  /** Time by which the next run must have started. */
  deadlineAt: Milliseconds;
  readonly excludedUpstreams = new UpstreamExclusions();
  attempts = 0;
  loadFailures = 0;
  /** Whether an owner has sent the request on to another upstream. */
  hasBeenRedirected = false;
  /** Whether the adapter is resident elsewhere and a further copy is wanted. */
  wantsCopy = false;
  /** Since when no upstream has been ready; undefined while one is. */
  noUpstreamSince: Milliseconds | undefined;
  hasStalled = false;
  /** Whether the upstream to which the request is assigned has yet to load the adapter. */
  awaitsLoad = false;
  /** Whether an attempt ended of which it is not certain that it did not run. */
  mayHaveRun = false;
  claim: TicketClaim | undefined;
  /** Upstream to whose holding the request is assigned. */
  upstreamId: string | undefined;
  attempt: LiveAttempt | undefined;
  examination: Examination | undefined;
  /** Answer of the last attempt, kept for the ticket. */
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
    this.arrivedAt = now;
    this.deadlineAt = now + options.route.queueDeadlineMs;
    this.#state = options.needsTicket ? "claimingTicket" : requestChart.initial;
  }

  get id(): string {
    return this.event.requestId;
  }

  get state(): RequestState {
    return this.#state;
  }

  /** Takes the request off its upstream when it has no lease there. */
  unassign(): void {
    if (this.#state === "leasing") this.apply("leaseLost");
    this.upstreamId = undefined;
  }

  /** Returns whether the request has waited for a load or waits for one. */
  isStalled(): boolean {
    const isWaiting = this.#state === "leasing" || this.#state === "unassigned";
    return this.hasStalled || (this.awaitsLoad && isWaiting);
  }

  /** Moves the request along its chart. */
  apply(trigger: RequestTrigger): void {
    this.#state = requestChart.getNextOrThrow(this.#state, trigger);
  }
}
