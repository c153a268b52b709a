/**
 * Returns of permits that did not reach the engine's holder. Load pattern: a cut
 * or a crash breaks many runs off at once, and each permit that is not given back
 * keeps a place of the engine's batch empty until its request's time is over. They
 * are sent again once the holder is heard, until then.
 */
import type { Milliseconds } from "../structures.ts";

export interface UndeliveredRelease<Message> {
  message: Message;
  ownerId: string;
  /** When the holder takes the permit back by itself. */
  expiresAt: Milliseconds;
}

/** Time between two sendings of one return: the sending itself is repeated for a quarter of a second. */
const RETRY_INTERVAL_MS = 500;
/** Returns that are kept: more than a host has runs. */
const MAX_QUEUED = 1_000;

export class PermitReleaseRetryQueue<Message> {
  #queue: { release: UndeliveredRelease<Message>; retryAt: Milliseconds }[] =
    [];

  /** Keeps a return that was not delivered, while it is worth anything. */
  recordSend(
    due: UndeliveredRelease<Message>,
    isDelivered: boolean,
    now: Milliseconds,
  ): void {
    if (
      isDelivered || due.expiresAt <= now || this.#queue.length >= MAX_QUEUED
    ) {
      return;
    }
    this.#queue.push({ release: due, retryAt: now + RETRY_INTERVAL_MS });
  }

  /** Returns those that are to be sent again now, and keeps them no more. */
  takeDue(
    isAlive: (holderId: string) => boolean,
    now: Milliseconds,
  ): UndeliveredRelease<Message>[] {
    const worth = this.#queue.filter(({ release: due }) => due.expiresAt > now);
    const isDue = ({ release: due, retryAt }: (typeof worth)[number]) =>
      retryAt <= now && isAlive(due.ownerId);
    this.#queue = worth.filter((each) => !isDue(each));
    return worth.filter(isDue).map(({ release: due }) => due);
  }
}
