/**
 * `bench losses`: reads the log of the gateways and counts the outcomes of
 * their requests, with the step that made the late ones late.
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { type LogRecord, parseLogLine } from "../../src/cli/request_trace.ts";
import type { Subcommand, SubcommandArguments } from "../subcommand.ts";
import {
  countOutcomes,
  formatOutcomeRow,
  sumByRoute,
} from "./request_losses.ts";

export const lossesCommand: Subcommand = {
  name: "losses",
  description: "What became of the requests of a log, by route and second",
  options: [
    { flags: "--log", description: "File with gateways' log lines" },
    { flags: "--route", description: "Print this route second by second" },
  ],
  run: async (options: SubcommandArguments) => {
    const rows = countOutcomes(await readLog(String(options.log)));
    const selectedRows = options.route === undefined
      ? sumByRoute(rows)
      : rows.filter((row) => row.route === options.route);
    for (const row of selectedRows) console.log(formatOutcomeRow(row));
  },
};

async function readLog(file: string): Promise<LogRecord[]> {
  const records: LogRecord[] = [];
  const lines = createInterface({ input: createReadStream(file) });
  for await (const line of lines) {
    const record = parseLogLine(line);
    if (record) records.push(record);
  }
  return records;
}
