/** The report of played days: what the bench leaves is read, and what was read is drawn. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  formatHistory,
  formatReportPage,
  formatShares,
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

function writeRecords(use: (folder: string) => void): void {
  const folder = mkdtempSync(join(tmpdir(), "pistachiohatch-report-"));
  try {
    use(folder);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test("reads the journal oldest first, without days that were not played out", () => {
  writeRecords((folder) => {
    const put = (name: string, value: object) =>
      writeFileSync(join(folder, name), JSON.stringify(value));
    put("2-b.json", createEntry("later", null));
    put("1-a.json", createEntry("earlier", 0.5));
    assert.equal(
      readJournal(folder).map((run) => [run.startedAt, run.days]),
      [["earlier", [{ name: "day-1", worth: 0.5 }]], ["later", []]],
    );
    put("3-c.json", { at: [] });
    assert.throws(() => readJournal(folder), /3-c\.json/);
  });
});

test("draws a day with its prices and ends, and escapes names", () => {
  writeRecords((folder) => {
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

test("bars are as long as the counts, points as high as the worth", () => {
  const [shares] = [{ ...SHARES, asked: 10, inObjective: 5 }];
  const widths = [...formatShares([shares]).matchAll(/ width='([\d.]+)' h/g)]
    .map((match) => Number(match[1])).slice(1);
  assert.equal(widths.map((width) => width / (widths[3] ?? 1)), [5, 2, 2, 1]);
  const history = formatHistory([
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
