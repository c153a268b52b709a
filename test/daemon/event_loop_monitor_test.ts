/** How long input can have lain unread, in a process that stands still. */
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MAX_TURN_GAP_MS } from "../../src/core/admission/read_delay.ts";
import {
  EventLoopMonitor,
  InputKind,
} from "../../src/daemon/event_loop_monitor.ts";

const STALL_MS = 600;
/** Time by which the delay may fall short of the stall. */
const RESOLUTION_MS = 2 * MAX_TURN_GAP_MS;

for (const kind of Object.values(InputKind)) {
  test(`a stall is missing from the delay of the ${kind} that is read after it`, async () => {
    const monitor = new EventLoopMonitor(performance.now());
    // Long enough that turns of the event loop have been observed.
    await sleep(4 * MAX_TURN_GAP_MS);
    const endsAt = performance.now() + STALL_MS;
    while (performance.now() < endsAt);
    const delayMs = monitor.recordInput(kind, performance.now());
    await sleep(4 * MAX_TURN_GAP_MS);
    monitor.stop();
    assert.ok(delayMs >= STALL_MS - RESOLUTION_MS, `${delayMs} ms`);
    assert.ok(monitor.takeLongestDelayMs() >= delayMs);
  });
}

test("the delay of connections that wait ends with the first that is accepted", async () => {
  const monitor = new EventLoopMonitor(performance.now());
  await sleep(4 * MAX_TURN_GAP_MS);
  const endsAt = performance.now() + STALL_MS;
  while (performance.now() < endsAt);
  const delaysMs: number[] = [];
  for (let turn = 0; turn < 5; turn += 1) {
    const now = performance.now();
    delaysMs.push(monitor.recordInput(InputKind.Connection, now));
    await new Promise((resolve) => setImmediate(resolve));
  }
  monitor.stop();
  assert.ok(Math.min(...delaysMs) >= STALL_MS - RESOLUTION_MS, `${delaysMs}`);
});

test.run();
