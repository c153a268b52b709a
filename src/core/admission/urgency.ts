/**
 * Urgency of requests that compete for one engine. Requests of the same priority
 * and the same latency objective are equally urgent; a lower priority rank is
 * more urgent, then a shorter objective. Less urgent requests leave the
 * engine's room to more urgent ones that wait for it, but not for ever: after
 * MAX_GRANTS_PAST grants past a waiting request, the next one is its own.
 *
 * Load: long prompts with a short objective beside a burst of short background
 * prompts. Whatever room a run releases is enough for a background prompt, so
 * that the long prompts would wait until they are rejected.
 */

import type { Milliseconds } from "../structures.ts";

/** What the urgency of a request depends on. */
export interface Urgency {
  /** 0 is the most urgent. */
  priorityRank: number;
  /**
   * Time from the caller's request to its first token, as the route promises
   * it; undefined if an older gateway sent the request.
   */
  latencyObjectiveMs?: number | undefined;
}

/**
 * Number of consecutive grants to more urgent requests after which a waiting
 * request has its turn, so that it gets at least one grant in eight.
 */
export const MAX_GRANTS_PAST = 7;
/**
 * Maximum number of classes whose grants are counted. A site has a few routes
 * and customers' priorities; the classes come from messages of peers.
 */
const MAX_CLASSES = 64;

/** Weight of the latest interval in the average. */
const INTERVAL_WEIGHT = 1 / 8;

/** Returns a negative number if the first request is the more urgent one. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.priorityRank - b.priorityRank ||
    (a.latencyObjectiveMs ?? 0) - (b.latencyObjectiveMs ?? 0);
}

interface ClassGrants {
  /** Grants to more urgent requests since the last one to this class. */
  grantsPast: number;
  /**
   * When the last grant was given, or when the first of the requests that wait
   * now arrived; the later of the two.
   */
  waitingSince: Milliseconds;
  /** Moving average of the time between two grants while requests waited. */
  intervalMs: Milliseconds;
}

/**
 * Records which grants were given to each class of equally urgent requests, and
 * which were given past its waiting requests.
 */
export class GrantTurns {
  readonly #classes = new Map<string, ClassGrants>();

  /** Records the first waiting request of its class. */
  recordFirstWaiting(request: Urgency, now: Milliseconds): void {
    this.#getClass(request, now).waitingSince = now;
  }

  /** Records a grant and the requests that wait on. */
  recordGrant(
    granted: Urgency,
    waiting: Iterable<Urgency>,
    now: Milliseconds,
  ): void {
    const own = this.#getClass(granted, now);
    own.grantsPast = 0;
    own.intervalMs += INTERVAL_WEIGHT *
      (now - own.waitingSince - own.intervalMs);
    own.waitingSince = now;
    const passed = new Set<ClassGrants>();
    for (const each of waiting) {
      if (compareUrgency(granted, each) < 0) {
        passed.add(this.#getClass(each, now));
      }
    }
    for (const each of passed) each.grantsPast += 1;
  }

  /** Returns whether the next grant is to go to a request of this class. */
  isDue(request: Urgency): boolean {
    const known = this.#classes.get(formatClass(request));
    return known !== undefined && known.grantsPast >= MAX_GRANTS_PAST;
  }

  /** Estimates the time between two grants to waiting requests of the class. */
  estimateIntervalMs(request: Urgency): Milliseconds {
    return this.#classes.get(formatClass(request))?.intervalMs ?? 0;
  }

  clear(): void {
    this.#classes.clear();
  }

  #getClass(request: Urgency, now: Milliseconds): ClassGrants {
    const key = formatClass(request);
    const known = this.#classes.get(key) ??
      { grantsPast: 0, waitingSince: now, intervalMs: 0 };
    this.#classes.delete(key);
    this.#classes.set(key, known);
    const [oldest] = this.#classes.keys();
    if (this.#classes.size > MAX_CLASSES && oldest !== undefined) {
      this.#classes.delete(oldest);
    }
    return known;
  }
}

function formatClass(request: Urgency): string {
  return `${request.priorityRank} ${request.latencyObjectiveMs ?? 0}`;
}
