/**
 * `npm run soak -- --seed N --runs K --seconds S`: injects random faults into
 * gateways that run as separate processes, and checks the invariants.
 */
import process from "node:process";
import sade from "sade";
import { runSoak } from "./soak_run.ts";

/**
 * Below the kernel's ephemeral ports and distinct from the ports of the tests.
 */
const DEFAULT_PORT = 31_000;

interface SoakOptions {
  seed: number;
  runs: number;
  seconds: number;
  port: number;
}

// Exits through process.exit, whose `exit` event kills the fleet's processes.
process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));

sade("soak", true)
  .describe("Checks the invariants of the gateway under random faults.")
  .option("--seed", "First seed", 1)
  .option("--runs", "Number of consecutive seeds to run", 1)
  .option("--seconds", "Duration of fault injection in each run", 20)
  .option(
    "--port",
    "First of four ports; differs between concurrent runs",
    DEFAULT_PORT,
  )
  .action(async (options: SoakOptions) => {
    let failedRuns = 0;
    for (let run = 0; run < options.runs; run += 1) {
      const seed = options.seed + run;
      const port = options.port + (run % 10) * 10;
      const report = await runSoak(seed, options.seconds * 1_000, port);
      console.log(
        `seed ${seed}: ${report.calls} calls, ${report.served} served, ${report.revoked} with revoked keys, ${report.quotas} lowered quotas, ${report.restored} after restores, ${report.violations.length} violations`,
      );
      if (report.violations.length === 0) continue;
      failedRuns += 1;
      console.log([...report.violations, ...report.trace].join("\n"));
    }
    process.exit(failedRuns === 0 ? 0 : 1);
  })
  .parse(process.argv);
