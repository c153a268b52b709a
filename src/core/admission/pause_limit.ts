/**
 * Bounds how many requests run on an engine by the pause between events that
 * their callers accept. Each step of a fuller batch takes longer; callers count
 * a stream as late whose longest pause exceeds the route's objective.
 *
 * The bound is a slow multiplicative control, since a run reports its longest
 * pause only at its end. It is in force only after pauses exceeded the objective
 * and goes when they are short at the full batch size.
 *
 * Load: 48 slots per engine, streams that accept pauses of 400 ms, and batches
 * so full that half of the streams are late.
 */
import type { Milliseconds } from "../structures.ts";

/** Fraction of the objective that the average longest pause is to have. */
const TARGET_FRACTION = 0.8;
/** Weight of the latest run's longest pause in the average. */
const PAUSE_WEIGHT = 1 / 16;
/** Fraction of the deviation by which each report changes the bound. */
const GAIN = 1 / 64;
/** Largest deviation of a report that counts. */
const MAX_RATIO = 2;
/**
 * Smallest bound as a fraction of the batch size. Pauses may have causes other
 * than the batch, and each run less is a request that waits or is rejected.
 */
const MIN_FRACTION = 0.5;
/**
 * Fraction of the bound that has to run for long pauses to be taken for an
 * effect of the batch.
 */
const FULL_FRACTION = 0.8;

export class PauseLimit {
  /** Rises from 0, so that a few long pauses after a start have no effect. */
  #meanPauseMs: Milliseconds = 0;
  /** Undefined while pauses don't limit the batch. */
  #maxRunning: number | undefined;

  /** Returns how many requests may run; undefined if pauses are no limit. */
  get maxRunning(): number | undefined {
    return this.#maxRunning === undefined
      ? undefined
      : Math.floor(this.#maxRunning);
  }

  /**
   * Records the longest pause of a run that has ended.
   *
   * @param objectiveMs lowest objective of what runs, this run included.
   * @param running number of runs, this one included.
   */
  recordPause(
    pauseMs: Milliseconds,
    { objectiveMs, running, batchSize }: {
      objectiveMs: Milliseconds;
      running: number;
      batchSize: number;
    },
  ): void {
    this.#meanPauseMs += PAUSE_WEIGHT * (pauseMs - this.#meanPauseMs);
    const minRunning = MIN_FRACTION * batchSize;
    const isActive = this.#maxRunning !== undefined;
    if (
      !isActive && (running <= minRunning || this.#meanPauseMs <= objectiveMs)
    ) return;
    const bound = this.#maxRunning ?? running;
    const ratio = TARGET_FRACTION * objectiveMs /
      Math.max(1, this.#meanPauseMs);
    if (ratio < 1 && running < FULL_FRACTION * bound) return;
    const clamped = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
    const next = Math.max(minRunning, bound * (1 + GAIN * (clamped - 1)));
    this.#maxRunning = next >= batchSize ? undefined : next;
  }

  clear(): void {
    this.#meanPauseMs = 0;
    this.#maxRunning = undefined;
  }
}
