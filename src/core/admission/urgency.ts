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

/** Returns a negative number if the first request is the more urgent one. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.priorityRank - b.priorityRank ||
    (a.latencyObjectiveMs ?? 0) - (b.latencyObjectiveMs ?? 0);
}

/**
 * Counts the grants to more urgent requests while a request waited, by class of
 * equally urgent requests.
 */
export class GrantTurns {
  readonly #grantsPast = new Map<string, number>();

  /** Records a grant and the requests that wait on. */
  recordGrant(granted: Urgency, waiting: Iterable<Urgency>): void {
    this.#grantsPast.delete(formatClass(granted));
    const passed = new Set<string>();
    for (const each of waiting) {
      if (compareUrgency(granted, each) < 0) passed.add(formatClass(each));
    }
    for (const key of passed) {
      const count = this.#grantsPast.get(key) ?? 0;
      this.#grantsPast.delete(key);
      this.#grantsPast.set(key, count + 1);
    }
    for (const key of this.#grantsPast.keys()) {
      if (this.#grantsPast.size <= MAX_CLASSES) break;
      this.#grantsPast.delete(key);
    }
  }

  /** Returns whether the next grant is to go to a request of this class. */
  isDue(request: Urgency): boolean {
    return this.#grantsPast.size > 0 &&
      (this.#grantsPast.get(formatClass(request)) ?? 0) >= MAX_GRANTS_PAST;
  }

  clear(): void {
    this.#grantsPast.clear();
  }
}

function formatClass(request: Urgency): string {
  return `${request.priorityRank} ${request.latencyObjectiveMs ?? 0}`;
}
