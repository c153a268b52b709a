/** What follows an attempt, in a table of outcomes and kinds of request. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decideRetry,
  type RetryConditions,
} from "../../../src/core/execution/retry_decision.ts";

const BASE: RetryConditions = {
  outcome: "answered",
  repeatability: "idempotent",
  isResumable: false,
  possibleRuns: 1,
  maxAttempts: 2,
  totalAttempts: 1,
  remainingMs: 800,
};

const CASES: [string, Partial<RetryConditions>, boolean, string][] = [
  ["an answer is delivered", {}, true, "deliver"],
  [
    "a failure of an idempotent one is repeated",
    { outcome: "failed" },
    true,
    "tryAnother",
  ],
  ["without budget it is delivered", { outcome: "failed" }, false, "deliver"],
  [
    "after its attempts it is delivered",
    { outcome: "failed", possibleRuns: 2 },
    true,
    "deliver",
  ],
  [
    "a failure of a non-idempotent one is delivered",
    { outcome: "failed", repeatability: "nonIdempotent" },
    true,
    "deliver",
  ],
  [
    "a lost non-idempotent one may have run",
    { outcome: "lost", repeatability: "nonIdempotent" },
    true,
    "fail",
  ],
  [
    "a lost idempotent one is repeated",
    { outcome: "lost" },
    true,
    "tryAnother",
  ],
  [
    "a lost stream may have run",
    { outcome: "lost", repeatability: "stream" },
    true,
    "fail",
  ],
  [
    "a lost resumable stream goes on",
    { outcome: "lost", repeatability: "stream", isResumable: true },
    true,
    "tryAnother",
  ],
  [
    "a silent non-idempotent one may have run",
    { outcome: "silent", repeatability: "nonIdempotent" },
    true,
    "fail",
  ],
  [
    "one that was not run is tried elsewhere",
    { outcome: "notRun", repeatability: "nonIdempotent", possibleRuns: 0 },
    true,
    "tryAnother",
  ],
  [
    "without budget it is refused",
    { outcome: "notRun", possibleRuns: 0 },
    false,
    "refuse",
  ],
  [
    "what was not sent needs no budget",
    { outcome: "notSent", possibleRuns: 0 },
    false,
    "tryAnother",
  ],
  [
    "without time it is refused",
    { outcome: "notSent", possibleRuns: 0, remainingMs: 10 },
    true,
    "refuse",
  ],
  [
    "one that ran before is never called not run",
    { outcome: "notRun", possibleRuns: 1 },
    false,
    "fail",
  ],
  [
    "attempts of any kind are bounded",
    { outcome: "notSent", possibleRuns: 0, totalAttempts: 4 },
    true,
    "refuse",
  ],
];

for (const [name, part, hasBudget, verdict] of CASES) {
  test(name, () => {
    const decided = decideRetry({ ...BASE, ...part }, () => hasBudget);
    assert.is(decided.kind, verdict);
  });
}

test("a request that times out at its upstream is told from one that broke", () => {
  const part = { repeatability: "nonIdempotent" } as const;
  const decide = (outcome: "silent" | "lost") =>
    decideRetry({ ...BASE, ...part, outcome }, () => true);
  assert.equal(decide("silent"), { kind: "fail", isTimeout: true });
  assert.equal(decide("lost"), { kind: "fail", isTimeout: false });
});

test.run();
