/** Detection of a suspension that the monotonic clock does not count. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PauseDetector } from "../../../src/core/fleet/pause_detector.ts";

test("a suspension is detected once, by the wall clock", () => {
  const detector = new PauseDetector(0, 1_000_000);
  assert.not(detector.hasPaused(100, 1_000_101));
  assert.ok(detector.hasPaused(110, 1_003_611));
  assert.not(detector.hasPaused(120, 1_003_621));
});

test("a long-running task advances both clocks and is not a pause", () => {
  const detector = new PauseDetector(0, 1_000_000);
  assert.not(detector.hasPaused(5_000, 1_005_002));
});

test("a wall clock that is set back during a suspension does not hide it", () => {
  const detector = new PauseDetector(0, 1_000_000);
  assert.not(detector.hasPaused(100, 1_000_100));
  const suspendedMs = 2_000;
  const setBackMs = 2_800;
  assert.ok(detector.hasPaused(110, 1_000_110 + suspendedMs - setBackMs));
  assert.not(detector.hasPaused(210, 1_000_210 + suspendedMs - setBackMs));
});

test("clocks that run at slightly different rates are no pause", () => {
  const detector = new PauseDetector(0, 1_000_000);
  assert.not(detector.hasPaused(5_000, 1_004_700));
  assert.not(detector.hasPaused(10_000, 1_010_000));
});

test("a clock is steady ten seconds after the start and after each step", () => {
  const detector = new PauseDetector(0, 1_000_000);
  assert.not(detector.isClockSteady(9_999));
  assert.ok(detector.isClockSteady(10_000));
  assert.not(detector.hasPaused(12_000, 1_012_000));
  assert.ok(detector.isClockSteady(12_000));
  for (const [now, unixMs] of [[13_000, 1_015_800], [19_000, 1_019_000]]) {
    detector.hasPaused(now ?? 0, unixMs ?? 0);
    assert.not(detector.isClockSteady(now ?? 0));
  }
  assert.not(detector.isClockSteady(28_999));
  assert.ok(detector.isClockSteady(29_000));
});

test.run();
