/**
 * Decisions after an attempt, by its outcome and the repeatability of the
 * request.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decideRetry,
  type RetryConditions,
} from "../../../src/core/execution/retry_decision.ts";

const BASE: RetryConditions = {
  outcome: "answered",
  impliesNotRun: false,
  hasResponseStamp: true,
  repeatability: "idempotent",
  isResumable: false,
  possibleRuns: 1,
  maxAttempts: 2,
  totalAttempts: 1,
  remainingMs: 800,
  isCrashSuspect: false,
};

const CASES: [string, Partial<RetryConditions>, boolean, string][] = [
  ["a response is delivered", {}, true, "deliver"],
  [
    "a failed idempotent request is retried",
    { outcome: "failed" },
    true,
    "tryAnother",
  ],
  [
    "a failure response is delivered if the retry budget is used up",
    { outcome: "failed" },
    false,
    "deliver",
  ],
  [
    "a failure response is delivered after the last attempt",
    { outcome: "failed", possibleRuns: 2 },
    true,
    "deliver",
  ],
  [
    "a failure response to a non-idempotent request is delivered",
    { outcome: "failed", repeatability: "nonIdempotent" },
    true,
    "deliver",
  ],
  // A caller that was told "not run" made a booking twice.
  ...(["answered", "failed"] as const).flatMap((outcome) =>
    [true, false].flatMap((hasResponseStamp): typeof CASES =>
      (["nonIdempotent", "stream"] as const).map((repeatability) => [
        `REFUSED: a ${outcome} ${repeatability} request gets no response that implies "not run", stamped: ${hasResponseStamp}`,
        { outcome, repeatability, impliesNotRun: true, hasResponseStamp },
        true,
        "withhold",
      ])
    )
  ),
  [
    'a failed idempotent request whose response implies "not run" is retried',
    { outcome: "failed", impliesNotRun: true, hasResponseStamp: false },
    true,
    "tryAnother",
  ],
  [
    'REFUSED: the last response to an idempotent request that implies "not run" without a stamp is withheld',
    { outcome: "failed", impliesNotRun: true, hasResponseStamp: false },
    false,
    "withhold",
  ],
  [
    "the last response to an idempotent request is delivered unchanged if it is stamped",
    { outcome: "failed", impliesNotRun: true },
    false,
    "deliver",
  ],
  [
    "the stamped response to a resumable stream is delivered unchanged",
    { impliesNotRun: true, repeatability: "stream", isResumable: true },
    true,
    "deliver",
  ],
  [
    "a lost non-idempotent request fails as one that may have run",
    { outcome: "lost", repeatability: "nonIdempotent" },
    true,
    "fail",
  ],
  [
    "a lost idempotent request that may have crashed its upstream is not retried",
    { outcome: "lost", isCrashSuspect: true },
    true,
    "fail",
  ],
  [
    "a lost idempotent request is retried",
    { outcome: "lost" },
    true,
    "tryAnother",
  ],
  [
    "a lost stream that is not resumable fails as one that may have run",
    { outcome: "lost", repeatability: "stream" },
    true,
    "fail",
  ],
  [
    "a lost resumable stream is retried",
    { outcome: "lost", repeatability: "stream", isResumable: true },
    true,
    "tryAnother",
  ],
  [
    "a timed out non-idempotent request fails as one that may have run",
    { outcome: "silent", repeatability: "nonIdempotent" },
    true,
    "fail",
  ],
  [
    "a request that was not run is tried on another upstream",
    { outcome: "notRun", repeatability: "nonIdempotent", possibleRuns: 0 },
    true,
    "tryAnother",
  ],
  [
    "a request that was not run is refused if the retry budget is used up",
    { outcome: "notRun", possibleRuns: 0 },
    false,
    "refuse",
  ],
  [
    "a request that was not sent needs no retry budget",
    { outcome: "notSent", possibleRuns: 0 },
    false,
    "tryAnother",
  ],
  [
    "a request that was not sent is refused if too little time remains",
    { outcome: "notSent", possibleRuns: 0, remainingMs: 10 },
    true,
    "refuse",
  ],
  [
    "a request that ran before is never reported as not run",
    { outcome: "notRun", possibleRuns: 1 },
    false,
    "fail",
  ],
  [
    "the total number of attempts is limited",
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

test("a failure distinguishes a timeout from a lost connection", () => {
  const part = { repeatability: "nonIdempotent" } as const;
  const decide = (outcome: "silent" | "lost") =>
    decideRetry({ ...BASE, ...part, outcome }, () => true);
  assert.equal(decide("silent"), { kind: "fail", isTimeout: true });
  assert.equal(decide("lost"), { kind: "fail", isTimeout: false });
});

test.run();
