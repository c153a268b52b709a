/** Repeats stay within a daemon's share of what all may spend. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RepeatAllowance } from "../../../src/core/limits/repeat_allowance.ts";

const OPTIONS = { ratio: 0.2, windowMs: 10_000, slack: 58 };

function spendAll(
  allowance: RepeatAllowance,
  daemons: number,
  now: number,
): number {
  let spent = 0;
  while (allowance.trySpend("s", daemons, now)) spent += 1;
  return spent;
}

test("nine daemons whose every request fails stay under the fleet's bound", () => {
  const requestsEach = 60;
  let repeats = 0;
  for (let daemon = 0; daemon < 9; daemon += 1) {
    const allowance = new RepeatAllowance(OPTIONS);
    for (let index = 0; index < requestsEach; index += 1) {
      allowance.recordArrival("s", index * 100);
    }
    repeats += spendAll(allowance, 9, 6_000);
  }
  const bound = OPTIONS.ratio * 9 * requestsEach + OPTIONS.slack;
  assert.ok(repeats > 0 && repeats <= bound, `${repeats} of ${bound}`);
});

test("services have an allowance each, and windows pass", () => {
  const allowance = new RepeatAllowance(OPTIONS);
  const first = spendAll(allowance, 9, 0);
  assert.ok(first > 0);
  assert.ok(allowance.trySpend("other", 9, 0));
  assert.is(spendAll(allowance, 9, 9_999), 0);
  assert.is(spendAll(allowance, 9, 10_000), first);
});

test.run();
