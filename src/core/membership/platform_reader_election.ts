/**
 * Elects the daemons that read the platform: a few in each failure domain. Any
 * other daemon falls back to reading by itself when no peer has reported a
 * successful read for some time. That time has jitter in proportion to the size
 * of the fleet, so that a whole fleet that falls back at once does not overload
 * the configuration service.
 */
import { hashText, rankByRendezvous } from "../hashing.ts";
import { PlatformReach } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/** Daemons per failure domain that read the platform. */
const READERS_PER_DOMAIN = 2;
/**
 * Shortest time without a successful reader after which a daemon reads by
 * itself.
 */
const READER_TIMEOUT_MS = 3_000;
/**
 * Calls that one read of the tables takes, and most calls per second by all
 * daemons that read by themselves.
 */
const CALLS_PER_READ = 32;
const MAX_CALLS_PER_SECOND = 1_000;
/**
 * Daemons that must fail to read before the platform itself is considered down.
 */
const MAX_FAILED_READERS = 6;
/**
 * Time for which a daemon that failed to read the platform leaves reading to
 * others.
 */
const FAILED_READER_BACKOFF_MS = 10_000;

/** A daemon of the failure domain that is a candidate in the election. */
export interface ReaderCandidate {
  id: string;
  platformReach: PlatformReach;
}

export interface ReaderElectionInput {
  /**
   * Other daemons of the failure domain that may read: live and not leaving, or
   * still unknown.
   */
  peers: readonly ReaderCandidate[];
  /** Number of daemons in the host list, in all failure domains. */
  daemonCount: number;
  /**
   * Whether this daemon has just started, or resumed after a pause, and peers
   * may still reply to it.
   */
  isAwaitingPeers: boolean;
  isLeaving: boolean;
}

export class PlatformReaderElection {
  readonly #selfId: string;
  #isReading = false;
  #reach: PlatformReach = PlatformReach.NotReading;
  #failedAt = Number.NEGATIVE_INFINITY;
  #readerConfirmedAt: Milliseconds;

  constructor(selfId: string, now: Milliseconds) {
    this.#selfId = selfId;
    this.#readerConfirmedAt = now;
  }

  /** Records whether a read of the platform succeeded. */
  recordReadResult(isReached: boolean, now: Milliseconds): void {
    if (isReached) this.#failedAt = Number.NEGATIVE_INFINITY;
    else this.#failedAt = now;
    if (!this.#isReading) return;
    if (!isReached) this.#readerConfirmedAt = now;
    this.#reach = isReached ? PlatformReach.Reached : PlatformReach.Unreached;
  }

  /** Returns the platform reach that this daemon reports to its peers. */
  getReach(): PlatformReach {
    return this.#reach;
  }

  /** Returns whether this daemon is to read the platform now. */
  update(input: ReaderElectionInput, now: Milliseconds): boolean {
    const isReading = this.#isReader(input, now);
    if (!isReading) this.#reach = PlatformReach.NotReading;
    if (!isReading && now - this.#failedAt < FAILED_READER_BACKOFF_MS) {
      this.#reach = PlatformReach.Unreached;
    }
    this.#isReading = isReading;
    return isReading;
  }

  /** Restarts the time without a reader, after a pause of this process. */
  clear(now: Milliseconds): void {
    this.#readerConfirmedAt = now;
  }

  #isReader(input: ReaderElectionInput, now: Milliseconds): boolean {
    const { peers, isAwaitingPeers, isLeaving } = input;
    if (isAwaitingPeers) {
      this.#readerConfirmedAt = now;
      return false;
    }
    const isReaderConfirmed = peers.some((peer) =>
      peer.platformReach === PlatformReach.Reached
    );
    if (isReaderConfirmed) this.#readerConfirmedAt = now;
    if (isLeaving) return false;
    if (this.#isElected(peers, now)) return true;
    if (isReaderConfirmed) return false;
    return now - this.#readerConfirmedAt >=
      this.#computeFallbackDelayMs(input.daemonCount);
  }

  /**
   * Returns whether this daemon is among the first candidates that have not
   * failed to read. When all of the first `MAX_FAILED_READERS` have failed, the
   * platform is considered down, and the first candidates keep trying.
   */
  #isElected(peers: readonly ReaderCandidate[], now: Milliseconds): boolean {
    const hasFailed = now - this.#failedAt < FAILED_READER_BACKOFF_MS;
    const self = {
      id: this.#selfId,
      platformReach: hasFailed
        ? PlatformReach.Unreached
        : PlatformReach.NotReading,
    };
    const ranked = rankByRendezvous("platform", [self, ...peers]);
    const eligible = ranked.slice(0, MAX_FAILED_READERS).filter((candidate) =>
      candidate.platformReach !== PlatformReach.Unreached
    );
    return (eligible.length > 0 ? eligible : ranked).slice(
      0,
      READERS_PER_DOMAIN,
    )
      .some((candidate) => candidate.id === this.#selfId);
  }

  /**
   * Returns how long this daemon waits for a reader; the jitter depends on its
   * id.
   */
  #computeFallbackDelayMs(daemons: number): Milliseconds {
    const jitterMs = daemons * CALLS_PER_READ * 1_000 / MAX_CALLS_PER_SECOND;
    return READER_TIMEOUT_MS + jitterMs * hashText(this.#selfId) / 2 ** 32;
  }
}
