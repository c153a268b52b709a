/**
 * A mutant counts as tested only if its fuzzer ran to the end, in a copy that
 * has all files that the fuzzers import.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BASELINE, readVerdict, tryMutant } from "./mutant_run.ts";

const TENURE_BASELINE = { ...BASELINE, usesTenureFuzzer: true as const };
const SCHEDULE_BASELINE = { ...BASELINE, usesScheduleFuzzer: true as const };
const NOT_STARTED = "Error [ERR_MODULE_NOT_FOUND]: Cannot find module";

test("all fuzzers run to the end in a copy of the unchanged project", async () => {
  const options = { seed: 1, runs: 1 };
  assert.equal(await tryMutant(TENURE_BASELINE, options), { kind: "missed" });
  assert.equal(await tryMutant(SCHEDULE_BASELINE, options), { kind: "missed" });
  assert.equal(await tryMutant(BASELINE, options), { kind: "missed" });
});

test("a fuzzer that does not start is neither a mutant that is not caught nor a baseline that passes", () => {
  for (const mutant of [BASELINE, TENURE_BASELINE, SCHEDULE_BASELINE]) {
    assert.is(readVerdict(mutant, NOT_STARTED).kind, "incomplete");
    assert.is(readVerdict(mutant, "").kind, "incomplete");
  }
});

test("a violation is read as caught, a run without one as missed", () => {
  assert.equal(
    readVerdict(TENURE_BASELINE, '   FAIL  "holders keep the rules, seed 7"'),
    { kind: "caught", run: 7, invariant: BASELINE.invariant },
  );
  assert.equal(
    readVerdict(SCHEDULE_BASELINE, '   FAIL  "two hosts keep them, seed 8"'),
    { kind: "caught", run: 8, invariant: BASELINE.invariant },
  );
  assert.equal(
    readVerdict(TENURE_BASELINE, "  Total:     4\n  Passed:    4"),
    { kind: "missed" },
  );
  assert.equal(
    readVerdict(BASELINE, "seed 1: 30 runs in 2.0 s"),
    { kind: "missed" },
  );
});

test.run();
