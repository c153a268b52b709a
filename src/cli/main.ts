#!/usr/bin/env node
/** The operators' command-line tool. */
import process from "node:process";
import sade from "sade";
import { checkSettingsFile, checkTableFiles } from "./check_commands.ts";
import {
  printExplanation,
  printRoutes,
  printStatus,
} from "./daemon_commands.ts";
import { watchDaemon } from "./watch_command.ts";

/** Exit codes: 0 done, 1 the check found faults or the daemon did not answer, 2 wrong use. */
const EXIT_USAGE = 2;

interface DaemonOptions {
  daemon: string;
  json: boolean;
}

const program = sade("pistachiohatch");

program
  .version("0.1.0")
  .option("--json", "Print JSON", false)
  .option("--daemon", "Operators' address of a daemon", "127.0.0.1:7903");

program
  .command("check <tables>")
  .describe("Check table files as one revision. More files may follow.")
  .example("check examples/routes.yaml examples/pools.yaml")
  .action((first: string, options: { _: string[]; json: boolean }) => {
    process.exitCode = checkTableFiles([first, ...options._], options.json);
  });

program
  .command("check-settings <file>")
  .describe("Check a daemon's settings file.")
  .action((file: string, options: { json: boolean }) => {
    process.exitCode = checkSettingsFile(file, options.json);
  });

program
  .command("status")
  .describe(
    "Show one daemon: revisions, peers, owned upstreams, leases, queues.",
  )
  .action(async (options: DaemonOptions) => {
    process.exitCode = await printStatus(options.daemon, options.json);
  });

program
  .command("routes")
  .describe("List the routes in force at one daemon.")
  .action(async (options: DaemonOptions) => {
    process.exitCode = await printRoutes(options.daemon, options.json);
  });

program
  .command("explain <route>")
  .describe(
    "Show which upstreams a request on the route would go to now, best first.",
  )
  .action(async (route: string, options: DaemonOptions) => {
    process.exitCode = await printExplanation(
      options.daemon,
      route,
      options.json,
    );
  });

program
  .command("watch")
  .describe("Print a line of status each interval until interrupted.")
  .option("--interval-ms", "Time between lines", 1_000)
  .option("--count", "Lines to print; 0 for no end", 0)
  .action(
    async (
      options: DaemonOptions & { "interval-ms": number; count: number },
    ) => {
      process.exitCode = await watchDaemon(options.daemon, {
        intervalMs: options["interval-ms"],
        count: options.count,
        isJson: options.json,
      });
    },
  );

const parsed = program.parse(process.argv, { lazy: true });
if (!parsed) process.exit(process.argv.length > 2 ? 0 : EXIT_USAGE);
await parsed.handler.apply(null, parsed.args);
