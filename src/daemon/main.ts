#!/usr/bin/env node
/** Entry point of the daemon: validates the settings, starts, and stops on SIGTERM or SIGINT. */
import { readFileSync } from "node:fs";
import process from "node:process";
import sade from "sade";
import { daemonSettingsSchema } from "../settings/daemon_settings.ts";
import { VERSION } from "../settings/version.ts";
import { parseYamlAs } from "../settings/yaml_file.ts";
import { Daemon } from "./daemon.ts";
import { describeError, describeStep } from "./step_error.ts";

const EXIT_INVALID_SETTINGS = 2;
const EXIT_START_FAILED = 3;

sade("pistachiohatchd", true)
  .version(VERSION)
  .describe("Serves LoRA adapters to callers. Stops gracefully on SIGTERM.")
  .option("-s, --settings", "Settings file (YAML)", "pistachiohatchd.yaml")
  .action(async (options: { settings: string }) => {
    await run(options.settings);
  })
  .example("--settings examples/settings/pistachiohatchd.yaml")
  .parse(process.argv, {
    unknown: (option) => `Unknown option: ${option}`,
  });

async function run(settingsFile: string): Promise<void> {
  let text: string;
  try {
    text = readFileSync(settingsFile, "utf8");
  } catch (error) {
    console.error(`${settingsFile}: ${describeError(error)}`);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const settings = parseYamlAs(text, daemonSettingsSchema);
  if (settings.isErr()) {
    for (const fault of settings.error) {
      console.error(
        `${settingsFile}:${fault.line}: ${fault.path}: expected ${fault.expected}, found ${fault.found}`,
      );
    }
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const daemon = new Daemon(settings.value);
  let isStopping = false;
  const stop = async (): Promise<void> => {
    if (isStopping) return;
    isStopping = true;
    await daemon.stop();
    process.exit(0);
  };
  process.on("unhandledRejection", (error) => daemon.reportError(error));
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
  try {
    await daemon.start();
  } catch (error) {
    console.error(`pistachiohatchd: ${describeStep(error)}`);
    process.exit(EXIT_START_FAILED);
  }
}
