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
export const PROBE_WINDOW_MEMBERS = 8;
/** Time that a large failure domain leaves between probes of silent hosts, per member. */
const REVIVAL_MS_PER_MEMBER = 25;
/** Part of the load period for which a load update may wait for company. */
const LOAD_HOLD_RATIO = 0.1;

export class ControlPeriods {
  readonly #heartbeatIntervalMs: Milliseconds;
  #members = 1;
  #domainUpstreams = 0;

  constructor(heartbeatIntervalMs: Milliseconds) {
    this.#heartbeatIntervalMs = heartbeatIntervalMs;
  }

  /** Sets the sizes of this failure domain: live daemons and upstreams. */
  setSizes(members: number, domainUpstreams: number): void {
    this.#members = members;
    this.#domainUpstreams = domainUpstreams;
  }

  /** Returns the time between two probes of this daemon. */
  getProbeMs(): Milliseconds {
    const window = Math.min(PROBE_WINDOW_MEMBERS, this.#members - 1);
    const bytes = 2 * (MESSAGE_BYTES + window * MEMBER_RECORD_BYTES);
    return this.#computePeriodMs(bytes, PROBE_BUDGET_BYTES_PER_SECOND);
  }

  /** Returns the time between two probes of hosts that are not heard. */
  getRevivalMs(): Milliseconds {
    return Math.max(
      this.getProbeMs(),
      this.#members * REVIVAL_MS_PER_MEMBER,
    );
  }

  /** Returns the time between two reports of changed load. */
  getLoadMs(): Milliseconds {
    return this.#computePeriodMs(
      this.#domainUpstreams * LOAD_BYTES,
      LOAD_BUDGET_BYTES_PER_SECOND,
    );
  }

  /** Returns the time for which a load update may wait for others to the same peer. */
  getLoadHoldMs(): Milliseconds {
    return this.getLoadMs() * LOAD_HOLD_RATIO;
  }

  /** Returns the time between two signs of life on a link. */
  getLinkMs(): Milliseconds {
    return this.getProbeMs();
  }

  /** Returns the time between reports of changed load on a link. */
  getLinkLoadMs(digestBytes: number): Milliseconds {
    return this.#computePeriodMs(digestBytes, LINK_BUDGET_BYTES_PER_SECOND);
  }

  /** Returns the bytes a second that one daemon may publish of its own state. */
  getStateBytesPerSecond(): number {
    return STATE_BUDGET_BYTES_PER_SECOND / this.#members;
  }

  #computePeriodMs(bytes: number, bytesPerSecond: number): Milliseconds {
    return Math.max(
      this.#heartbeatIntervalMs,
      Math.ceil(bytes * 1_000 / bytesPerSecond),
    );
  }
}
