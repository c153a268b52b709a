/** Retransmission time-outs follow the round-trip time of each peer. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetransmissionTimeouts } from "../../../src/core/fleet/retransmission_timeouts.ts";

test("a peer without samples, or a fast one, gets the shortest time-outs", () => {
  const timeouts = new RetransmissionTimeouts();
  assert.equal(timeouts.listOffsets("a"), [25, 60, 120, 250]);
  for (let count = 0; count < 20; count += 1) timeouts.recordRoundTrip("a", 3);
  assert.equal(timeouts.listOffsets("a"), [25, 60, 120, 250]);
});

test("a peer that answers after 80 ms is not sent everything twice", () => {
  const timeouts = new RetransmissionTimeouts();
  let now = 0;
  let repeats = 0;
  for (let count = 0; count < 50; count += 1) {
    const offsets = timeouts.listOffsets("a").filter((each) => each < 80);
    for (const offset of offsets) timeouts.recordTimeout("a", now + offset);
    if (offsets.length === 0) timeouts.recordRoundTrip("a", 80);
    repeats += offsets.length;
    now += 100;
  }
  assert.ok(repeats <= 5, `${repeats} repeats of 50 messages`);
});

test("the loss of one message does not slow down those after the next answer", () => {
  const timeouts = new RetransmissionTimeouts();
  timeouts.recordRoundTrip("a", 3);
  timeouts.recordTimeout("a", 25);
  assert.is(timeouts.getTimeoutMs("a"), 50);
  assert.is(timeouts.getTimeoutMs("b"), 25);
  timeouts.recordRoundTrip("a", 3);
  assert.is(timeouts.getTimeoutMs("a"), 25);
});

test("messages on the way together to a dead peer count as one time-out", () => {
  const timeouts = new RetransmissionTimeouts();
  for (let count = 0; count < 10; count += 1) {
    timeouts.recordTimeout("a", 25 + count);
  }
  assert.is(timeouts.getTimeoutMs("a"), 50);
});

test("a peer is given up after 1.6 s at most, however slow", () => {
  const timeouts = new RetransmissionTimeouts();
  for (let now = 0; now < 10_000; now += 200) timeouts.recordTimeout("a", now);
  timeouts.recordRoundTrip("b", 5_000);
  assert.is(timeouts.listOffsets("a").at(-1), 1_600);
  assert.is(timeouts.listOffsets("b").at(-1), 1_600);
  timeouts.recordRoundTrip("a", 2);
  assert.is(timeouts.getTimeoutMs("a"), 25);
});

test.run();
