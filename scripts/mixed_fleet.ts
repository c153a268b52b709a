/**
 * Runs the tests that start whole fleets with every second host on another
 * build: first the hosts of even index, then those of odd index. An upgrade one
 * host at a time passes through such fleets.
 */
import { spawn } from "node:child_process";
import { resolve } from "node:path";
import process from "node:process";
import sade from "sade";
import {
  OTHER_BUILD_VARIABLE,
  OTHER_PARITY_VARIABLE,
} from "./program_choice.ts";

/** Tests of daemons, then of gateways, as separate processes. */
const TESTS = ["test/processes/", "test/soak/soak_test", "fleet_restart_test"];

sade("mixed_fleet <otherBuild>", true)
  .describe("Runs the fleet tests with every second host on another build")
  .action(async (otherBuild: string) => {
    let hasFailed = false;
    for (const parity of ["0", "1"]) {
      console.log(`hosts of index ${parity} modulo 2 run ${otherBuild}`);
      const code = await runTests(resolve(otherBuild), parity);
      hasFailed ||= code !== 0;
    }
    process.exit(hasFailed ? 1 : 0);
  })
  .parse(process.argv);

function runTests(otherBuild: string, parity: string): Promise<number | null> {
  const child = spawn(
    process.execPath,
    ["--import", "tsx", "scripts/run_tests.ts", ...TESTS],
    {
      stdio: "inherit",
      env: {
        ...process.env,
        [OTHER_BUILD_VARIABLE]: otherBuild,
        [OTHER_PARITY_VARIABLE]: parity,
      },
    },
  );
  return new Promise((settle) => child.once("close", settle));
}
