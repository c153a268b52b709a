/**
 * One daemon's claim to the ownership of one upstream: its state, its fencing
 * number and the time until which runs permitted by previous owners may still
 * be in progress.
 */
import { ownerChart, type OwnerState } from "../../charts/owner_chart.ts";
import type { OrderResult } from "../events.ts";
import { hashText } from "../hashing.ts";
import type { HandoverMessage } from "../messages.ts";
import {
  Fencing,
  type Milliseconds,
  type UpstreamStateStructure,
} from "../structures.ts";
import type { PendingOrders } from "./pending_orders.ts";
import type { OwnerContext } from "./owner_context.ts";
import type { UpstreamReader } from "./upstream_reader.ts";

/**
 * Fencing numbers per epoch. The number within the epoch is a hash of the
 * daemon's identifier, so that daemons that claim at the same time get
 * different fencing numbers.
 */
const FENCING_EPOCH_SIZE = 65_536;
/** Time after which a deposed owner reads the upstream's state again. */
const DEPOSED_RETRY_MS = 2_000;

export class OwnershipClaim {
  readonly #context: OwnerContext;
  readonly #orders: PendingOrders;
  readonly #reader: UpstreamReader;
  #state: OwnerState = ownerChart.initial;
  #stateSince: Milliseconds;
  #fencing = 0;
  #handover: HandoverMessage | undefined;
  #handoverAt = Number.NEGATIVE_INFINITY;
  /** Fencing number that the upstream reported before it was claimed. */
  #fencingBeforeClaim = 0;
  #evictionAllowedAt = Number.POSITIVE_INFINITY;
  /** No run permitted by a previous owner starts after this time. */
  #predecessorWindowEndsAt = Number.POSITIVE_INFINITY;

  constructor(
    context: OwnerContext,
    parts: { orders: PendingOrders; reader: UpstreamReader },
    now: Milliseconds,
  ) {
    this.#context = context;
    this.#orders = parts.orders;
    this.#reader = parts.reader;
    this.#stateSince = now;
  }

  get state(): OwnerState {
    return this.#state;
  }

  get fencing(): number {
    return this.#fencing;
  }

  isOwning(): boolean {
    return this.#state === "owning";
  }

  /**
   * Returns the time until every run permitted by a previous owner has ended,
   * so that evictions need no report from the upstream; -1 if unknown.
   */
  getEvictionAllowedInMs(now: Milliseconds): number {
    const allowedInMs = this.#evictionAllowedAt - now;
    return Number.isFinite(allowedInMs)
      ? Math.max(0, Math.round(allowedInMs))
      : -1;
  }

  /**
   * Returns whether the upstream reports that another daemon claimed it later.
   */
  isSuperseded(state: UpstreamStateStructure): boolean {
    return this.isOwning() && state.fencing > this.#fencing;
  }

  /**
   * Returns whether no run permitted by a previous owner can be in progress or
   * start on the adapter.
   */
  hasNoPredecessorRunOn(adapterKey: string, now: Milliseconds): boolean {
    const isWaitOver = now >= this.#evictionAllowedAt;
    if (isWaitOver && !this.#isFencingIgnored()) return true;
    return this.#isReadAfterPredecessorWindow(now) &&
      this.#reader.getInFlight(adapterKey) === 0;
  }

  /**
   * Returns whether no run permitted by a previous owner can be in progress or
   * start anywhere on the upstream.
   */
  hasNoPredecessorRun(now: Milliseconds): boolean {
    const isWaitOver = now >= this.#evictionAllowedAt;
    if (isWaitOver && !this.#isFencingIgnored()) return true;
    return this.#isReadAfterPredecessorWindow(now) &&
      this.#reader.getReading()?.state.running === 0;
  }

  /**
   * Returns how long runs may still start, and be in progress, under leases of
   * previous owners that are not among the granted ones.
   */
  describePredecessorWait(
    now: Milliseconds,
  ): Pick<HandoverMessage, "predecessorWindowMs" | "predecessorWaitMs"> {
    return {
      predecessorWindowMs: Math.max(0, this.#predecessorWindowEndsAt - now),
      predecessorWaitMs: Math.max(0, this.#evictionAllowedAt - now),
    };
  }

  acceptHandover(handover: HandoverMessage, now: Milliseconds): void {
    this.#handover = handover;
    this.#handoverAt = now;
    this.#applyDirectHandover();
  }

  /**
   * Starts to read the upstream again some time after this owner was deposed.
   */
  tick(now: Milliseconds): void {
    const isRetryDue = this.#state === "deposed" &&
      now - this.#stateSince >= DEPOSED_RETRY_MS;
    if (isRetryDue) this.#enter("reading", now);
  }

  /**
   * Claims the upstream once its state has been read, with a fencing number
   * above the one that it reports and those used here before.
   */
  claimIfRead(now: Milliseconds): void {
    if (this.#state !== "reading") return;
    this.#enter("claiming", now);
    const reported = this.#reader.getReading()?.state.fencing ?? 0;
    const highest = Math.max(this.#fencing, reported);
    const epoch = Math.floor(highest / FENCING_EPOCH_SIZE) + 1;
    this.#fencingBeforeClaim = reported;
    const daemonOffset = hashText(this.#context.options.selfId) %
      FENCING_EPOCH_SIZE;
    this.#fencing = epoch * FENCING_EPOCH_SIZE + daemonOffset;
    if (this.#context.isService()) {
      this.recordClaimEnd({ kind: "done" }, now);
      return;
    }
    this.#orders.giveOrder({ kind: "claim" }, this.#fencing, now);
  }

  recordClaimEnd(result: OrderResult, now: Milliseconds): void {
    if (this.#state !== "claiming") return;
    if (result.kind !== "done") {
      this.#enter("reading", now);
      return;
    }
    this.#enter("owning", now);
    if (Number.isFinite(this.#evictionAllowedAt)) return;
    this.#startPredecessorWait(now);
    this.#applyDirectHandover();
  }

  /**
   * Starts the wait for runs of other owners after a change that this owner did
   * not order. Where the engine ignores fencing, such a change shows that
   * another daemon gives orders; no order is refused that would show it.
   */
  recordExternalChange(now: Milliseconds): void {
    if (!this.isOwning() || !this.#isFencingIgnored()) return;
    this.#context.options.emit({
      kind: "count",
      counter: "foreign_order",
      tag: this.#context.upstreamId,
    });
    this.#startPredecessorWait(now);
  }

  /**
   * Starts the wait until every run that other owners have permitted up to now
   * has ended.
   */
  #startPredecessorWait(now: Milliseconds): void {
    const { settings, maxRunMs } = this.#context.options;
    this.#predecessorWindowEndsAt = now + settings.ownershipValidityMs +
      settings.leaseWindowMs + settings.leaseMarginMs;
    this.#evictionAllowedAt = this.#predecessorWindowEndsAt + maxRunMs;
  }

  /** Returns whether the engine also accepts orders from a previous owner. */
  #isFencingIgnored(): boolean {
    return this.#context.options.pool.fencing === Fencing.Ignored;
  }

  /**
   * Extends the wait to the leases of another daemon that considers itself the
   * owner, too. This isn't needed where the upstream checks fencing, as it then
   * rejects the orders of one of them.
   */
  recordOtherOwner(now: Milliseconds): void {
    if (!this.isOwning() || !this.#isFencingIgnored()) return;
    const { settings, maxRunMs } = this.#context.options;
    const windowEndsAt = now + settings.ownershipValidityMs +
      settings.leaseWindowMs + settings.leaseMarginMs;
    this.#predecessorWindowEndsAt = Math.max(
      this.#predecessorWindowEndsAt,
      windowEndsAt,
    );
    this.#evictionAllowedAt = Math.max(
      this.#evictionAllowedAt,
      windowEndsAt + maxRunMs,
    );
  }

  recordRestart(now: Milliseconds): void {
    const next = ownerChart.getNext(this.#state, "upstreamRestarted");
    if (next === undefined) return;
    this.#enter(next, now);
    this.#evictionAllowedAt = Number.POSITIVE_INFINITY;
    this.#predecessorWindowEndsAt = Number.POSITIVE_INFINITY;
    this.#handover = undefined;
  }

  /** Ends the ownership, as another daemon claimed the upstream later. */
  depose(now: Milliseconds): void {
    this.#enter("deposed", now);
    this.#evictionAllowedAt = Number.POSITIVE_INFINITY;
    this.#predecessorWindowEndsAt = Number.POSITIVE_INFINITY;
    this.#context.options.emit({
      kind: "count",
      counter: "owner_deposed",
      tag: this.#context.upstreamId,
    });
  }

  /**
   * Returns whether the last reading counts every run that previous owners
   * permitted.
   */
  #isReadAfterPredecessorWindow(now: Milliseconds): boolean {
    const { settings } = this.#context.options;
    const minReadAt = now >= this.#evictionAllowedAt
      ? now - settings.ownershipValidityMs
      : this.#predecessorWindowEndsAt + settings.engineReportLagMs;
    const reading = this.#reader.getReading();
    return reading !== undefined && reading.readAt >= minReadAt;
  }

  /**
   * Shortens the wait for leases of previous owners to the wait that the sender
   * of the handover had left, if the fencing number that the upstream reported
   * shows that the sender was the last to claim it. The sender's own leases
   * come with the handover.
   */
  #applyDirectHandover(): void {
    if (!this.isOwning() || !this.#handover) return;
    const isFromLastOwner =
      this.#context.options.pool.fencing === Fencing.Checked &&
      this.#handover.fencing === this.#fencingBeforeClaim;
    if (!isFromLastOwner) return;
    const { predecessorWindowMs, predecessorWaitMs } = this.#handover;
    this.#evictionAllowedAt = Math.min(
      this.#evictionAllowedAt,
      this.#handoverAt + predecessorWaitMs,
    );
    this.#predecessorWindowEndsAt = Math.min(
      this.#predecessorWindowEndsAt,
      this.#handoverAt + predecessorWindowMs,
    );
  }

  #enter(state: OwnerState, now: Milliseconds): void {
    this.#state = state;
    this.#stateSince = now;
  }
}
