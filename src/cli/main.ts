#!/usr/bin/env node
/** Entry point of the operators' command-line tool. */
import process from "node:process";
import sade from "sade";
import { VERSION } from "../settings/version.ts";
import {
  checkGatewaySettingsFile,
  checkSettingsFile,
  checkTableFiles,
} from "./check_commands.ts";
import {
  printExplanation,
  printRoutes,
  printStatus,
} from "./daemon_commands.ts";
import { ExitCode } from "./exit_codes.ts";
import { printGatewayStatus } from "./gateway_status_command.ts";
import { printRequestTrace } from "./explain_request_command.ts";
import { watchDaemon } from "./watch_command.ts";

interface DaemonOptions {
  daemon: string;
  json: boolean;
}

const program = sade("pistachiohatch");

program
  .version(VERSION)
  .option("--json", "Print JSON, one value per line", false)
  .option(
    "--daemon",
    "Address of the daemon's operators' port",
    "127.0.0.1:7903",
  );

program
  .command("check <tables>")
  .describe("Check one or more table files as one revision.")
  .example("check examples/tables/routes.yaml examples/tables/pools.yaml")
  .action((first: string, options: { _: string[]; json: boolean }) => {
    process.exitCode = checkTableFiles([first, ...options._], options.json);
  });

program
  .command("check-settings <file>")
  .describe("Check a daemon's settings file.")
  .example("check-settings examples/settings/pistachiohatchd.yaml")
  .action((file: string, options: { json: boolean }) => {
    process.exitCode = checkSettingsFile(file, options.json);
  });

program
  .command("check-gateway-settings <file>")
  .describe("Check a gateway's settings file.")
  .example("check-gateway-settings examples/settings/gateway.yaml")
  .action((file: string, options: { json: boolean }) => {
    process.exitCode = checkGatewaySettingsFile(file, options.json);
  });

program
  .command("status")
  .describe(
    "Show one daemon: revisions, peers, owned upstreams, leases, queues.",
  )
  .example("status")
  .example("status --daemon 10.0.0.5:7903 --json")
  .action(async (options: DaemonOptions) => {
    process.exitCode = await printStatus(options.daemon, options.json);
  });

program
  .command("routes")
  .describe("List the routes in force at one daemon.")
  .example("routes --json")
  .action(async (options: DaemonOptions) => {
    process.exitCode = await printRoutes(options.daemon, options.json);
  });

program
  .command("explain <route>")
  .describe(
    "Show the upstreams that a request on the route would use now, best first.",
  )
  .example("explain briefing")
  .action(async (route: string, options: DaemonOptions) => {
    process.exitCode = await printExplanation(
      options.daemon,
      route,
      options.json,
    );
  });

program
  .command("gateway-status <metrics>")
  .describe("Show one gateway's gauges and counters, from its metrics address.")
  .example("gateway-status 10.0.0.5:9464")
  .action(async (metrics: string, options: { json: boolean }) => {
    process.exitCode = await printGatewayStatus(metrics, options.json);
  });

program
  .command("explain-request <id> <log>")
  .describe(
    "Show the log records of one or more gateways related to a request and its upstreams.",
  )
  .example("explain-request 9c41d07be2a35f68 host-1.log host-2.log")
  .action(
    async (
      id: string,
      log: string,
      options: { _: string[]; json: boolean },
    ) => {
      const files = [log, ...options._];
      process.exitCode = await printRequestTrace(id, files, options.json);
    },
  );

program
  .command("watch")
  .describe("Print one line of status per interval until interrupted.")
  .option("--interval-ms", "Time between lines", 1_000)
  .option("--count", "Number of lines to print; 0 for no limit", 0)
  .example("watch --interval-ms 500 --count 10")
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

// sade reports a missing command as an error; the help is printed instead.
const hasArguments = process.argv.length > 2;
if (!hasArguments) {
  program.help();
  process.exit(ExitCode.UsageError);
}
// sade handles `--help`, `--version` and usage errors itself and exits with 0 or 1.
const parsed = program.parse(process.argv, {
  lazy: true,
  unknown: (option) => `Unknown option: ${option}`,
});
if (parsed) await parsed.handler.apply(null, parsed.args);
