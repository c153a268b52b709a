/** The form of one benchmark command; `main.ts` lists them. */

/** One flag of a command, as sade takes it. */
export interface SubcommandOption {
  flags: string;
  description: string;
  /** Value used when the flag is absent. */
  value?: string | boolean | number;
}

export type SubcommandArguments = Record<
  string,
  string | number | boolean | undefined
>;

export interface Subcommand {
  name: string;
  description: string;
  options: readonly SubcommandOption[];
  /** Runs the command; an error thrown ends the process with exit code 1. */
  run(options: SubcommandArguments): Promise<void> | void;
}
