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
const READER_SILENCE_MS = 3_000;
/** Calls that one reading of the tables takes, and calls a second that all such readings may add up to. */
const CALLS_PER_READING = 32;
const CALLS_PER_SECOND = 1_000;
/** Daemons that have to fail before the platform itself is taken for down. */
const MAX_FAILED_READERS = 6;
/** Time for which a reader that could not read the platform leaves that to others. */
const FAILED_READER_REST_MS = 10_000;

/** A live daemon of the failure domain, as the choice of readers sees it. */
export interface ReaderCandidate {
  id: string;
  platformReach: PlatformReach;
}

export interface ReaderCircumstances {
  /** Other daemons of the failure domain that may read: live and not leaving, or not heard of yet. */
  peers: readonly ReaderCandidate[];
  /** Daemons in the host list, all failure domains together. */
  daemons: number;
  /** Whether peers may yet answer a daemon that has just started or woken. */
  isAwaitingPeers: boolean;
  isLeaving: boolean;
}

export class PlatformReaders {
  readonly #selfId: string;
  #isReading = false;
  #reach: PlatformReach = PlatformReach.NotReading;
  #failedAt = Number.NEGATIVE_INFINITY;
  #vouchedAt: Milliseconds;

  constructor(selfId: string, now: Milliseconds) {
    this.#selfId = selfId;
    this.#vouchedAt = now;
  }

  /** Records how a reading of the platform ended. */
  recordReading(isReached: boolean, now: Milliseconds): void {
    if (isReached) this.#failedAt = Number.NEGATIVE_INFINITY;
    else this.#failedAt = now;
    if (!this.#isReading) return;
    if (!isReached) this.#vouchedAt = now;
    this.#reach = isReached ? PlatformReach.Reached : PlatformReach.Unreached;
  }

  /** Returns what this daemon tells others of the platform. */
  getReach(): PlatformReach {
    return this.#reach;
  }

  /** Returns whether this daemon is to read the platform now. */
  update(circumstances: ReaderCircumstances, now: Milliseconds): boolean {
    const isReading = this.#isReader(circumstances, now);
    if (!isReading) this.#reach = PlatformReach.NotReading;
    if (!isReading && now - this.#failedAt < FAILED_READER_REST_MS) {
      this.#reach = PlatformReach.Unreached;
    }
    this.#isReading = isReading;
    return isReading;
  }

  /** Takes it that nothing was heard of readers, after a pause of this process. */
  clear(now: Milliseconds): void {
    this.#vouchedAt = now;
  }

  #isReader(circumstances: ReaderCircumstances, now: Milliseconds): boolean {
    const { peers, isAwaitingPeers, isLeaving } = circumstances;
    if (isAwaitingPeers) {
      this.#vouchedAt = now;
      return false;
    }
    const isVouched = peers.some((peer) =>
      peer.platformReach === PlatformReach.Reached
    );
    if (isVouched) this.#vouchedAt = now;
    if (isLeaving) return false;
    if (this.#isChosen(peers, now)) return true;
    if (isVouched) return false;
    return now - this.#vouchedAt >= this.#getPatienceMs(circumstances.daemons);
  }

  /**
   * Returns whether this daemon is among the first that have not failed to
   * read; when many have failed, among the first of all, which go on trying.
   */
  #isChosen(peers: readonly ReaderCandidate[], now: Milliseconds): boolean {
    const hasFailed = now - this.#failedAt < FAILED_READER_REST_MS;
    const self = {
      id: this.#selfId,
      platformReach: hasFailed
        ? PlatformReach.Unreached
        : PlatformReach.NotReading,
    };
    const ranked = rankByRendezvous("platform", [self, ...peers]);
    const able = ranked.slice(0, MAX_FAILED_READERS).filter((candidate) =>
      candidate.platformReach !== PlatformReach.Unreached
    );
    return (able.length > 0 ? able : ranked).slice(0, READERS_PER_DOMAIN)
      .some((candidate) => candidate.id === this.#selfId);
  }

  /** Returns how long this daemon waits for a reader; others wait for other times. */
  #getPatienceMs(daemons: number): Milliseconds {
    const spreadMs = daemons * CALLS_PER_READING * 1_000 / CALLS_PER_SECOND;
    return READER_SILENCE_MS + spreadMs * hashText(this.#selfId) / 2 ** 32;
  }
}
