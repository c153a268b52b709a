/** A gateway of the harness in a process of its own, which tests can signal. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { GatewayHarness } from "./gateway_harness.ts";

export class GatewayProcess {
  readonly child: ChildProcess;
  readonly #folder: string;

  private constructor(child: ChildProcess, folder: string) {
    this.child = child;
    this.#folder = folder;
  }

  /**
   * Starts one of the harness's gateways; resolves when it is ready.
   * @param runtimeOptions options of Node.js.
   */
  static async start(
    harness: GatewayHarness,
    index = 0,
    runtimeOptions: readonly string[] = [],
  ): Promise<GatewayProcess> {
    const folder = mkdtempSync(join(tmpdir(), "gateway-process-"));
    const settingsPath = join(folder, "settings.yaml");
    writeFileSync(
      settingsPath,
      JSON.stringify(harness.describeSettings(index)),
    );
    const child = spawn(
      process.execPath,
      [...runtimeOptions, "--import", "tsx", "platform/main.ts", settingsPath],
      { stdio: "inherit" },
    );
    await harness.waitFor(() => harness.isReady(index));
    return new GatewayProcess(child, folder);
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  stop(): void {
    this.child.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true });
  }
}
