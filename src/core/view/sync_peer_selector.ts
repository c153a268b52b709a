/**
 * Selects the peer from which a daemon fetches the changes of the published
 * view that it lacks. Load pattern: one large change, a slow link to the first
 * daemon that has it, and a whole failure domain that requests it at once.
 * Daemons spread over the peers that have the change, skip a peer that did not
 * answer, and read the store itself after a failure.
 */
import { findRendezvousWinner } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";
import type { StorePosition } from "./store_position.ts";

/** A peer that has changes that this daemon lacks. */
export interface NewerPeer {
  id: string;
  ip: string;
  /** Position in the store's history that the peer has reached. */
  position: StorePosition;
  isSameDomain: boolean;
}

/**
 * How long a peer that did not answer is skipped: a large answer over a slow
 * link takes about as long.
 */
const FAILED_PEER_EXCLUSION_MS = 2_000;

export class SyncPeerSelector {
  readonly #selfId: string;
  readonly #failedAt = new Map<string, Milliseconds>();
  #hasFailed = false;
  #attempts = 0;

  constructor(selfId: string) {
    this.#selfId = selfId;
  }

  /**
   * Whether a peer has failed to answer since this daemon was last up to date
   * with all peers; the store has to be read then.
   */
  get needsStore(): boolean {
    return this.#hasFailed;
  }

  /**
   * Returns the peer to ask next, preferably one in the same failure domain, or
   * undefined if all have failed recently.
   */
  choosePeer(
    peers: readonly NewerPeer[],
    now: Milliseconds,
  ): NewerPeer | undefined {
    const candidates = peers.filter((peer) => {
      const failedAt = this.#failedAt.get(peer.id);
      return failedAt === undefined ||
        now - failedAt >= FAILED_PEER_EXCLUSION_MS;
    });
    const sameDomain = candidates.filter((peer) => peer.isSameDomain);
    this.#attempts += 1;
    return findRendezvousWinner(
      `${this.#selfId} ${this.#attempts}`,
      sameDomain.length > 0 ? sameDomain : candidates,
    );
  }

  recordFailure(peerId: string, now: Milliseconds): void {
    this.#failedAt.set(peerId, now);
    this.#hasFailed = true;
  }

  /** Records that no peer is known to have a newer revision. */
  recordCaughtUp(): void {
    this.#hasFailed = false;
    this.#failedAt.clear();
  }
}
