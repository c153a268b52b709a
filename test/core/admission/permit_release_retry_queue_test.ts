/**
 * Permit releases that a network partition held up are sent again once the
 * owner is alive, until the permit expires.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PermitReleaseRetryQueue } from "../../../src/core/admission/permit_release_retry_queue.ts";

function createDue(message: string, ownerId = "h", expiresAt = 10_000) {
  return { message, ownerId: ownerId, expiresAt };
}

test("a return that was not delivered is due again once its holder is heard", () => {
  const returns = new PermitReleaseRetryQueue<string>();
  returns.recordSend(createDue("a"), false, 0);
  assert.equal(returns.takeDue(() => true, 400), [], "just sent");
  assert.equal(returns.takeDue(() => false, 4_000), [], "not heard");
  assert.equal(returns.takeDue(() => true, 4_100), [createDue("a")]);
  assert.equal(returns.takeDue(() => true, 9_000), [], "given out once");
});

test("one that fails again is kept again, one that arrives is not", () => {
  const returns = new PermitReleaseRetryQueue<string>();
  returns.recordSend(createDue("a"), false, 0);
  const [due] = returns.takeDue(() => true, 600);
  if (!due) throw new Error("expected a return, got none");
  returns.recordSend(due, false, 700);
  assert.is(returns.takeDue(() => true, 1_300).length, 1);
  returns.recordSend(due, true, 1_400);
  assert.is(returns.takeDue(() => true, 5_000).length, 0);
});

test("a return whose permit the holder has taken back by itself is dropped", () => {
  const returns = new PermitReleaseRetryQueue<string>();
  returns.recordSend(createDue("a", "h", 2_000), false, 0);
  returns.recordSend(createDue("late", "h", 2_000), false, 2_500);
  assert.equal(returns.takeDue(() => true, 2_000), []);
});

test("returns to others are due meanwhile", () => {
  const returns = new PermitReleaseRetryQueue<string>();
  returns.recordSend(createDue("a", "deaf"), false, 0);
  returns.recordSend(createDue("b", "heard"), false, 0);
  const due = returns.takeDue((id) => id === "heard", 600);
  assert.equal(due, [createDue("b", "heard")]);
});

test.run();
