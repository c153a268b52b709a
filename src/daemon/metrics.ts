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
  retried: "Requests retried at another upstream or owner, by reason",
  lease_refused: "Lease requests refused by this daemon, by reason",
  stray_attempt_end: "Results received for unknown attempts, by kind of result",
  stream_resumed:
    "Attempts to resume a stream after its connection broke, by result (resumed, refused)",
  load_failed: "Failed adapter loads, by upstream",
  owner_deposed:
    "Ownerships lost to a claim with a higher fencing number, by upstream",
  foreign_order:
    "Adapter slot changes that the owner did not order, on engines that ignore fencing, by upstream",
  members:
    "Members marked suspect or dead, and false reports about this daemon refuted, by event (suspect, dead, refuted)",
  pause_detected: "Process pauses detected",
  connection_dropped:
    "Caller connections dropped because callers.maxConnections was reached",
  connection_malformed:
    "Caller connections closed after a connection or HTTP parse error, by error code",
  connections_cut:
    "Connections of clients that were closed because of a limit, by reason (idle, full, unread, heldInput)",
  peer_connections_cut:
    "Connections at the peers' port that were closed because of its limit, by reason (idle: no complete HTTP/2 preface, full: a new one)",
  envelope_malformed: "Envelopes received from peers that could not be decoded",
  envelope_undelivered: "Envelope streams to peers that failed",
  tables: "Table revisions received, by result",
  host_list: "Host list revisions received, by result",
  platform_unread: "Failed reads from the platform, by step",
  lease_wait:
    "Time from acceptance to first dispatch of requests that did not wait for an adapter load, in ms",
  load_stall:
    "Time from acceptance to first dispatch of requests that waited for an adapter load, in ms",
  first_token: "Time from acceptance to the start of the response, in ms",
  requests: "Requests in progress, waiting or running",
  slots_resident: "Adapter slots in use on owned upstreams",
  leases: "Active leases on owned upstreams",
  queue: "Lease requests queued for owned upstreams",
  batch_fill:
    "Credits in use on owned upstreams, as a fraction of their batch capacity",
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
