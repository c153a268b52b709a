/**
 * Whom a daemon asks for what it lacks of the published view. Load pattern: one
 * large change, a narrow link to the first daemon that has it, and a whole failure
 * domain that asks it at once. Daemons spread over those that have the news, pass
 * over one that did not answer, and turn to the store itself after a failure.
 */
import { findRendezvousWinner } from "../hashing.ts";
import type { Milliseconds } from "../structures.ts";

/** A peer that knows more than this daemon. */
export interface NewerPeer {
  id: string;
  ip: string;
  /** Store revision that it has. */
  revision: number;
  isSameDomain: boolean;
}

/** Time for which a peer that did not answer is passed over: a large answer on a narrow link takes about as long. */
const FAILED_PEER_EXCLUSION_MS = 2_000;

export class SyncPeerSelector {
  readonly #selfId: string;
  readonly #failedAt = new Map<string, Milliseconds>();
  #hasFailed = false;
  #attempts = 0;

  constructor(selfId: string) {
    this.#selfId = selfId;
  }

  /** Whether a peer has failed since this daemon last knew as much as its peers. */
  get needsStore(): boolean {
    return this.#hasFailed;
  }

  /** Returns the peer to ask next, a near one where there is one, or undefined when all have failed. */
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

  /** Notes that nobody is known to be ahead. */
  recordCaughtUp(): void {
    this.#hasFailed = false;
    this.#failedAt.clear();
  }
}
