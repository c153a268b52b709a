/** Passes on the strikes of requests that crash upstreams: new ones at once, the others in turn with probes. */
import type { StrikeDigest } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import type { UpdateDisseminator } from "./update_disseminator.ts";

/** Strikes that one probe carries. */
const MAX_PROBE_STRIKES = 4;

export class StrikeDisseminator {
  readonly #getStrikes: (now: Milliseconds) => StrikeDigest[];
  readonly #disseminator: UpdateDisseminator;
  /** Counts that the failure domain has been told, by fingerprint. */
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

  /** Looks for new strikes; returns whether there are any to pass on. */
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

  /** Notes that the failure domain has been told already. */
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

  /** Returns a few, others each time. */
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
