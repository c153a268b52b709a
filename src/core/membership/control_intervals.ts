/** Periods of the exchange between daemons, from the number of peers and a budget of bytes. */
import type { Milliseconds } from "../structures.ts";

/** Bytes that one daemon may send a second for each part of the exchange, on average. */
const PROBE_BUDGET_BYTES_PER_SECOND = 1_500;
const LOAD_BUDGET_BYTES_PER_SECOND = 500;
export const STATE_BUDGET_BYTES_PER_SECOND = 1_000;
export const LINK_BUDGET_BYTES_PER_SECOND = 1_000;

/** Estimated sizes, with the transport's share of a message. */
const MESSAGE_BYTES = 180;
const MEMBER_RECORD_BYTES = 18;
const LOAD_BYTES = 8;

/** Records of other members that a probe carries. */
export const PIGGYBACKED_MEMBERS = 8;
/** Time that a large failure domain leaves between probes of silent hosts, per member. */
const RECONNECT_MS_PER_MEMBER = 25;
/** Part of the load period for which a load update may wait for company. */
const LOAD_BATCHING_RATIO = 0.1;

export class ControlIntervals {
  readonly #heartbeatIntervalMs: Milliseconds;
  #memberCount = 1;
  #upstreamCount = 0;

  constructor(heartbeatIntervalMs: Milliseconds) {
    this.#heartbeatIntervalMs = heartbeatIntervalMs;
  }

  /** Sets the sizes of this failure domain: live daemons and upstreams. */
  setSizes(members: number, domainUpstreams: number): void {
    this.#memberCount = members;
    this.#upstreamCount = domainUpstreams;
  }

  /** Returns the time between two probes of this daemon. */
  getProbeIntervalMs(): Milliseconds {
    const piggybacked = Math.min(PIGGYBACKED_MEMBERS, this.#memberCount - 1);
    const bytes = 2 * (MESSAGE_BYTES + piggybacked * MEMBER_RECORD_BYTES);
    return this.#computeIntervalMs(bytes, PROBE_BUDGET_BYTES_PER_SECOND);
  }

  /** Returns the time between two probes of hosts that are not heard. */
  getReconnectIntervalMs(): Milliseconds {
    return Math.max(
      this.getProbeIntervalMs(),
      this.#memberCount * RECONNECT_MS_PER_MEMBER,
    );
  }

  /** Returns the time between two reports of changed load. */
  getLoadIntervalMs(): Milliseconds {
    return this.#computeIntervalMs(
      this.#upstreamCount * LOAD_BYTES,
      LOAD_BUDGET_BYTES_PER_SECOND,
    );
  }

  /** Returns the time for which a load update may wait for others to the same peer. */
  getLoadBatchingMs(): Milliseconds {
    return this.getLoadIntervalMs() * LOAD_BATCHING_RATIO;
  }

  /** Returns the time between two signs of life on a link. */
  getLinkHeartbeatMs(): Milliseconds {
    return this.getProbeIntervalMs();
  }

  /** Returns the time between reports of changed load on a link. */
  getLinkLoadIntervalMs(digestBytes: number): Milliseconds {
    return this.#computeIntervalMs(digestBytes, LINK_BUDGET_BYTES_PER_SECOND);
  }

  /** Returns the bytes a second that one daemon may publish of its own state. */
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
