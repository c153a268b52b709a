/**
 * Ages a request for a lease that lay unread at the upstream's owner, so that it
 * does not wait there after the deadlines of the requests it is for.
 */
import { estimateUnreadMs } from "../admission/read_delay.ts";
import type { PeerMessage } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/**
 * Returns the message as its sender would send it now.
 *
 * @param maxDelayMs longest time for which the message can have lain unread.
 */
export function trimLeaseTimes(
  message: PeerMessage,
  maxDelayMs: Milliseconds,
): PeerMessage {
  if (message.kind !== "leaseRequest" || maxDelayMs === 0) return message;
  const { remainingMs } = message;
  const ageMs = estimateUnreadMs(maxDelayMs, remainingMs);
  return { ...message, remainingMs: remainingMs - ageMs };
}
