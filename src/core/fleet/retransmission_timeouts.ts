/**
 * Time-outs after which messages to peers are retransmitted, adapted to each
 * peer as in RFC 6298: the smoothed round-trip time and four times its
 * deviation, doubled after a time-out until a message has been acknowledged
 * without a retransmission. Fixed time-outs would repeat every message to a host
 * that is merely slow, and the repeats would take the processor time that its
 * answers need.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Lower bound, which holds in a fleet with processor time to spare: the latency
 * between gateways is a few milliseconds.
 */
const MIN_TIMEOUT_MS = 25;
/**
 * Time after which a message is given up at the latest: as long as the heartbeats
 * of a dead peer in a small fleet take to be missed; in a large one that takes
 * longer.
 */
const GIVE_UP_MS = 1_600;
/** Upper bound, with which a message is given up without a retransmission before. */
const MAX_TIMEOUT_MS = GIVE_UP_MS;
/**
 * Times of the retransmissions of a message, and at last of its end, in
 * multiples of the time-out.
 */
const OFFSET_FACTORS: readonly number[] = [1, 2.4, 4.8, 10];
/** Weights of a new sample in the smoothed time and in its deviation. */
const SMOOTHING_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;
const BACKOFF_GROWTH = 2;

interface RoundTrip {
  /** Undefined before the first sample. */
  smoothedMs: Milliseconds | undefined;
  deviationMs: Milliseconds;
  /** Factor of the time-out since the last message that needed no repeat. */
  backoff: number;
  backedOffAt: Milliseconds;
}

export class RetransmissionTimeouts {
  readonly #roundTrips = new Map<string, RoundTrip>();

  /**
   * Returns the times, from its first transmission, at which a message to the
   * peer is retransmitted while it is not acknowledged; at the last one it is
   * given up instead.
   * @param lifetimeMs time after which the message is of no use.
   */
  listOffsets(
    peer: string,
    lifetimeMs: Milliseconds = GIVE_UP_MS,
  ): Milliseconds[] {
    const timeoutMs = this.getTimeoutMs(peer);
    const endMs = Math.min(lifetimeMs, GIVE_UP_MS);
    const offsets = OFFSET_FACTORS.map((factor) => factor * timeoutMs);
    const inTime = offsets.filter((offsetMs) => offsetMs < endMs);
    return inTime.length === offsets.length ? offsets : [...inTime, endMs];
  }

  getTimeoutMs(peer: string): Milliseconds {
    const roundTrip = this.#roundTrips.get(peer);
    if (!roundTrip) return MIN_TIMEOUT_MS;
    const { smoothedMs = 0, deviationMs, backoff } = roundTrip;
    const expectedMs = smoothedMs + DEVIATION_FACTOR * deviationMs;
    return Math.min(
      MAX_TIMEOUT_MS,
      Math.max(MIN_TIMEOUT_MS, expectedMs) * backoff,
    );
  }

  /**
   * Records the round-trip time of a message that was transmitted once. After a
   * retransmission it is not known which one was acknowledged.
   */
  recordRoundTrip(peer: string, durationMs: Milliseconds): void {
    const roundTrip = this.#getRoundTrip(peer);
    const { smoothedMs, deviationMs } = roundTrip;
    if (smoothedMs === undefined) {
      roundTrip.smoothedMs = durationMs;
      roundTrip.deviationMs = durationMs / 2;
    } else {
      const errorMs = Math.abs(smoothedMs - durationMs);
      roundTrip.deviationMs += DEVIATION_WEIGHT * (errorMs - deviationMs);
      roundTrip.smoothedMs = smoothedMs +
        SMOOTHING_WEIGHT * (durationMs - smoothedMs);
    }
    roundTrip.backoff = 1;
  }

  /**
   * Records that a message was not acknowledged in time. Several messages that
   * are on the way together count once.
   */
  recordTimeout(peer: string, now: Milliseconds): void {
    const roundTrip = this.#getRoundTrip(peer);
    const timeoutMs = this.getTimeoutMs(peer);
    if (now - roundTrip.backedOffAt < timeoutMs) return;
    if (timeoutMs < MAX_TIMEOUT_MS) roundTrip.backoff *= BACKOFF_GROWTH;
    roundTrip.backedOffAt = now;
  }

  #getRoundTrip(peer: string): RoundTrip {
    let roundTrip = this.#roundTrips.get(peer);
    if (!roundTrip) {
      roundTrip = {
        smoothedMs: undefined,
        deviationMs: 0,
        backoff: 1,
        backedOffAt: Number.NEGATIVE_INFINITY,
      };
      this.#roundTrips.set(peer, roundTrip);
    }
    return roundTrip;
  }
}
