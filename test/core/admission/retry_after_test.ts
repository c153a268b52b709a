/** Retry times with jitter, limited by the caller's remaining time. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeRetryAfterMs } from "../../../src/core/admission/retry_after.ts";

test("callers refused at the same moment get retry times spread over half of the wait", () => {
  const times = Array.from({ length: 200 }, (_, index) =>
    computeRetryAfterMs({
      requestId: `r${index}`,
      expectedWaitMs: 400,
      remainingMs: 9_000,
    }));
  assert.ok(Math.min(...times) >= 400);
  assert.ok(Math.max(...times) <= 600);
  const early = times.filter((time) => time < 500).length;
  assert.ok(early > 70 && early < 130, `${early} of 200 in the first half`);
});

test("the retry time is at most a third of the remaining time", () => {
  const time = computeRetryAfterMs({
    requestId: "r",
    expectedWaitMs: 5_000,
    remainingMs: 900,
  });
  assert.is(time, 300);
});

test.run();
