/** Decides whether a lease request is refused, and sends the refusal. */
import type { LeaseRequestMessage } from "../messages.ts";
import { LeaseRefusalReason } from "../outcomes.ts";
import type { Milliseconds } from "../structures.ts";
import type { LeaseQueue } from "./lease_queue.ts";
import type { OwnerContext } from "./owner_context.ts";
import type { OwnershipClaim } from "./ownership_claim.ts";
import type { SlotLoader } from "./slot_loader.ts";
import type { UpstreamReader } from "./upstream_reader.ts";

export interface LeaseRefuserParts {
  queue: LeaseQueue;
  reader: UpstreamReader;
  claim: OwnershipClaim;
  loader: SlotLoader;
}

/**
 * Added to the expected load time in the retry delay that a refusal carries.
 */
const RETRY_MARGIN_MS = 100;

export class LeaseRefuser {
  readonly #context: OwnerContext;
  readonly #parts: LeaseRefuserParts;

  constructor(context: OwnerContext, parts: LeaseRefuserParts) {
    this.#context = context;
    this.#parts = parts;
  }

  /**
   * Returns the reason to refuse the request, or undefined if it may be queued.
   */
  findRefusal(
    request: LeaseRequestMessage,
    now: Milliseconds,
  ): LeaseRefusalReason | undefined {
    if (!this.#parts.claim.isOwning()) return LeaseRefusalReason.Claiming;
    if (!this.#parts.reader.isUp()) return LeaseRefusalReason.UpstreamDown;
    if (this.#parts.reader.isLeaving()) return LeaseRefusalReason.Leaving;
    const { settings } = this.#context.options;
    const isFull = this.#parts.queue.size >= settings.maxQueuedLeaseRequests &&
      !this.#parts.queue.has(request.leaseRequestId);
    if (isFull) return LeaseRefusalReason.QueueFull;
    if (this.#parts.loader.hasLoadFailedRecently(request.adapterKey, now)) {
      return LeaseRefusalReason.LoadFailed;
    }
    const waitMs = this.#parts.loader.estimateLoadWaitMs(request, now);
    if (waitMs > request.remainingMs) {
      return LeaseRefusalReason.DeadlineUnreachable;
    }
    return undefined;
  }

  /**
   * Sends a refusal to the requester; a redirect names the upstream to use
   * instead.
   */
  refuse(
    holder: string,
    request: LeaseRequestMessage,
    reason: LeaseRefusalReason,
    now: Milliseconds,
    redirectUpstreamId = "",
  ): void {
    const { emit, selfId } = this.#context.options;
    const waitMs = this.#parts.loader.estimateLoadWaitMs(request, now);
    emit({ kind: "count", counter: "lease_refused", tag: reason });
    emit({
      kind: "send",
      to: holder,
      message: {
        kind: "leaseRefusal",
        leaseRequestId: request.leaseRequestId,
        upstreamId: this.#context.upstreamId,
        adapterKey: request.adapterKey,
        reason,
        retryAfterMs: waitMs + RETRY_MARGIN_MS,
        redirectUpstreamId,
        ownerId: this.#parts.claim.isOwning() ? selfId : "",
      },
    });
  }
}
