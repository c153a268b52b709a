/** The `explain-request` command: prints what gateways' logs say of one request. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { describeError } from "../daemon/step_error.ts";
import { ExitCode } from "./exit_codes.ts";
import {
  explainRefusals,
  formatRecord,
  type LogRecord,
  parseLogLine,
  selectRequestRecords,
} from "./request_trace.ts";

/**
 * Prints the records of gateways' logs related to a request and, as text, why it
 * got 401 or 429; returns the exit code.
 */
export async function printRequestTrace(
  requestId: string,
  fileNames: readonly string[],
  isJson: boolean,
): Promise<ExitCode> {
  const records: LogRecord[] = [];
  for (const name of fileNames) {
    try {
      records.push(...await readLog(name));
    } catch (error) {
      console.error(`${name}: ${describeError(error)}`);
      return ExitCode.FaultsFound;
    }
  }
  const selected = selectRequestRecords(records, requestId);
  if (selected.length === 0) {
    console.error(
      `Request ${requestId}: expected in ${
        fileNames.join(", ")
      }, found in none of ${records.length} log records`,
    );
    return ExitCode.FaultsFound;
  }
  for (const record of selected) {
    console.log(isJson ? JSON.stringify(record) : formatRecord(record));
  }
  if (!isJson) {
    for (const line of explainRefusals(records, requestId)) console.log(line);
  }
  return ExitCode.Success;
}

async function readLog(name: string): Promise<LogRecord[]> {
  const records: LogRecord[] = [];
  const lines = createInterface({ input: createReadStream(name) });
  for await (const line of lines) {
    const record = parseLogLine(line);
    if (record) records.push(record);
  }
  return records;
}
