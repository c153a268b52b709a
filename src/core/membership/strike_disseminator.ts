/**
 * Disseminates the strikes of requests that crash upstreams: new ones at once;
 * the others are piggybacked on probes, in turn.
 */
import type { StrikeDigest } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import type { UpdateDisseminator } from "./update_disseminator.ts";

/** Most strikes in one probe. */
const MAX_PROBE_STRIKES = 4;

export class StrikeDisseminator {
  readonly #getStrikes: (now: Milliseconds) => StrikeDigest[];
  readonly #disseminator: UpdateDisseminator;
  /**
   * Strike counts already disseminated in the failure domain, by fingerprint.
   */
  #disseminated = new Map<string, number>();
  #current: StrikeDigest[] = [];
  #nextIndex = 0;

  constructor(
    getStrikes: (now: Milliseconds) => StrikeDigest[],
    disseminator: UpdateDisseminator,
  ) {
    this.#getStrikes = getStrikes;
    this.#disseminator = disseminator;
  }

  /** Queues new strikes for dissemination; returns whether there are any. */
  tick(now: Milliseconds): boolean {
    this.#current = this.#getStrikes(now);
    const newStrikes = this.#current.filter((digest) =>
      (this.#disseminated.get(digest.fingerprint) ?? -1) < digest.strikes
    );
    this.#disseminator.addStrikes(newStrikes, now);
    this.#disseminated = new Map(
      this.#current.map((digest) => [digest.fingerprint, digest.strikes]),
    );
    return newStrikes.length > 0;
  }

  /**
   * Records strikes received from a peer, which the failure domain already has.
   */
  recordReceived(strikes: readonly StrikeDigest[]): void {
    for (const { fingerprint, strikes: count } of strikes) {
      this.#disseminated.set(
        fingerprint,
        Math.max(count, this.#disseminated.get(fingerprint) ?? 0),
      );
    }
  }

  getAll(): StrikeDigest[] {
    return this.#current;
  }

  /** Returns a few strikes, different ones each time. */
  selectNext(): StrikeDigest[] {
    const count = Math.min(MAX_PROBE_STRIKES, this.#current.length);
    const selected: StrikeDigest[] = [];
    for (let index = 0; index < count; index += 1) {
      this.#nextIndex = (this.#nextIndex + 1) % this.#current.length;
      const digest = this.#current[this.#nextIndex];
      if (digest) selected.push(digest);
    }
    return selected;
  }
}
