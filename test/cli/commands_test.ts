/** Runs the command-line tool and the daemon as operators do: exit codes and output. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ContractBench } from "../contracts/contract_bench.ts";

const CLI = "src/cli/main.ts";
const DAEMON = "src/daemon/main.ts";
const SETTINGS = "examples/settings/pistachiohatchd.yaml";
const TABLES = ["examples/tables/routes.yaml", "examples/tables/pools.yaml"];

const MAX_PARALLEL_RUNS = 3;

const harness = new ContractBench();
const folder = mkdtempSync(join(tmpdir(), "pistachiohatch-cli-"));
const brokenFile = join(folder, "broken.yaml");
const commands = suite("programs");
let runs: Promise<ProgramRun>[] = [];

commands.before(async () => {
  writeFileSync(brokenFile, "routes:\n  - name: briefing\n");
  await harness.start();
  await harness.call();
  runs = startRuns(ALL_ROWS);
});

commands.after(async () => {
  await harness.stop();
  rmSync(folder, { recursive: true });
});

interface ProgramRun {
  exitCode: number | null;
  stdout: string;
  stderr: string;
}

async function runProgram(
  program: string,
  args: readonly string[],
): Promise<ProgramRun> {
  const child = spawn(process.execPath, ["--import", "tsx", program, ...args]);
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (chunk) => stdout += String(chunk));
  child.stderr.on("data", (chunk) => stderr += String(chunk));
  const exitCode = await new Promise<number | null>((resolve) =>
    child.once("close", resolve)
  );
  return { exitCode, stdout, stderr };
}

interface ProgramRow {
  program?: string;
  /** Whether the command queries the daemon of the test. */
  asksDaemon?: boolean;
  args: string[];
  exitCode: number;
  stdout?: RegExp;
  stderr?: RegExp;
}

const OFFLINE_ROWS: ProgramRow[] = [
  { args: [], exitCode: 1, stdout: /Available Commands/ },
  { args: ["--help"], exitCode: 0, stdout: /Available Commands/ },
  { args: ["--version"], exitCode: 0, stdout: createVersionPattern() },
  {
    program: DAEMON,
    args: ["--version"],
    exitCode: 0,
    stdout: createVersionPattern(),
  },
  { args: ["other"], exitCode: 1, stderr: /Invalid command: other/ },
  { args: ["check"], exitCode: 1, stderr: /Insufficient arguments/ },
  { args: ["explain"], exitCode: 1, stderr: /Insufficient arguments/ },
  { args: ["status", "--other"], exitCode: 1, stderr: /Unknown option/ },
  { args: ["watch", "--count", "x"], exitCode: 1, stderr: /Expected numbers/ },
  ...["check", "check-settings", "status", "routes", "explain", "watch"].map(
    (command) => ({
      args: [command, "--help"],
      exitCode: 0,
      stdout: /Description[\s\S]*Usage[\s\S]*Examples/,
    }),
  ),
  { args: ["check", ...TABLES], exitCode: 0, stdout: /^Valid: 1 customers/ },
  {
    args: ["check", ...TABLES, "--json"],
    exitCode: 0,
    stdout: /^\{"valid":true/,
  },
  {
    args: ["check", brokenFile],
    exitCode: 2,
    stderr: /broken\.yaml:2: routes\.0\.customer: expected a string, found/,
  },
  {
    args: ["check", brokenFile, "--json"],
    exitCode: 2,
    stdout: /^\{"valid":false,"faults":\[\{/,
  },
  { args: ["check", "/missing"], exitCode: 2, stderr: /ENOENT/ },
  { args: ["check-settings", SETTINGS], exitCode: 0, stdout: /entry-1/ },
  {
    args: ["check-settings", brokenFile],
    exitCode: 2,
    stderr: /broken\.yaml:1: id: expected a string, found nothing/,
  },
  {
    args: ["status", "--daemon", "127.0.0.1:1"],
    exitCode: 3,
    stderr: /ECONNREFUSED/,
  },
  {
    program: DAEMON,
    args: ["--help"],
    exitCode: 0,
    stdout: /--settings/,
  },
  {
    program: DAEMON,
    args: ["--other"],
    exitCode: 1,
    stderr: /Unknown option/,
  },
  {
    program: DAEMON,
    args: ["-s", brokenFile],
    exitCode: 2,
    stderr: /broken\.yaml:1: id: expected a string/,
  },
  {
    program: DAEMON,
    args: ["-s", "/missing"],
    exitCode: 2,
    stderr: /ENOENT/,
  },
];

const DAEMON_ROWS: ProgramRow[] = [
  {
    args: ["status"],
    exitCode: 0,
    stdout: /entry-1 \(hobart-a\) is serving[\s\S]*engine-1 owning, up/,
  },
  { args: ["status", "--json"], exitCode: 0, stdout: /^\{"id":"entry-1"/ },
  {
    args: ["routes"],
    exitCode: 0,
    stdout: /briefing {2}customer derwent {2}pool writers {2}briefing@v1/,
  },
  { args: ["routes", "--json"], exitCode: 0, stdout: /^\{"revision":3/ },
  { args: ["explain", "briefing"], exitCode: 0, stdout: /^1\. engine-1/ },
  {
    args: ["explain", "briefing", "--json"],
    exitCode: 0,
    stdout: /^\{"route":"briefing","upstreams":\[\{/,
  },
  {
    args: ["explain", "other"],
    exitCode: 3,
    stderr: /No route is named other/,
  },
  {
    args: ["watch", "--count", "2", "--interval-ms", "1"],
    exitCode: 0,
    stdout: /^(entry-1 serving .*\n){2}$/,
  },
  {
    args: ["watch", "--count", "1", "--json"],
    exitCode: 0,
    stdout: /^\{"id":"entry-1".*\}\n$/,
  },
];

const ALL_ROWS = [
  ...OFFLINE_ROWS,
  ...DAEMON_ROWS.map((row) => ({ ...row, asksDaemon: true })),
];

/** Runs every row, at most MAX_PARALLEL_RUNS at a time; the results are in the order of the rows. */
function startRuns(rows: readonly ProgramRow[]): Promise<ProgramRun>[] {
  const queues: Promise<unknown>[] = Array(MAX_PARALLEL_RUNS)
    .fill(Promise.resolve());
  return rows.map((row, index) => {
    const queueIndex = index % MAX_PARALLEL_RUNS;
    const address = row.asksDaemon ? ["--daemon", harness.operators] : [];
    const run = (queues[queueIndex] ?? Promise.resolve()).then(() =>
      runProgram(row.program ?? CLI, [...row.args, ...address])
    );
    queues[queueIndex] = run;
    return run;
  });
}

for (const [index, row] of ALL_ROWS.entries()) {
  const name = row.program === DAEMON ? "pistachiohatchd" : "pistachiohatch";
  const target = row.asksDaemon ? " with a daemon" : "";
  commands(
    `${name} ${row.args.join(" ").replace(folder, "")}${target}`,
    async () => {
      const run = await runs[index];
      assert.ok(run);
      if (run) checkRun(run, row);
    },
  );
}

function createVersionPattern(): RegExp {
  const { version } = JSON.parse(readFileSync("package.json", "utf8"));
  return new RegExp(`^pistachiohatchd?, ${version}\n$`);
}

commands("pistachiohatchd on a port that is in use", async () => {
  const file = join(folder, "taken.yaml");
  const text = readFileSync(SETTINGS, "utf8")
    .replace("127.0.0.1:7902", `127.0.0.1:${harness.peersPort}`);
  writeFileSync(file, text);
  const run = await runProgram(DAEMON, ["-s", file]);
  assert.is(run.exitCode, 3, run.stdout + run.stderr);
  assert.match(
    run.stderr,
    /^pistachiohatchd: listenPeers: 127\.0\.0\.1:\d+: .*EADDRINUSE/,
  );
});

/** Checks the exit code and the output; a stream without a pattern must be empty. */
function checkRun(run: ProgramRun, row: ProgramRow): void {
  assert.is(run.exitCode, row.exitCode, run.stdout + run.stderr);
  if (row.stdout) assert.match(run.stdout, row.stdout);
  else assert.is(run.stdout, "");
  if (row.stderr) assert.match(run.stderr, row.stderr);
  else assert.is(run.stderr, "");
}

commands.run();
