/**
 * Runs each test file in its own process and sums up the results. Only the test
 * cases listed in KNOWN-RED.txt may fail; those that do are printed.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { cpus } from "node:os";
import process from "node:process";
import { listFiles } from "./list_files.ts";

const MAX_PARALLEL = Math.max(2, Math.floor(cpus().length / 2));
const FILE_TIMEOUT_MS = 300_000;
/**
 * Time between SIGTERM and SIGKILL, in which a hung file prints what keeps it
 * alive.
 */
const KILL_GRACE_MS = 5_000;
const KNOWN_RED_FILE = "KNOWN-RED.txt";

interface FileResult {
  file: string;
  exitCode: number | null;
  output: string;
  passed: number;
  total: number;
  failedCases: string[];
}

const filters = process.argv.slice(2);
const files = listTestFiles("test").filter((file) =>
  filters.length === 0 || filters.some((filter) => file.includes(filter))
);
const knownRed = readKnownRed();
const results = await runAll(files);
let passed = 0;
let failed = 0;
for (const result of results) {
  passed += result.passed;
  failed += countUnexpectedFailures(result);
}
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);

function listTestFiles(folder: string): string[] {
  return listFiles(folder).filter((path) => path.endsWith("_test.ts")).sort();
}

/**
 * Returns `<file>: <case>` of each line `test: <file>: <case>` of
 * KNOWN-RED.txt.
 */
function readKnownRed(): Set<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  return new Set(
    readFileSync(KNOWN_RED_FILE, "utf8").split("\n")
      .filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim()),
  );
}

async function runAll(queue: readonly string[]): Promise<FileResult[]> {
  const waiting = [...queue];
  const results: FileResult[] = [];
  const runQueuedFiles = async (): Promise<void> => {
    for (let file = waiting.shift(); file; file = waiting.shift()) {
      const result = await runFile(file);
      results.push(result);
      const label = hasPassed(result) ? "ok  " : "FAIL";
      console.log(`${label} ${file} (${result.passed}/${result.total})`);
      if (!hasPassed(result)) console.log(result.output);
    }
  };
  await Promise.all(Array.from({ length: MAX_PARALLEL }, runQueuedFiles));
  return results;
}

function runFile(file: string): Promise<FileResult> {
  const child = spawn(process.execPath, [
    "--import",
    "tsx",
    "--import",
    "./scripts/explain_hang.ts",
    file,
  ], { stdio: ["ignore", "pipe", "pipe"] });
  const timers = [
    setTimeout(() => child.kill("SIGTERM"), FILE_TIMEOUT_MS),
    setTimeout(() => child.kill("SIGKILL"), FILE_TIMEOUT_MS + KILL_GRACE_MS),
  ];
  let output = "";
  child.stdout.on("data", (chunk) => output += String(chunk));
  child.stderr.on("data", (chunk) => output += String(chunk));
  return new Promise((resolve) => {
    child.once("close", (exitCode) => {
      for (const timer of timers) clearTimeout(timer);
      resolve({ file, exitCode, output, ...readCounts(output) });
    });
  });
}

function readCounts(
  output: string,
): { passed: number; total: number; failedCases: string[] } {
  const failedCases = [...output.matchAll(/FAIL\s+(?:\S+\s+)?"(.+)"/g)]
    .map((match) => match[1] ?? "");
  return {
    total: sumMatches(output, /Total:\s+(\d+)/g),
    passed: sumMatches(output, /Passed:\s+(\d+)/g),
    failedCases,
  };
}

function sumMatches(output: string, pattern: RegExp): number {
  return [...output.matchAll(pattern)]
    .reduce((total, match) => total + Number(match[1]), 0);
}

/**
 * Returns whether all cases of a file ran and passed. The exit code alone is
 * not enough: it can be 0 although a failing hook kept the cases from running.
 */
function hasPassed(result: FileResult): boolean {
  return result.exitCode === 0 && result.total > 0 &&
    result.passed === result.total;
}

/**
 * Counts the failures that KNOWN-RED.txt does not list; a failed file without
 * named cases counts at least one.
 */
function countUnexpectedFailures(result: FileResult): number {
  if (hasPassed(result)) return 0;
  const unexpected = result.failedCases.filter((name) => {
    const entry = `${result.file}: ${name}`;
    if (!knownRed.has(entry)) return true;
    console.log(`known red, passed over: ${entry}`);
    return false;
  });
  const unnamedFailures = result.total - result.passed -
    result.failedCases.length;
  if (result.failedCases.length === 0) return Math.max(1, unnamedFailures);
  return unexpected.length + Math.max(0, unnamedFailures);
}
