/**
 * Retries of permit releases that did not reach the engine's owner. A network
 * partition or a crash ends many runs at once, and each permit that is not
 * released keeps a batch slot of the engine empty until the request's lifetime
 * is over. Until then, releases are sent again as soon as the owner is alive.
 */
import type { Milliseconds } from "../structures.ts";

export interface UndeliveredRelease<Message> {
  message: Message;
  ownerId: string;
  /** When the owner expires the permit itself. */
  expiresAt: Milliseconds;
}

/**
 * Time between two attempts to send a release; each attempt is itself
 * retransmitted for a quarter of a second.
 */
const RETRY_INTERVAL_MS = 500;
/** Maximum number of queued releases, which is more than a host has runs. */
const MAX_QUEUED = 1_000;

export class PermitReleaseRetryQueue<Message> {
  #queue: { release: UndeliveredRelease<Message>; retryAt: Milliseconds }[] =
    [];

  /** Queues a release that was not delivered, unless its permit has expired. */
  recordSend(
    release: UndeliveredRelease<Message>,
    isDelivered: boolean,
    now: Milliseconds,
  ): void {
    if (
      isDelivered || release.expiresAt <= now ||
      this.#queue.length >= MAX_QUEUED
    ) {
      return;
    }
    this.#queue.push({ release, retryAt: now + RETRY_INTERVAL_MS });
  }

  /** Removes and returns the releases that are due to be sent again. */
  takeDue(
    isAlive: (ownerId: string) => boolean,
    now: Milliseconds,
  ): UndeliveredRelease<Message>[] {
    const unexpired = this.#queue.filter(({ release }) =>
      release.expiresAt > now
    );
    const isDue = ({ release, retryAt }: (typeof unexpired)[number]) =>
      retryAt <= now && isAlive(release.ownerId);
    this.#queue = unexpired.filter((entry) => !isDue(entry));
    return unexpired.filter(isDue).map(({ release }) => release);
  }
}
