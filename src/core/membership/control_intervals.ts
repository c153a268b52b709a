/**
 * Intervals of the control messages between daemons. They grow with the number
 * of peers, so that each daemon stays within a byte budget.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Average bytes per second that one daemon may send for each kind of control
 * message.
 */
const PROBE_BUDGET_BYTES_PER_SECOND = 1_500;
const LOAD_BUDGET_BYTES_PER_SECOND = 500;
export const STATE_BUDGET_BYTES_PER_SECOND = 1_000;
export const LINK_BUDGET_BYTES_PER_SECOND = 1_000;

/** Estimated sizes; that of a message includes the transport overhead. */
const MESSAGE_BYTES = 180;
const MEMBER_RECORD_BYTES = 18;
const LOAD_BYTES = 8;

/** Records of other members that are piggybacked on a probe or an ack. */
export const PIGGYBACKED_MEMBERS = 8;
/**
 * Interval between probes of hosts that are dead or unknown, per member of the
 * failure domain.
 */
const RECONNECT_MS_PER_MEMBER = 25;
/**
 * Part of the load interval for which a load update may be held back, to be
 * batched with others.
 */
const LOAD_BATCHING_RATIO = 0.1;

export class ControlIntervals {
  readonly #heartbeatIntervalMs: Milliseconds;
  #memberCount = 1;
  #upstreamCount = 0;

  constructor(heartbeatIntervalMs: Milliseconds) {
    this.#heartbeatIntervalMs = heartbeatIntervalMs;
  }

  /**
   * Sets the number of live daemons and of upstreams in this failure domain.
   */
  setSizes(members: number, domainUpstreams: number): void {
    this.#memberCount = members;
    this.#upstreamCount = domainUpstreams;
  }

  /** Returns the interval between probes that this daemon sends. */
  getProbeIntervalMs(): Milliseconds {
    const piggybacked = Math.min(PIGGYBACKED_MEMBERS, this.#memberCount - 1);
    const bytes = 2 * (MESSAGE_BYTES + piggybacked * MEMBER_RECORD_BYTES);
    return this.#computeIntervalMs(bytes, PROBE_BUDGET_BYTES_PER_SECOND);
  }

  /** Returns the interval between probes of hosts that are dead or unknown. */
  getReconnectIntervalMs(): Milliseconds {
    return Math.max(
      this.getProbeIntervalMs(),
      this.#memberCount * RECONNECT_MS_PER_MEMBER,
    );
  }

  /** Returns the interval between updates of changed load. */
  getLoadIntervalMs(): Milliseconds {
    return this.#computeIntervalMs(
      this.#upstreamCount * LOAD_BYTES,
      LOAD_BUDGET_BYTES_PER_SECOND,
    );
  }

  /**
   * Returns the time for which a load update may wait to be batched with
   * others.
   */
  getLoadBatchingMs(): Milliseconds {
    return this.getLoadIntervalMs() * LOAD_BATCHING_RATIO;
  }

  /** Returns the interval between heartbeats on a link. */
  getLinkHeartbeatMs(): Milliseconds {
    return this.getProbeIntervalMs();
  }

  /** Returns the interval between updates of changed load on a link. */
  getLinkLoadIntervalMs(digestBytes: number): Milliseconds {
    return this.#computeIntervalMs(digestBytes, LINK_BUDGET_BYTES_PER_SECOND);
  }

  /** Returns the bytes per second at which one daemon may publish its state. */
  getStateBytesPerSecond(): number {
    return STATE_BUDGET_BYTES_PER_SECOND / this.#memberCount;
  }

  #computeIntervalMs(bytes: number, bytesPerSecond: number): Milliseconds {
    return Math.max(
      this.#heartbeatIntervalMs,
      Math.ceil(bytes * 1_000 / bytesPerSecond),
    );
  }
}
