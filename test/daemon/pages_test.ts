/** The pages for operators and callers list exactly the reasons and metrics that the code has. */
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listFiles } from "../../scripts/list_files.ts";
import {
  LeaseRefusalReason,
  Outcome,
  RefusalReason,
  RetryReason,
} from "../../src/core/outcomes.ts";
import { METRICS } from "../../src/daemon/metrics.ts";
import { GATEWAY_METRICS } from "../../src/gateway/gateway_metrics.ts";
import { getRefusalStatus } from "../../src/daemon/refusal_statuses.ts";

const OPERATIONS_PAGE = readFileSync("docs/OPERATIONS.md", "utf8");
const OPERATORS_PAGE = readFileSync("docs/OPERATORS.md", "utf8");
const CALLERS_PAGE = readFileSync("docs/CALLERS.md", "utf8");

/** Returns the rows of the table under a heading, cell by cell. */
function readRows(page: string, heading: string): string[][] {
  const section = page.split(/^#+ /m)
    .find((part) => part.startsWith(`${heading}\n`));
  assert.ok(section, `Expected a heading ${heading}`);
  return (section ?? "").split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) =>
      line.split("|").slice(1, -1).map((cell) => cell.trim().replace(/`/g, ""))
    );
}

function listFirstCells(page: string, heading: string): string[] {
  return readRows(page, heading).map((row) => row[0] ?? "").sort();
}

const TABLES: [string, string, Record<string, string>][] = [
  [OPERATORS_PAGE, "Reasons of `refused`", RefusalReason],
  [OPERATORS_PAGE, "Reasons of `retried`", RetryReason],
  [OPERATORS_PAGE, "Reasons of `lease_refused`", LeaseRefusalReason],
];

for (const [page, heading, reasons] of TABLES) {
  test(`${heading} match the code`, () => {
    const expected = Object.values(reasons).sort();
    assert.equal(listFirstCells(page, heading), expected);
  });
}

test("the operators' page lists every metric as the code describes it", () => {
  const rows = readRows(OPERATORS_PAGE, "Metrics");
  const documented = rows.map(([name, , meaning]) => [name, meaning]);
  assert.equal(Object.fromEntries(documented), METRICS);
});

test("the page on operations lists every metric of the gateway as the code describes it", () => {
  const rows = readRows(OPERATIONS_PAGE, "Metrics");
  const documented = rows.map(([name, meaning]) => [name, meaning]);
  assert.equal(Object.fromEntries(documented), GATEWAY_METRICS);
});

test("every metric that the code emits is described", () => {
  const emitted = listFiles("src").flatMap((file) =>
    [
      ...readFileSync(file, "utf8").matchAll(
        /(?:counter|histogram): "(\w+)"|metrics\.(?:count|measure|setGauge)\(\s*"(\w+)"/g,
      ),
    ].map((match) => match[1] ?? match[2] ?? "")
  );
  const described = { ...METRICS, ...GATEWAY_METRICS };
  const undescribed = emitted.filter((name) => !(name in described));
  assert.equal(undescribed, []);
});

test("the core counts every retry reason", () => {
  const sources = listFiles("src/core")
    .filter((file) => !file.endsWith("outcomes.ts"))
    .map((file) => readFileSync(file, "utf8")).join("\n");
  const unused = Object.keys(RetryReason)
    .filter((name) => !sources.includes(`RetryReason.${name}`));
  assert.equal(unused, []);
});

test("the callers' page lists every refusal with its status, and every outcome", () => {
  const rows = readRows(CALLERS_PAGE, "Refusals");
  const outcomes = Object.values(Outcome) as string[];
  const refusals = rows.filter(([name]) => !outcomes.includes(name ?? ""));
  const documented = Object.fromEntries(
    refusals.map(([reason, status]) => [reason, Number(status)]),
  );
  const expected = Object.fromEntries(
    Object.values(RefusalReason).map((reason) => [
      reason,
      getRefusalStatus(reason),
    ]),
  );
  assert.equal(documented, expected);
  assert.is(rows.length - refusals.length, outcomes.length);
});

test.run();
