/**
 * Requests that have been read and not been acted upon. A request is released
 * once what followed it on its connection has been read, so that the close of a
 * caller that left is known. A process that is behind reads first what still
 * waits, then releases the newest requests first: their callers are the most
 * likely to be there when they are served. What it can't get to in time is
 * refused, so that its callers can go elsewhere.
 */
import type { Milliseconds } from "../structures.ts";

/**
 * Number of turns of the event loop after whose end a close that arrived with a
 * request has been read: the request's own, and the next.
 */
const TURNS_TO_SETTLE = 2;
/** Delay of reading above which the process is behind. */
const BEHIND_MS = 50;
/** Time for which a process that is behind reads on before it acts. */
const MAX_READ_AHEAD_MS = 100;
/**
 * Time that the release of requests may take in one turn while the process is
 * behind. At least one is released.
 */
const TURN_BUDGET_MS = 10;
/** Time after which a request that has not been released is refused. */
const MAX_WAIT_MS = 250;

interface WaitingItem<Item> {
  item: Item;
  readAt: Milliseconds;
  /** Longest time for which it can have lain unread. */
  maxDelayMs: Milliseconds;
  /** Number of turns that have ended since it was read. */
  turns: number;
}

export type IntakeDecision<Item> =
  | { kind: "release"; item: Item }
  | { kind: "refuse"; item: Item };

export class IntakeQueue<Item> {
  /** In the order in which they were read. */
  readonly #waiting: WaitingItem<Item>[] = [];
  #isBehind = false;
  /** When the process began to read ahead; undefined unless it does. */
  #readingSince: Milliseconds | undefined;
  #releaseUntil: Milliseconds = 0;
  #hasReleased = false;

  get size(): number {
    return this.#waiting.length;
  }

  /** @param maxDelayMs longest time for which the request can have lain unread. */
  add(item: Item, maxDelayMs: Milliseconds, now: Milliseconds): void {
    this.#waiting.push({ item, readAt: now, maxDelayMs, turns: 0 });
  }

  /** Removes a request whose caller has left; returns whether it was waiting. */
  remove(item: Item): boolean {
    const index = this.#waiting.findIndex((each) => each.item === item);
    if (index < 0) return false;
    this.#waiting.splice(index, 1);
    return true;
  }

  /**
   * Records the end of a turn; `takeNext` then returns what it releases.
   *
   * @param isConnectionLeft whether connections may wait to be accepted.
   */
  endTurn(isConnectionLeft: boolean, now: Milliseconds): void {
    for (const each of this.#waiting) each.turns += 1;
    this.#isBehind = this.#waiting.some((each) =>
      Math.max(each.maxDelayMs, now - each.readAt) > BEHIND_MS
    );
    this.#hasReleased = false;
    this.#releaseUntil = now + TURN_BUDGET_MS;
    this.#readingSince = this.#isBehind && isConnectionLeft
      ? this.#readingSince ?? now
      : undefined;
  }

  /** Returns the next decision of this turn; undefined if there is none. */
  takeNext(now: Milliseconds): IntakeDecision<Item> | undefined {
    const oldest = this.#waiting[0];
    if (oldest && now - oldest.readAt > MAX_WAIT_MS) {
      this.#waiting.shift();
      return { kind: "refuse", item: oldest.item };
    }
    if (!this.#canRelease(now)) return undefined;
    const index = this.#isBehind
      ? this.#waiting.findLastIndex((each) => each.turns >= TURNS_TO_SETTLE)
      : this.#waiting.findIndex((each) => each.turns >= TURNS_TO_SETTLE);
    const [next] = index < 0 ? [] : this.#waiting.splice(index, 1);
    if (!next) return undefined;
    this.#hasReleased = true;
    return { kind: "release", item: next.item };
  }

  #canRelease(now: Milliseconds): boolean {
    if (!this.#isBehind) return true;
    const isReadingAhead = this.#readingSince !== undefined &&
      now - this.#readingSince < MAX_READ_AHEAD_MS;
    if (isReadingAhead) return false;
    return !this.#hasReleased || now < this.#releaseUntil;
  }
}
