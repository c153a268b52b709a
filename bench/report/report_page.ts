/**
 * Formats the figures of benchmark days as one HTML page with SVG charts: the
 * score by commit, and for each day its prices and the outcomes of its requests
 * by kind, failure domain and second. The charts show what limits the score of
 * a day.
 */
import type { DayFigures, OutcomeShares, RunFigures } from "./day_figures.ts";

const WIDTH = 900;
const ROW_HEIGHT = 18;
const LABEL_WIDTH = 260;
const HISTORY_HEIGHT = 320;
const MARGIN = 30;
/** Space for the commit ids below the history chart. */
const COMMIT_HEIGHT = 60;
const COLORS = [
  "#1b6ca8",
  "#c8553d",
  "#3a7d44",
  "#8f5db7",
  "#b8860b",
  "#4a4a4a",
  "#d81b60",
  "#009688",
];
const OUTCOME_COLORS = {
  inObjective: "#3a7d44",
  late: "#e0b034",
  refused: "#8f5db7",
  failed: "#c8553d",
} as const;
type Outcome = keyof typeof OUTCOME_COLORS;
const OUTCOMES = Object.keys(OUTCOME_COLORS) as Outcome[];

export function formatReportPage(
  runs: readonly RunFigures[],
  days: readonly DayFigures[],
): string {
  const sites = [...new Set(runs.map((run) => run.site))].sort();
  return [
    "<!doctype html><meta charset='utf-8'><title>Played days</title>",
    "<style>body{font:13px sans-serif;margin:2em}svg text{font:11px sans-serif}</style>",
    ...sites.map((site) =>
      `<h2>${encodeMarkup(site)}: worth by run</h2>` +
      formatHistoryChart(runs.filter((run) => run.site === site))
    ),
    ...days.map(formatDay),
  ].join("\n");
}

/**
 * Draws the score of each day over the runs, with one line per day. A hollow
 * point marks a run whose sources were not committed.
 */
export function formatHistoryChart(runs: readonly RunFigures[]): string {
  const names = [
    ...new Set(runs.flatMap((run) => run.days.map((day) => day.name))),
  ].sort();
  const bottom = HISTORY_HEIGHT - COMMIT_HEIGHT;
  const step = (WIDTH - 2 * MARGIN) / Math.max(1, runs.length - 1);
  const toX = (index: number) => MARGIN + index * step;
  const toY = (worth: number) =>
    bottom - Math.max(0, Math.min(1, worth)) * (bottom - MARGIN);
  const lines = names.map((name, series) => {
    const color = COLORS[series % COLORS.length] ?? "black";
    const points = runs.flatMap((run, index) =>
      run.days.filter((day) => day.name === name).map((day) => ({
        x: toX(index),
        y: toY(day.worth),
        title: `${name} ${day.worth} ${run.commit.slice(0, 7)} ${run.why}`,
        isDirty: run.isDirty,
      }))
    );
    return formatLine(points, color) +
      `<text x='${MARGIN + series * 105}' y='14' fill='${color}'>${
        encodeMarkup(name)
      }</text>`;
  });
  const gridLines = [0, 0.25, 0.5, 0.75, 1].map((worth) =>
    `<line x1='${MARGIN}' x2='${WIDTH - MARGIN}' y1='${toY(worth)}' y2='${
      toY(worth)
    }' stroke='#ddd'/><text x='2' y='${toY(worth) + 4}'>${worth}</text>`
  );
  const commits = runs.map((run, index) =>
    `<text transform='translate(${toX(index)},${bottom + 8}) rotate(60)'>${
      encodeMarkup(run.commit.slice(0, 7))
    }</text>`
  );
  return formatSvg(HISTORY_HEIGHT, [...gridLines, ...lines, ...commits]);
}

/** Formats one day: the parts of its score, prices and request outcomes. */
export function formatDay(day: DayFigures): string {
  const parts = day.parts.map(({ name, weight, worth }) =>
    `${encodeMarkup(name)} ${worth.toFixed(3)} (${weight})`
  ).join(", ");
  return [
    `<h2>${encodeMarkup(day.name)}: ${
      day.worth.toFixed(3)
    }</h2><p>${parts}</p>`,
    "<h3>Prices</h3>",
    formatPriceChart(day),
    "<h3>Kinds of request</h3>",
    formatOutcomeChart(day.kinds),
    "<h3>Failure domains</h3>",
    formatOutcomeChart(day.failureDomains),
    "<h3>From second</h3>",
    formatOutcomeChart(day.spans),
  ].join("\n");
}

function formatPriceChart({ prices }: DayFigures): string {
  const nonzeroPrices = prices.filter((price) => price.worth > 0)
    .sort((a, b) => b.worth - a.worth);
  const maxWorth = Math.max(1e-9, ...nonzeroPrices.map((price) => price.worth));
  const chartWidth = WIDTH - LABEL_WIDTH - 2 * MARGIN;
  return formatSvg(
    nonzeroPrices.length * ROW_HEIGHT,
    nonzeroPrices.map(({ name, amount, worth }, row) =>
      formatLabel(`${name} (${amount})`, row) +
      formatBar(
        LABEL_WIDTH,
        chartWidth * worth / maxWorth,
        row,
        COLORS[0] ?? "",
      ) +
      `<text x='${LABEL_WIDTH + chartWidth * worth / maxWorth + 4}' y='${
        row * ROW_HEIGHT + 13
      }'>${worth.toFixed(4)}</text>`
    ),
  );
}

/**
 * Draws a stacked bar of outcomes for each share, with a length in proportion
 * to its number of requests.
 */
export function formatOutcomeChart(shares: readonly OutcomeShares[]): string {
  const maxAsked = Math.max(1, ...shares.map((share) => share.asked));
  const chartWidth = WIDTH - LABEL_WIDTH - 2 * MARGIN;
  const legend = OUTCOMES.map((outcome, series) =>
    `<text x='${LABEL_WIDTH + series * 110}' y='13' fill='${
      OUTCOME_COLORS[outcome]
    }'>${outcome}</text>`
  );
  const rows = shares.map((share, index) => {
    const row = index + 1;
    let x = LABEL_WIDTH;
    const bars = OUTCOMES.map((outcome) => {
      const width = chartWidth * share[outcome] / maxAsked;
      const bar = formatBar(x, width, row, OUTCOME_COLORS[outcome]);
      x += width;
      return bar;
    });
    return formatLabel(`${share.name}: ${share.worth.toFixed(3)}`, row) +
      bars.join("");
  });
  return formatSvg((shares.length + 1) * ROW_HEIGHT, [...legend, ...rows]);
}

function formatLine(
  points: readonly { x: number; y: number; title: string; isDirty: boolean }[],
  color: string,
): string {
  const path = points.map(({ x, y }) => `${x},${y}`).join(" ");
  const dots = points.map(({ x, y, title, isDirty }) =>
    `<circle cx='${x}' cy='${y}' r='3' stroke='${color}' fill='${
      isDirty ? "white" : color
    }'><title>${encodeMarkup(title)}</title></circle>`
  );
  return `<polyline points='${path}' fill='none' stroke='${color}' stroke-opacity='0.4'/>` +
    dots.join("");
}

function formatLabel(text: string, row: number): string {
  return `<text x='0' y='${row * ROW_HEIGHT + 13}'>${
    encodeMarkup(text)
  }</text>`;
}

function formatBar(
  x: number,
  width: number,
  row: number,
  color: string,
): string {
  return `<rect x='${x}' y='${row * ROW_HEIGHT + 3}' width='${width}' height='${
    ROW_HEIGHT - 6
  }' fill='${color}'/>`;
}

function formatSvg(height: number, elements: readonly string[]): string {
  return `<svg xmlns='http://www.w3.org/2000/svg' width='${WIDTH}' height='${height}'>${
    elements.join("")
  }</svg>`;
}

function encodeMarkup(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll("'", "&#39;");
}
