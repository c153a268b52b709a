/**
 * `npm run load`: sends requests to daemons on loopback for a limited time and
 * prints latencies, outcomes and refusals.
 */
import process from "node:process";
import sade from "sade";
import { LoadGenerator } from "./load/load_generator.ts";
import type { LatencySummary, LoadSummary } from "./load/load_report.ts";

const MAX_SECONDS = 600;
const MAX_IN_FLIGHT = 2_000;
const EXIT_INVALID_ARGUMENTS = 2;

interface LoadArguments {
  address?: string;
  token: string;
  routes: string;
  zipf: number;
  rate: number;
  seconds: number;
  seed: number;
  json: boolean;
}

sade("load", true)
  .describe("Sends streamed requests at a steady mean rate.")
  .option(
    "--address",
    "Addresses on which daemons listen for callers, comma-separated",
  )
  .option("--token", "Bearer token", "derwent-demo-token")
  .option(
    "--routes",
    "Comma-separated routes, the most popular first",
    "briefing",
  )
  .option("--zipf", "Zipf exponent of the routes' popularity", 1)
  .option("--rate", "Mean number of requests per second", 5)
  .option("--seconds", `Duration in seconds, at most ${MAX_SECONDS}`, 10)
  .option("--seed", "Random seed of arrival times, daemons and routes", 1)
  .option("--json", "Print JSON", false)
  .action(async (options: LoadArguments) => {
    const addresses = (options.address ?? "").split(",");
    const isLoopback = addresses.every((address) =>
      /^(127(\.\d{1,3}){3}|\[::1\]):\d+$/.test(address)
    );
    const isValid = isLoopback && options.rate > 0 && options.seconds > 0 &&
      options.seconds <= MAX_SECONDS;
    if (!isValid) {
      console.error(
        `Expected --address with loopback addresses, --rate above 0 and --seconds of at most ${MAX_SECONDS}`,
      );
      process.exit(EXIT_INVALID_ARGUMENTS);
    }
    const generator = new LoadGenerator({
      ...options,
      addresses,
      routes: options.routes.split(","),
      maxInFlight: MAX_IN_FLIGHT,
    });
    const summary = (await generator.run()).describe();
    if (options.json) console.log(JSON.stringify(summary, undefined, 2));
    else printSummary(summary);
  })
  .parse(process.argv);

function printSummary(summary: LoadSummary): void {
  console.log(`sent ${summary.sent}, not sent ${summary.notSent}`);
  console.log(`outcomes ${JSON.stringify(summary.outcomes)}`);
  console.log(`refusals ${JSON.stringify(summary.refusals)}`);
  console.log(`first token    ${formatLatency(summary.firstToken)}`);
  console.log(`between tokens ${formatLatency(summary.betweenTokens)}`);
}

function formatLatency(latency: LatencySummary): string {
  const { count, p50Ms, p95Ms, p99Ms, maxMs } = latency;
  const values = [p50Ms, p95Ms, p99Ms, maxMs].map((ms) => ms.toFixed(1));
  return `${count} values, p50 ${values[0]} ms, p95 ${values[1]} ms, p99 ${
    values[2]
  } ms, max ${values[3]} ms`;
}
