/**
 * Runs a fuzzer on a copy of the project into which a mutant is inserted, and
 * reads from its output whether it detects the mutant.
 */
import { spawn } from "node:child_process";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import type { Mutant } from "./mutants.ts";
import { Invariant } from "./oracle.ts";

/** Paths that the fuzzers need in a copy of the project. */
const COPIED_PATHS = [
  "src/core",
  "src/charts",
  "test/core",
  "test/fuzz",
  "package.json",
  "tsconfig.json",
];

/**
 * The unchanged core. The fuzzer must not report a violation in it; otherwise,
 * a violation in a mutant would prove nothing.
 */
export const BASELINE: Mutant = {
  name: "none",
  invariant: Invariant.Robustness,
  patches: [],
};

/**
 * Flags of the daemon fuzzer: shrinking and the trace are disabled, since only
 * the verdict is needed.
 */
const DAEMON_FLAGS = ["--whole", "--shrink", "0", "--lines", "0"];

/** Maximum number of seeds for the fuzzers of engine ownership. */
const MAX_OWNERSHIP_RUNS = 160;

/** Length of the output's end that is printed if a fuzzer ended early. */
const MAX_DETAIL_LENGTH = 300;

export type Verdict =
  | { kind: "caught"; run: number; invariant: string }
  | { kind: "missed" }
  /** The text to replace does not occur exactly once. */
  | { kind: "stale"; detail: string }
  /** The fuzzer did not start, or ended early; nothing was tested. */
  | { kind: "incomplete"; detail: string };

export interface MutantOptions {
  seed: number;
  runs: number;
}

/** Returns whether the fuzzer detects the mutant. */
export async function tryMutant(
  mutant: Mutant,
  options: MutantOptions,
): Promise<Verdict> {
  const folder = mkdtempSync(join(tmpdir(), "pistachiohatch-mutant-"));
  try {
    for (const path of COPIED_PATHS) {
      cpSync(path, join(folder, path), { recursive: true });
    }
    symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
    for (const patch of mutant.patches) {
      const path = join(folder, "src/core", patch.file);
      const parts = readFileSync(path, "utf8").split(patch.search);
      if (parts.length !== 2) {
        const found = `${parts.length - 1} times in ${patch.file}`;
        return { kind: "stale", detail: `search text found ${found}` };
      }
      writeFileSync(path, parts.join(patch.replacement));
    }
    return readVerdict(mutant, await runFuzzIn(folder, mutant, options));
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

function runFuzzIn(
  folder: string,
  mutant: Mutant,
  options: MutantOptions,
): Promise<string> {
  const flags = ["--seed", options.seed, "--runs", options.runs].map(String);
  const testFile = getTestFile(mutant);
  const program = testFile === undefined
    ? ["test/fuzz/main.ts", ...flags, ...DAEMON_FLAGS]
    : [testFile];
  const ownershipRuns = String(Math.min(options.runs, MAX_OWNERSHIP_RUNS));
  const child = spawn(process.execPath, ["--import", "tsx", ...program], {
    cwd: folder,
    stdio: ["ignore", "pipe", "pipe"],
    env: {
      ...process.env,
      TENURE_SEED: String(options.seed),
      TENURE_RUNS: ownershipRuns,
      SCHEDULE_SEED: String(options.seed),
      SCHEDULE_RUNS: ownershipRuns,
    },
  });
  let output = "";
  child.stdout.on("data", (chunk) => output += String(chunk));
  child.stderr.on("data", (chunk) => output += String(chunk));
  return new Promise((done) => child.once("close", () => done(output)));
}

/** Reads the verdict from the output of the mutant's fuzzer. */
export function readVerdict(mutant: Mutant, output: string): Verdict {
  if (getTestFile(mutant) !== undefined) {
    return readTestVerdict(mutant, output);
  }
  const found = /BREACH in run (\d+): (.+?): /.exec(output);
  if (!found) {
    return /seed \d+: \d+ runs in/.test(output)
      ? { kind: "missed" }
      : createIncomplete(output);
  }
  return { kind: "caught", run: Number(found[1]), invariant: found[2] ?? "" };
}

/**
 * Returns the test file of a mutant's fuzzer; undefined for the fuzzer of whole
 * daemons.
 */
function getTestFile(mutant: Mutant): string | undefined {
  if (mutant.usesTenureFuzzer) return "test/fuzz/tenure_fuzz_test.ts";
  return mutant.usesScheduleFuzzer
    ? "test/fuzz/restart_schedule_test.ts"
    : undefined;
}

/** Reads the result of a uvu test file that has one test for each seed. */
function readTestVerdict(mutant: Mutant, output: string): Verdict {
  const found = /FAIL\s+".+, seed (\d+)"/.exec(output);
  if (found) {
    return {
      kind: "caught",
      run: Number(found[1]),
      invariant: mutant.invariant,
    };
  }
  return /Passed:\s+[1-9]/.test(output)
    ? { kind: "missed" }
    : createIncomplete(output);
}

function createIncomplete(output: string): Verdict {
  return { kind: "incomplete", detail: output.slice(-MAX_DETAIL_LENGTH) };
}
