/** Exit codes of the command-line tool, as docs/OPERATORS.md lists them. */

export const ExitCode = {
  Success: 0,
  /** Unknown command or option, or a missing argument. */
  UsageError: 1,
  /** A checked file has faults or cannot be read. */
  FaultsFound: 2,
  /** The daemon or gateway did not answer, or without the requested content. */
  DaemonFailed: 3,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
