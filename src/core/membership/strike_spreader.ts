/** Passes on the strikes of requests that crash upstreams: new ones at once, the others in turn with probes. */
import type { StrikeDigest } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";
import type { Spreader } from "./spreader.ts";

/** Strikes that one probe carries. */
const MAX_PROBE_STRIKES = 4;

export class StrikeSpreader {
  readonly #getStrikes: (now: Milliseconds) => StrikeDigest[];
  readonly #spreader: Spreader;
  /** Counts that the failure domain has been told, by fingerprint. */
  #told = new Map<string, number>();
  #current: StrikeDigest[] = [];
  #nextIndex = 0;

  constructor(
    getStrikes: (now: Milliseconds) => StrikeDigest[],
    spreader: Spreader,
  ) {
    this.#getStrikes = getStrikes;
    this.#spreader = spreader;
  }

  /** Looks for new strikes; returns whether there are any to pass on. */
  tick(now: Milliseconds): boolean {
    this.#current = this.#getStrikes(now);
    const fresh = this.#current.filter((digest) =>
      (this.#told.get(digest.fingerprint) ?? -1) < digest.strikes
    );
    this.#spreader.addStrikes(fresh, now);
    this.#told = new Map(
      this.#current.map((digest) => [digest.fingerprint, digest.strikes]),
    );
    return fresh.length > 0;
  }

  /** Notes that the failure domain has been told already. */
  receive(strikes: readonly StrikeDigest[]): void {
    for (const { fingerprint, strikes: count } of strikes) {
      this.#told.set(
        fingerprint,
        Math.max(count, this.#told.get(fingerprint) ?? 0),
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
