/** Watches whether code reads a clock, and lets the wall clock jump while it runs. */
import { performance } from "node:perf_hooks";

let jumpMs = 0;

/** Moves the wall clock that the watched code would see. */
export function moveWallClock(spanMs: number): void {
  jumpMs += spanMs;
}

/** Returns how often the step read the wall clock or the process's own clock. */
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
