/**
 * A process that is behind worked through the oldest requests first and answered
 * nobody in time.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { IntakeQueue } from "../../../src/core/admission/intake_queue.ts";

const IN_TIME_MS = 0;
const LATE_MS = 1_000;

interface TurnOptions {
  isConnectionLeft?: boolean;
  /** Time that passing a request on takes. */
  releaseMs?: number;
}

/** Ends a turn; returns what is released and refused, marked with `-`. */
function endTurn(
  queue: IntakeQueue<string>,
  now: number,
  { isConnectionLeft = false, releaseMs = 1 }: TurnOptions = {},
): string[] {
  queue.endTurn(isConnectionLeft, now);
  const decisions: string[] = [];
  let time = now;
  for (
    let next = queue.takeNext(time);
    next;
    next = queue.takeNext(time)
  ) {
    decisions.push(next.kind === "release" ? next.item : `-${next.item}`);
    if (next.kind === "release") time += releaseMs;
  }
  return decisions;
}

test("a request is released after the turn in which its caller's close is read", () => {
  const queue = new IntakeQueue<string>();
  queue.add("a", IN_TIME_MS, 0);
  assert.equal(endTurn(queue, 1), []);
  assert.equal(endTurn(queue, 2), ["a"]);
});

test("a request whose caller leaves is not released", () => {
  const queue = new IntakeQueue<string>();
  queue.add("a", LATE_MS, 0);
  assert.ok(queue.remove("a"));
  assert.not(queue.remove("a"));
  endTurn(queue, 1);
  assert.equal(endTurn(queue, 2), []);
});

test("a process that is not behind releases in the order of arrival", () => {
  const queue = new IntakeQueue<string>();
  for (const item of ["a", "b", "c"]) queue.add(item, IN_TIME_MS, 0);
  endTurn(queue, 1);
  assert.equal(endTurn(queue, 2, { releaseMs: 20 }), ["a", "b", "c"]);
});

test("a process that is behind releases the newest first, a few a turn", () => {
  const queue = new IntakeQueue<string>();
  for (const item of ["a", "b", "c", "d"]) queue.add(item, LATE_MS, 0);
  endTurn(queue, 1);
  assert.equal(endTurn(queue, 2, { releaseMs: 5 }), ["d", "c"]);
  assert.equal(endTurn(queue, 20, { releaseMs: 50 }), ["b"]);
  assert.equal(endTurn(queue, 80), ["a"]);
});

test("a process that is behind reads on while connections are left, for a while", () => {
  const queue = new IntakeQueue<string>();
  queue.add("a", LATE_MS, 0);
  endTurn(queue, 1, { isConnectionLeft: true });
  queue.add("b", LATE_MS, 1);
  assert.equal(endTurn(queue, 2, { isConnectionLeft: true }), []);
  queue.add("c", LATE_MS, 50);
  assert.equal(endTurn(queue, 60, { isConnectionLeft: true }), []);
  // Time is over, though connections are left.
  assert.equal(
    endTurn(queue, 101, { isConnectionLeft: true, releaseMs: 20 }),
    ["c"],
  );
  // No connection is left.
  assert.equal(endTurn(queue, 130), ["b", "a"]);
});

test("connections that are left don't hold up a process that is not behind", () => {
  const queue = new IntakeQueue<string>();
  queue.add("a", IN_TIME_MS, 0);
  endTurn(queue, 1, { isConnectionLeft: true });
  assert.equal(endTurn(queue, 2, { isConnectionLeft: true }), ["a"]);
});

test("a request that the process does not get to is refused, not held", () => {
  const queue = new IntakeQueue<string>();
  for (const item of ["a", "b", "c"]) queue.add(item, LATE_MS, 0);
  endTurn(queue, 1);
  assert.equal(endTurn(queue, 100, { releaseMs: 60 }), ["c"]);
  assert.equal(endTurn(queue, 200, { releaseMs: 100 }), ["b", "-a"]);
});

test("under an overload the newest requests are released in time, the others refused in time", () => {
  const queue = new IntakeQueue<string>();
  const readAt = new Map<string, number>();
  const waitsMs: number[] = [];
  let released = 0;
  let refused = 0;
  let sequence = 0;
  // Each turn takes 40 ms, reads three requests and can pass on one.
  for (let now = 0; now < 10_000; now += 40) {
    for (let index = 0; index < 3; index += 1) {
      const item = `r${sequence += 1}`;
      readAt.set(item, now);
      queue.add(item, LATE_MS, now);
    }
    for (const each of endTurn(queue, now + 39, { releaseMs: 40 })) {
      if (each.startsWith("-")) refused += 1;
      else {
        released += 1;
        waitsMs.push(now + 39 - (readAt.get(each) ?? Number.NaN));
      }
    }
  }
  assert.ok(released >= 245, `${released} released`);
  assert.ok(Math.max(...waitsMs) <= 80, `waits ${Math.max(...waitsMs)} ms`);
  assert.ok(refused >= 450, `${refused} refused`);
  assert.ok(queue.size <= 25, `${queue.size} left`);
});

test.run();
