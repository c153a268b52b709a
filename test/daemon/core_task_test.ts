/** The task that owns the core tells it of pauses that the monotonic clock does not count. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DEFAULT_CORE_SETTINGS } from "../../src/core/core_settings.ts";
import { createBus } from "../../src/daemon/bus.ts";
import { CoreTask } from "../../src/daemon/core_task.ts";
import { createLogger } from "../../src/daemon/logger.ts";

/** Counts the pauses that a daemon detects whose wall clock jumps once. */
async function countPauses(jumpMs: number): Promise<number> {
  const bus = createBus();
  let pauses = 0;
  bus.on("count", ({ counter }) => {
    if (counter === "pause_detected") pauses += 1;
  });
  const task = new CoreTask({
    selfId: "entry-1",
    incarnation: "i1",
    failureDomain: "a",
    settings: DEFAULT_CORE_SETTINGS,
    seedHosts: [],
    ticketSecret: new Uint8Array(32),
    bus,
    logger: createLogger("core-task-test", "error"),
    tickIntervalMs: 60_000,
  });
  const dateNow = Date.now;
  try {
    await bus.emit("event", { kind: "tick" });
    Date.now = () => dateNow() + jumpMs;
    await bus.emit("event", { kind: "tick" });
    await bus.emit("event", { kind: "tick" });
  } finally {
    Date.now = dateNow;
    task.stop();
  }
  return pauses;
}

test("a suspension that the monotonic clock does not count expires leases and ownership", async () => {
  assert.is(await countPauses(5_000), 1);
});

test("a step back of the wall clock does not hide a suspension", async () => {
  assert.is(await countPauses(-2_800), 1);
});

test("clocks that differ by less than the threshold of a pause are no pause", async () => {
  assert.is(await countPauses(500), 0);
});

test.run();
