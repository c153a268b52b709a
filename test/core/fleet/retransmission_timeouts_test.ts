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

/** Time that the host of the simulation takes for a datagram. */
const SERVICE_MS = 4;
/** Interval of new messages: the host is busy two thirds of the time. */
const ARRIVAL_MS = 6;
const SENDERS = 20;
const END_MS = 10_000;

/**
 * Simulates a host that handles datagrams one after the other, and starts with
 * the given work. Returns how many messages that were sent in the second half
 * were given up without an acknowledgement.
 */
function simulateBacklog(backlogMs: number): number {
  const senders = Array.from(
    { length: SENDERS },
    () => new RetransmissionTimeouts(),
  );
  const queue = new Map<number, (() => void)[]>();
  const schedule = (at: number, run: () => void): void => {
    const key = Math.ceil(at);
    queue.set(key, [...queue.get(key) ?? [], run]);
  };
  let busyUntil = backlogMs;
  let givenUp = 0;
  const deliver = (timeouts: RetransmissionTimeouts, sentAt: number): void => {
    const offsets = timeouts.listOffsets("host");
    let isAcknowledged = false;
    const transmit = (now: number, sendCount: number): void => {
      if (isAcknowledged) return;
      if (sendCount > 0) timeouts.recordTimeout("host", now);
      const offset = offsets[sendCount];
      if (offset === undefined) {
        isAcknowledged = true;
        if (sentAt >= END_MS / 2) givenUp += 1;
        return;
      }
      busyUntil = Math.max(now, busyUntil) + SERVICE_MS;
      const durationMs = busyUntil - now;
      schedule(busyUntil, () => {
        if (isAcknowledged) return;
        isAcknowledged = true;
        if (lastCount === 0) timeouts.recordRoundTrip("host", durationMs);
      });
      lastCount = sendCount;
      schedule(sentAt + offset, () => transmit(sentAt + offset, sendCount + 1));
    };
    let lastCount = 0;
    transmit(sentAt, 0);
  };
  for (let sent = 0; sent * ARRIVAL_MS < END_MS; sent += 1) {
    const sender = senders[sent % SENDERS] ?? new RetransmissionTimeouts();
    schedule(sent * ARRIVAL_MS, () => deliver(sender, sent * ARRIVAL_MS));
  }
  for (let now = 0; now <= END_MS; now += 1) {
    for (const run of queue.get(now) ?? []) run();
  }
  return givenUp;
}

test("retransmissions to a host that starts with a backlog do not keep it busy for good", () => {
  assert.is(simulateBacklog(500), 0);
});

test.run();
