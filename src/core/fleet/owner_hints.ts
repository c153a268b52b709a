/** Holders of engines that other daemons named, believed until their own heartbeats must have come. */
import type { Milliseconds } from "../structures.ts";

/** Time for which a daemon's word is believed: a large fleet's heartbeats come each second, and through others later. */
const HINT_LIFETIME_MS = 10_000;

/** Time for which an engine that nobody held is not asked for again: as long as a holder's claim takes to be heard of. */
const UNOWNED_LIFETIME_MS = 400;

interface OwnerHint {
  ownerId: string;
  receivedAt: Milliseconds;
}

export class OwnerHints {
  /** By engine, the latest told last. */
  readonly #hints = new Map<string, OwnerHint>();
  /** Engines that nobody held, and when that was told. */
  readonly #unowned = new Map<string, Milliseconds>();

  /** Number of engines of which something is believed or was lately. */
  get size(): number {
    return this.#hints.size;
  }

  /** Takes a daemon's word, and forgets what is believed no more. */
  record(engineId: string, holderId: string, now: Milliseconds): void {
    this.#unowned.delete(engineId);
    this.#hints.delete(engineId);
    this.#hints.set(engineId, { ownerId: holderId, receivedAt: now });
    for (const [id, { receivedAt: toldAt }] of this.#hints) {
      if (now - toldAt < HINT_LIFETIME_MS) return;
      this.#hints.delete(id);
    }
  }

  forget(engineId: string): void {
    this.#hints.delete(engineId);
  }

  /** Notes that nobody holds the engine, as far as one knows that was asked. */
  recordUnowned(engineId: string, now: Milliseconds): void {
    this.#unowned.set(engineId, now);
  }

  isUnowned(engineId: string, now: Milliseconds): boolean {
    const toldAt = this.#unowned.get(engineId);
    if (toldAt === undefined) return false;
    if (now - toldAt < UNOWNED_LIFETIME_MS) return true;
    this.#unowned.delete(engineId);
    return false;
  }

  /** Returns the holder that was named; undefined when nobody has named one lately. */
  find(engineId: string, now: Milliseconds): string | undefined {
    const told = this.#hints.get(engineId);
    const isFresh = told !== undefined &&
      now - told.receivedAt < HINT_LIFETIME_MS;
    return isFresh ? told.ownerId : undefined;
  }
}
