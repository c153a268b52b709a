/**
 * `npm run fuzz -- --seed N --runs K [--path P]`: searches for violated
 * invariants and prints the command that reproduces a violation.
 */
import process from "node:process";
import { performance } from "node:perf_hooks";
import sade from "sade";
import { type FuzzResult, runFuzz } from "./fuzz_run.ts";

const DEFAULT_RUNS = 100;
const DEFAULT_SHRINK_RUNS = 300;
const TRACE_LINES = 400;

sade("fuzz", true)
  .option("--seed", "Seed from which the inputs are drawn", 1)
  .option("--runs", "Number of runs, each with a new fleet", DEFAULT_RUNS)
  .option("--path", "Path of a failing case, as printed with its violation")
  .option(
    "--shrink",
    "Maximum number of runs spent on shrinking",
    DEFAULT_SHRINK_RUNS,
  )
  .option(
    "--lines",
    "Number of lines printed from the end of the trace",
    TRACE_LINES,
  )
  .option(
    "--whole",
    "Never partition a failure domain's daemons if the engines ignore fencing",
    false,
  )
  .option("--counts", "Print the daemons' counters", false)
  .action((flags: Record<string, unknown>) => {
    const seed = Number(flags["seed"]);
    const startedAt = performance.now();
    const result = runFuzz({
      seed,
      runs: Number(flags["runs"]),
      maxShrinkRuns: Number(flags["shrink"]),
      keepsUnfencedDomainsConnected: flags["whole"] === true,
      ...(flags["path"] === undefined ? {} : { path: String(flags["path"]) }),
    });
    const seconds = (performance.now() - startedAt) / 1_000;
    if (flags["counts"] === true) printCounts(result);
    printResult(result, { seed, lines: Number(flags["lines"]) });
    console.log(`seed ${seed}: ${result.runs} runs in ${seconds.toFixed(1)} s`);
    process.exitCode = result.failure ? 1 : 0;
  })
  .parse(process.argv);

function printCounts(result: FuzzResult): void {
  for (const [name, count] of [...result.counts].sort()) {
    console.log(`${String(count).padStart(9)}  ${name}`);
  }
}

function printResult(
  result: FuzzResult,
  options: { seed: number; lines: number },
): void {
  const { failure } = result;
  if (!failure) return;
  const { trace } = failure;
  const from = Math.max(0, trace.length - options.lines);
  for (const line of trace.slice(from)) console.log(line);
  const { slots, checksFencing } = failure.input.traits;
  const fencing = checksFencing ? "checked" : "ignored";
  console.log(`engines with ${slots} slots, fencing ${fencing}`);
  console.log(
    `BREACH in run ${failure.foundInRun}: ${failure.violation.message}`,
  );
  console.log(
    `to reproduce: npm run fuzz -- --seed ${options.seed} --path ${failure.path} --runs 1`,
  );
}
