/** The `gateway-status` command: prints one gateway's metrics, read from its metrics address. */
import { ExitCode } from "./exit_codes.ts";
import { fetchText } from "./operator_client.ts";

const METRIC_PREFIX = "pistachiohatch_";
const METRICS_PATH = "/metrics";

/** A sample of the Prometheus text format. */
export interface MetricSample {
  /** Metric name without `pistachiohatch_`. */
  name: string;
  /** Label pairs as in the text, without braces; may be empty. */
  labels: string;
  value: number;
}

/** Prints a gateway's gauges and counters; returns the exit code. */
export async function printGatewayStatus(
  address: string,
  isJson: boolean,
): Promise<ExitCode> {
  const text = await fetchText(address, METRICS_PATH);
  if (text.isErr()) {
    console.error(text.error);
    return ExitCode.DaemonFailed;
  }
  const samples = parseMetricSamples(text.value);
  if (samples.length === 0) {
    console.error(`${address}: expected a gateway's metrics, found none`);
    return ExitCode.DaemonFailed;
  }
  for (const sample of samples) {
    console.log(isJson ? JSON.stringify(sample) : formatSample(sample));
  }
  return ExitCode.Success;
}

/** Parses the gateway's own metrics; leaves out histogram buckets. */
export function parseMetricSamples(text: string): MetricSample[] {
  return text.split("\n").flatMap((line) => {
    const match = /^([a-z_]+)(?:\{(.*)\})? (\S+)$/.exec(line);
    const [, fullName = "", labels = "", value = ""] = match ?? [];
    const isIncluded = fullName.startsWith(METRIC_PREFIX) &&
      !fullName.endsWith("_bucket");
    if (!isIncluded) return [];
    const name = fullName.slice(METRIC_PREFIX.length);
    return [{ name, labels, value: Number(value) }];
  });
}

function formatSample({ name, labels, value }: MetricSample): string {
  const label = labels === "" ? "" : ` ${labels}`;
  return `${name}${label}: ${value}`;
}
