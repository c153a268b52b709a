/**
 * Permit releases that a network partition held up are sent again once the
 * owner is alive, until the permit expires.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PermitReleaseRetryQueue } from "../../../src/core/admission/permit_release_retry_queue.ts";

function createRelease(message: string, ownerId = "h", expiresAt = 10_000) {
  return { message, ownerId, expiresAt };
}

test("an undelivered release is due again once the owner is alive", () => {
  const queue = new PermitReleaseRetryQueue<string>();
  queue.recordSend(createRelease("a"), false, 0);
  assert.equal(queue.takeDue(() => true, 400), [], "sent a moment ago");
  assert.equal(queue.takeDue(() => false, 4_000), [], "owner not alive");
  assert.equal(queue.takeDue(() => true, 4_100), [createRelease("a")]);
  assert.equal(queue.takeDue(() => true, 9_000), [], "taken only once");
});

test("a release that fails again is queued again, a delivered one is not", () => {
  const queue = new PermitReleaseRetryQueue<string>();
  queue.recordSend(createRelease("a"), false, 0);
  const [release] = queue.takeDue(() => true, 600);
  if (!release) throw new Error("expected a release, got none");
  queue.recordSend(release, false, 700);
  assert.is(queue.takeDue(() => true, 1_300).length, 1);
  queue.recordSend(release, true, 1_400);
  assert.is(queue.takeDue(() => true, 5_000).length, 0);
});

test("a release is dropped once the owner has expired its permit", () => {
  const queue = new PermitReleaseRetryQueue<string>();
  queue.recordSend(createRelease("a", "h", 2_000), false, 0);
  queue.recordSend(createRelease("late", "h", 2_000), false, 2_500);
  assert.equal(queue.takeDue(() => true, 2_000), []);
});

test("releases to other owners are due meanwhile", () => {
  const queue = new PermitReleaseRetryQueue<string>();
  queue.recordSend(createRelease("a", "dead"), false, 0);
  queue.recordSend(createRelease("b", "alive"), false, 0);
  const release = queue.takeDue((id) => id === "alive", 600);
  assert.equal(release, [createRelease("b", "alive")]);
});

test.run();
