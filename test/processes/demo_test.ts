/**
 * Runs the demo, which guards the path from caller to engine across separate
 * processes.
 */
import { spawnSync } from "node:child_process";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("the demo passes every step", () => {
  const run = spawnSync(process.execPath, [
    "--import",
    "tsx",
    "scripts/demo.ts",
  ], { encoding: "utf8" });
  assert.is(run.status, 0, run.stdout + run.stderr);
  assert.match(run.stdout, "Demo passed");
});

test.run();
