/**
 * A program of this repository in a process of its own, with a small heap and
 * few descriptors, whose memory and descriptors are read while it runs. It runs
 * from a bundle: the TypeScript loader would add to the memory.
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { buildSync } from "esbuild";
import * as assert from "uvu/assert";

/** Memory of the smallest machine on which a process runs. */
const MAX_RESIDENT_BYTES = 210_000_000;
/**
 * Heap of the measured processes: half of the 128 MB that deployments give, so
 * that a small number of clients is enough.
 */
const HEAP_MB = 64;
/**
 * Descriptors of the measured processes: fewer than the 2,212 of the smallest
 * machine, for the same reason.
 */
export const DESCRIPTOR_LIMIT = 320;
/**
 * Descriptors that stay free for upstreams, peers, the store and health checks:
 * a tenth of the limit.
 */
const RESERVED_DESCRIPTORS = DESCRIPTOR_LIMIT / 10;
const MAX_DESCRIPTORS = DESCRIPTOR_LIMIT - RESERVED_DESCRIPTORS;
const SAMPLE_INTERVAL_MS = 20;
/** CommonJS dependencies call `require`, which ES modules lack. */
const REQUIRE_BANNER =
  'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);';

export class MeasuredProcess {
  readonly child: ChildProcess;
  readonly #folder: string;
  readonly #timer: ReturnType<typeof setInterval>;
  #peakDescriptors = 0;
  #peakResidentBytes = 0;

  private constructor(child: ChildProcess, folder: string) {
    this.child = child;
    this.#folder = folder;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  /**
   * Bundles and starts a program.
   * @param settings written to a file as JSON, which is YAML as well.
   */
  static start(
    program: string,
    settings: object,
    options: readonly string[] = [],
  ): MeasuredProcess {
    const folder = mkdtempSync(join(tmpdir(), "measured-process-"));
    const bundle = join(folder, "program.mjs");
    buildSync({
      entryPoints: [program],
      bundle: true,
      platform: "node",
      target: "node20",
      format: "esm",
      outfile: bundle,
      logLevel: "error",
      banner: { js: REQUIRE_BANNER },
    });
    const settingsPath = join(folder, "settings.yaml");
    writeFileSync(settingsPath, JSON.stringify(settings));
    const child = spawn("sh", [
      "-c",
      `ulimit -n ${DESCRIPTOR_LIMIT}; exec "$0" "$@"`,
      process.execPath,
      `--max-old-space-size=${HEAP_MB}`,
      bundle,
      ...options,
      settingsPath,
    ], { stdio: ["ignore", "ignore", "pipe"] });
    child.stderr?.resume();
    return new MeasuredProcess(child, folder);
  }

  get isAlive(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Peak of the resident memory. */
  get peakResidentBytes(): number {
    this.#sample();
    return this.#peakResidentBytes;
  }

  /** Most descriptors that were open when they were counted. */
  get peakDescriptors(): number {
    this.#sample();
    return this.#peakDescriptors;
  }

  /** Asserts that memory and descriptors have stayed within their bounds. */
  checkPeaks(): void {
    const { peakResidentBytes, peakDescriptors } = this;
    if (process.env["PRINT_USAGE"]) {
      console.log({ peakResidentBytes, peakDescriptors });
    }
    assert.ok(
      peakResidentBytes <= MAX_RESIDENT_BYTES,
      `resident memory: ${peakResidentBytes}`,
    );
    assert.ok(
      peakDescriptors <= MAX_DESCRIPTORS,
      `open descriptors: ${peakDescriptors}`,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
    this.child.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true });
  }

  #sample(): void {
    const { pid } = this.child;
    if (!this.isAlive || pid === undefined) return;
    try {
      const status = readFileSync(`/proc/${pid}/status`, "utf8");
      const peakKb = Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0);
      const descriptors = readdirSync(`/proc/${pid}/fd`).length;
      this.#peakResidentBytes = Math.max(
        this.#peakResidentBytes,
        peakKb * 1_024,
      );
      this.#peakDescriptors = Math.max(this.#peakDescriptors, descriptors);
    } catch {
      // The process has ended since.
    }
  }
}
