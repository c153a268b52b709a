/**
 * Entry point of `npm run bench -- <command>`: registers the commands and runs
 * one.
 */
import sade from "sade";
import { controlCommand } from "./control/control_command.ts";
import { envelopeCommand } from "./control/envelope_command.ts";
import { decideCommand } from "./decide/decide_command.ts";
import { startCommand } from "./start/start_command.ts";
import { wakeCommand } from "./control/wake_command.ts";
import { leasesCommand } from "./policy/leases_command.ts";
import { policyCommand } from "./policy/policy_command.ts";
import { lossesCommand } from "./losses/losses_command.ts";
import { placesCommand } from "./places/places_command.ts";
import { reportCommand } from "./report/report_command.ts";
import { relayCommand } from "./relay/relay_command.ts";
import { ticketsCommand } from "./tickets_command.ts";
import type { Subcommand, SubcommandArguments } from "./subcommand.ts";

const SUBCOMMANDS: readonly Subcommand[] = [
  policyCommand,
  leasesCommand,
  relayCommand,
  controlCommand,
  envelopeCommand,
  wakeCommand,
  startCommand,
  decideCommand,
  ticketsCommand,
  reportCommand,
  placesCommand,
  lossesCommand,
];

const program = sade("bench");
for (const subcommand of SUBCOMMANDS) {
  program.command(subcommand.name, subcommand.description);
  for (const option of subcommand.options) {
    program.option(option.flags, option.description, option.value);
  }
  program.action(async (options: SubcommandArguments) => {
    try {
      await subcommand.run(options);
    } catch (error) {
      console.error(error instanceof Error ? error.message : String(error));
      process.exitCode = 1;
    }
  });
}
program.parse(process.argv);
