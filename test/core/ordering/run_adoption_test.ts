/** A new holder and what the daemons tell it of their runs. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunAdoption } from "../../../src/core/ordering/run_adoption.ts";

test("it is complete once every daemon has told of all its runs, in any order", () => {
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

test("where not all daemons are known it never is", () => {
  const adoption = new RunAdoption();
  assert.not(adoption.isComplete());
  adoption.begin(undefined);
  adoption.recordReported("a", 0, 0);
  assert.not(adoption.isComplete());
});

test("a new holder starts anew", () => {
  const adoption = new RunAdoption();
  adoption.begin(["a"]);
  adoption.recordReported("a", 0, 0);
  adoption.begin(["a"]);
  assert.not(adoption.isComplete());
});

test.run();
