/**
 * Guards against pauses that are not the engine's: before the first event, after
 * a caller's full write buffer and between two attempts.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PauseMeter } from "../../../src/core/execution/pause_meter.ts";

function measure(times: readonly number[], meter = new PauseMeter()) {
  for (const now of times) meter.recordEvent(now);
  return meter;
}

test("the longest pause between two events is measured", () => {
  assert.is(measure([900, 950, 1_250, 1_300]).longestPauseMs, 300);
});

test("a stream of one chunk has no pause", () => {
  assert.is(measure([]).longestPauseMs, undefined);
  assert.is(measure([900]).longestPauseMs, undefined);
});

test("the pause after an interruption doesn't count", () => {
  const meter = measure([0, 100]);
  meter.recordInterruption();
  measure([5_000, 5_050], meter);
  assert.is(meter.longestPauseMs, 100);
});

test("the pauses of an earlier attempt don't count", () => {
  const meter = measure([0, 700]);
  meter.clear();
  measure([9_000, 9_010], meter);
  assert.is(meter.longestPauseMs, 10);
});

test.run();
