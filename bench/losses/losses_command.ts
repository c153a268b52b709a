/** `bench losses`: from a gateways' log, what became of the requests and by which step they were lost. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { type LogRecord, parseLogLine } from "../../src/cli/request_trace.ts";
import type { Subcommand, SubcommandArguments } from "../subcommand.ts";
import { countLosses, formatLossRow, sumByRoute } from "./request_losses.ts";

export const lossesCommand: Subcommand = {
  name: "losses",
  description: "What became of the requests of a log, by route and second",
  options: [
    { flags: "--log", description: "File with gateways' log lines" },
    { flags: "--route", description: "Print this route second by second" },
  ],
  run: async (options: SubcommandArguments) => {
    const rows = countLosses(await readLog(String(options.log)));
    const chosen = options.route === undefined
      ? sumByRoute(rows)
      : rows.filter((row) => row.route === options.route);
    for (const row of chosen) console.log(formatLossRow(row));
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
