/**
 * Isolates requests that were running on an upstream when it crashed. A request
 * that shared the upstream with others becomes a suspect and runs exclusively
 * from then on; each upstream that crashes while it runs exclusively counts as
 * a strike. At the limit the request is refused. An exclusive run that
 * completes clears the suspect.
 */
import type { StrikeDigest } from "../messages.ts";
import type { Milliseconds } from "../structures.ts";

export interface CrashQuarantineOptions {
  /** Upstreams that one request may crash before it is refused. */
  maxStrikes: number;
  strikeLifetimeMs: Milliseconds;
}

/** Maximum number of fingerprints; the oldest are dropped. */
const MAX_FINGERPRINTS = 10_000;
/** Maximum number of fingerprints sent in one heartbeat. */
const MAX_DIGEST_STRIKES = 32;

interface Suspect {
  strikes: number;
  expiresAt: Milliseconds;
}

export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  readonly #suspects = new Map<string, Suspect>();

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  /** Records that an upstream crashed while it ran the request. */
  recordCrash(fingerprint: string, wasAlone: boolean, now: Milliseconds): void {
    const strikes = this.#getStrikes(fingerprint, now) + (wasAlone ? 1 : 0);
    this.#setSuspect(
      fingerprint,
      strikes,
      now + this.#options.strikeLifetimeMs,
    );
  }

  /** Clears a suspect whose exclusive run completed. */
  clearSuspect(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
  }

  /** Merges a peer's strikes; never lowers a count. */
  mergeDigests(digests: readonly StrikeDigest[], now: Milliseconds): void {
    for (const digest of digests) {
      const isKnown = this.isSuspect(digest.fingerprint, now) &&
        digest.strikes <= this.#getStrikes(digest.fingerprint, now);
      if (isKnown) continue;
      const lifetimeMs = Math.min(
        digest.expiresInMs,
        this.#options.strikeLifetimeMs,
      );
      this.#setSuspect(digest.fingerprint, digest.strikes, now + lifetimeMs);
    }
  }

  /** Returns whether the request must run exclusively. */
  isSuspect(fingerprint: string, now: Milliseconds): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && suspect.expiresAt > now;
  }

  /**
   * Returns whether the request is refused: it has crashed an upstream while it
   * ran exclusively, and its strikes together with the shared upstream whose
   * crash made it a suspect reach the limit.
   */
  isQuarantined(fingerprint: string, now: Milliseconds): boolean {
    const strikes = this.#getStrikes(fingerprint, now);
    return strikes >= 1 && strikes + 1 >= this.#options.maxStrikes;
  }

  /** Returns the time left until the fingerprint may run again. */
  getRemainingMs(fingerprint: string, now: Milliseconds): Milliseconds {
    const suspect = this.#suspects.get(fingerprint);
    return suspect ? Math.max(0, suspect.expiresAt - now) : 0;
  }

  /** Returns the most recent suspects, to be sent to peers. */
  getDigests(now: Milliseconds): StrikeDigest[] {
    const digests: StrikeDigest[] = [];
    for (const [fingerprint, suspect] of this.#suspects) {
      if (suspect.expiresAt <= now) {
        this.#suspects.delete(fingerprint);
        continue;
      }
      digests.push({
        fingerprint,
        strikes: suspect.strikes,
        expiresInMs: suspect.expiresAt - now,
      });
    }
    return digests.slice(-MAX_DIGEST_STRIKES);
  }

  #getStrikes(fingerprint: string, now: Milliseconds): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect && suspect.expiresAt > now ? suspect.strikes : 0;
  }

  #setSuspect(
    fingerprint: string,
    strikes: number,
    expiresAt: Milliseconds,
  ): void {
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, { strikes, expiresAt });
    if (this.#suspects.size <= MAX_FINGERPRINTS) return;
    const [oldest] = this.#suspects.keys();
    if (oldest !== undefined) this.#suspects.delete(oldest);
  }
}
