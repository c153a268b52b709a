/**
 * `bench report`: writes an HTML page of the journal of benchmark runs and of
 * the reports of single days.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { basename, dirname } from "node:path";
import { readDayReport, readJournal } from "../../platform/bench_records.ts";
import type { Subcommand, SubcommandArguments } from "../subcommand.ts";
import { formatReportPage } from "./report_page.ts";

export const reportCommand: Subcommand = {
  name: "report",
  description: "Worth by commit from the journal, and single days in full",
  options: [
    { flags: "--journal", description: "Folder", value: "journal" },
    { flags: "--days", description: "Reports of days, with commas between" },
    { flags: "--out", description: "Page", value: "target/report.html" },
  ],
  run: (options: SubcommandArguments) => {
    const runs = readJournal(String(options.journal));
    const files = String(options.days ?? "").split(",").filter(Boolean);
    const days = files.map((file) =>
      readDayReport(file, basename(file, ".json"))
    );
    const out = String(options.out);
    mkdirSync(dirname(out), { recursive: true });
    writeFileSync(out, formatReportPage(runs, days));
    console.log(`${runs.length} runs, ${days.length} days: ${out}`);
  },
};
