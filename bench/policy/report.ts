/** Formats benchmark results as text tables and HTML charts. */
import type { PolicyRow } from "./measures.ts";
import type { CaseDetail, CaseResult } from "./policy_command.ts";

const COLUMNS = [
  "loadStallShare",
  "loadStallP95Ms",
  "batchFill",
  "goodput",
  "refused",
  "lateShare",
  "loads",
  "firstTokenP95Ms",
  "fairness",
] as const satisfies (keyof PolicyRow)[];

export function formatTable(result: CaseResult, detail: CaseDetail): string {
  const lines = [
    `${result.deployment} ${result.case} seed ${result.seed}: ` +
    `unsafe evictions ${detail.unsafeEvictions}, ` +
    `most loads in flight ${detail.maxLoadsInFlight}`,
    ["policy".padEnd(17), ...COLUMNS, "leastShare"].join("  "),
  ];
  for (const row of result.rows) {
    const cells = COLUMNS.map((column) =>
      String(row[column] ?? "-").padStart(column.length)
    );
    const minRatio = detail.minFairShareRatios.get(row.policy);
    cells.push((minRatio?.toFixed(3) ?? "-").padStart("leastShare".length));
    lines.push([row.policy.padEnd(17), ...cells].join("  "));
  }
  return `${lines.join("\n")}\n`;
}

const CHARTS = [
  "loadStallShare",
  "batchFill",
  "goodput",
  "firstTokenP95Ms",
] as const;
const BAR_WIDTH = 320;

/** Returns an HTML page with a bar chart for each measure of each case. */
export function formatReport(results: readonly CaseResult[]): string {
  const sections = results.map((result) =>
    `<h2>${result.deployment} ${result.case}, seed ${result.seed}</h2>` +
    CHARTS.map((measure) => formatChart(result, measure)).join("")
  );
  return `<!doctype html><meta charset="utf-8"><title>Policies</title>` +
    `<style>body{font:14px sans-serif}figure{display:inline-block}</style>` +
    `${sections.join("")}\n`;
}

function formatChart(
  result: CaseResult,
  measure: (typeof CHARTS)[number],
): string {
  const largest = Math.max(
    1e-9,
    ...result.rows.map((row) => row[measure] ?? 0),
  );
  const bars = result.rows.map((row, index) => {
    const value = row[measure];
    const width = (value ?? 0) / largest * BAR_WIDTH;
    const y = index * 22;
    return `<text x="0" y="${y + 14}">${row.policy}</text>` +
      `<rect x="130" y="${y + 2}" width="${width}" height="16" fill="#4a7"/>` +
      `<text x="${136 + width}" y="${y + 14}">${value ?? "–"}</text>`;
  });
  const height = result.rows.length * 22;
  return `<figure><figcaption>${measure}</figcaption>` +
    `<svg width="${BAR_WIDTH + 220}" height="${height}" font-size="12">` +
    `${bars.join("")}</svg></figure>`;
}
