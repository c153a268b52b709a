/**
 * `npm run fuzz:mutants`: applies each mutant to a copy of the project and
 * checks that the fuzzer detects it.
 */
import process from "node:process";
import sade from "sade";
import {
  BASELINE,
  type MutantOptions,
  tryMutant,
  type Verdict,
} from "./mutant_run.ts";
import { type Mutant, MUTANTS } from "./mutants.ts";

const DEFAULT_SEED = 1;
const DEFAULT_RUNS = 400;
const DEFAULT_PARALLEL = 3;
sade("fuzz:mutants", true)
  .option("--seed", "Seed from which the inputs are drawn", DEFAULT_SEED)
  .option(
    "--runs",
    "Maximum number of runs until a mutant must be caught",
    DEFAULT_RUNS,
  )
  .option("--only", "Test only mutants whose names contain this text", "")
  .option(
    "--parallel",
    "Number of mutants tested in parallel",
    DEFAULT_PARALLEL,
  )
  .action(async (flags: Record<string, unknown>) => {
    const options = {
      seed: Number(flags["seed"]),
      runs: Number(flags["runs"]),
    };
    const waiting = MUTANTS.filter((mutant) =>
      mutant.name.includes(String(flags["only"]))
    );
    for (const [baseline, seed] of listBaselines(waiting, options.seed)) {
      const seeded = { ...options, seed };
      const verdict = await tryMutant(baseline, seeded);
      if (verdict.kind === "missed") continue;
      console.log(`unchanged core: ${formatRow(baseline, verdict, seeded)}`);
      process.exitCode = 1;
      return;
    }
    let failures = 0;
    const runWorker = async (): Promise<void> => {
      for (let next = waiting.shift(); next; next = waiting.shift()) {
        const seeded = { ...options, seed: next.seed ?? options.seed };
        const verdict = await tryMutant(next, seeded);
        if (verdict.kind !== "caught") failures += 1;
        console.log(formatRow(next, verdict, seeded));
      }
    };
    const workers = Array.from(
      { length: Number(flags["parallel"]) },
      runWorker,
    );
    await Promise.all(workers);
    console.log(
      failures === 0 ? "all mutants caught" : `${failures} mutants not caught`,
    );
    process.exitCode = failures === 0 ? 0 : 1;
  })
  .parse(process.argv);

/**
 * Returns the unchanged core, for each fuzzer and each seed with which mutants
 * are tested.
 */
function listBaselines(
  mutants: readonly Mutant[],
  seed: number,
): [baseline: Mutant, seed: number][] {
  const seeds = new Set(
    mutants
      .filter((mutant) =>
        !mutant.usesTenureFuzzer && !mutant.usesScheduleFuzzer
      )
      .map((mutant) => mutant.seed ?? seed),
  );
  const baselines: [Mutant, number][] = [...seeds].map((mutantSeed) => [
    BASELINE,
    mutantSeed,
  ]);
  if (mutants.some((mutant) => mutant.usesTenureFuzzer)) {
    baselines.push([{ ...BASELINE, usesTenureFuzzer: true }, seed]);
  }
  if (mutants.some((mutant) => mutant.usesScheduleFuzzer)) {
    baselines.push([{ ...BASELINE, usesScheduleFuzzer: true }, seed]);
  }
  return baselines;
}

function formatRow(
  mutant: Mutant,
  verdict: Verdict,
  options: MutantOptions,
): string {
  const name = `${mutant.name.padEnd(52)} ${mutant.invariant.padEnd(50)}`;
  switch (verdict.kind) {
    case "caught": {
      const by = verdict.invariant === mutant.invariant
        ? ""
        : ` as a violation of: ${verdict.invariant}`;
      return `${name} caught in run ${verdict.run} of seed ${options.seed}${by}`;
    }
    case "stale":
      return `${name} STALE: ${verdict.detail}`;
    case "missed":
      return `${name} NOT CAUGHT in ${options.runs} runs`;
    case "incomplete":
      return `${name} NOT TESTED, the fuzzer ended early: ${verdict.detail}`;
  }
}
