/** Interface of the benchmark commands that `main.ts` registers. */

/** One flag of a command, in the form that sade expects. */
export interface SubcommandOption {
  flags: string;
  description: string;
  /** Default value. */
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
  /** Runs the command; if it throws, the process ends with exit code 1. */
  run(options: SubcommandArguments): Promise<void> | void;
}
