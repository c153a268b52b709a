/** The report of benchmark days: reads the stored records and draws them. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  formatHistoryChart,
  formatOutcomeChart,
  formatReportPage,
} from "../../../bench/report/report_page.ts";
import { readDayReport, readJournal } from "../../../platform/bench_records.ts";

const SHARES = {
  name: "safe & sound",
  n: 10,
  in_aim: 5,
  late: 2,
  refused: 2,
  failed: 1,
  worth: 0.56,
};

function createEntry(at: string, worth: number | null): object {
  return {
    at: [at],
    why: "a try",
    head: "0123456789",
    dirty: true,
    site: "site-a",
    days: [{ name: "day-1", G: worth }],
  };
}

function useTempFolder(run: (folder: string) => void): void {
  const folder = mkdtempSync(join(tmpdir(), "pistachiohatch-report-"));
  try {
    run(folder);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test("reads the journal oldest first and leaves out days without a score", () => {
  useTempFolder((folder) => {
    const writeRecord = (name: string, value: object) =>
      writeFileSync(join(folder, name), JSON.stringify(value));
    writeRecord("2-b.json", createEntry("later", null));
    writeRecord("1-a.json", createEntry("earlier", 0.5));
    assert.equal(
      readJournal(folder).map((run) => [run.startedAt, run.days]),
      [["earlier", [{ name: "day-1", worth: 0.5 }]], ["later", []]],
    );
    writeRecord("3-c.json", { at: [] });
    assert.throws(() => readJournal(folder), /3-c\.json/);
  });
});

test("draws a day with its prices and outcomes, and escapes names", () => {
  useTempFolder((folder) => {
    const file = join(folder, "day.json");
    writeFileSync(
      file,
      JSON.stringify({
        G: 0.4,
        parts: [["whole day", 0.44, 0.56]],
        prices: [["calls", 12, 0.02], ["nothing", 0, 0]],
        classes: [SHARES],
        zones: [SHARES],
        windows: [{ ...SHARES, worth: null }],
      }),
    );
    const day = readDayReport(file, "day");
    assert.is(day.kinds[0]?.inObjective, 5);
    assert.is(day.spans[0]?.worth, 0);
    const page = formatReportPage([], [day]);
    assert.match(page, "calls (12)");
    assert.not.match(page, "nothing");
    assert.match(page, "safe &amp; sound");
  });
});

test("bar lengths follow the counts, point heights follow the score", () => {
  const [shares] = [{ ...SHARES, asked: 10, inObjective: 5 }];
  const widths = [
    ...formatOutcomeChart([shares]).matchAll(/ width='([\d.]+)' h/g),
  ]
    .map((match) => Number(match[1])).slice(1);
  assert.equal(widths.map((width) => width / (widths[3] ?? 1)), [5, 2, 2, 1]);
  const history = formatHistoryChart([
    {
      startedAt: "t",
      commit: "abc",
      isDirty: false,
      why: "",
      site: "s",
      days: [{ name: "low", worth: 0 }, { name: "high", worth: 1 }],
    },
  ]);
  const heights = [...history.matchAll(/cy='([\d.]+)'/g)]
    .map((match) => Number(match[1]));
  assert.equal(heights, [30, 260]);
});

test.run();
