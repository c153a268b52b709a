/**
 * Lengths of the turns for orders that other claimants of an engine may send
 * too. All turns follow from the engine's age.
 */
import type { Milliseconds } from "../structures.ts";
import { CONTESTED_WINDOW_MS } from "./engine_ownership.ts";

/**
 * Part of a turn in which a contested order may be sent: reading the engine's
 * report and sending the order take several ticks.
 */
export const TURN_SEND_WINDOW_MS = 500;
/**
 * Length of a turn for contested orders: an order sent in one turn is visible
 * in the next.
 */
export const CONTESTED_TURN_MS = TURN_SEND_WINDOW_MS + CONTESTED_WINDOW_MS;

/**
 * Part of a turn in which a base model may be loaded where a majority is heard,
 * and the length of such a turn: the rest of it is longer than an order takes on
 * the network, so that the fencing numbers of claimants that do not hear each
 * other arrive in the order in which they were drawn. Isolated daemons send in
 * that rest.
 */
export const LOAD_SEND_WINDOW_MS = 100;
export const LOAD_TURN_MS = LOAD_SEND_WINDOW_MS + 100;

/** A turn that returns with each cycle. */
export interface RecurringTurn {
  /** When the turn begins, from the start of the cycle. */
  startMs: Milliseconds;
  cycleMs: Milliseconds;
  /** Part of the turn in which an order may be sent. */
  windowMs: Milliseconds;
}

/**
 * Returns the time until an order may be sent to an engine of this age, which a
 * wrong clock may make negative: 0 in the window, or until the next turn.
 */
export function computeTurnDelayMs(
  { startMs, cycleMs, windowMs }: RecurringTurn,
  engineAgeMs: Milliseconds,
): Milliseconds {
  const remainderMs = (engineAgeMs - startMs) % cycleMs;
  const sinceTurnMs = (remainderMs + cycleMs) % cycleMs;
  return sinceTurnMs < windowMs ? 0 : cycleMs - sinceTurnMs;
}
