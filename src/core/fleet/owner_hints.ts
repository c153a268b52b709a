/**
 * Hints of other daemons about the owners of engines, used until the owners'
 * own heartbeats must have arrived.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Lifetime of a hint: the heartbeats of a large fleet arrive every second, and
 * later through other daemons.
 */
const HINT_LIFETIME_MS = 10_000;

/**
 * Time for which an engine without an owner is not asked for again: as long as
 * it takes to hear of a new owner's claim.
 */
const UNOWNED_LIFETIME_MS = 400;

interface OwnerHint {
  ownerId: string;
  receivedAt: Milliseconds;
}

export class OwnerHints {
  /** Hints by engine, in order of receipt. */
  readonly #hints = new Map<string, OwnerHint>();
  /** Engines without an owner, and when a daemon reported that. */
  readonly #unowned = new Map<string, Milliseconds>();

  /** Number of engines with a hint, including hints that expired recently. */
  get size(): number {
    return this.#hints.size;
  }

  /** Records a hint and removes expired hints. */
  record(engineId: string, ownerId: string, now: Milliseconds): void {
    this.#unowned.delete(engineId);
    this.#hints.delete(engineId);
    this.#hints.set(engineId, { ownerId, receivedAt: now });
    for (const [id, { receivedAt }] of this.#hints) {
      if (now - receivedAt < HINT_LIFETIME_MS) return;
      this.#hints.delete(id);
    }
  }

  forget(engineId: string): void {
    this.#hints.delete(engineId);
  }

  /**
   * Records that the engine has no owner, as far as the daemon knows that was
   * asked.
   */
  recordUnowned(engineId: string, now: Milliseconds): void {
    this.#unowned.set(engineId, now);
  }

  isUnowned(engineId: string, now: Milliseconds): boolean {
    const receivedAt = this.#unowned.get(engineId);
    if (receivedAt === undefined) return false;
    if (now - receivedAt < UNOWNED_LIFETIME_MS) return true;
    this.#unowned.delete(engineId);
    return false;
  }

  /**
   * Returns the owner according to the latest hint; undefined if there is none
   * or it has expired.
   */
  find(engineId: string, now: Milliseconds): string | undefined {
    const hint = this.#hints.get(engineId);
    const isFresh = hint !== undefined &&
      now - hint.receivedAt < HINT_LIFETIME_MS;
    return isFresh ? hint.ownerId : undefined;
  }
}
