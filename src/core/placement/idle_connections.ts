/**
 * Decides how long a connection to an upstream is kept while it is idle. An
 * upstream closes idle connections after a time of its own; a request sent at
 * that moment is lost and has to be repeated. A connection is therefore kept for
 * longer than the default only if the upstream has announced a longer time
 * (`Keep-Alive: timeout=N`), has closed none early, and has room for such
 * connections from all hosts.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Time for which an idle connection is kept if the upstream announces nothing.
 * Shorter than the idle limits of the upstreams, which are some seconds.
 */
export const DEFAULT_IDLE_MS = 2_000;
/**
 * Longest time for which a connection is kept. One that the network drops
 * without notice costs its next request a repeat.
 */
const MAX_IDLE_MS = 10_000;
/** Time before the announced end at which a connection is closed. */
const ANNOUNCEMENT_MARGIN_MS = 1_000;
/** Share of a short announced time that a connection is kept. */
const SHORT_ANNOUNCEMENT_SHARE = 0.5;
/** Time for which an upstream that closed a connection early gets the default. */
const EARLY_CLOSE_MEMORY_MS = 60_000;
/** Maximum number of upstreams that are remembered for early closes. */
const MAX_EARLY_CLOSERS = 1_000;
/**
 * Share of the connections of an upstream that idle ones may take for longer
 * than the default: requests in progress need the others.
 */
const LONG_IDLE_SHARE = 0.5;

/**
 * Returns how many connections to one upstream a host may keep for longer than
 * the default, if all hosts do so.
 */
export function computeLongIdleLimit(
  maxConnections: number,
  hosts: number,
): number {
  return Math.floor(LONG_IDLE_SHARE * maxConnections / Math.max(1, hosts));
}

/** Parses a Keep-Alive header; undefined if it announces no valid time. */
export function parseKeepAliveTimeout(
  text: string | undefined,
): Milliseconds | undefined {
  const seconds = /(?:^|[,\s])timeout=(\d{1,6})(?:$|[,;\s])/i
    .exec(text ?? "")?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1_000;
}

/** What is known of a connection that becomes idle. */
export interface IdleConnection {
  address: string;
  /** Idle time that the upstream announced; undefined if none. */
  announcedMs: Milliseconds | undefined;
  /** Number of other idle connections to the upstream. */
  otherIdle: number;
  /** How many may be kept for longer than the default. */
  longIdleLimit: number;
}

export class IdleConnectionPolicy {
  /** Addresses of upstreams, and when they last closed a connection early. */
  readonly #earlyCloses = new Map<string, Milliseconds>();

  /**
   * Records that the upstream closed a connection while it was kept, or when it
   * was used again.
   */
  recordEarlyClose(address: string, now: Milliseconds): void {
    this.#earlyCloses.delete(address);
    this.#earlyCloses.set(address, now);
    if (this.#earlyCloses.size <= MAX_EARLY_CLOSERS) return;
    for (const oldest of this.#earlyCloses.keys()) {
      this.#earlyCloses.delete(oldest);
      break;
    }
  }

  /** Returns how long the connection is kept; 0 if it is closed. */
  decideIdleTime(connection: IdleConnection, now: Milliseconds): Milliseconds {
    const { address, announcedMs, otherIdle, longIdleLimit } = connection;
    if (announcedMs === undefined) return DEFAULT_IDLE_MS;
    const safeMs = Math.max(
      announcedMs - ANNOUNCEMENT_MARGIN_MS,
      SHORT_ANNOUNCEMENT_SHARE *
        Math.min(announcedMs, 2 * ANNOUNCEMENT_MARGIN_MS),
    );
    if (safeMs <= DEFAULT_IDLE_MS) return safeMs;
    const closedAt = this.#earlyCloses.get(address) ?? Number.NEGATIVE_INFINITY;
    const isLongAllowed = otherIdle < longIdleLimit &&
      now - closedAt >= EARLY_CLOSE_MEMORY_MS;
    return isLongAllowed ? Math.min(safeMs, MAX_IDLE_MS) : DEFAULT_IDLE_MS;
  }
}
