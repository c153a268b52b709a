/** `npm run soak -- --seed N --runs K --seconds S`: randomized faults from outside against real processes. */
import process from "node:process";
import sade from "sade";
import { runSoak } from "./soak_run.ts";

/** Below the ports that the kernel gives out, apart from those of the tests. */
const DEFAULT_PORT = 31_000;

interface SoakOptions {
  seed: number;
  runs: number;
  seconds: number;
  port: number;
}

// A run that is broken off ends its processes, too.
process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));

sade("soak", true)
  .describe("Checks the gateway's promises under drawn faults.")
  .option("--seed", "First seed", 1)
  .option("--runs", "Seeds to run, one after the other", 1)
  .option("--seconds", "Time of faults in a run", 20)
  .option(
    "--port",
    "First of four ports, for runs beside each other",
    DEFAULT_PORT,
  )
  .action(async (options: SoakOptions) => {
    let breached = 0;
    for (let run = 0; run < options.runs; run += 1) {
      const seed = options.seed + run;
      const port = options.port + (run % 10) * 10;
      const report = await runSoak(seed, options.seconds * 1_000, port);
      console.log(
        `seed ${seed}: ${report.calls} calls, ${report.served} served, ${report.breaches.length} breaches`,
      );
      if (report.breaches.length === 0) continue;
      breached += 1;
      console.log([...report.breaches, ...report.trace].join("\n"));
    }
    process.exit(breached === 0 ? 0 : 1);
  })
  .parse(process.argv);
