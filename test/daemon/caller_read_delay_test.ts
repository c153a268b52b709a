/** How long a request waited, of which its connection's accepting is a part. */
import { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerReadDelay } from "../../src/daemon/caller_read_delay.ts";
import { InputKind } from "../../src/daemon/event_loop_monitor.ts";

/** Creates a delay whose event loop has the given delays from now on. */
function createDelay(
  delaysMs: Partial<Record<InputKind, number>>,
): CallerReadDelay {
  return new CallerReadDelay({
    recordInput: (kind) => delaysMs[kind] ?? 0,
  });
}

test("a stall counts twice for a request whose connection is accepted after it", () => {
  const delaysMs = { [InputKind.Connection]: 900, [InputKind.Bytes]: 900 };
  const delay = createDelay(delaysMs);
  const socket = new Socket();
  delay.recordAccept(socket, 5_000);
  assert.is(delay.takeMaxDelayMs(socket, 5_004), 904);
});

test("the wait of a connection is missing from its request that is read a turn later", () => {
  const delay = createDelay({ [InputKind.Connection]: 2_000 });
  const socket = new Socket();
  delay.recordAccept(socket, 5_000);
  assert.is(delay.takeMaxDelayMs(socket, 5_020), 2_000);
  assert.is(delay.takeMaxDelayMs(socket, 5_030), 0);
});

test("the wait of a connection counts for a request that its caller sent later", () => {
  const delay = createDelay({ [InputKind.Connection]: 2_000 });
  const socket = new Socket();
  delay.recordAccept(socket, 5_000);
  assert.is(delay.takeMaxDelayMs(socket, 6_000), 0);
});

test.run();
