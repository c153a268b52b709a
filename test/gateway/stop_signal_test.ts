/**
 * The gateway's process ended at a second stop signal, or at the end of the
 * grace period, with requests that had no answer.
 */
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ScriptedAnswer } from "../../fakes/scripted_answer.ts";
import { waitMs } from "../../src/gateway/wait.ts";
import { GatewayHarness, GRACE_MS } from "./gateway_harness.ts";
import { GatewayProcess } from "./gateway_process.ts";

const harness = new GatewayHarness();
let gateway: GatewayProcess;
/** Longer than the grace period. */
const LONG_TIMEOUT_MS = 9_000;

test.before(async () => {
  harness.routeOverrides = { unsafe: { timeout_ms: LONG_TIMEOUT_MS } };
  await harness.start({ gateways: 0, engines: 1, services: 1 });
  gateway = await GatewayProcess.start(harness);
});
test.after(async () => {
  gateway.stop();
  await harness.stop();
});

const SERVED: ScriptedAnswer = {
  framing: "length",
  body: "whole",
  delayMs: 1_500,
  end: "keep",
};

test("a second stop signal, or the end of the grace, ends the process before its requests have answers", async () => {
  harness.scriptAnswers("served", [SERVED]);
  harness.scriptAnswers("left", [{ ...SERVED, delayMs: LONG_TIMEOUT_MS }]);
  const [served, left] = ["served", "left"].map((id) =>
    harness.callRaw("/unsafe/1", {
      id,
      httpVersion: "1.1",
      headers: { "X-Deadline-Ms": String(LONG_TIMEOUT_MS) },
    })
  );
  await harness.waitFor(() => harness.countRuns("left") === 1);
  const signalAt = performance.now();
  const exit = once(gateway.child, "exit");
  gateway.signal("SIGTERM");
  await waitMs(300);
  gateway.signal("SIGTERM");
  assert.equal(await exit, [0, null]);
  assert.ok(performance.now() - signalAt < GRACE_MS);
  assert.is((await served)?.status, 200);
  assert.is((await left)?.status, 504);
});

test.run();
