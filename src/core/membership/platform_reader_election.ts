/**
 * Chooses the daemons that read the platform: a few in each failure domain.
 * Any other daemon reads for itself when for some time nobody tells it that
 * the platform is being read, spread out so that a whole fleet that does so at
 * once stays within what the configuration service bears.
 */
import { hashText, rankByRendezvous } from "../hashing.ts";
import { PlatformReach } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

/** Daemons of a failure domain that read the platform. */
const READERS_PER_DOMAIN = 2;
/** Time without a reader after which a daemon reads for itself, at the least. */
const READER_TIMEOUT_MS = 3_000;
/** Calls that one reading of the tables takes, and calls a second that all such readings may add up to. */
const CALLS_PER_READ = 32;
const MAX_CALLS_PER_SECOND = 1_000;
/** Daemons that have to fail before the platform itself is taken for down. */
const MAX_FAILED_READERS = 6;
/** Time for which a reader that could not read the platform leaves that to others. */
const FAILED_READER_BACKOFF_MS = 10_000;

/** A live daemon of the failure domain, as the choice of readers sees it. */
export interface ReaderCandidate {
  id: string;
  platformReach: PlatformReach;
}

export interface ReaderElectionInput {
  /** Other daemons of the failure domain that may read: live and not leaving, or not heard of yet. */
  peers: readonly ReaderCandidate[];
  /** Daemons in the host list, all failure domains together. */
  daemonCount: number;
  /** Whether peers may yet answer a daemon that has just started or woken. */
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

  /** Records how a reading of the platform ended. */
  recordReadResult(isReached: boolean, now: Milliseconds): void {
    if (isReached) this.#failedAt = Number.NEGATIVE_INFINITY;
    else this.#failedAt = now;
    if (!this.#isReading) return;
    if (!isReached) this.#readerConfirmedAt = now;
    this.#reach = isReached ? PlatformReach.Reached : PlatformReach.Unreached;
  }

  /** Returns what this daemon tells others of the platform. */
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

  /** Takes it that nothing was heard of readers, after a pause of this process. */
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
    if (this.#isChosen(peers, now)) return true;
    if (isReaderConfirmed) return false;
    return now - this.#readerConfirmedAt >=
      this.#computeFallbackDelayMs(input.daemonCount);
  }

  /**
   * Returns whether this daemon is among the first that have not failed to
   * read; when many have failed, among the first of all, which go on trying.
   */
  #isChosen(peers: readonly ReaderCandidate[], now: Milliseconds): boolean {
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

  /** Returns how long this daemon waits for a reader; others wait for other times. */
  #computeFallbackDelayMs(daemons: number): Milliseconds {
    const jitterMs = daemons * CALLS_PER_READ * 1_000 / MAX_CALLS_PER_SECOND;
    return READER_TIMEOUT_MS + jitterMs * hashText(this.#selfId) / 2 ** 32;
  }
}
