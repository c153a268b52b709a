/** How long input lay unread, from the turns of the event loop. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  estimateUnreadMs,
  MAX_TURN_GAP_MS,
  ReadDelay,
} from "../../../src/core/admission/read_delay.ts";

/** Records turns at the longest distance of a process that is not behind. */
function createCaughtUp(now: number): ReadDelay {
  const delay = new ReadDelay(now - 4 * MAX_TURN_GAP_MS);
  for (let turn = 3; turn >= 0; turn -= 1) {
    delay.recordTurn(now - turn * MAX_TURN_GAP_MS, true);
  }
  return delay;
}

test("a process that turns in time has no delay", () => {
  assert.is(createCaughtUp(1_000).computeMaxMs(1_000 + MAX_TURN_GAP_MS), 0);
});

test("input that is read after a stall can have lain unread all the while", () => {
  const delay = createCaughtUp(1_000);
  assert.is(delay.computeMaxMs(3_000), 1_950);
});

test("the delay ends two turns after the stall", () => {
  const delay = createCaughtUp(1_000);
  delay.recordTurn(3_000, true);
  assert.is(delay.computeMaxMs(3_005), 1_905);
  delay.recordTurn(3_010, true);
  assert.is(delay.computeMaxMs(3_015), 0);
});

test("input that is left unread keeps its delay from turn to turn", () => {
  const delay = createCaughtUp(1_000);
  delay.recordTurn(3_000, false);
  delay.recordTurn(3_010, false);
  delay.recordTurn(3_020, false);
  assert.is(delay.computeMaxMs(3_030), 1_980);
  delay.recordTurn(3_030, true);
  assert.is(delay.computeMaxMs(3_040), 0);
});

test("a request is expected to have come in the middle of the stall, or of its sender's patience", () => {
  assert.is(estimateUnreadMs(0, 1_000), 0);
  assert.is(estimateUnreadMs(800, 1_000), 400);
  assert.is(estimateUnreadMs(5_000, 1_000), 500);
});

test.run();
