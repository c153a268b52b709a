/**
 * Urgency of requests that compete for one engine. Requests of the same priority
 * and the same latency objective are equally urgent; a lower priority rank is
 * more urgent, then a shorter objective. Less urgent requests leave the
 * engine's room to more urgent ones that wait for it, but not for ever: each
 * waiting class has its turn in time.
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
 * A waiting request has its turn once more urgent ones have been granted this
 * many times its own tokens, so that its class gets at least a seventh of them.
 * Counted in grants, turns of long background prompts made half as many
 * headlines late again.
 */
export const MAX_TOKENS_PAST_FACTOR = 6;
/**
 * Time for which the engine's room is held for a request that has its turn. An
 * engine full of long runs releases none for seconds; without this bound,
 * headlines that would fit waited 7 s for the room of one long prompt.
 */
const TURN_HOLD_MS = 300;
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
  /** Tokens granted to more urgent requests since the last grant to this class. */
  tokensPast: number;
  /** Until when the engine's room is held for the class. */
  heldUntil: Milliseconds | undefined;
  /**
   * When the last grant was given, or when the first of the requests that wait
   * now arrived; the later of the two.
   */
  waitingSince: Milliseconds;
  /** Moving average of the time between two grants while requests waited. */
  intervalMs: Milliseconds;
}

/** What a grant takes, by prompt and output. */
type SizedRequest = Urgency & { promptTokens: number; outputTokens: number };

/**
 * Records which grants were given to each class of equally urgent requests, and
 * which were given past its waiting requests.
 */
export class GrantTurns {
  readonly #classes = new Map<string, ClassGrants>();
  /** Whether any class may have a turn; most engines serve one class. */
  #hasPassed = false;

  /** Records the first waiting request of its class. */
  recordFirstWaiting(request: Urgency, now: Milliseconds): void {
    this.#getClass(request, now).waitingSince = now;
  }

  /** Records a grant and the requests that wait on. */
  recordGrant(
    granted: SizedRequest,
    waiting: Iterable<Urgency>,
    now: Milliseconds,
  ): void {
    const own = this.#getClass(granted, now);
    // What was granted past the class beyond its turn counts for the next one.
    const turnTokens = MAX_TOKENS_PAST_FACTOR * sumTokens(granted);
    own.tokensPast = Math.min(
      turnTokens,
      Math.max(0, own.tokensPast - turnTokens),
    );
    own.heldUntil = undefined;
    own.intervalMs += INTERVAL_WEIGHT *
      (now - own.waitingSince - own.intervalMs);
    own.waitingSince = now;
    const passed = new Set<ClassGrants>();
    for (const each of waiting) {
      if (compareUrgency(granted, each) < 0) {
        passed.add(this.#getClass(each, now));
      }
    }
    for (const each of passed) each.tokensPast += sumTokens(granted);
    this.#hasPassed ||= passed.size > 0;
  }

  /** Returns whether the request is to be granted before more urgent ones. */
  isDue(request: SizedRequest): boolean {
    if (!this.#hasPassed) return false;
    const known = this.#classes.get(formatUrgencyClass(request));
    return known !== undefined &&
      known.tokensPast >= MAX_TOKENS_PAST_FACTOR * sumTokens(request);
  }

  /**
   * Holds the engine's room for a request that has its turn and doesn't fit.
   * Returns false once it has been held long enough; the turn is over then.
   */
  tryHold(request: Urgency, now: Milliseconds): boolean {
    const own = this.#getClass(request, now);
    own.heldUntil ??= now + TURN_HOLD_MS;
    if (now < own.heldUntil) return true;
    own.heldUntil = undefined;
    own.tokensPast = 0;
    return false;
  }

  /** Estimates the time between two grants to waiting requests of the class. */
  estimateIntervalMs(request: Urgency): Milliseconds {
    return this.#classes.get(formatUrgencyClass(request))?.intervalMs ?? 0;
  }

  clear(): void {
    this.#classes.clear();
    this.#hasPassed = false;
  }

  #getClass(request: Urgency, now: Milliseconds): ClassGrants {
    const key = formatUrgencyClass(request);
    const known = this.#classes.get(key) ??
      { tokensPast: 0, heldUntil: undefined, waitingSince: now, intervalMs: 0 };
    this.#classes.delete(key);
    this.#classes.set(key, known);
    const [oldest] = this.#classes.keys();
    if (this.#classes.size > MAX_CLASSES && oldest !== undefined) {
      this.#classes.delete(oldest);
    }
    return known;
  }
}

/** Returns a key that equally urgent requests have in common. */
export function formatUrgencyClass(request: Urgency): string {
  return `${request.priorityRank} ${request.latencyObjectiveMs ?? 0}`;
}

function sumTokens(request: SizedRequest): number {
  return request.promptTokens + request.outputTokens;
}
