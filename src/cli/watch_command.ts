/** The `watch` command: prints one line of a daemon's status per interval. */
import type { StatusResponse } from "./daemon_commands.ts";
import { ExitCode } from "./exit_codes.ts";
import { fetchFromDaemon } from "./operator_client.ts";

export interface WatchOptions {
  intervalMs: number;
  /** Number of lines to print; 0 for no limit. */
  count: number;
  isJson: boolean;
}

/** Prints lines until the count is reached; returns the exit code. */
export async function watchDaemon(
  address: string,
  options: WatchOptions,
): Promise<ExitCode> {
  const { intervalMs, count } = options;
  if (!isNonNegativeNumber(intervalMs) || !isNonNegativeNumber(count)) {
    console.error("Expected numbers for --interval-ms and --count");
    return ExitCode.UsageError;
  }
  for (let line = 0; count === 0 || line < count; line += 1) {
    if (line > 0) await waitMs(intervalMs);
    const status = await fetchFromDaemon<StatusResponse>(address, "/status");
    if (status.isErr()) {
      console.error(status.error);
      return ExitCode.DaemonFailed;
    }
    console.log(
      options.isJson ? JSON.stringify(status.value) : formatLine(status.value),
    );
  }
  return ExitCode.Success;
}

function isNonNegativeNumber(value: unknown): boolean {
  return typeof value === "number" && value >= 0;
}

function formatLine(status: StatusResponse): string {
  const { gauges, counters } = status.metrics;
  const refused = Object.entries(counters)
    .filter(([name]) => name.startsWith("refused"))
    .reduce((total, [, count]) => total + count, 0);
  const livePeers = status.peers.filter((peer) => peer.live).length;
  const batchFillPercent = ((gauges["batch_fill"] ?? 0) * 100).toFixed(0);
  return `${status.id} ${status.state}  revision ${status.tablesRevision}  peers ${livePeers}/${status.peers.length}  requests ${status.execution.requests}  refused ${refused}  queue ${
    gauges["queue"] ?? 0
  }  batch fill ${batchFillPercent}%`;
}

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}
