/** Counters, gauges and histograms: kept for the operators' port and, if an address is set, sent to a StatsD server. */
import hdr from "hdr-histogram-js";
import { StatsD } from "hot-shots";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import type { Bus } from "./bus.ts";

/** Largest value of the histograms; longer times are recorded as this. */
const MAX_TIME_MS = 3_600_000;

/** What each metric counts or measures; docs/OPERATORS.md has the same table. */
export const METRICS = {
  refused: "Requests refused, by reason",
  retried: "Requests sent to another upstream or owner, by reason",
  lease_refused: "Lease requests refused by this daemon as owner, by reason",
  stray_attempt_end: "Ends of attempts that are not known, by kind",
  stream_resumed:
    "Streams whose connection was cut, by whether the engine resumed them",
  load_failed: "Adapter loads that failed, by upstream",
  owner_deposed: "Ownerships lost to a higher fencing number, by upstream",
  foreign_order:
    "Changes of slots that the owner did not order, by upstream that ignores fencing",
  members:
    "Changes in what is thought of a peer's life: suspect, dead, refuted",
  pause_detected: "Pauses of the process that were detected",
  connection_dropped: "Callers' connections beyond the bound",
  connection_malformed:
    "Callers' connections closed for what they sent, by the HTTP parser's code",
  envelope_malformed: "Envelopes from peers that could not be decoded",
  envelope_undelivered: "Envelopes that a peer did not take in time",
  tables: "Revisions of the tables offered, by what became of them",
  host_list: "Revisions of the host list offered, by what became of them",
  platform_unread: "Readings of the platform that failed, by step",
  lease_wait: "Time from acceptance to dispatch without a load, in ms",
  load_stall:
    "Time from acceptance to dispatch of requests that waited for a load, in ms",
  first_token: "Time from acceptance to the first byte of the answer, in ms",
  requests: "Requests that the daemon holds",
  slots_resident: "Adapters resident on owned upstreams",
  leases: "Leases granted and not over",
  queue: "Lease requests that wait",
  batch_fill: "Credits in use as a share of the batch sizes of owned upstreams",
} as const;

export interface MetricsSnapshot {
  counters: Record<string, number>;
  gauges: Record<string, number>;
  histograms: Record<
    string,
    { count: number; p50Ms: number; p95Ms: number; maxMs: number }
  >;
}

export class Metrics {
  readonly #client: StatsD | undefined;
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, number>();
  readonly #histograms = new Map<string, hdr.Histogram>();

  constructor(settings: DaemonSettings["metrics"], host: string) {
    if (settings.address === undefined) return;
    const separator = settings.address.lastIndexOf(":");
    this.#client = new StatsD({
      host: settings.address.slice(0, separator),
      port: Number(settings.address.slice(separator + 1)),
      prefix: settings.prefix,
      globalTags: { host },
      errorHandler: () => {},
    });
  }

  listen(bus: Bus): void {
    bus.on("count", (data) => this.count(data.counter, data.tag));
    bus.on("measure", (data) => this.measure(data.histogram, data.valueMs));
  }

  count(counter: string, tag: string): void {
    const key = tag === "" ? counter : `${counter}.${tag}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + 1);
    this.#client?.increment(counter, 1, tag === "" ? {} : { reason: tag });
  }

  setGauge(gauge: string, value: number): void {
    this.#gauges.set(gauge, value);
    this.#client?.gauge(gauge, value);
  }

  measure(histogram: string, valueMs: number): void {
    let values = this.#histograms.get(histogram);
    if (!values) {
      values = hdr.build({ highestTrackableValue: MAX_TIME_MS });
      this.#histograms.set(histogram, values);
    }
    values.recordValue(clampTime(valueMs));
    this.#client?.distribution(histogram, valueMs);
  }

  getSnapshot(): MetricsSnapshot {
    return {
      counters: Object.fromEntries(this.#counters),
      gauges: Object.fromEntries(this.#gauges),
      histograms: Object.fromEntries(
        [...this.#histograms].map(([name, values]) => [name, {
          count: values.totalCount,
          p50Ms: values.getValueAtPercentile(50),
          p95Ms: values.getValueAtPercentile(95),
          maxMs: values.maxValue,
        }]),
      ),
    };
  }

  async stop(): Promise<void> {
    const client = this.#client;
    if (!client) return;
    await new Promise<void>((resolve) => client.close(() => resolve()));
  }
}

function clampTime(valueMs: number): number {
  return Math.min(MAX_TIME_MS, Math.max(0, Math.round(valueMs)));
}
