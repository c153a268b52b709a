/** Commands that validate files and need no daemon. */
import { readFileSync } from "node:fs";
import type { z } from "zod";
import { daemonSettingsSchema } from "../settings/daemon_settings.ts";
import { gatewaySettingsSchema } from "../settings/gateway_settings.ts";
import { parseTables, type TableFileFault } from "../settings/table_files.ts";
import { parseYamlAs } from "../settings/yaml_file.ts";
import { ExitCode } from "./exit_codes.ts";

/** Revision under which unpublished table files are checked. */
const PLACEHOLDER_REVISION = 1;

/** Checks table files as one revision; returns the exit code. */
export function checkTableFiles(
  fileNames: readonly string[],
  isJson: boolean,
): ExitCode {
  const files = [];
  for (const name of fileNames) {
    const text = readTextOrReport(name);
    if (text === undefined) return ExitCode.FaultsFound;
    files.push({ name, text });
  }
  const tables = parseTables(files, PLACEHOLDER_REVISION);
  if (tables.isErr()) return reportFaults(tables.error, isJson);
  const { customers, routes, pools } = tables.value;
  const counts = {
    customers: customers.length,
    routes: routes.length,
    pools: pools.length,
  };
  if (isJson) console.log(JSON.stringify({ valid: true, ...counts }));
  else {
    console.log(
      `Valid: ${counts.customers} customers, ${counts.routes} routes, ${counts.pools} pools`,
    );
  }
  return ExitCode.Success;
}

/** Checks a daemon's settings file; returns the exit code. */
export function checkSettingsFile(name: string, isJson: boolean): ExitCode {
  return checkFile(name, daemonSettingsSchema, (value) => value.id, isJson);
}

/** Checks a gateway's settings file; returns the exit code. */
export function checkGatewaySettingsFile(
  name: string,
  isJson: boolean,
): ExitCode {
  return checkFile(name, gatewaySettingsSchema, (value) => value.host, isJson);
}

function checkFile<Schema extends z.ZodType>(
  name: string,
  schema: Schema,
  getName: (value: z.infer<Schema>) => string,
  isJson: boolean,
): ExitCode {
  const text = readTextOrReport(name);
  if (text === undefined) return ExitCode.FaultsFound;
  const settings = parseYamlAs(text, schema);
  if (settings.isErr()) {
    const faults = settings.error.map((fault) => ({ file: name, ...fault }));
    return reportFaults(faults, isJson);
  }
  if (isJson) {
    console.log(JSON.stringify({ valid: true, settings: settings.value }));
  } else console.log(`Valid: settings of ${getName(settings.value)}`);
  return ExitCode.Success;
}

function reportFaults(
  faults: readonly TableFileFault[],
  isJson: boolean,
): ExitCode {
  if (isJson) console.log(JSON.stringify({ valid: false, faults }));
  else printFaults(faults);
  return ExitCode.FaultsFound;
}

function printFaults(faults: readonly TableFileFault[]): void {
  for (const fault of faults) {
    const location = [`${fault.file}:${fault.line}`, fault.path]
      .filter((part) => part !== "").join(": ");
    console.error(
      `${location}: expected ${fault.expected}, found ${fault.found}`,
    );
  }
}

function readTextOrReport(name: string): string | undefined {
  try {
    return readFileSync(name, "utf8");
  } catch (error) {
    console.error(
      `${name}: ${error instanceof Error ? error.message : String(error)}`,
    );
    return undefined;
  }
}
