/**
 * Detects reads of the wall clock or of the process clock, and lets both jump.
 * The core must use only the time that is passed to it.
 */
import { performance } from "node:perf_hooks";

let jumpMs = 0;

/** Shifts the clocks that the observed code reads. */
export function moveWallClock(spanMs: number): void {
  jumpMs += spanMs;
}

/** Counts the reads of the wall clock and the process clock during a step. */
export function countWallClockReads(step: () => void): number {
  const dateNow = Date.now;
  const performanceNow = performance.now;
  let reads = 0;
  Date.now = () => {
    reads += 1;
    return dateNow() + jumpMs;
  };
  performance.now = () => {
    reads += 1;
    return performanceNow.call(performance) + jumpMs;
  };
  try {
    step();
  } finally {
    Date.now = dateNow;
    performance.now = performanceNow;
  }
  return reads;
}
