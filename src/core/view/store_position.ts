/**
 * Positions in the history of the platform's store. A store that is restored
 * from an older copy gives out its revisions again and begins a new era, so that
 * only the pair of era and revision orders what was read.
 */

export interface StorePosition {
  /** Rises by one each time the store is restored from a copy. */
  era: number;
  /** Rises with each write within an era. */
  revision: number;
}

/** Before anything was read. */
export const START_POSITION: StorePosition = { era: 0, revision: 0 };

/** Returns a positive number if the first position is later than the second. */
export function comparePositions(
  first: StorePosition,
  second: StorePosition,
): number {
  return first.era - second.era || first.revision - second.revision;
}
