/** A new owner and the runs that the daemons report to it. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunAdoption } from "../../../src/core/ordering/run_adoption.ts";

test("adoption is complete once every daemon has reported all its runs, in any order", () => {
  const adoption = new RunAdoption();
  adoption.begin(["a", "b"]);
  adoption.recordReported("a", 0, 0);
  assert.not(adoption.isComplete());
  adoption.recordReported("b", 2, 8);
  adoption.recordReported("stranger", 0, 0);
  assert.not(adoption.isComplete());
  adoption.recordReported("b", 6, 8);
  assert.ok(adoption.isComplete());
});

test("adoption is never complete if not all daemons are known", () => {
  const adoption = new RunAdoption();
  assert.not(adoption.isComplete());
  adoption.begin(undefined);
  adoption.recordReported("a", 0, 0);
  assert.not(adoption.isComplete());
});

test("beginning a new adoption discards earlier reports", () => {
  const adoption = new RunAdoption();
  adoption.begin(["a"]);
  adoption.recordReported("a", 0, 0);
  adoption.begin(["a"]);
  assert.not(adoption.isComplete());
});

test.run();
