/**
 * How much prefill less urgent requests may queue at an engine. The engine
 * prefills prompts one after the other, so that each prompt that was admitted
 * delays the first token of the more urgent requests behind it.
 *
 * Load: long background prompts of 400 ms of prefill each, beside headlines with
 * an objective of 807 ms. With a backlog of up to 600 ms and one more long
 * prompt, headlines that arrive are late already.
 */
import type { Milliseconds } from "../structures.ts";
import { compareUrgency, formatUrgencyClass, type Urgency } from "./urgency.ts";

/** Prefill backlog above which requests wait here instead of in the engine. */
export const MAX_PREFILL_BACKLOG_MS = 600;
/**
 * Fraction of the shortest objective of more urgent requests up to which less
 * urgent ones may fill the backlog; the rest is left to the urgent ones' own
 * prefill.
 */
const BACKLOG_OBJECTIVE_FRACTION = 0.5;
/**
 * How many times a request's objective must be that of a more urgent one for its
 * prompt to wait for it. A prompt with an objective nearly as short would be late
 * itself if it waited for a backlog of less than its own length.
 */
const MIN_OBJECTIVE_RATIO = 1.75;
/**
 * Time after its latest request for which a class counts as present. Most
 * classes of a site send several requests a second.
 */
const PRESENCE_MS = 2_000;
/** Maximum number of classes; they come from messages of peers. */
const MAX_CLASSES = 64;

export class PrefillShare {
  readonly #presentUntil = new Map<
    string,
    { urgency: Urgency; until: Milliseconds }
  >();

  recordArrival(
    { priorityRank, latencyObjectiveMs }: Urgency,
    now: Milliseconds,
  ): void {
    const urgency = { priorityRank, latencyObjectiveMs };
    const key = formatUrgencyClass(urgency);
    this.#presentUntil.delete(key);
    this.#presentUntil.set(key, { urgency, until: now + PRESENCE_MS });
    const [oldest] = this.#presentUntil.keys();
    if (this.#presentUntil.size > MAX_CLASSES && oldest !== undefined) {
      this.#presentUntil.delete(oldest);
    }
  }

  /** Returns the backlog up to which a request may be admitted. */
  computeMaxBacklogMs(
    request: Urgency,
    ownPrefillMs: Milliseconds,
    now: Milliseconds,
  ): Milliseconds {
    let maxBacklogMs = MAX_PREFILL_BACKLOG_MS;
    for (const { urgency, until } of this.#presentUntil.values()) {
      const { latencyObjectiveMs } = urgency;
      const isAhead = until > now && compareUrgency(urgency, request) < 0;
      if (!isAhead || latencyObjectiveMs === undefined) continue;
      const { latencyObjectiveMs: ownObjectiveMs = 0 } = request;
      if (ownObjectiveMs < MIN_OBJECTIVE_RATIO * latencyObjectiveMs) continue;
      maxBacklogMs = Math.min(
        maxBacklogMs,
        BACKLOG_OBJECTIVE_FRACTION * latencyObjectiveMs - ownPrefillMs,
      );
    }
    // A prompt that takes longer than that goes when nothing is before it.
    return Math.max(0, maxBacklogMs);
  }
}
