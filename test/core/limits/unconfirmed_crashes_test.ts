/** Crashes that nothing on the connection showed are confirmed later, once. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { UnconfirmedCrashes } from "../../../src/core/limits/unconfirmed_crashes.ts";

function createCrashes(ends: readonly [crashId: string, endedAt: number][]) {
  const crashes = new UnconfirmedCrashes<string>();
  const confirmed: string[] = [];
  for (const [crashId, endedAt] of ends) {
    crashes.add({
      upstream: crashId,
      crashId,
      fingerprint: `request at ${crashId}`,
      endedAt,
      confirm: () => confirmed.push(crashId),
    });
  }
  return { crashes, confirmed };
}

test("a run at an upstream that is back at once counts when the host list shows another process", () => {
  const { crashes, confirmed } = createCrashes([["a", 1_000], ["b", 1_000]]);
  crashes.confirmEnded(() => false, 1_500);
  assert.equal(confirmed, []);
  crashes.confirmEnded((upstream) => upstream === "a", 2_000);
  crashes.confirmEnded((upstream) => upstream === "a", 2_100);
  assert.equal(confirmed, ["a"]);
  assert.is(crashes.size, 1);
});

test("a run whose caller has left counts when another host saw the crash", () => {
  const { crashes, confirmed } = createCrashes([["a", 1_000], ["a", 1_100]]);
  crashes.confirmCrashes(new Set(["b"]), 1_200);
  crashes.confirmCrashes(new Set(["a"]), 1_300);
  assert.equal(confirmed, ["a", "a"]);
});

test("a crash long after the run does not count", () => {
  const { crashes, confirmed } = createCrashes([["a", 1_000]]);
  crashes.confirmCrashes(new Set(["a"]), 20_000);
  assert.equal(confirmed, []);
  assert.is(crashes.size, 0);
});

test("a second run of a request is known while the first waits for proof", () => {
  const { crashes } = createCrashes([["a", 1_000]]);
  assert.ok(crashes.hasRunOf("request at a"));
  assert.not.ok(crashes.hasRunOf("request at b"));
  crashes.confirmCrashes(new Set(["a"]), 1_100);
  assert.not.ok(crashes.hasRunOf("request at a"));
});

test("the number of runs that are kept is bounded", () => {
  const { crashes } = createCrashes(
    Array.from({ length: 5_000 }, (_, index) => [`a${index}`, index]),
  );
  assert.ok(crashes.size <= 1_000);
});

test.run();
