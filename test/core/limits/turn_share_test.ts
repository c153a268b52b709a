/**
 * Guards against a connection that processes more of its input in a turn of the
 * event loop than its share, and against a share that stops before its limits.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  DEFAULT_TURN_LIMITS,
  TurnShare,
} from "../../../src/core/limits/turn_share.ts";

const READ_BYTES = 64 * 1024;
/** Events by which the size of pieces may miss the limit. */
const TOLERANCE = 1.7;

/** Processes what one turn has room for, with events of the given size. */
function runTurn(
  share: TurnShare,
  bytesPerEvent: number,
  availableBytes = READ_BYTES,
): { bytes: number; events: number; pieces: number } {
  share.clear();
  const total = { bytes: 0, events: 0, pieces: 0 };
  for (;;) {
    const length = share.computePieceBytes(availableBytes - total.bytes);
    if (length === 0) return total;
    const events = Math.floor((total.bytes + length) / bytesPerEvent) -
      total.events;
    for (let event = 0; event < events; event += 1) share.recordEvent();
    share.recordPiece(length);
    total.bytes += length;
    total.events += events;
    total.pieces += 1;
  }
}

for (const bytesPerEvent of [1, 6, 28, 150, 400]) {
  test(`events of ${bytesPerEvent} bytes stay within the share after the first turn`, () => {
    const share = new TurnShare(DEFAULT_TURN_LIMITS);
    runTurn(share, bytesPerEvent);
    for (let turn = 0; turn < 3; turn += 1) {
      const { events, bytes } = runTurn(share, bytesPerEvent);
      const smallestPieceEvents = 256 / bytesPerEvent;
      assert.ok(events >= DEFAULT_TURN_LIMITS.maxEvents, `${events} events`);
      assert.ok(
        events <=
          DEFAULT_TURN_LIMITS.maxEvents * TOLERANCE + smallestPieceEvents,
        `${events} events`,
      );
      assert.ok(bytes <= DEFAULT_TURN_LIMITS.maxBytes);
    }
  });
}

test("large events are limited in bytes, and take few pieces", () => {
  const share = new TurnShare(DEFAULT_TURN_LIMITS);
  const { bytes, pieces } = runTurn(share, READ_BYTES);
  assert.is(bytes, DEFAULT_TURN_LIMITS.maxBytes);
  assert.ok(pieces <= 40, `${pieces} pieces`);
});

test("a sender that changes from large to small events exceeds a turn by one piece at most", () => {
  const share = new TurnShare(DEFAULT_TURN_LIMITS);
  runTurn(share, READ_BYTES);
  const { events } = runTurn(share, 6);
  assert.ok(events <= 4 * 1024 / 6, `${events} events`);
});

test("the events of the longest ordinary stream pass in one turn, should they come at once", () => {
  const share = new TurnShare(DEFAULT_TURN_LIMITS);
  const { events, bytes } = runTurn(share, 200, 58 * 200);
  assert.is(events, 58);
  assert.is(bytes, 58 * 200);
});

test.run();
